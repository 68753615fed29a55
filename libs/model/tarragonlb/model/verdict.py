"""Whether a request may have run.

Every answer and every refusal that tarragonlb sends to a caller carries one
verdict.  A caller may repeat a request after ``NOT_RUN`` without any doubt.
After ``MAY_HAVE_RUN`` only a request that is idempotent may be repeated.
"""

import enum


class Verdict(enum.StrEnum):
    """Say what is known about the execution of a request."""

    NOT_RUN = 'not-run'
    MAY_HAVE_RUN = 'may-have-run'
    RAN = 'ran'

    def allows_retry(self, *, idempotent: bool) -> bool:
        """Return whether the request may be sent again.

        ``idempotent`` says that running the request twice does no harm.

        >>> Verdict.MAY_HAVE_RUN.allows_retry(idempotent=False)
        False
        """
        if self is Verdict.NOT_RUN:
            return True
        return self is Verdict.MAY_HAVE_RUN and idempotent

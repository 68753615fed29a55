"""Whether a request may have run.

Every answer and every refusal that tarragonlb sends to a caller has a verdict.
A caller may always retry a request after ``NOT_RUN``.  After ``MAY_HAVE_RUN``
it may retry only an idempotent request.
"""

import enum


class Verdict(enum.StrEnum):
    """What is known about the execution of a request."""

    NOT_RUN = 'not-run'
    MAY_HAVE_RUN = 'may-have-run'
    RAN = 'ran'

    def allows_retry(self, *, idempotent: bool) -> bool:
        """Return whether the request may be sent again.

        ``idempotent`` says that it is safe to run the request twice.

        >>> Verdict.MAY_HAVE_RUN.allows_retry(idempotent=False)
        False
        """
        if self is Verdict.NOT_RUN:
            return True
        return self is Verdict.MAY_HAVE_RUN and idempotent

"""The exception hierarchy.

Each error that a caller, an operator or another component can handle has its
own class.  Problems in settings are collected as values instead, so that all
of them are reported together (see ``tarragonlb.settings.problem``).
"""

from tarragonlb.model.verdict import Verdict


class TarragonError(Exception):
    """Base class of all errors that tarragonlb raises."""


class InvariantError(TarragonError):
    """An invariant does not hold."""


class PlatformError(TarragonError):
    """A call to the platform failed."""


class PlatformUnavailableError(PlatformError):
    """The platform was not reached, so the call had no effect."""


class AnswerLostError(PlatformError):
    """The answer of the platform was lost: the call may have had its effect."""


class RecordsExpiredError(PlatformError):
    """The log no longer holds the requested records.

    ``oldest`` is the first offset that can still be read.
    """

    def __init__(self, oldest: int) -> None:
        """Store the first offset that can still be read."""
        super().__init__(f'records before offset {oldest} have expired')
        self.oldest = oldest


class JournalError(TarragonError):
    """The shared state can't be read or changed."""


class RecordRejectedError(JournalError):
    """A record conflicts with an earlier one, or is not valid.

    ``reason`` explains the conflict to an operator.
    """

    def __init__(self, reason: str) -> None:
        """Store the reason."""
        super().__init__(reason)
        self.reason = reason


class CommitUnknownError(JournalError):
    """A record was sent to the log but not read back before the timeout."""


class UnknownRecordError(JournalError):
    """This version of the daemon can't fold records of this kind."""


class RefusedError(TarragonError):
    """A request is refused.

    ``verdict`` says whether it may have run, ``status`` is the HTTP status.
    ``retry_after`` is the number of seconds after which a retry makes sense,
    or None if it makes no sense.
    """

    def __init__(
        self,
        reason: str,
        *,
        verdict: Verdict,
        status: int,
        retry_after: float | None = None,
    ) -> None:
        """Store what the caller is told."""
        super().__init__(reason)
        self.reason = reason
        self.verdict = verdict
        self.status = status
        self.retry_after = retry_after

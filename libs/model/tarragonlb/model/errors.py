"""The exception tree.

Errors that a caller, an operator or another part can act on are classes of
their own.  Problems in settings are collected as values instead, so that all
of them are reported together (see ``tarragonlb.settings.problem``).
"""

from tarragonlb.model.verdict import Verdict


class TarragonError(Exception):
    """Base of all errors that tarragonlb raises."""


class InvariantError(TarragonError):
    """A promise that must always hold was found broken."""


class PlatformError(TarragonError):
    """The platform did not do what it was asked for."""


class PlatformUnavailableError(PlatformError):
    """The platform was not reached, so the call had no effect."""


class AnswerLostError(PlatformError):
    """The platform was reached but its answer was not: it may have acted."""


class RecordsExpiredError(PlatformError):
    """Records that were asked for are no longer kept by the log.

    ``oldest`` is the first offset that can still be read.
    """

    def __init__(self, oldest: int) -> None:
        """Keep the first readable offset."""
        super().__init__(f'records before offset {oldest} have expired')
        self.oldest = oldest


class JournalError(TarragonError):
    """The shared state can't be read or changed."""


class RecordRejectedError(JournalError):
    """A record lost against an earlier one, or was not valid.

    ``reason`` says against what, in words for an operator.
    """

    def __init__(self, reason: str) -> None:
        """Keep the reason."""
        super().__init__(reason)
        self.reason = reason


class CommitUnknownError(JournalError):
    """A record was sent to the log but not read back in time."""


class UnknownRecordError(JournalError):
    """A record has a kind that this version of the daemon can't fold."""


class RefusedError(TarragonError):
    """A request is refused, with what is known about its execution.

    ``status`` is the HTTP status, ``retry_after`` the seconds after which
    asking again makes sense, or None where it makes no sense.
    """

    def __init__(
        self,
        reason: str,
        *,
        verdict: Verdict,
        status: int,
        retry_after: float | None = None,
    ) -> None:
        """Keep what the caller is told."""
        super().__init__(reason)
        self.reason = reason
        self.verdict = verdict
        self.status = status
        self.retry_after = retry_after

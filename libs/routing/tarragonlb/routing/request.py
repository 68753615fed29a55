"""What the decisions need to know of a request."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True, kw_only=True)
class RequestInfo:
    """One request of a caller.

    ``deadline`` is on the monotonic clock of this process, in seconds.
    ``idempotent`` says that running it twice does no harm.  ``weight`` is the
    share of its team against the other teams of the pool, at least 1.
    """

    request_id: str
    team: str
    service: str
    pool: str
    urgent: bool
    idempotent: bool
    deadline: float
    weight: int = 1

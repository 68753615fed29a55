"""The properties of a request that routing depends on."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True, kw_only=True)
class RequestInfo:
    """One request of a caller.

    ``deadline`` is in seconds on the monotonic clock of this process.
    ``idempotent`` tells whether the request may run more than once.  ``weight``
    is the weight of its team relative to the other teams of the pool, at least
    1.
    """

    request_id: str
    team: str
    service: str
    pool: str
    urgent: bool
    idempotent: bool
    deadline: float
    weight: int = 1

"""What the routing front asks to be done."""

from dataclasses import dataclass
from typing import TypeAlias

from tarragonlb.model.verdict import Verdict
from tarragonlb.routing.balancer import Endpoint
from tarragonlb.routing.request import RequestInfo


@dataclass(frozen=True, slots=True)
class Send:
    """Send a request to an endpoint.

    ``new_connection`` asks for one that was not used before.
    ``silence_seconds`` is how long no
    byte of an answer may come before the connection counts as silent, or None
    where only the deadline counts.
    """

    request: RequestInfo
    endpoint: Endpoint
    new_connection: bool
    silence_seconds: float | None


@dataclass(frozen=True, slots=True)
class Refuse:
    """Tell a caller that there is no answer, at once.

    ``retry_after`` are seconds, or None where asking again makes no sense.
    """

    request: RequestInfo
    reason: str
    verdict: Verdict
    retry_after: float | None = None


Action: TypeAlias = Send | Refuse

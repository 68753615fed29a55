"""Actions that the router returns to its caller."""

from dataclasses import dataclass
from typing import TypeAlias

from tarragonlb.model.verdict import Verdict
from tarragonlb.routing.balancer import Endpoint
from tarragonlb.routing.request import RequestInfo


@dataclass(frozen=True, slots=True)
class Send:
    """Send a request to an endpoint.

    ``new_connection`` demands a connection that was not used before.
    ``silence_seconds`` is the time without a byte of an answer after which the
    attempt counts as silent; with None, only the deadline limits it.
    """

    request: RequestInfo
    endpoint: Endpoint
    new_connection: bool
    silence_seconds: float | None


@dataclass(frozen=True, slots=True)
class Refuse:
    """Answer a request with a refusal.

    ``retry_after`` is in seconds; it is None if the request must not be
    retried.
    """

    request: RequestInfo
    reason: str
    verdict: Verdict
    retry_after: float | None = None


Action: TypeAlias = Send | Refuse

"""Handler that reports the traffic between this process and the platform."""

from dataclasses import dataclass

from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from tarragonlb.daemon.access import AccessTable
from tarragonlb.daemon.apibase import admit, make_json_response
from tarragonlb.daemon.clock import read_monotonic
from tarragonlb.platform.traffic import TrafficCounter


@dataclass(frozen=True, slots=True, kw_only=True)
class TrafficAnswer:
    """Bytes since process start, read at ``seconds`` of monotonic time."""

    sent: int
    received: int
    seconds: float


class TrafficApi:
    """Handler for the control traffic."""

    __slots__ = ('_access', '_traffic')

    def __init__(self, access: AccessTable, traffic: TrafficCounter) -> None:
        """Report the byte counters of ``traffic``."""
        self._access = access
        self._traffic = traffic

    def list_routes(self) -> list[Route]:
        """Return the routes of this handler."""
        return [Route('/v1/traffic', self.show)]

    async def show(self, request: Request) -> Response:
        """Return the bytes sent and received so far."""
        admit(self._access, request).require_operator()
        answer = TrafficAnswer(
            sent=self._traffic.sent,
            received=self._traffic.received,
            seconds=read_monotonic(),
        )
        return make_json_response(answer)

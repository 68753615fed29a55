"""Handler that shows what this process exchanged with the platform."""

from dataclasses import dataclass

from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from tarragonlb.daemon.access import AccessTable
from tarragonlb.daemon.apibase import admit, make_json_response
from tarragonlb.daemon.clock import read_monotonic
from tarragonlb.platform.traffic import Traffic


@dataclass(frozen=True, slots=True, kw_only=True)
class TrafficAnswer:
    """Bytes since the start, read at ``seconds`` on the monotonic clock."""

    sent: int
    received: int
    seconds: float


class TrafficApi:
    """The part of the API that is about the traffic for control."""

    __slots__ = ('_access', '_traffic')

    def __init__(self, access: AccessTable, traffic: Traffic) -> None:
        """Show a counter of bytes."""
        self._access = access
        self._traffic = traffic

    def list_routes(self) -> list[Route]:
        """Return the routes of this part."""
        return [Route('/v1/traffic', self.show)]

    async def show(self, request: Request) -> Response:
        """Answer with the bytes so far."""
        admit(self._access, request).require_operator()
        answer = TrafficAnswer(
            sent=self._traffic.sent,
            received=self._traffic.received,
            seconds=read_monotonic(),
        )
        return make_json_response(answer)

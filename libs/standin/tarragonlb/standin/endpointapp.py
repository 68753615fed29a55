"""Endpoint stand-in with request slots, delays, faults and an event journal.

The journal records when each request started, finished or was interrupted by
a reboot, under the mark that the request carries.  Tests compare it with the
responses that clients received.
"""

import time
from dataclasses import asdict, dataclass

import msgspec
import trio
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, PlainTextResponse, Response
from starlette.routing import Route

from tarragonlb.standin.brokenresponse import DroppedResponse, TruncatedResponse
from tarragonlb.standin.fault import EndpointFaults, EndpointMode, FaultSwitch

STATUS_ERROR = 500
STATUS_UNAVAILABLE = 503
REBOOT_SECONDS = 0.5
SLOW_SECONDS = 2
STARTED = 'started'
FINISHED = 'finished'
CUT = 'cut'


@dataclass(frozen=True, slots=True)
class EndpointEvent:
    """An event of a request; ``at`` is a time of the monotonic clock."""

    endpoint: str
    mark: str
    event: str
    at: float


class EndpointStandin:
    """Runs at most ``slots`` requests at once."""

    __slots__ = (
        '_boot',
        '_events',
        '_switch',
        '_name',
        '_slots',
        'active',
        'rebooting_until',
    )

    def __init__(self, name: str, slots: int) -> None:
        """Start without requests and without faults."""
        self._name = name
        self._slots = slots
        self._boot = 1
        self._events: list[EndpointEvent] = []
        self._switch = FaultSwitch(EndpointFaults())
        self.active = 0
        self.rebooting_until = 0.0

    def make_application(self) -> Starlette:
        """Return the ASGI application of the endpoint."""
        return Starlette(
            routes=[
                Route('/active', self.count_active, methods=['POST']),
                Route('/reboot', self.reboot, methods=['POST']),
                Route('/faults', self.set_faults, methods=['POST']),
                Route('/journal', self.list_marks),
                Route('/events', self.list_events),
                Route(
                    '/call/{path:path}',
                    self.run_request,
                    methods=['GET', 'POST'],
                ),
            ]
        )

    async def count_active(self, request: Request) -> Response:
        """Return the number of requests in progress."""
        return PlainTextResponse(str(self.active))

    async def list_marks(self, request: Request) -> Response:
        """Return the marks of all requests that started."""
        started = [
            event.mark for event in self._events if event.event == STARTED
        ]
        return JSONResponse(started)

    async def list_events(self, request: Request) -> Response:
        """Return all events, oldest first."""
        return JSONResponse([asdict(event) for event in self._events])

    async def set_faults(self, request: Request) -> Response:
        """Replace the faults of this endpoint."""
        body = await request.body()
        self._switch.replace_faults(
            msgspec.json.decode(body, type=EndpointFaults)
        )
        return PlainTextResponse('')

    async def reboot(self, request: Request) -> Response:
        """Interrupt the requests in progress and refuse new ones for a while.

        The response is the number of interrupted requests.
        """
        self.rebooting_until = trio.current_time() + REBOOT_SECONDS
        self._boot += 1
        return PlainTextResponse(str(self.active))

    async def run_request(self, request: Request) -> Response:
        """Run a request for ``seconds`` and record it under ``mark``.

        Both are query parameters.  The response contains ``size`` bytes of
        filler that repeat the mark.
        """
        host = request.scope['server'][0]
        if host in self._switch.faults.cut_hosts:
            return await self._drop_response(host)
        if self._switch.faults.mode is EndpointMode.SILENT:
            return await self._drop_response(host)
        if self._switch.faults.mode is EndpointMode.FAILING:
            return Response(status_code=STATUS_ERROR)
        if self._is_unavailable():
            return Response(
                status_code=STATUS_UNAVAILABLE,
                headers={'tarragon-verdict': 'not-run'},
            )
        self.active += 1
        try:
            response = await self._execute(request)
        finally:
            self.active -= 1
        if host in self._switch.faults.cut_hosts:
            return await self._drop_response(host)
        return response

    def _is_unavailable(self) -> bool:
        is_rebooting = trio.current_time() < self.rebooting_until
        return is_rebooting or self.active >= self._slots

    async def _execute(self, request: Request) -> Response:
        mark = request.query_params.get('mark', '')
        self._record_event(mark, STARTED)
        boot = self._boot
        body = await request.body()
        seconds = float(request.query_params.get('seconds', '0'))
        if self._switch.faults.mode is EndpointMode.SLOW:
            seconds += SLOW_SECONDS
        await trio.sleep(seconds)
        if boot != self._boot:
            self._record_event(mark, CUT)
            return DroppedResponse()
        self._record_event(mark, FINISHED)
        if self._switch.faults.mode is EndpointMode.MUTE:
            return await self._drop_response('')
        if self._switch.faults.mode is EndpointMode.TRUNCATING:
            return TruncatedResponse()
        size = int(request.query_params.get('size', '0'))
        return JSONResponse(
            {
                'endpoint': self._name,
                'mark': mark,
                'bytes': len(body),
                'body': body.decode('latin-1')[:200],
                'filler': (mark * size)[:size],
            }
        )

    def _record_event(self, mark: str, event: str) -> None:
        event_record = EndpointEvent(self._name, mark, event, time.monotonic())
        self._events.append(event_record)

    async def _drop_response(self, host: str) -> Response:
        silent = {EndpointMode.SILENT, EndpointMode.MUTE}
        while (
            host in self._switch.faults.cut_hosts
            or self._switch.faults.mode in silent
        ):
            await self._switch.wait_for_change()
        return DroppedResponse()

"""Measures each request of a caller for the burn report and the metrics.

A request is bad if the service refused it for lack of capacity, if it failed,
or if its response was cut off.  Invalid requests and callers that disconnect
do not count against the service.
"""

from collections.abc import Awaitable, Callable
from typing import Any, TypeAlias

from tarragonlb.daemon.access import AccessTable
from tarragonlb.daemon.clock import read_monotonic
from tarragonlb.daemon.exchange import VERDICT_HEADER, Receive, Send
from tarragonlb.daemon.gateway import CALL_PREFIX
from tarragonlb.daemon.journal import Journal
from tarragonlb.model.errors import RefusedError
from tarragonlb.settings.schema import ServiceSettings
from tarragonlb.telemetry.meter import BurnMeter, RequestResult
from tarragonlb.telemetry.metrics import Instruments

Serve: TypeAlias = Callable[[Any, Receive, Send], Awaitable[None]]
STATUS_TOO_MANY_REQUESTS = 429
FIRST_SERVER_ERROR = 500
UNKNOWN_SERVICE = 'unknown'


class ResponseRecorder:
    """Forwards the ASGI events of one request and records its outcome."""

    __slots__ = (
        '_receive',
        '_send',
        'completed',
        'disconnected',
        'status',
        'verdict',
    )

    def __init__(self, receive: Receive, send: Send) -> None:
        """Wrap the ASGI channels of a request."""
        self._receive = receive
        self._send = send
        self.status = 0
        self.verdict = ''
        self.completed = False
        self.disconnected = False

    async def receive(self) -> Any:
        """Return the next event from the caller."""
        event = await self._receive()
        self.disconnected = (
            self.disconnected or event['type'] == 'http.disconnect'
        )
        return event

    async def send(self, event: Any) -> None:
        """Forward an event to the caller."""
        await self._send(event)
        if event['type'] == 'http.response.start':
            self.status = event['status']
            headers = dict(event['headers'])
            self.verdict = headers.get(VERDICT_HEADER, b'').decode()
        elif event['type'] == 'http.response.body':
            self.completed = not event.get('more_body', False)

    @property
    def has_failed(self) -> bool:
        """Return whether the response counts as a failure of the service."""
        refused = self.status == STATUS_TOO_MANY_REQUESTS
        return (
            not self.completed or refused or self.status >= FIRST_SERVER_ERROR
        )


class RequestMeter:
    """Measures requests for the burn report and for OpenTelemetry."""

    __slots__ = ('_access', '_instruments', '_journal', '_meter')

    def __init__(
        self,
        access: AccessTable,
        journal: Journal,
        meter: BurnMeter,
        instruments: Instruments,
    ) -> None:
        """Add measurements to ``meter`` and ``instruments``."""
        self._access = access
        self._journal = journal
        self._meter = meter
        self._instruments = instruments

    async def serve(
        self, serve: Serve, scope: Any, receive: Receive, send: Send
    ) -> None:
        """Serve a request with ``serve`` and measure it."""
        started = read_monotonic()
        recorder = ResponseRecorder(receive, send)
        try:
            await serve(scope, recorder.receive, recorder.send)
        finally:
            self._record(scope, recorder, read_monotonic() - started)

    def _record(
        self, scope: Any, recorder: ResponseRecorder, seconds: float
    ) -> None:
        service, settings = self._find_service(scope)
        self._instruments.observe_request(
            service, recorder.status, recorder.verdict, seconds
        )
        gone = recorder.disconnected and not recorder.completed
        if settings and not gone and self._is_counted(recorder):
            result = RequestResult(
                service=service,
                seconds=seconds,
                answered=not recorder.has_failed,
            )
            self._meter.add(result, settings.objective)

    def _is_counted(self, recorder: ResponseRecorder) -> bool:
        return recorder.has_failed or recorder.verdict == 'ran'

    def _find_service(self, scope: Any) -> tuple[str, ServiceSettings | None]:
        headers = dict(scope['headers'])
        authorization = headers.get(b'authorization', b'').decode('latin-1')
        try:
            team = self._access.identify(authorization).team
        except RefusedError:
            return UNKNOWN_SERVICE, None
        name = scope['path'].removeprefix(CALL_PREFIX).partition('/')[0]
        settings = self._journal.state.teams.get(team)
        found = settings.services.get(name) if settings else None
        return f'{team}/{name}' if found else UNKNOWN_SERVICE, found

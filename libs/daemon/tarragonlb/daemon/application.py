"""The ASGI application: forwarded requests, the API and health checks."""

import uuid
from collections.abc import Iterable
from typing import Any, Protocol

import trio
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import PlainTextResponse, Response
from starlette.routing import Route

from tarragonlb.daemon.apierrors import EXCEPTION_HANDLERS
from tarragonlb.daemon.exchange import Receive, Send
from tarragonlb.daemon.gateway import CALL_PREFIX, Gateway, send_refusal
from tarragonlb.daemon.pauseguard import PauseGuard
from tarragonlb.daemon.requestmeter import RequestMeter
from tarragonlb.model.errors import RefusedError
from tarragonlb.model.verdict import Verdict

STATUS_UNAVAILABLE = 503
RETRY_AFTER_SECONDS = 1
HEALTH_PATHS = frozenset(('/health', '/ready'))


class RouteProvider(Protocol):
    """Handlers that list their routes."""

    def list_routes(self) -> list[Route]:
        """Return the routes of these handlers."""


class Application:
    """Routes each request to the gateway or to the API.

    ``ready`` is set once the process has read the shared state.  ``stopping``
    is set once it was asked to stop: requests in progress are completed, and
    the readiness check fails so that the platform's load balancer sends no new
    ones.
    """

    __slots__ = (
        '_api',
        '_gateway',
        '_idle',
        '_meter',
        '_pause_guard',
        'active',
        'ready',
        'routes',
        'stopping',
    )

    def __init__(
        self,
        gateway: Gateway,
        meter: RequestMeter,
        providers: Iterable[RouteProvider],
        pause_guard: PauseGuard,
    ) -> None:
        """Serve ``/call/`` by the gateway and all other paths by the API."""
        self._pause_guard = pause_guard
        self._gateway = gateway
        self._meter = meter
        self._idle = trio.Event()
        self.active = 0
        self.ready = False
        self.stopping = False
        self.routes = [
            Route('/health', self.show_health),
            Route('/ready', self.show_ready),
        ]
        for provider in providers:
            self.routes.extend(provider.list_routes())
        self._api = Starlette(
            routes=self.routes, exception_handlers=dict(EXCEPTION_HANDLERS)
        )

    async def __call__(self, scope: Any, receive: Receive, send: Send) -> None:
        """Serve one ASGI connection scope."""
        if scope['type'] == 'lifespan':
            await _handle_lifespan(receive, send)
            return
        self.active += 1
        try:
            await self._serve(scope, receive, send)
        finally:
            self.active -= 1
            if not self.active:
                self._idle.set()
                self._idle = trio.Event()

    async def wait_idle(self) -> None:
        """Wait until no request is in progress."""
        while self.active:
            await self._idle.wait()

    async def show_health(self, request: Request) -> Response:
        """Report that the process is alive."""
        return PlainTextResponse('alive\n')

    async def show_ready(self, request: Request) -> Response:
        """Report whether the platform's load balancer should send requests."""
        if self.ready and not self.stopping:
            return PlainTextResponse('ready\n')
        return PlainTextResponse('not ready\n', status_code=STATUS_UNAVAILABLE)

    async def _serve(self, scope: Any, receive: Receive, send: Send) -> None:
        if not self.ready and scope['path'] not in HEALTH_PATHS:
            refusal = RefusedError(
                'this entry VM has not read the shared state yet',
                verdict=Verdict.NOT_RUN,
                status=STATUS_UNAVAILABLE,
                retry_after=RETRY_AFTER_SECONDS,
            )
            await send_refusal(send, uuid.uuid4().hex, refusal, None)
        elif scope['path'].startswith(CALL_PREFIX):
            await self._pause_guard.wait_until_fresh()
            serve = self._gateway.serve
            await self._meter.serve(serve, scope, receive, send)
        else:
            await self._api(scope, receive, send)


async def _handle_lifespan(receive: Receive, send: Send) -> None:
    while True:
        event = await receive()
        await send({'type': f'{event["type"]}.complete'})
        if event['type'] == 'lifespan.shutdown':
            return

"""The HTTP application of the daemon: callers, the API, and health."""

from collections.abc import Iterable
from typing import Any, Protocol

import trio
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import PlainTextResponse, Response
from starlette.routing import Route

from tarragonlb.daemon.apierrors import ANSWERS
from tarragonlb.daemon.exchange import Receive, Send
from tarragonlb.daemon.gateway import PREFIX, Gateway
from tarragonlb.daemon.metering import RequestMeter

STATUS_UNAVAILABLE = 503


class ApiRoutes(Protocol):
    """A part of the API that has routes."""

    def list_routes(self) -> list[Route]:
        """Return the routes of this part."""


class Application:
    """Sends each request to the gateway or to the API.

    ``stopping`` is set once the process has been asked to stop: it then
    serves what it has and tells the platform's balancer to send nothing new.
    """

    __slots__ = (
        '_api',
        '_gateway',
        '_idle',
        '_meter',
        'active',
        'ready',
        'routes',
        'stopping',
    )

    def __init__(
        self,
        gateway: Gateway,
        meter: RequestMeter,
        parts: Iterable[ApiRoutes],
    ) -> None:
        """Serve callers by the gateway and all else by the API."""
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
        for part in parts:
            self.routes.extend(part.list_routes())
        self._api = Starlette(
            routes=self.routes, exception_handlers=dict(ANSWERS)
        )

    async def __call__(self, scope: Any, receive: Receive, send: Send) -> None:
        """Serve one connection event of the HTTP server."""
        if scope['type'] == 'lifespan':
            await _live(receive, send)
            return
        self.active += 1
        try:
            if scope['path'].startswith(PREFIX):
                serve = self._gateway.serve
                await self._meter.serve(serve, scope, receive, send)
            else:
                await self._api(scope, receive, send)
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
        """Answer that the process is alive."""
        return PlainTextResponse('alive\n')

    async def show_ready(self, request: Request) -> Response:
        """Answer whether the platform's balancer should send requests."""
        if self.ready and not self.stopping:
            return PlainTextResponse('ready\n')
        return PlainTextResponse('not ready\n', status_code=STATUS_UNAVAILABLE)


async def _live(receive: Receive, send: Send) -> None:
    while True:
        event = await receive()
        await send({'type': f'{event["type"]}.complete'})
        if event['type'] == 'lifespan.shutdown':
            return

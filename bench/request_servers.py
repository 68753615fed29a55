"""Server processes of the overhead benchmark.

    python bench/request_servers.py endpoint|bare|gateway ENDPOINT-PORT

Each process prints its port.
"""

import random
import sys
from collections.abc import Awaitable, Callable
from types import SimpleNamespace
from typing import Any, TypeAlias

import httpcore
import hypercorn
import trio
from hypercorn.trio import serve

from tarragonlb.daemon.dispatcher import Dispatcher
from tarragonlb.daemon.exchange import Receive, Send, select_forwarded_headers
from tarragonlb.daemon.gateway import Gateway
from tarragonlb.routing.balancer import Endpoint
from tarragonlb.settings.schema import (
    FleetSettings,
    ServiceSettings,
    TeamSettings,
)

CHUNK_BYTES = 65_536
ANSWER = b'HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nhello'
HEADER_END = b'\r\n\r\n'
HOST = '127.0.0.1'

Application: TypeAlias = Callable[[Any, Receive, Send], Awaitable[None]]


async def serve_endpoint(port: int) -> None:
    """Answer every request immediately."""
    listeners = await trio.open_tcp_listeners(port, host=HOST)
    print(listeners[0].socket.getsockname()[1], flush=True)
    await trio.serve_listeners(_answer, listeners)


async def _answer(stream: trio.SocketStream) -> None:
    while piece := await stream.receive_some(CHUNK_BYTES):
        for _ in range(piece.count(HEADER_END)):
            await stream.send_all(ANSWER)


class BareProxy:
    """A proxy application that only copies."""

    __slots__ = ('_connections', '_endpoint')

    def __init__(self, endpoint: int) -> None:
        """Forward to the port ``endpoint``."""
        self._endpoint = endpoint
        self._connections = httpcore.AsyncConnectionPool(max_connections=64)

    async def serve(self, scope: Any, receive: Receive, send: Send) -> None:
        """Forward one request and its answer."""
        await receive()
        response = await self._connections.handle_async_request(
            self._make_request(scope)
        )
        start = {
            'type': 'http.response.start',
            'status': response.status,
            'headers': select_forwarded_headers(response.headers),
        }
        await send(start)
        async for chunk in response.aiter_stream():
            piece = {'type': 'http.response.body', 'body': chunk}
            await send({**piece, 'more_body': True})
        await send({'type': 'http.response.body', 'body': b''})
        await response.aclose()

    def _make_request(self, scope: Any) -> httpcore.Request:
        url = httpcore.URL(
            scheme=b'http',
            host=HOST,
            port=self._endpoint,
            target=scope['raw_path'],
        )
        headers = [
            (b'host', b'endpoint'),
            *select_forwarded_headers(scope['headers']),
        ]
        return httpcore.Request('GET', url, headers=headers)


class LifespanWrapper:
    """Wraps an application and completes the lifespan events of ASGI."""

    __slots__ = ('_serve',)

    def __init__(self, serve_request: Application) -> None:
        """Wrap ``serve_request``."""
        self._serve = serve_request

    async def __call__(self, scope: Any, receive: Receive, send: Send) -> None:
        """Complete lifespan events, and pass other scopes on."""
        while scope['type'] == 'lifespan':
            event = await receive()
            await send({'type': f'{event["type"]}.complete'})
        await self._serve(scope, receive, send)


def make_bare(endpoint: int) -> Application:
    """Return the bare proxy."""
    return BareProxy(endpoint).serve


def make_gateway(endpoint: int) -> Application:
    """Return a gateway with one team and one endpoint."""
    dispatcher = Dispatcher('zone', random.Random(1))
    upstream = Endpoint(
        vm_id='vm-1', address=f'{HOST}:{endpoint}', zone='zone', slots=64
    )
    dispatcher.update_pool('pool', [upstream])
    team = TeamSettings(services={'s': ServiceSettings(pool='pool')})
    state = SimpleNamespace(teams={'t': team}, fleet=FleetSettings())
    journal: Any = SimpleNamespace(state=state)
    identity = SimpleNamespace(team='t')
    access: Any = SimpleNamespace(identify=lambda header: identity)
    claims: Any = SimpleNamespace()
    return Gateway(access, journal, dispatcher, claims).serve


async def serve_role(role: str, endpoint: int) -> None:
    """Serve the bare proxy or the gateway on a free port."""
    factories = {'bare': make_bare, 'gateway': make_gateway}
    listener = trio.socket.socket()
    await listener.bind((HOST, 0))
    listener.listen()
    print(listener.getsockname()[1], flush=True)
    config = hypercorn.Config()
    config.bind = [f'fd://{listener.detach()}']
    config.accesslog = None
    config.errorlog = None
    application = factories[role](endpoint)

    await serve(
        LifespanWrapper(application),
        config,
        shutdown_trigger=trio.sleep_forever,
    )


def main() -> None:
    """Serve the role given on the command line."""
    role = sys.argv[1]
    if role == 'endpoint':
        trio.run(serve_endpoint, 0)
    else:
        trio.run(serve_role, role, int(sys.argv[2]))


if __name__ == '__main__':
    main()

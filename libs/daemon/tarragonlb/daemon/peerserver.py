"""Listens to other entry VMs; the path says what a connection is about."""

from collections.abc import Awaitable, Callable, Mapping
from typing import TypeAlias

from websockets.trio.server import ServerConnection, serve

from tarragonlb.telemetry.log import Log

MAX_MESSAGE_BYTES = 1024 * 1024

ConnectionHandler: TypeAlias = Callable[[ServerConnection], Awaitable[None]]


class PeerServer:
    """Owns the socket that other entry VMs connect to."""

    __slots__ = ('_handlers', '_listen', '_say')

    def __init__(
        self, listen: str, handlers: Mapping[str, ConnectionHandler]
    ) -> None:
        """Listen on an ``ip:port`` and handler by path."""
        self._listen = listen
        self._handlers = handlers
        self._say = Log('peers').say

    async def run(self) -> None:
        """Serve until cancelled."""
        host, _, port = self._listen.rpartition(':')
        await serve(
            self._handle_connection,
            int(port),
            host=host,
            compression=None,
            ping_interval=None,
            server_header=None,
            max_size=MAX_MESSAGE_BYTES,
        )

    async def _handle_connection(self, connection: ServerConnection) -> None:
        path = connection.request.path if connection.request else ''
        handler = self._handlers.get(path)
        if handler is None:
            self._say('A connection to an unknown path.', path=path)
            return
        await handler(connection)

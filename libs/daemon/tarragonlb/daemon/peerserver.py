"""Websocket server for other entry VMs, with one handler for each path."""

from collections.abc import Awaitable, Callable, Mapping
from typing import TypeAlias

from websockets.trio.server import ServerConnection, serve

from tarragonlb.telemetry.log import Log

MAX_MESSAGE_BYTES = 1024 * 1024

ConnectionHandler: TypeAlias = Callable[[ServerConnection], Awaitable[None]]


class PeerServer:
    """Accepts websocket connections of other entry VMs."""

    __slots__ = ('_emit', '_handlers', '_listen')

    def __init__(
        self, listen: str, handlers: Mapping[str, ConnectionHandler]
    ) -> None:
        """Listen on ``ip:port``; ``handlers`` maps paths to handlers."""
        self._listen = listen
        self._handlers = handlers
        self._emit = Log('peers').emit

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
            self._emit('A connection to an unknown path was closed.', path=path)
            return
        await handler(connection)

"""Websocket server for other entry VMs, with one handler for each path."""

import contextlib
import logging
from collections.abc import Awaitable, Callable, Mapping
from typing import TypeAlias

import trio
from websockets.exceptions import ConnectionClosed
from websockets.protocol import State
from websockets.server import ServerProtocol
from websockets.trio.server import Server, ServerConnection

from tarragonlb.server.boundary import Boundary
from tarragonlb.server.listener import Endpoint, Listener
from tarragonlb.server.settings import ServerSettings
from tarragonlb.telemetry.log import Log

MAX_MESSAGE_BYTES = 1024 * 1024
MAX_CONNECTIONS = 256
HANDSHAKE_SECONDS = 10

ConnectionHandler: TypeAlias = Callable[[ServerConnection], Awaitable[None]]

LOG = Log('peers')


class LogHandler(logging.Handler):
    """Writes what the websocket library reports to the log of the process."""

    def emit(self, record: logging.LogRecord) -> None:
        """Write the message and the error of a record."""
        error = record.exc_info[1] if record.exc_info else None
        LOG.emit(
            'The websocket library reported an error.',
            message=record.getMessage(),
            error=repr(error),
        )


LIBRARY_LOGGER = logging.getLogger('tarragonlb.websockets')
LIBRARY_LOGGER.propagate = False
LIBRARY_LOGGER.handlers = [LogHandler(logging.ERROR)]


class PeerServer:
    """Accepts websocket connections of other entry VMs."""

    __slots__ = ('_handlers', '_listen', '_nursery', '_settings')

    def __init__(
        self, listen: str, handlers: Mapping[str, ConnectionHandler]
    ) -> None:
        """Listen on ``ip:port``; ``handlers`` maps paths to handlers."""
        self._listen = listen
        self._handlers = handlers
        self._settings = ServerSettings(max_connections=MAX_CONNECTIONS)
        self._nursery: trio.Nursery | None = None

    async def run(self) -> None:
        """Serve until cancelled, also if the address is taken for a while."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            listener = Listener(
                self._listen, self._settings, self._admit, _do_nothing
            )
            await listener.run()

    def _admit(self, accepted: trio.socket.SocketType, peer: Endpoint) -> None:
        """Serve a connection in a task of its own, unless there are many."""
        nursery = self._nursery
        if nursery is None or len(nursery.child_tasks) >= MAX_CONNECTIONS:
            accepted.close()
            return
        nursery.start_soon(self._serve_contained, accepted, str(peer[0]))

    async def _serve_contained(
        self, accepted: trio.socket.SocketType, peer: str
    ) -> None:
        with accepted, Boundary(peer):
            await self._serve_stream(trio.SocketStream(accepted))

    async def _serve_stream(self, stream: trio.SocketStream) -> None:
        async with trio.open_nursery() as nursery:
            connection = ServerConnection(
                nursery,
                stream,
                ServerProtocol(
                    max_size=MAX_MESSAGE_BYTES, logger=LIBRARY_LOGGER
                ),
                Server([], _never_accept),
                ping_interval=None,
            )
            # A peer may leave at any time.
            with (
                trio.move_on_after(HANDSHAKE_SECONDS),
                contextlib.suppress(ConnectionClosed),
            ):
                await connection.handshake(server_header=None)
            if connection.state is not State.OPEN:
                await connection.close_stream()
                return
            async with connection:
                await self._handle_connection(connection)

    async def _handle_connection(self, connection: ServerConnection) -> None:
        path = connection.request.path if connection.request else ''
        handler = self._handlers.get(path)
        if handler is None:
            LOG.emit('A connection to an unknown path was closed.', path=path)
            return
        await handler(connection)


async def _never_accept(_stream: trio.abc.Stream) -> None:
    """Stand for the handler of the library's server, which accepts nothing."""


def _do_nothing() -> None:
    """Keep all connections when descriptors run out; each has a timeout."""

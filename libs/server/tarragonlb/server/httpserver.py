"""Serves an ASGI application on several addresses.

The application gets no lifespan events: who calls ``serve_http`` starts and
stops what the application needs.
"""

from collections.abc import Collection
from functools import partial
from typing import Any

import hypercorn
import trio
from hypercorn.app_wrappers import ASGIWrapper
from hypercorn.trio.worker_context import WorkerContext

from tarragonlb.server.boundary import Boundary
from tarragonlb.server.connection import (
    Connection,
    Endpoint,
    Service,
    Transport,
)
from tarragonlb.server.listener import Listener
from tarragonlb.server.meter import CONNECTION_METER, ConnectionEvent
from tarragonlb.server.room import ServerRoom
from tarragonlb.server.settings import ServerSettings

# Refused connections that may be open at once, beyond those that are served.
MAX_REFUSALS = 16
REFUSAL = (
    b'HTTP/1.1 503 Service Unavailable\r\n'
    b'retry-after: 1\r\nconnection: close\r\ncontent-length: 0\r\n\r\n'
)


async def serve_http(
    application: Any,
    addresses: Collection[str],
    settings: ServerSettings,
    stopped: trio.Event,
) -> None:
    """Serve on the addresses (``ip:port``) until ``stopped`` is set.

    Requests in progress may then take ``stop_seconds``.  No connection and no
    address makes this raise; an address that is taken is tried again.
    """
    config = hypercorn.Config()
    config.accesslog = None
    config.errorlog = None
    service = Service(
        application=ASGIWrapper(application),
        settings=settings,
        config=config,
        context=WorkerContext(None),
        lingering=trio.Semaphore(settings.max_lingering),
    )
    unique = sorted(set(addresses))
    async with trio.open_nursery() as connections:
        gate = Gate(service, ServerRoom(settings, unique), connections)
        async with trio.open_nursery() as listeners:
            for address in unique:
                listener = Listener(
                    address,
                    settings,
                    partial(gate.admit, address),
                    gate.free_descriptor,
                )
                listeners.start_soon(listener.run)
            await stopped.wait()
            listeners.cancel_scope.cancel()
        await gate.close()
        connections.cancel_scope.deadline = (
            trio.current_time() + settings.stop_seconds
        )


class Gate:
    """Starts a task for each connection there is room for."""

    __slots__ = ('_nursery', '_refusals', '_room', '_service')

    def __init__(
        self, service: Service, room: ServerRoom, nursery: trio.Nursery
    ) -> None:
        """Run connections in ``nursery``."""
        self._service = service
        self._room = room
        self._nursery = nursery
        self._refusals = 0

    def admit(
        self, address: str, socket: trio.socket.SocketType, client: Endpoint
    ) -> None:
        """Serve a connection, in place of an idle one if there are too many."""
        room = self._room.by_address[address]
        if not self._room.has_room(address):
            if not room.evict():
                self._refuse(socket)
                return
            CONNECTION_METER.count(ConnectionEvent.EVICTED)
        host, _, port = address.rpartition(':')
        connection = Connection(
            trio.SocketStream(socket),
            self._service,
            room,
            (client[0], client[1]),
            (host, int(port)),
        )
        self._nursery.start_soon(connection.run)
        room.add(connection)
        CONNECTION_METER.count(ConnectionEvent.OPENED)

    def free_descriptor(self) -> None:
        """Close a connection without a request, if there is one."""
        if self._room.evict():
            CONNECTION_METER.count(ConnectionEvent.EVICTED)

    async def close(self) -> None:
        """Close all connections as soon as they have no request."""
        await self._service.context.terminated.set()
        self._room.close_idle()

    def _refuse(self, socket: trio.socket.SocketType) -> None:
        CONNECTION_METER.count(ConnectionEvent.REFUSED)
        if self._refusals >= MAX_REFUSALS:
            socket.close()
            return
        self._refusals += 1
        self._nursery.start_soon(self._send_refusal, socket)

    async def _send_refusal(self, socket: trio.socket.SocketType) -> None:
        settings = self._service.settings
        try:
            with Boundary('refused'):
                stream = trio.SocketStream(socket)
                transport = Transport(stream, settings.linger_seconds)
                await transport.write(REFUSAL)
                await transport.end(settings.linger_seconds)
        finally:
            self._refusals -= 1
            socket.close()

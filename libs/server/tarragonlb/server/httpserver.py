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
)
from tarragonlb.server.listener import Listener
from tarragonlb.server.meter import CONNECTION_METER, ConnectionEvent
from tarragonlb.server.room import ServerRoom
from tarragonlb.server.settings import ServerSettings
from tarragonlb.server.stop import ServerStop, Stage
from tarragonlb.server.stopanswers import StopAnswers
from tarragonlb.server.transport import Transport

# Refused connections that may be open at once, beyond those that are served.
MAX_REFUSALS = 16
# Turns of the event loop in which each stage of a stop can take effect, and the
# time that they may take.
STAGE_TURNS = 50
STAGE_SECONDS = 0.1
REFUSAL = (
    b'HTTP/1.1 503 Service Unavailable\r\n'
    b'retry-after: 1\r\nconnection: close\r\ncontent-length: 0\r\n\r\n'
)


async def serve_http(
    application: Any,
    addresses: Collection[str],
    settings: ServerSettings,
    stop: ServerStop,
) -> None:
    """Serve on the addresses (``ip:port``) until the end of a stop.

    Whatever has been read by then is answered, unless its client does not read
    its answers.  No connection and no address makes this raise; an address that
    is taken is tried again.
    """
    unique = sorted(set(addresses))
    room = ServerRoom(settings, unique)
    service = build_service(application, settings, stop)
    async with trio.open_nursery() as connections:
        gate = Gate(service, room, connections)
        async with trio.open_nursery() as listeners:
            for address in unique:
                listener = Listener(
                    address,
                    settings,
                    partial(gate.admit, address),
                    gate.free_descriptor,
                )
                listeners.start_soon(listener.run)
            await pass_stages(stop, settings, room)
            listeners.cancel_scope.cancel()
        for connection in room.list_open():
            connection.finish()
        await give_turns()
        connections.cancel_scope.deadline = await stop.wait()
    service.stop_answers.flush()


def build_service(
    application: Any, settings: ServerSettings, stop: ServerStop
) -> Service:
    """Return what all connections of a server share."""
    config = hypercorn.Config()
    config.accesslog = None
    config.errorlog = None
    return Service(
        application=ASGIWrapper(application),
        settings=settings,
        config=config,
        context=WorkerContext(None),
        stop=stop,
        stop_answers=StopAnswers(settings),
        lingering=trio.Semaphore(settings.max_lingering),
    )


async def give_turns() -> None:
    """Let all other tasks run, also if the event loop is late for a stage."""
    with trio.move_on_after(STAGE_SECONDS):
        for _ in range(STAGE_TURNS):
            await trio.lowlevel.checkpoint()


async def pass_stages(
    stop: ServerStop, settings: ServerSettings, room: ServerRoom
) -> None:
    """Go through the stages of a stop until its connections are to close.

    The stages are shorter if less than twice the time of rejecting is left.
    """
    left = max(await stop.wait() - trio.current_time(), 0)
    share = min(left / (2 * settings.reject_seconds), 1)
    await stop.wait_before_end(share * settings.reject_seconds)
    stop.stage = Stage.REJECTING
    await give_turns()
    await stop.wait_before_end(share * settings.conclude_seconds)
    stop.stage = Stage.CONCLUDING
    for connection in room.list_open():
        connection.conclude()
    await give_turns()
    await stop.wait_before_end(share * settings.close_seconds)
    # Closing the listeners would reset the connections that wait there.
    await give_turns()


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

"""One connection of a client: its bytes, its time limits and its end.

A task reads and feeds the protocol, which starts the application for each
request in a task beside it; both write.  Whatever ends one of them ends the
connection and nothing else.
"""

import math
from dataclasses import dataclass
from typing import Any, TypeAlias

import hypercorn
import trio
from hypercorn.events import Closed, Event, RawData, Updated
from hypercorn.trio.worker_context import WorkerContext
from hypercorn.typing import AppWrapper, ConnectionState

from tarragonlb.server.boundary import Boundary
from tarragonlb.server.exchange import RequestTasks
from tarragonlb.server.meter import CONNECTION_METER, ConnectionEvent
from tarragonlb.server.protocol import HttpProtocol, LastData
from tarragonlb.server.room import AddressRoom
from tarragonlb.server.settings import ServerSettings
from tarragonlb.server.stop import ServerStop
from tarragonlb.server.stopanswers import StopAnswers
from tarragonlb.server.transport import GONE_ERRORS, Transport

STATUS_REQUEST_TIMEOUT = 408
STATUS_UNAVAILABLE = 503
# At the end of the server, for bytes that have arrived already.
LAST_READ_SECONDS = 0.02

Endpoint: TypeAlias = tuple[str, int]


@dataclass(frozen=True, slots=True, kw_only=True)
class Service:
    """What all connections of a server share."""

    application: AppWrapper
    settings: ServerSettings
    config: hypercorn.Config
    context: WorkerContext
    stop: ServerStop
    stop_answers: StopAnswers
    # Places for connections that wait for their clients to read a refusal.
    lingering: trio.Semaphore


class Connection:
    """Serves the requests of one connection."""

    __slots__ = (
        '_client',
        '_eviction',
        '_idle_since',
        '_is_closing',
        '_is_ended_by_client',
        '_is_finishing',
        '_is_last_look',
        '_limit',
        '_protocol',
        '_received_bytes',
        '_request_since',
        '_room',
        '_server',
        '_service',
        '_tasks',
        '_transport',
    )

    def __init__(
        self,
        stream: trio.abc.HalfCloseableStream,
        service: Service,
        room: AddressRoom,
        client: Endpoint,
        server: Endpoint,
    ) -> None:
        """Serve a client that has connected to ``server``."""
        self._service = service
        self._room = room
        self._client = client
        self._server = server
        self._transport = Transport(stream, service.settings.write_seconds)
        # Ends the wait for bytes of the client.
        self._limit = trio.CancelScope()
        # Ends all that the connection does without a request in progress.
        self._eviction = trio.CancelScope()
        self._idle_since = trio.current_time()
        # When the first byte of a request came, None before.
        self._request_since: float | None = None
        self._received_bytes = 0
        self._is_closing = False
        self._protocol: HttpProtocol | None = None
        self._is_ended_by_client = False
        self._is_finishing = False
        self._is_last_look = False
        self._tasks: RequestTasks | None = None

    async def run(self) -> None:
        """Serve until the connection ends; only cancellation passes."""
        boundary = Boundary(self._client[0])
        with boundary:
            try:
                async with trio.open_nursery() as nursery:
                    await self._serve(nursery)
            finally:
                await self._end()
        if boundary.has_failed:
            CONNECTION_METER.count(ConnectionEvent.FAILED)

    def close(self) -> None:
        """Begin no further request, and stop reading."""
        self._is_closing = True
        if self._protocol is not None:
            self._protocol.is_closing = True
        self._limit.cancel()

    def has_unread(self) -> bool:
        """Return whether bytes of the client, or its end, wait to be read."""
        return self._transport.has_unread()

    def evict(self) -> None:
        """Close without waiting for the client."""
        self._eviction.cancel()
        self.close()

    def conclude(self) -> None:
        """Answer the request in progress, whether it is done or not."""
        if self._tasks is not None:
            self._tasks.conclude()

    def finish(self) -> None:
        """Answer what has been sent, and close."""
        self._is_finishing = True
        self._limit.cancel()

    async def _serve(self, nursery: trio.Nursery) -> None:
        self._tasks = RequestTasks(
            nursery,
            self._client[0],
            self._service.settings,
            self._service.stop_answers,
        )
        # Types of hypercorn's tasks say more than its protocol calls.
        tasks: Any = self._tasks
        protocol = HttpProtocol(
            self._service.application,
            self._service.config,
            self._service.context,
            tasks,
            ConnectionState({}),
            ssl=False,
            client=self._client,
            server=self._server,
            send=self._handle,
            stop=self._service.stop,
            stop_answers=self._service.stop_answers,
            has_unread=self._transport.has_unread,
        )
        self._protocol = protocol
        with self._eviction:
            await self._read(protocol)
            if protocol.is_malformed:
                CONNECTION_METER.count(ConnectionEvent.MALFORMED)
            if self._is_ended_by_client and not self._is_closing:
                # It may have closed only its side and read the response.
                tasks.end_request()
                return
            may_send = (
                protocol.may_receive_more
                or protocol.has_announced_end
                or self._is_finishing
            )
            if may_send and not self._is_ended_by_client:
                await self._linger(protocol)
        await trio.aclose_forcefully(self._transport.stream)
        await protocol.handle(Closed())

    async def _linger(self, protocol: HttpProtocol) -> None:
        lingering = self._service.lingering
        try:
            lingering.acquire_nowait()
        except trio.WouldBlock:
            return
        try:
            protocol.release_parser()
            await self._transport.end(self._service.settings.linger_seconds)
        finally:
            lingering.release()

    async def _end(self) -> None:
        self._room.remove(self)
        # Without reference cycles, memory is free before a collection.
        if self._protocol is not None:
            self._protocol.release()
        self._protocol = None
        self._tasks = None
        await trio.aclose_forcefully(self._transport.stream)

    async def _read(self, protocol: HttpProtocol) -> None:
        while not (self._is_closing or self._is_ended_by_client):
            # Nothing that was received is kept while the next is awaited.
            await self._read_part(protocol)

    async def _read_part(self, protocol: HttpProtocol) -> None:
        deadline = self._choose_deadline(protocol)
        if self._is_last_look:
            # A scope whose deadline has passed would not let it read.
            deadline = max(deadline, trio.current_time() + LAST_READ_SECONDS)
            self._is_last_look = False
        self._limit = trio.CancelScope(deadline=deadline)
        with self._limit:
            try:
                received = await self._transport.receive()
            except GONE_ERRORS:
                self._transport.is_broken = True
                self._is_closing = True
                return
        if self._limit.cancelled_caught:
            await self._handle_limit(protocol)
            return
        await self._receive(protocol, received)

    async def _receive(self, protocol: HttpProtocol, received: bytes) -> None:
        if self._request_since is None:
            self._request_since = trio.current_time()
        self._received_bytes += len(received)
        if not received:
            self._is_ended_by_client = True
        await protocol.handle(RawData(received))

    async def _handle_limit(self, protocol: HttpProtocol) -> None:
        if self._is_closing:
            return
        if self._transport.has_unread():
            # What has arrived in time is read, however late this runs.
            self._is_last_look = True
            return
        if protocol.is_receiving:
            await self._refuse(protocol)
        self._is_closing = self._is_closing or protocol.is_waiting

    async def _refuse(self, protocol: HttpProtocol) -> None:
        """Refuse a request whose end has not arrived in time."""
        status = STATUS_UNAVAILABLE
        if not self._is_finishing:
            status = STATUS_REQUEST_TIMEOUT
            CONNECTION_METER.count(ConnectionEvent.SLOW_REQUEST)
        await protocol.refuse(status)
        self._is_closing = True

    async def _handle(self, event: Event) -> None:
        """Carry out what the protocol wants."""
        if isinstance(event, LastData):
            await self._transport.write_last(event.data)
        elif isinstance(event, RawData):
            await self._transport.write(event.data)
            if self._transport.is_broken:
                self.close()
        elif isinstance(event, Closed):
            self.close()
        elif isinstance(event, Updated):
            self._update(is_idle=event.idle)

    def _update(self, *, is_idle: bool) -> None:
        if self._is_closing or not is_idle:
            self._room.mark_busy(self)
            return
        if self._protocol is not None and self._protocol.is_waiting:
            self._room.mark_idle(self)
        self._request_since = None
        self._received_bytes = 0
        self._idle_since = trio.current_time()
        self._limit.deadline = (
            self._idle_since + self._service.settings.idle_seconds
        )

    def _choose_deadline(self, protocol: HttpProtocol) -> float:
        settings = self._service.settings
        if self._is_finishing and (
            protocol.is_waiting or protocol.is_receiving
        ):
            return trio.current_time() + LAST_READ_SECONDS
        if protocol.is_waiting:
            return self._idle_since + settings.idle_seconds
        if not protocol.is_receiving:
            return math.inf
        since = self._request_since
        if since is None:
            # The head came in one piece with the end of the request before.
            since = self._idle_since
        earned = self._received_bytes / settings.min_body_bytes_per_second
        return since + settings.request_seconds + earned

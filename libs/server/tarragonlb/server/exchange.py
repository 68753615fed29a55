"""Runs the application for the requests of one connection.

The application takes the parts of a request from a queue.  A part waits until
the queue has room, which slows the client down; that the client has gone never
waits, and parts that nobody will take are dropped.
"""

from collections import deque
from collections.abc import Awaitable, Callable
from functools import partial
from typing import Any, TypeAlias

import trio

from tarragonlb.server.boundary import Boundary
from tarragonlb.server.meter import CONNECTION_METER, ConnectionEvent
from tarragonlb.server.settings import ServerSettings
from tarragonlb.server.stopanswers import StopAnswers
from tarragonlb.telemetry.log import Log

LOG = Log('server')
MAX_QUEUED_PARTS = 10
DISCONNECT = 'http.disconnect'
RESPONSE_START = 'http.response.start'

Message: TypeAlias = dict[str, Any]
Send: TypeAlias = Callable[[Any], Awaitable[None]]


class RequestParts:
    """The messages of one request that the application has yet to take."""

    __slots__ = (
        '_changed',
        '_is_over',
        '_messages',
        'completed_at',
        'is_awaited',
    )

    def __init__(self) -> None:
        """Start without messages."""
        self._messages: deque[Message] = deque()
        self._changed = trio.lowlevel.ParkingLot()
        self._is_over = False
        # When the whole request had arrived, None before.
        self.completed_at: float | None = None
        # Whether the application waits for the rest of the request, or was
        # cancelled while it did.
        self.is_awaited = False

    def end(self) -> None:
        """Tell the application after the last message that nothing follows."""
        self._is_over = True
        self._changed.unpark_all()

    async def put(self, message: Any) -> None:
        """Add a message as soon as there is room."""
        if message['type'] == DISCONNECT:
            self.end()
            return
        if not message.get('more_body'):
            self.completed_at = trio.current_time()
        while len(self._messages) >= MAX_QUEUED_PARTS and not self._is_over:
            await self._changed.park()
        if not self._is_over:
            self._messages.append(message)
            self._changed.unpark_all()

    async def receive(self) -> Message:
        """Return the next message, in the end ``http.disconnect``."""
        while not self._messages:
            if self._is_over:
                await trio.lowlevel.checkpoint()
                return {'type': DISCONNECT}
            self.is_awaited = True
            await self._changed.park()
            self.is_awaited = False
        self._changed.unpark_all()
        return self._messages.popleft()


class RequestTasks:
    """Starts the application for each request, as hypercorn asks for it."""

    __slots__ = (
        '_client',
        '_nursery',
        '_parts',
        '_response',
        '_settings',
        '_stop_answers',
        '_unanswered',
    )

    def __init__(
        self,
        nursery: trio.Nursery,
        client: str,
        settings: ServerSettings,
        stop_answers: StopAnswers,
    ) -> None:
        """Run requests in ``nursery``."""
        self._nursery = nursery
        self._client = client
        self._settings = settings
        self._stop_answers = stop_answers
        self._parts: RequestParts | None = None
        # Ends the application's work on the request in progress.
        self._unanswered = trio.CancelScope()
        self._response: HeldResponse | None = None

    def end_request(self) -> None:
        """Tell the application that the client has gone."""
        if self._parts is not None:
            self._parts.end()

    def conclude(self) -> None:
        """Let no request wait longer for a response of the application."""
        if self._response is None or not self._response.has_left:
            self._unanswered.cancel()

    async def spawn_app(
        self, app: Any, config: Any, scope: Any, send: Send
    ) -> Callable[[Any], Awaitable[None]]:
        """Start the application; return the function that passes messages."""
        self._parts = RequestParts()
        self._unanswered = trio.CancelScope()
        self._response = None
        self._nursery.start_soon(
            self._serve_request, app, scope, self._parts, send
        )
        return self._parts.put

    def spawn(self, function: Callable[..., Any], *arguments: Any) -> None:
        """Start a task of the connection."""
        self._nursery.start_soon(function, *arguments)

    async def _serve_request(
        self, app: Any, scope: Any, parts: RequestParts, send: Send
    ) -> None:
        is_answered = False
        try:
            await self._run_application(app, scope, parts, send)
            is_answered = True
        finally:
            # It refers to the connection, which would stay in memory.
            self._response = None
            if not (is_answered or parts.completed_at is None):
                _note_unanswered(scope, parts.completed_at)

    async def _run_application(
        self, app: Any, scope: Any, parts: RequestParts, send: Send
    ) -> None:
        response = HeldResponse(send)
        self._response = response
        with self._unanswered as unanswered, Boundary(self._client):
            await app(
                scope,
                parts.receive,
                partial(response.send, unanswered),
                trio.to_thread.run_sync,
                trio.from_thread.run,
            )
        parts.end()
        if unanswered.cancelled_caught:
            has_begun = not (
                parts.is_awaited and self._settings.needs_whole_requests
            )
            await self._stop_answers.conclude(scope, send, has_begun=has_begun)
        else:
            await response.finish()
        # Answers 500 unless the application has begun a response.
        await send(None)


class HeldResponse:
    """A response of the application, of which nothing leaves too early.

    Its head waits for the first part of its body.  Once the request is to be
    concluded, the rest waits for the end of the application: a cancellation in
    the middle of a write would leave half a response.
    """

    __slots__ = ('_held', '_send', 'has_left')

    def __init__(self, send: Send) -> None:
        """Pass messages on to ``send``."""
        self._send = send
        self._held: list[Any] = []
        self.has_left = False

    async def send(self, unanswered: trio.CancelScope, message: Any) -> None:
        """Take a message of the application."""
        self._held.append(message)
        is_early = message['type'] == RESPONSE_START
        if not (is_early or unanswered.cancel_called):
            await self.release()

    async def finish(self) -> None:
        """Pass on what was held back, but no head without a body."""
        if self.has_left or len(self._held) > 1:
            await self.release()

    async def release(self) -> None:
        """Pass on what was held back."""
        held, self._held = self._held, []
        for message in held:
            self.has_left = True
            await self._send(message)


def _note_unanswered(scope: Any, completed_at: float) -> None:
    """Log a whole request whose connection ends before its response."""
    CONNECTION_METER.count(ConnectionEvent.UNANSWERED)
    LOG.emit(
        'A request ends without an answer.',
        method=scope['method'],
        path=scope['path'],
        waited_seconds=round(trio.current_time() - completed_at, 3),
    )

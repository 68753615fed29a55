"""HTTP/1.1 as hypercorn parses it, without other protocols on its port."""

from collections.abc import Callable
from typing import Any, TypeGuard

import h11
from hypercorn.events import Closed, RawData
from hypercorn.protocol.events import (
    Event,
    Request,
    Response,
    StreamClosed,
)
from hypercorn.protocol.h11 import STREAM_ID, H11Protocol
from hypercorn.protocol.http_stream import HTTPStream

from tarragonlb.server.stop import ServerStop, Stage
from tarragonlb.server.stopanswers import StopAnswers

CONNECTION_HEADER = b'connection'
# Of a last response, beyond which its parts leave one by one.
MAX_HELD_BYTES = 65_536
FIRST_FINAL_STATUS = 200
STATUS_NOT_IMPLEMENTED = 501
STATUS_VERSION_NOT_SUPPORTED = 505
ANSWERABLE = frozenset((h11.IDLE, h11.SEND_RESPONSE))
# Takes the place of the parsers of connections that have ended.
ENDED_PARSER = h11.Connection(h11.SERVER)
ENDED_PARSER.send_failed()


class LastData(RawData):
    """The end of the last response of a connection."""


class RequestParser(h11.Connection):
    """A parser whose errors don't keep it in memory.

    What follows the last request of a connection is no error.
    """

    def receive_data(self, data: bytes) -> None:
        """Take bytes of the client, after its last request the first only."""
        if self.their_state is h11.MUST_CLOSE and self.trailing_data[0]:
            return
        super().receive_data(data)

    def next_event(self) -> Any:
        """Return the next part of a request."""
        if self.their_state is h11.MUST_CLOSE:
            return h11.NEED_DATA
        try:
            return super().next_event()
        except h11.RemoteProtocolError as error:
            # A frame of h11 in the trace refers to the error: a cycle.
            error.with_traceback(None)
            raise


class HttpProtocol(H11Protocol):
    """The protocol of one connection.

    An upgrade that a client asks for is ignored, as HTTP/1.1 allows; other
    versions and tunnels are refused.  The head of a response leaves together
    with the beginning of its body, and says if it is the last response: that
    is so only if nothing behind its request has arrived.
    """

    def __init__(
        self,
        *arguments: Any,
        stop: ServerStop,
        stop_answers: StopAnswers,
        has_unread: Callable[[], bool],
        **options: Any,
    ) -> None:
        """Take what hypercorn's protocol takes, and how the server stops.

        ``has_unread`` returns whether bytes wait that were not passed on yet.
        """
        super().__init__(*arguments, **options)
        self._stop = stop
        self._stop_answers = stop_answers
        self._has_unread = has_unread
        self.connection = RequestParser(
            h11.SERVER, self.config.h11_max_incomplete_size
        )
        # Set once no further request may begin on the connection.
        self.is_closing = False
        # Set once a response was said to be the last, though the client had
        # not asked for the end of the connection.
        self.has_announced_end = False
        # Encoded parts of a response that have not left yet.
        self._held = b''
        # Set once nothing of the application may reach the client.
        self._is_output_ended = False

    @property
    def is_waiting(self) -> bool:
        """Whether nothing of the next request has arrived."""
        return self.connection.their_state is h11.IDLE and not self._has_bytes

    @property
    def is_receiving(self) -> bool:
        """Whether a part of a request has arrived, and a part has not."""
        state = self.connection.their_state
        return state is h11.SEND_BODY or (state is h11.IDLE and self._has_bytes)

    @property
    def is_malformed(self) -> bool:
        """Whether the client sent something other than HTTP/1.1."""
        return self.connection.their_state is h11.ERROR

    @property
    def may_receive_more(self) -> bool:
        """Whether the client may still be sending a request."""
        if self.connection.their_state is h11.MUST_CLOSE:
            return self._has_bytes
        return self.is_malformed or self.is_receiving

    async def refuse(self, status: int) -> None:
        """Answer a request with an error, if possible, and close."""
        self.is_closing = True
        if self.connection.our_state in ANSWERABLE:
            await self._send_error_response(status)
        await self.send(Closed())

    def release_parser(self) -> None:
        """Free what the parser has buffered; nothing is sent any more."""
        self._is_output_ended = True
        self.connection = ENDED_PARSER

    def release(self) -> None:
        """Let go of the connection and of the request after the end."""
        self.release_parser()
        self.stream = None
        self.send = _drop
        self._has_unread = _has_nothing

    async def stream_send(self, event: Event) -> None:
        """Pass an event of a response to the client."""
        if self._is_output_ended and not isinstance(event, StreamClosed):
            return
        if _is_final(event):
            # An error of the application is no reason to drop what follows.
            headers = [
                header
                for header in event.headers
                if header[0] != CONNECTION_HEADER
            ]
            headers.extend(self.config.response_headers('h11'))
            if self._is_last_response():
                self.has_announced_end = True
                headers.append((CONNECTION_HEADER, b'close'))
            await self._send_h11_event(
                h11.Response(headers=headers, status_code=event.status_code)
            )
        else:
            await super().stream_send(event)

    async def _send_error_response(self, status_code: int) -> None:
        self._is_output_ended = True
        await super()._send_error_response(status_code)

    async def _send_h11_event(self, event: Any) -> None:
        try:
            encoded: bytes = self.connection.send(event)
        except h11.LocalProtocolError:
            if self.connection.their_state is not h11.ERROR:
                raise
            return
        self._held += encoded
        if isinstance(event, h11.Response):
            return
        is_end = isinstance(event, h11.EndOfMessage)
        # The last response leaves together with the end of the connection.
        is_last = self.has_announced_end and len(self._held) <= MAX_HELD_BYTES
        if is_last and not is_end:
            return
        held, self._held = self._held, b''
        if is_last:
            await self.send(LastData(held))
        elif held:
            await self.send(RawData(held))

    async def _check_protocol(self, event: h11.Request) -> None:
        """Accept all requests; ``_create_stream`` refuses some."""

    async def _create_stream(self, request: h11.Request) -> None:
        # Without a stream, the events that belong to the request are dropped.
        if self.is_closing:
            return
        if not request.http_version.startswith(b'1.'):
            await self.refuse(STATUS_VERSION_NOT_SUPPORTED)
            return
        if request.method == b'CONNECT':
            await self.refuse(STATUS_NOT_IMPLEMENTED)
            return
        application: Any = self.app
        if self._stop.stage >= Stage.REJECTING:
            application = self._stop_answers.reject
        self.stream = HTTPStream(
            application,
            self.config,
            self.context,
            self.task_group,
            self.ssl,
            self.client,
            self.server,
            self.stream_send,
            STREAM_ID,
        )
        await self.stream.handle(
            Request(
                stream_id=STREAM_ID,
                headers=list(request.headers),
                http_version=request.http_version.decode(),
                method=request.method.decode('ascii').upper(),
                raw_path=request.target,
                state=self.connection_state,
            )
        )
        self.keep_alive_requests += 1

    def _is_last_response(self) -> bool:
        if self.connection.their_state is h11.SEND_BODY:
            # What follows the rest of the body would be hard to tell from it.
            return True
        may_end = (
            self._stop.stage >= Stage.ANNOUNCING
            or self.keep_alive_requests >= self.config.keep_alive_max_requests
        )
        return may_end and not (self._has_bytes or self._has_unread())

    @property
    def _has_bytes(self) -> bool:
        return bool(self.connection.trailing_data[0])


async def _drop(event: Any) -> None:
    """Take the place of ``send`` after the end."""


def _has_nothing() -> bool:
    """Take the place of ``has_unread`` after the end."""
    return False


def _is_final(event: Event) -> TypeGuard[Response]:
    return (
        isinstance(event, Response) and event.status_code >= FIRST_FINAL_STATUS
    )

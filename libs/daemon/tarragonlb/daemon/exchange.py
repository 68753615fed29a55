"""One request and its response, between a caller and an endpoint.

The request body is streamed.  A small body is also buffered, so that it can be
sent again on a retry; a large body is not.
"""

from collections.abc import AsyncIterator, Awaitable, Callable
from typing import Any, TypeAlias

import httpcore
import trio

from tarragonlb.model.errors import RefusedError, TarragonError
from tarragonlb.model.verdict import Verdict
from tarragonlb.routing.request import RequestInfo

Receive: TypeAlias = Callable[[], Awaitable[Any]]
Send: TypeAlias = Callable[[Any], Awaitable[None]]
Headers: TypeAlias = list[tuple[bytes, bytes]]

STATUS_TOO_LARGE = 413
MAX_REPLAYABLE_BYTES = 64 * 1024
VERDICT_HEADER = b'tarragon-verdict'
LIST_AGE_HEADER = b'tarragon-list-age'
_NOT_FORWARDED_HEADERS = frozenset(
    (
        b'authorization',
        b'connection',
        b'expect',
        b'host',
        b'keep-alive',
        b'proxy-connection',
        b'tarragon-timeout',
        b'te',
        b'trailer',
        b'transfer-encoding',
        b'upgrade',
        VERDICT_HEADER,
    )
)


class ResponseCutError(TarragonError):
    """A response ended early and the caller has received a part of it.

    The HTTP server then closes the connection without terminating the
    response, so that the caller can't mistake the part for the whole.
    """


class CallerDisconnectedError(TarragonError):
    """The caller closed its connection before its request was complete."""


class Exchange:
    """A request and its response as they pass through the daemon.

    ``started`` is true once the first byte of the response may have been sent
    to the caller, ``finished`` once the last byte may have been.
    ``replayable`` is true while the request body can be sent again.
    """

    __slots__ = (
        '_body_read',
        '_chunks',
        '_content_length',
        '_max_body_bytes',
        '_receive',
        '_received_bytes',
        '_send',
        'finished',
        'info',
        'list_age',
        'method',
        'replayable',
        'request_headers',
        'started',
        'target',
    )

    def __init__(
        self,
        info: RequestInfo,
        scope: Any,
        receive: Receive,
        send: Send,
        max_body: int,
    ) -> None:
        """Wrap an ASGI request; ``max_body`` is in bytes."""
        self.info = info
        self.method: bytes = scope['method'].encode()
        query: bytes = scope['query_string']
        path: bytes = scope['raw_path']
        self.target = b'?'.join((path, query)) if query else path
        self.request_headers = make_request_headers(scope['headers'])
        self.replayable = True
        self.started = False
        self.finished = False
        self.list_age: float | None = None
        self._body_read = trio.Event()
        self._content_length = _read_content_length(scope['headers'])
        self._chunks: list[bytes] = []
        self._received_bytes = 0
        self._max_body_bytes = max_body
        self._receive = receive
        self._send = send

    async def open_body(self) -> None:
        """Read the first chunk of the body; raise if the body is too large."""
        if self._content_length > self._max_body_bytes:
            raise self._make_size_error(Verdict.NOT_RUN)
        self._chunks = [await self._receive_chunk(Verdict.NOT_RUN)]

    async def read_body(self) -> AsyncIterator[bytes]:
        """Yield the body of the request; raise if it is too large.

        Each call begins at the first chunk while the request is replayable.
        """
        index = 0
        while True:
            for chunk in self._chunks[index:]:
                index += 1
                yield chunk
            if self._body_read.is_set():
                return
            chunk = await self._receive_chunk(Verdict.MAY_HAVE_RUN)
            if not self.replayable:
                index = 0
                yield chunk

    async def wait_for_disconnect(self) -> None:
        """Return when the caller closes its connection before the end.

        While the caller still sends its body, ``read_body`` detects this.
        """
        await self._body_read.wait()
        while True:
            event = await self._receive()
            if event['type'] == 'http.disconnect':
                break
        if self.finished:
            await trio.sleep_forever()

    def raise_if_started(self, reason: str) -> None:
        """Raise ``ResponseCutError`` if a part of the response was sent."""
        if self.started:
            raise ResponseCutError(reason)

    async def send_response(self, response: httpcore.Response) -> None:
        """Forward the response of an endpoint to the caller.

        The end of the response is sent only after the endpoint has terminated
        it properly.
        """
        headers = select_forwarded_headers(response.headers)
        headers.append((VERDICT_HEADER, Verdict.RAN.encode()))
        headers.append((b'tarragon-request', self.info.request_id.encode()))
        headers.extend(make_list_age_headers(self.list_age))
        self.started = True
        # The server can't end a response whose start was interrupted, and would
        # end itself.
        with trio.CancelScope(shield=True):
            await self._send(
                {
                    'type': 'http.response.start',
                    'status': response.status,
                    'headers': headers,
                }
            )
        async for chunk in response.aiter_stream():
            await self._send(
                {
                    'type': 'http.response.body',
                    'body': chunk,
                    'more_body': True,
                }
            )
        self.finished = True
        await self._send({'type': 'http.response.body', 'body': b''})

    async def _receive_chunk(self, verdict: Verdict) -> bytes:
        event = await self._receive()
        if event['type'] == 'http.disconnect':
            raise CallerDisconnectedError(
                'the caller disconnected before its request was complete'
            )
        chunk: bytes = event.get('body', b'')
        self._received_bytes += len(chunk)
        if self._received_bytes > self._max_body_bytes:
            raise self._make_size_error(verdict)
        if not event.get('more_body', False):
            self._body_read.set()
        self._buffer_chunk(chunk)
        return chunk

    def _buffer_chunk(self, chunk: bytes) -> None:
        if self._received_bytes > MAX_REPLAYABLE_BYTES:
            self.replayable = False
            self._chunks.clear()
        elif chunk:
            self._chunks.append(chunk)

    def _make_size_error(self, verdict: Verdict) -> RefusedError:
        return RefusedError(
            f'the body is larger than {self._max_body_bytes} bytes',
            verdict=verdict,
            status=STATUS_TOO_LARGE,
        )


def make_list_age_headers(age: float | None) -> Headers:
    """Return the header with the age of a stale VM list, if any."""
    if age is None:
        return []
    return [(LIST_AGE_HEADER, f'{age:.0f}'.encode())]


def select_forwarded_headers(headers: Headers) -> Headers:
    """Drop hop-by-hop headers and those that only the gateway reads."""
    return [
        (name, text)
        for name, text in headers
        if name.lower() not in _NOT_FORWARDED_HEADERS
    ]


def make_request_headers(headers: Headers) -> Headers:
    """Return the headers to send with a request to an endpoint."""
    kept = select_forwarded_headers(headers)
    if any(name.lower() == b'transfer-encoding' for name, _ in headers):
        kept.append((b'transfer-encoding', b'chunked'))
    return kept


def _read_content_length(headers: Headers) -> int:
    for name, text in headers:
        if name.lower() == b'content-length' and text.isdigit():
            return int(text)
    return 0

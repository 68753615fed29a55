"""One request and its answer, between a caller and an endpoint.

The body is passed on as it arrives.  What has arrived of a small one is kept,
so that it can be sent a second time; of a large one nothing is kept.
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
MAX_REPLAYED_BYTES = 64 * 1024
VERDICT_HEADER = b'tarragon-verdict'
LIST_AGE_HEADER = b'tarragon-list-age'
_HOP_HEADERS = frozenset(
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


class AnswerCutError(TarragonError):
    """An answer ended before it was whole, and the caller has a part of it.

    The HTTP server then closes the connection without ending the answer
    properly, so that the caller can't take the part for the whole.
    """


class CallerGoneError(TarragonError):
    """The caller has closed its connection and waits for no answer."""


class Exchange:
    """A request on its way through the daemon.

    ``started`` says whether the first byte of an answer may have gone to the
    caller, ``finished`` whether the last one may have.  ``replayable`` says
    whether the body can be sent again.
    """

    __slots__ = (
        '_body_read',
        '_declared_size',
        '_max_body',
        '_pieces',
        '_receive',
        '_send',
        '_size',
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
        """Take over a request of an HTTP server."""
        self.info = info
        self.method: bytes = scope['method'].encode()
        query: bytes = scope['query_string']
        path: bytes = scope['raw_path']
        self.target = b'?'.join((path, query)) if query else path
        self.request_headers = list_request_headers(scope['headers'])
        self.replayable = True
        self.started = False
        self.finished = False
        self.list_age: float | None = None
        self._body_read = trio.Event()
        self._declared_size = _find_size(scope['headers'])
        self._pieces: list[bytes] = []
        self._size = 0
        self._max_body = max_body
        self._receive = receive
        self._send = send

    async def open_body(self) -> None:
        """Read the first piece of the body; refuse one that is too large."""
        if self._declared_size > self._max_body:
            raise self._refuse_size(Verdict.NOT_RUN)
        self._pieces = [await self._take_piece(Verdict.NOT_RUN)]

    async def read_body(self) -> AsyncIterator[bytes]:
        """Yield the body of the request; refuse one that is too large.

        Each call begins with the first piece, while the request is replayable.
        """
        index = 0
        while True:
            for piece in self._pieces[index:]:
                index += 1
                yield piece
            if self._body_read.is_set():
                return
            piece = await self._take_piece(Verdict.MAY_HAVE_RUN)
            if not self.replayable:
                index = 0
                yield piece

    async def wait_until_gone(self) -> None:
        """Return when the caller has closed its connection early.

        A caller that is still sending its body is watched by ``read_body``.
        """
        await self._body_read.wait()
        while True:
            event = await self._receive()
            if event['type'] == 'http.disconnect':
                break
        if self.finished:
            await trio.sleep_forever()

    def check_uncut(self, reason: str) -> None:
        """Raise ``AnswerCutError`` if the caller has a part of an answer."""
        if self.started:
            raise AnswerCutError(reason)

    async def answer(self, response: httpcore.Response) -> None:
        """Pass the answer of an endpoint to the caller.

        Its end is sent only after the endpoint has properly ended it.
        """
        headers = select_forwarded_headers(response.headers)
        headers.append((VERDICT_HEADER, Verdict.RAN.encode()))
        headers.append((b'tarragon-request', self.info.request_id.encode()))
        headers.extend(tell_list_age(self.list_age))
        self.started = True
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

    async def _take_piece(self, verdict: Verdict) -> bytes:
        event = await self._receive()
        if event['type'] == 'http.disconnect':
            raise CallerGoneError('the caller left within its request')
        piece: bytes = event.get('body', b'')
        self._size += len(piece)
        if self._size > self._max_body:
            raise self._refuse_size(verdict)
        if not event.get('more_body', False):
            self._body_read.set()
        self._keep(piece)
        return piece

    def _keep(self, piece: bytes) -> None:
        if self._size > MAX_REPLAYED_BYTES:
            self.replayable = False
            self._pieces.clear()
        elif piece:
            self._pieces.append(piece)

    def _refuse_size(self, verdict: Verdict) -> RefusedError:
        return RefusedError(
            f'the body is larger than {self._max_body} bytes',
            verdict=verdict,
            status=STATUS_TOO_LARGE,
        )


def tell_list_age(age: float | None) -> Headers:
    """Return the header that says how old the list of endpoints is."""
    if age is None:
        return []
    return [(LIST_AGE_HEADER, f'{age:.0f}'.encode())]


def select_forwarded_headers(headers: Headers) -> Headers:
    """Return the headers that are meant for the other end."""
    return [
        (name, text)
        for name, text in headers
        if name.lower() not in _HOP_HEADERS
    ]


def list_request_headers(headers: Headers) -> Headers:
    """Return the headers of a request to an endpoint."""
    kept = select_forwarded_headers(headers)
    if any(name.lower() == b'transfer-encoding' for name, _ in headers):
        kept.append((b'transfer-encoding', b'chunked'))
    return kept


def _find_size(headers: Headers) -> int:
    for name, text in headers:
        if name.lower() == b'content-length' and text.isdigit():
            return int(text)
    return 0

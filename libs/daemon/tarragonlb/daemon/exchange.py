"""One request and its answer, between a caller and an endpoint.

The body is passed on as it arrives.  A body that came in one piece can be sent
a second time; one that is still arriving can't.
"""

from collections.abc import AsyncIterator, Awaitable, Callable
from typing import Any, TypeAlias

import httpcore

from tarragonlb.model.errors import RefusedError
from tarragonlb.model.verdict import Verdict
from tarragonlb.routing.request import RequestInfo

Receive: TypeAlias = Callable[[], Awaitable[Any]]
Send: TypeAlias = Callable[[Any], Awaitable[None]]
Headers: TypeAlias = list[tuple[bytes, bytes]]

STATUS_TOO_LARGE = 413
VERDICT_HEADER = b'tarragon-verdict'
_HOP_HEADERS = frozenset(
    (
        b'authorization',
        b'connection',
        b'host',
        b'keep-alive',
        b'te',
        b'trailer',
        b'transfer-encoding',
        b'upgrade',
        VERDICT_HEADER,
    )
)


class Exchange:
    """A request on its way through the daemon.

    ``verdict`` says what is known so far, ``started`` whether the first byte
    of an answer was sent to the caller.
    """

    __slots__ = (
        '_first',
        '_max_body',
        '_receive',
        '_send',
        'info',
        'method',
        'replayable',
        'request_headers',
        'started',
        'target',
        'verdict',
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
        self.replayable = False
        self.started = False
        self.verdict = Verdict.NOT_RUN
        self._first: Any = None
        self._max_body = max_body
        self._receive = receive
        self._send = send

    async def open_body(self) -> None:
        """Read the first piece of the body."""
        self._first = await self._receive()
        self.replayable = not self._first.get('more_body', False)

    async def read_body(self) -> AsyncIterator[bytes]:
        """Yield the body of the request; refuse one that is too large."""
        event = self._first
        size = 0
        while True:
            chunk = event.get('body', b'')
            size += len(chunk)
            if size > self._max_body:
                raise RefusedError(
                    f'the body is larger than {self._max_body} bytes',
                    verdict=self.verdict,
                    status=STATUS_TOO_LARGE,
                )
            if chunk:
                yield chunk
            if not event.get('more_body', False):
                return
            event = await self._receive()

    async def answer(self, response: httpcore.Response) -> None:
        """Pass the answer of an endpoint to the caller."""
        self.verdict = Verdict.RAN
        headers = drop_hop_headers(response.headers)
        headers.append((VERDICT_HEADER, self.verdict.encode()))
        headers.append((b'tarragon-request', self.info.request_id.encode()))
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
        await self._send({'type': 'http.response.body', 'body': b''})


def drop_hop_headers(headers: Headers) -> Headers:
    """Return the headers that are meant for the other end."""
    return [
        (name, text)
        for name, text in headers
        if name.lower() not in _HOP_HEADERS
    ]


def list_request_headers(headers: Headers) -> Headers:
    """Return the headers of a request to an endpoint."""
    kept = drop_hop_headers(headers)
    if any(name.lower() == b'transfer-encoding' for name, _ in headers):
        kept.append((b'transfer-encoding', b'chunked'))
    return kept

"""Answers that are lost or cut: the connection ends before the answer."""

from typing import Any

from starlette.responses import Response

DECLARED_BYTES = '1024'


class ConnectionDroppedError(Exception):
    """An answer is dropped on purpose."""


class DroppedResponse(Response):
    """Begins an answer and ends its connection."""

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        """Promise a body, and end without it."""
        headers = [(b'content-length', DECLARED_BYTES.encode())]
        await send(
            {'type': 'http.response.start', 'status': 200, 'headers': headers}
        )
        await send(
            {'type': 'http.response.body', 'body': b'-', 'more_body': True}
        )
        raise ConnectionDroppedError


class TruncatedResponse(Response):
    """Sends a chunk of a body of unknown length and ends its connection."""

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        """Send a valid JSON document, so that only the framing is broken."""
        await send(
            {'type': 'http.response.start', 'status': 200, 'headers': []}
        )
        await send(
            {'type': 'http.response.body', 'body': b'{}', 'more_body': True}
        )
        raise ConnectionDroppedError

"""Responses whose connection closes before they are complete."""

from typing import Any

from starlette.responses import Response

DECLARED_BYTES = '1024'


class ConnectionDroppedError(Exception):
    """Raised to make the server close the connection of a response."""


class DroppedResponse(Response):
    """Sends headers and one byte, then closes the connection."""

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        """Send less of the body than the content length declares."""
        headers = [(b'content-length', DECLARED_BYTES.encode())]
        await send(
            {'type': 'http.response.start', 'status': 200, 'headers': headers}
        )
        await send(
            {'type': 'http.response.body', 'body': b'-', 'more_body': True}
        )
        raise ConnectionDroppedError


class TruncatedResponse(Response):
    """Sends a part of a body of unknown length, then closes the connection."""

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        """Send a whole JSON document, so that only the framing is broken."""
        await send(
            {'type': 'http.response.start', 'status': 200, 'headers': []}
        )
        await send(
            {'type': 'http.response.body', 'body': b'{}', 'more_body': True}
        )
        raise ConnectionDroppedError

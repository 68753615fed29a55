"""An answer that is lost: the connection ends before the answer does."""

from typing import Any

from starlette.responses import Response

PROMISED_BYTES = '1024'


class LostAnswerError(Exception):
    """An answer is dropped on purpose."""


class LostAnswer(Response):
    """Begins an answer and ends its connection."""

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        """Promise a body, and end without it."""
        headers = [(b'content-length', PROMISED_BYTES.encode())]
        await send(
            {'type': 'http.response.start', 'status': 200, 'headers': headers}
        )
        await send(
            {'type': 'http.response.body', 'body': b'-', 'more_body': True}
        )
        raise LostAnswerError

"""Answers requests in place of the application while a server stops.

A rejected request was not passed to the application and may be sent to another
server.  A concluded one was: whether it ran is known only if it has no effect,
or if the application has not received all of it.
"""

from collections.abc import Awaitable, Callable
from typing import Any

from tarragonlb.model.verdict import Verdict
from tarragonlb.server.meter import CONNECTION_METER, ConnectionEvent
from tarragonlb.server.settings import ServerSettings
from tarragonlb.telemetry.log import Log

LOG = Log('server')
STATUS_UNAVAILABLE = 503
STATUS_UNCLEAR = 504
RETRY_AFTER_SECONDS = 1
VERDICT_HEADER = b'tarragon-verdict'
# Requests of one line: a stop ends thousands at once, and the log is bounded.
REQUESTS_PER_LINE = 25

Send = Callable[[Any], Awaitable[None]]


class StopAnswers:
    """The answers that one server gives for its application."""

    __slots__ = ('_concluded', '_rejected', '_settings')

    def __init__(self, settings: ServerSettings) -> None:
        """Start without requests."""
        self._settings = settings
        self._rejected: list[str] = []
        self._concluded: list[str] = []

    async def reject(
        self, scope: dict[str, Any], receive: Any, send: Send, *_: Any
    ) -> None:
        """Answer a request that begins too late, as an application does."""
        CONNECTION_METER.count(ConnectionEvent.REJECTED)
        self._rejected.append(f'{scope["method"]} {scope["path"]}')
        if len(self._rejected) >= REQUESTS_PER_LINE:
            self.flush()
        await _answer(send, STATUS_UNAVAILABLE, Verdict.NOT_RUN)

    async def conclude(
        self, scope: dict[str, Any], send: Send, *, has_begun: bool
    ) -> None:
        """Answer a request that the application has not answered in time.

        ``has_begun`` says that the application may have acted on it.
        """
        is_safe = scope['method'] in self._settings.safe_methods
        verdict = Verdict.NOT_RUN
        status = STATUS_UNAVAILABLE
        if has_begun and not is_safe:
            verdict = Verdict.MAY_HAVE_RUN
            status = STATUS_UNCLEAR
        CONNECTION_METER.count(ConnectionEvent.CONCLUDED)
        self._concluded.append(f'{scope["method"]} {scope["path"]} {status}')
        if len(self._concluded) >= REQUESTS_PER_LINE:
            self.flush()
        await _answer(send, status, verdict)

    def flush(self) -> None:
        """Log the requests that no line has named yet."""
        if self._rejected:
            LOG.emit(
                'Requests rejected, as the server stops.',
                requests=self._rejected,
            )
        if self._concluded:
            LOG.emit(
                'Requests answered before they were done, as the server stops.',
                requests=self._concluded,
            )
        self._rejected = []
        self._concluded = []


async def _answer(send: Send, status: int, verdict: Verdict) -> None:
    body = f'{{"error":"stopping","verdict":"{verdict.value}"}}'.encode()
    await send(
        {
            'type': 'http.response.start',
            'status': status,
            'headers': [
                (b'content-type', b'application/json'),
                (b'content-length', b'%d' % len(body)),
                (VERDICT_HEADER, verdict.value.encode()),
                (b'retry-after', b'%d' % RETRY_AFTER_SECONDS),
            ],
        }
    )
    await send({'type': 'http.response.body', 'body': body})

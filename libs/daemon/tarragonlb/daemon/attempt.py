"""One attempt: sends a request to an endpoint, forwards the response."""

import httpcore
import trio

from tarragonlb.daemon.clock import read_monotonic
from tarragonlb.daemon.connections import Channel, EndpointConnections
from tarragonlb.daemon.exchange import VERDICT_HEADER, Exchange
from tarragonlb.model.verdict import Verdict
from tarragonlb.routing.action import Send
from tarragonlb.routing.endpointhealth import Outcome
from tarragonlb.routing.event import AttemptEnded

CONNECT_TIMEOUT_SECONDS = 1
FIRST_SERVER_ERROR = 500

_CONNECT_ERRORS = (
    httpcore.ConnectError,
    httpcore.ConnectTimeout,
    httpcore.PoolTimeout,
)
_TRANSPORT_ERRORS = (
    httpcore.NetworkError,
    httpcore.ProtocolError,
    httpcore.TimeoutException,
)


class Attempt:
    """One attempt to send a request, ordered by the pool's router.

    Call ``retire_connections`` after an attempt that was cancelled at its
    deadline, since its connection may be dead.
    """

    __slots__ = (
        '_action',
        '_channel',
        '_connections',
        '_exchange',
        '_wait_scope',
    )

    def __init__(
        self, connections: EndpointConnections, exchange: Exchange, action: Send
    ) -> None:
        """Prepare an attempt for an exchange; nothing is sent yet."""
        self._connections = connections
        self._exchange = exchange
        self._action = action
        self._wait_scope = trio.CancelScope()
        self._channel: Channel = connections.find_channel(action.endpoint)

    async def run(self) -> AttemptEnded:
        """Send the request, forward the response and return the outcome."""
        outcome = Outcome.ABANDONED
        self._channel.active += 1
        try:
            outcome, reason = await self._classify_attempt()
        finally:
            self._channel.active -= 1
        return AttemptEnded(
            self._exchange.info.request_id,
            outcome,
            f'{self._action.endpoint.vm_id} {reason}',
            replayable=self._exchange.replayable,
        )

    @property
    def replayable(self) -> bool:
        """Return whether the request can be sent again."""
        return self._exchange.replayable

    def cancel_wait(self) -> None:
        """Stop waiting for the first byte of the response."""
        self._wait_scope.cancel()

    def retire_connections(self) -> None:
        """Retire the connections to the endpoint, unless it has responded."""
        if not self._exchange.started:
            self._connections.retire(self._action.endpoint, self._channel)

    async def _classify_attempt(self) -> tuple[Outcome, str]:
        try:
            return await self._exchange_once()
        except _CONNECT_ERRORS as error:
            return Outcome.NOT_SENT, f'could not be reached: {error!r}'
        except _TRANSPORT_ERRORS as error:
            if self._exchange.started:
                return Outcome.CUT, f'cut off its response: {error!r}'
            return Outcome.BROKEN, f'sent no response: {error!r}'

    async def _exchange_once(self) -> tuple[Outcome, str]:
        response = await self._wait_for_response()
        if response is None:
            had_answered = (
                self._channel.answered and not self._action.new_connection
            )
            self.retire_connections()
            outcome = Outcome.SILENT if had_answered else Outcome.BROKEN
            return outcome, 'sent no response in time'
        try:
            return await self._forward_response(response)
        finally:
            with trio.CancelScope(shield=True):
                await response.aclose()

    async def _wait_for_response(self) -> httpcore.Response | None:
        with self._wait_scope:
            return await self._send_request()
        return None

    async def _send_request(self) -> httpcore.Response:
        return await self._connections.request(
            self._channel,
            self._make_request(),
            new_connection=self._action.new_connection,
        )

    async def _forward_response(
        self, response: httpcore.Response
    ) -> tuple[Outcome, str]:
        self._channel.answered = True
        if _was_refused(response):
            return Outcome.BUSY, 'refused the request'
        await self._exchange.send_response(response)
        if response.status >= FIRST_SERVER_ERROR:
            return Outcome.FAILED, f'responded with {response.status}'
        return Outcome.ANSWERED, 'responded'

    def _make_request(self) -> httpcore.Request:
        address = self._action.endpoint.address
        host, _, port = address.partition(':')
        remaining = max(self._exchange.info.deadline - read_monotonic(), 0)
        url = httpcore.URL(
            scheme=b'http',
            host=host,
            port=int(port),
            target=self._exchange.target,
        )
        return httpcore.Request(
            self._exchange.method,
            url,
            headers=[
                (b'host', address.encode()),
                (b'tarragon-timeout', f'{remaining:.3f}'.encode()),
                *self._exchange.request_headers,
            ],
            content=self._exchange.read_body(),
            extensions={'timeout': {'connect': CONNECT_TIMEOUT_SECONDS}},
        )


def _was_refused(response: httpcore.Response) -> bool:
    return any(
        name.lower() == VERDICT_HEADER and text == Verdict.NOT_RUN.encode()
        for name, text in response.headers
    )

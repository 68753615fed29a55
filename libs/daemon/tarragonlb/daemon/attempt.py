"""One attempt: a request sent to an endpoint, and its answer passed on."""

import httpcore
import trio

from tarragonlb.daemon.clock import read_monotonic
from tarragonlb.daemon.connections import EndpointConnections, Lane
from tarragonlb.daemon.exchange import VERDICT_HEADER, Exchange
from tarragonlb.model.verdict import Verdict
from tarragonlb.routing.action import Send
from tarragonlb.routing.endpointhealth import Outcome
from tarragonlb.routing.event import AttemptEnded

CONNECT_TIMEOUT_SECONDS = 1
FIRST_SERVER_ERROR = 500

_NOT_SENT = (
    httpcore.ConnectError,
    httpcore.ConnectTimeout,
    httpcore.PoolTimeout,
)
_BROKEN = (
    httpcore.NetworkError,
    httpcore.ProtocolError,
    httpcore.TimeoutException,
)


class Attempt:
    """Carries out one order of the routing front.

    After an attempt that was cancelled, ``suspect`` gives up the connections
    that it may have found silent.
    """

    __slots__ = ('_connections', '_exchange', '_lane', '_order', '_silence')

    def __init__(
        self, connections: EndpointConnections, exchange: Exchange, order: Send
    ) -> None:
        """Take the order for an exchange; nothing is sent yet."""
        self._connections = connections
        self._exchange = exchange
        self._order = order
        self._silence = trio.CancelScope()
        self._lane: Lane = connections.find_lane(order.endpoint)

    async def run(self) -> AttemptEnded:
        """Send the request, pass the answer on and say how it ended."""
        outcome = Outcome.ABANDONED
        self._lane.active += 1
        try:
            outcome, reason = await self._try()
        finally:
            self._lane.active -= 1
        return AttemptEnded(
            self._exchange.info.request_id,
            outcome,
            f'{self._order.endpoint.vm_id} {reason}',
            replayable=self._exchange.replayable,
        )

    @property
    def replayable(self) -> bool:
        """Return whether the request can be sent again."""
        return self._exchange.replayable

    def give_up(self) -> None:
        """End the wait for the first byte of an answer."""
        self._silence.cancel()

    def suspect(self) -> None:
        """Give up the connections to the endpoint of this attempt."""
        if not self._exchange.started:
            self._connections.suspect(self._order.endpoint, self._lane)

    async def _try(self) -> tuple[Outcome, str]:
        try:
            return await self._exchange_messages()
        except _NOT_SENT as error:
            return Outcome.NOT_SENT, f'was not reached: {error!r}'
        except _BROKEN as error:
            if self._exchange.started:
                return Outcome.CUT, f'cut its answer: {error!r}'
            return Outcome.BROKEN, f'did not answer: {error!r}'

    async def _exchange_messages(self) -> tuple[Outcome, str]:
        response = await self._request()
        if response is None:
            was_proven = self._lane.answered and not self._order.new_connection
            self.suspect()
            outcome = Outcome.SILENT if was_proven else Outcome.BROKEN
            return outcome, 'was silent'
        try:
            return await self._pass_on(response)
        finally:
            with trio.CancelScope(shield=True):
                await response.aclose()

    async def _request(self) -> httpcore.Response | None:
        with self._silence:
            return await self._send()
        return None

    async def _send(self) -> httpcore.Response:
        return await self._connections.request(
            self._lane, self._make_request(), fresh=self._order.new_connection
        )

    async def _pass_on(
        self, response: httpcore.Response
    ) -> tuple[Outcome, str]:
        self._lane.answered = True
        if _was_refused(response):
            return Outcome.BUSY, 'refused the request'
        await self._exchange.answer(response)
        if response.status >= FIRST_SERVER_ERROR:
            return Outcome.FAILED, f'answered {response.status}'
        return Outcome.ANSWERED, 'answered'

    def _make_request(self) -> httpcore.Request:
        address = self._order.endpoint.address
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

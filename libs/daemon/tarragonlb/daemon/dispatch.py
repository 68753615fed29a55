"""Sends requests to endpoints, within slots, retries and deadlines."""

import random
from dataclasses import dataclass, field

import httpcore
import trio

from tarragonlb.daemon.clock import read_monotonic
from tarragonlb.daemon.exchange import VERDICT_HEADER, Exchange
from tarragonlb.model.errors import RefusedError
from tarragonlb.model.verdict import Verdict
from tarragonlb.routing.admission import Admission, Decision
from tarragonlb.routing.balancer import Balancer, Endpoint
from tarragonlb.routing.request import RequestInfo
from tarragonlb.routing.retry import RetryBudget

STATUS_BAD_GATEWAY = 502
STATUS_UNAVAILABLE = 503
STATUS_TIMEOUT = 504
RETRY_AFTER_SECONDS = 1
CONNECT_TIMEOUT_SECONDS = 1
MAX_CONNECTIONS = 512
IDLE_SECONDS = 10

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


@dataclass(eq=False, slots=True)
class Gate:
    """The way into one pool."""

    admission: Admission
    balancer: Balancer
    waiting: dict[str, trio.Event] = field(default_factory=dict)


class Dispatcher:
    """Owns the connections to endpoints and the gates of all pools."""

    __slots__ = ('_connections', '_gates', '_random', '_retries', '_zone')

    def __init__(self, zone: str, source: random.Random) -> None:
        """Prefer endpoints of ``zone``; ``source`` draws candidates."""
        self._zone = zone
        self._random = source
        self._gates: dict[str, Gate] = {}
        self._retries = RetryBudget()
        self._connections = httpcore.AsyncConnectionPool(
            max_connections=MAX_CONNECTIONS, keepalive_expiry=IDLE_SECONDS
        )

    def update_pool(self, pool: str, endpoints: list[Endpoint]) -> None:
        """Take over the endpoints of a pool that may get new requests."""
        gate = self._open_gate(pool)
        gate.balancer.replace(endpoints)
        gate.admission.resize(gate.balancer.count_slots())
        self._wake(gate, read_monotonic())

    async def serve(self, exchange: Exchange) -> None:
        """Get a request answered.

        Raises ``RefusedError`` with the verdict where there is no answer.
        """
        info = exchange.info
        gate = self._open_gate(info.pool)
        with trio.move_on_at(info.deadline):
            await self._enter(gate, exchange)
            entered_at = read_monotonic()
            try:
                await self._send(gate, exchange)
            finally:
                self._leave(gate, info, read_monotonic() - entered_at)
            return
        raise RefusedError(
            'the deadline has passed',
            verdict=exchange.verdict,
            status=STATUS_TIMEOUT,
        )

    def _open_gate(self, pool: str) -> Gate:
        gate = self._gates.get(pool)
        if gate is None:
            gate = Gate(Admission(0), Balancer(self._zone, self._random))
            self._gates[pool] = gate
        return gate

    async def _enter(self, gate: Gate, exchange: Exchange) -> None:
        info = exchange.info
        answer = gate.admission.offer(info, read_monotonic())
        if answer.decision is Decision.REFUSED:
            raise RefusedError(
                answer.reason,
                verdict=Verdict.NOT_RUN,
                status=STATUS_UNAVAILABLE,
                retry_after=answer.retry_after,
            )
        if answer.decision is Decision.QUEUED:
            await self._wait_for_slot(gate, exchange)

    async def _wait_for_slot(self, gate: Gate, exchange: Exchange) -> None:
        info = exchange.info
        ready = trio.Event()
        gate.waiting[info.request_id] = ready
        try:
            await ready.wait()
        except trio.Cancelled:
            self._leave_queue(gate, exchange)
            raise
        finally:
            gate.waiting.pop(info.request_id, None)

    def _leave_queue(self, gate: Gate, exchange: Exchange) -> None:
        if gate.admission.withdraw(exchange.info):
            return
        if gate.waiting[exchange.info.request_id].is_set():
            self._leave(gate, exchange.info, 0)

    def _leave(self, gate: Gate, info: RequestInfo, seconds: float) -> None:
        now = read_monotonic()
        started = gate.admission.release(info.request_id, seconds, now)
        self._start(gate, started)

    def _wake(self, gate: Gate, now: float) -> None:
        self._start(gate, gate.admission.start_waiting(now))

    def _start(self, gate: Gate, started: list[RequestInfo]) -> None:
        for info in started:
            gate.waiting[info.request_id].set()

    async def _send(self, gate: Gate, exchange: Exchange) -> None:
        self._retries.earn()
        tried: frozenset[str] = frozenset()
        while True:
            spot = gate.balancer.choose(read_monotonic(), tried)
            if spot is None:
                raise _refuse(exchange, 'no endpoint is free')
            reason = await self._attempt(gate, exchange, spot)
            if not reason:
                return
            tried |= {spot.vm_id}
            if not self._may_retry(exchange):
                raise _refuse(exchange, reason)

    def _may_retry(self, exchange: Exchange) -> bool:
        allowed = exchange.verdict.allows_retry(
            idempotent=exchange.info.idempotent
        )
        fresh = exchange.replayable and not exchange.started
        return allowed and fresh and self._retries.spend()

    async def _attempt(
        self, gate: Gate, exchange: Exchange, spot: Endpoint
    ) -> str:
        failed = True
        gate.balancer.begin(spot.vm_id)
        try:
            reason = await self._pass_through(exchange, spot)
            failed = bool(reason)
        except _NOT_SENT as error:
            reason = f'{spot.vm_id} was not reached: {error!r}'
        except _BROKEN as error:
            if exchange.started:
                raise
            exchange.verdict = Verdict.MAY_HAVE_RUN
            reason = f'{spot.vm_id} did not answer: {error!r}'
        finally:
            gate.balancer.finish(spot.vm_id, read_monotonic(), failed=failed)
        return reason

    async def _pass_through(self, exchange: Exchange, spot: Endpoint) -> str:
        remaining = max(exchange.info.deadline - read_monotonic(), 0)
        limits = {
            'connect': min(CONNECT_TIMEOUT_SECONDS, remaining),
            'pool': remaining,
            'read': remaining,
            'write': remaining,
        }
        request = httpcore.Request(
            exchange.method,
            httpcore.URL(
                scheme=b'http',
                host=spot.address.partition(':')[0],
                port=int(spot.address.partition(':')[2]),
                target=exchange.target,
            ),
            headers=[
                (b'host', spot.address.encode()),
                *exchange.request_headers,
            ],
            content=exchange.read_body(),
            extensions={'timeout': limits},
        )
        before = exchange.verdict
        exchange.verdict = Verdict.MAY_HAVE_RUN
        try:
            response = await self._connections.handle_async_request(request)
        except _NOT_SENT:
            exchange.verdict = before
            raise
        try:
            if _was_refused(response):
                exchange.verdict = before
                return f'{spot.vm_id} refused the request'
            await exchange.answer(response)
        finally:
            with trio.CancelScope(shield=True):
                await response.aclose()
        return ''


def _was_refused(response: httpcore.Response) -> bool:
    headers = dict(response.headers)
    return headers.get(VERDICT_HEADER) == Verdict.NOT_RUN.encode()


def _refuse(exchange: Exchange, reason: str) -> RefusedError:
    if exchange.verdict is Verdict.NOT_RUN:
        return RefusedError(
            reason,
            verdict=exchange.verdict,
            status=STATUS_UNAVAILABLE,
            retry_after=RETRY_AFTER_SECONDS,
        )
    return RefusedError(
        reason, verdict=exchange.verdict, status=STATUS_BAD_GATEWAY
    )

"""The gateway for callers: serves ``/call/SERVICE/...`` for a team.

The bearer token determines the team.  A request may state its timeout in
seconds (``Tarragon-Timeout``).  One that must run at most once carries an
``Idempotency-Key``.
"""

import json
import uuid
from math import ceil
from typing import Any

from tarragonlb.daemon.access import AccessTable
from tarragonlb.daemon.claims import Claims
from tarragonlb.daemon.clock import read_monotonic
from tarragonlb.daemon.dispatcher import Dispatcher
from tarragonlb.daemon.exchange import (
    CallerDisconnectedError,
    Exchange,
    Receive,
    ResponseCutError,
    Send,
    make_list_age_headers,
)
from tarragonlb.daemon.journal import Journal
from tarragonlb.model.errors import RefusedError
from tarragonlb.model.verdict import Verdict
from tarragonlb.routing.request import RequestInfo
from tarragonlb.settings.schema import ServiceSettings, Urgency
from tarragonlb.telemetry.log import Log

CALL_PREFIX = '/call/'
STATUS_BAD_REQUEST = 400
STATUS_NOT_FOUND = 404


class Gateway:
    """Serves the requests of callers."""

    __slots__ = (
        '_access',
        '_claims',
        '_dispatcher',
        '_emit',
        '_journal',
    )

    def __init__(
        self,
        access: AccessTable,
        journal: Journal,
        dispatcher: Dispatcher,
        claims: Claims,
    ) -> None:
        """Serve the teams of ``access`` by the settings in force."""
        self._claims = claims
        self._access = access
        self._journal = journal
        self._dispatcher = dispatcher
        self._emit = Log('gateway').emit

    async def serve(self, scope: Any, receive: Receive, send: Send) -> None:
        """Serve one request; a refusal carries its reason and verdict."""
        request_id = uuid.uuid4().hex
        try:
            await self._serve(request_id, scope, receive, send)
        except RefusedError as refusal:
            self._emit(
                'The request was refused.',
                request_id=request_id,
                reason=refusal.reason,
                verdict=refusal.verdict.value,
            )
            age = self._dispatcher.find_list_age(read_monotonic())
            await send_refusal(send, request_id, refusal, age)
        except ResponseCutError as error:
            self._emit(
                'The response was cut off.',
                request_id=request_id,
                reason=str(error),
            )
        except CallerDisconnectedError as error:
            self._emit(
                'The caller disconnected.',
                request_id=request_id,
                reason=str(error),
            )

    async def _serve(
        self, request_id: str, scope: Any, receive: Receive, send: Send
    ) -> None:
        headers = dict(scope['headers'])
        info = self._make_request_info(request_id, scope['path'], headers)
        max_body = self._journal.state.fleet.max_body_bytes
        exchange = Exchange(info, scope, receive, send, max_body)
        await exchange.open_body()
        key = headers.get(b'idempotency-key', b'').decode('latin-1')
        if info.idempotent or not key:
            await self._dispatcher.serve(exchange)
        else:
            await self._serve_at_most_once(exchange, key)

    async def _serve_at_most_once(self, exchange: Exchange, key: str) -> None:
        claim = await self._claims.claim(exchange.info, key)
        try:
            await self._dispatcher.serve(exchange)
        except RefusedError as refusal:
            self._claims.report_outcome(claim, refusal.verdict)
            raise
        if exchange.finished:
            self._claims.report_outcome(claim, Verdict.RAN)

    def _make_request_info(
        self, request_id: str, path: str, headers: dict[bytes, bytes]
    ) -> RequestInfo:
        authorization = headers.get(b'authorization', b'').decode('latin-1')
        identity = self._access.identify(authorization)
        service = path.removeprefix(CALL_PREFIX).partition('/')[0]
        settings = self._find_service(identity.team, service)
        timeout = _read_timeout(headers, settings.timeout_seconds)
        return RequestInfo(
            request_id=request_id,
            team=identity.team,
            service=service,
            pool=settings.pool,
            urgent=settings.urgency is Urgency.URGENT,
            idempotent=settings.idempotent,
            deadline=read_monotonic() + timeout,
            weight=self._journal.state.teams[identity.team].weight,
        )

    def _find_service(self, team: str, service: str) -> ServiceSettings:
        settings = self._journal.state.teams.get(team)
        found = settings.services.get(service) if settings else None
        if found is None:
            raise RefusedError(
                f'/teams/{team} has no service "{service}"',
                verdict=Verdict.NOT_RUN,
                status=STATUS_NOT_FOUND,
            )
        return found


async def send_refusal(
    send: Send, request_id: str, refusal: RefusedError, list_age: float | None
) -> None:
    """Send a refusal as JSON, with the verdict in a header."""
    headers = [
        (b'content-type', b'application/json'),
        (b'tarragon-verdict', refusal.verdict.encode()),
        (b'tarragon-request', request_id.encode()),
    ]
    headers.extend(make_list_age_headers(list_age))
    if refusal.retry_after is not None:
        seconds = max(1, ceil(refusal.retry_after))
        headers.append((b'retry-after', str(seconds).encode()))
    body = json.dumps(
        {
            'reason': refusal.reason,
            'verdict': refusal.verdict.value,
            'request': request_id,
        }
    )
    await send(
        {
            'type': 'http.response.start',
            'status': refusal.status,
            'headers': headers,
        }
    )
    await send({'type': 'http.response.body', 'body': body.encode()})


def _read_timeout(headers: dict[bytes, bytes], limit: float) -> float:
    text = headers.get(b'tarragon-timeout')
    if text is None:
        return limit
    try:
        seconds = float(text)
    except ValueError:
        seconds = -1
    if not seconds > 0:
        raise RefusedError(
            'Tarragon-Timeout: expected seconds greater than 0',
            verdict=Verdict.NOT_RUN,
            status=STATUS_BAD_REQUEST,
        )
    return min(seconds, limit)

"""Protocol between entry VMs to ask the issuer of a key, over a websocket.

Each question and each answer is one CBOR message with a number, so that many
questions share one connection.  If the issuer can't be reached, the client
returns None and the request is not sent to an endpoint.
"""

import itertools
from dataclasses import dataclass, field

import cbor2
import msgspec
import trio
from websockets.exceptions import WebSocketException
from websockets.trio.client import ClientConnection, connect
from websockets.trio.server import ServerConnection

from tarragonlb.model.decoding import convert, decode_cbor
from tarragonlb.routing.ledger import ClaimResult, KeyLedger, parse_key
from tarragonlb.telemetry.log import Log
from tarragonlb.telemetry.supervision import format_trace

MAX_MESSAGE_BYTES = 4096
PING_SECONDS = 10
RECONNECT_SECONDS = 0.5

_CONNECTION_ERRORS = (
    WebSocketException,
    OSError,
    ValueError,
    trio.BrokenResourceError,
    trio.ClosedResourceError,
)


@dataclass(frozen=True, slots=True, kw_only=True)
class KeyQuestion:
    """A claim of a key, or the outcome of an earlier claim.

    ``ran`` is None for a claim, else it tells whether the request ran.
    """

    number: int
    key: str
    team: str
    ran: bool | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class KeyAnswer:
    """The answer to the question with the same number."""

    number: int
    grant: ClaimResult


@dataclass(eq=False, slots=True)
class PendingQuestion:
    """A sent question; ``grant`` is None until it is answered."""

    done: trio.Event = field(default_factory=trio.Event)
    grant: ClaimResult | None = None

    def resolve(self, grant: ClaimResult | None) -> None:
        """Store the answer, None if there is none, and wake the waiter."""
        self.grant = grant
        self.done.set()


class KeyServer:
    """Answers questions of other entry VMs about keys issued here."""

    __slots__ = ('_emit', '_ledger')

    def __init__(self, ledger: KeyLedger) -> None:
        """Answer from ``ledger``."""
        self._ledger = ledger
        self._emit = Log('keys').emit

    async def serve_connection(self, connection: ServerConnection) -> None:
        """Answer all questions of one connection."""
        try:
            async for message in connection:
                question = convert(decode_message(message), KeyQuestion)
                grant = answer_question(self._ledger, question)
                answer = KeyAnswer(number=question.number, grant=grant)
                await connection.send(cbor2.dumps(msgspec.to_builtins(answer)))
        except _CONNECTION_ERRORS as error:
            self._emit(
                'The connection of a key client ended with an error.',
                error=repr(error),
            )


class KeyClient:
    """Client of the key server of one other entry VM."""

    __slots__ = ('_address', '_connection', '_emit', '_numbers', '_pending')

    def __init__(self, address: str) -> None:
        """Connect to the entry VM with the peer address ``address``."""
        self._address = address
        self._connection: ClientConnection | None = None
        self._numbers = itertools.count(1)
        self._pending: dict[int, PendingQuestion] = {}
        self._emit = Log('keys').emit

    async def run(self) -> None:
        """Stay connected until cancelled."""
        while True:
            try:
                await self._connect_and_receive()
            except _CONNECTION_ERRORS as error:
                self._emit(
                    'The connection to a key server failed.',
                    peer=self._address,
                    error=repr(error),
                )
            await trio.sleep(RECONNECT_SECONDS)

    async def ask(
        self, key: str, team: str, *, ran: bool | None = None
    ) -> ClaimResult | None:
        """Return the issuer's answer, or None if it can't be reached."""
        if self._connection is None:
            return None
        number = next(self._numbers)
        question = KeyQuestion(number=number, key=key, team=team, ran=ran)
        pending = PendingQuestion()
        self._pending[number] = pending
        try:
            await self._connection.send(
                cbor2.dumps(msgspec.to_builtins(question))
            )
            await pending.done.wait()
        except Exception as error:
            if not isinstance(error, _CONNECTION_ERRORS):
                self._emit(
                    'Asking a key server failed unexpectedly.',
                    peer=self._address,
                    error=repr(error),
                    trace=format_trace(error),
                )
            return None
        finally:
            self._pending.pop(number, None)
        return pending.grant

    async def _connect_and_receive(self) -> None:
        async with connect(
            f'ws://{self._address}/keys',
            compression=None,
            max_size=MAX_MESSAGE_BYTES,
            ping_interval=PING_SECONDS,
            proxy=None,
        ) as connection:
            self._connection = connection
            try:
                await self._receive(connection)
            finally:
                self._connection = None
                for pending in self._pending.values():
                    pending.resolve(None)

    async def _receive(self, connection: ClientConnection) -> None:
        async for message in connection:
            answer = convert(decode_message(message), KeyAnswer)
            pending = self._pending.get(answer.number)
            if pending:
                pending.resolve(answer.grant)


def answer_question(ledger: KeyLedger, question: KeyQuestion) -> ClaimResult:
    """Answer a question from ``ledger``."""
    key = parse_key(question.key)
    if key is None:
        return ClaimResult.FORGED
    if question.ran is None:
        return ledger.claim(key, question.team)
    return ledger.record_outcome(key, question.team, ran=question.ran)


def decode_message(message: str | bytes) -> object:
    """Decode a CBOR message; raise ``ValueError`` if it is malformed."""
    return decode_cbor(message)

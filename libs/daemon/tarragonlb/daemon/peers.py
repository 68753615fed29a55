"""Heartbeats and state transfer between daemons of one availability zone.

Each daemon connects to each of its peers over a websocket and sends heartbeats.
A daemon that can't read the log at its start fetches the state of its peers.
"""

import trio
from websockets.exceptions import WebSocketException
from websockets.trio.client import ClientConnection, connect
from websockets.trio.server import ServerConnection

from tarragonlb.daemon.clock import read_monotonic
from tarragonlb.daemon.journal import Journal
from tarragonlb.daemon.peerserver import MAX_MESSAGE_BYTES
from tarragonlb.journal import peer
from tarragonlb.journal.state import State
from tarragonlb.model.errors import JournalError
from tarragonlb.settings.startup import DaemonSettings
from tarragonlb.telemetry.log import Log
from tarragonlb.telemetry.supervision import format_trace

HEARTBEAT_SECONDS = 4
RETRY_SECONDS = 2
OPEN_TIMEOUT_SECONDS = 2
PING_SECONDS = 20
LOG_TIMEOUT_SECONDS = 3
SNAPSHOT_TIMEOUT_SECONDS = 20
MAX_SNAPSHOT_PARTS = 4096

_PEER_ERRORS = (
    OSError,
    WebSocketException,
    JournalError,
    ValueError,
    trio.BrokenResourceError,
    trio.ClosedResourceError,
    trio.TooSlowError,
)


class PeerTask:
    """Maintains connections to peers and serves theirs."""

    __slots__ = ('_emit', '_journal', '_settings', 'table')

    def __init__(self, settings: DaemonSettings, journal: Journal) -> None:
        """Exchange the state of ``journal`` with peers."""
        self._settings = settings
        self._journal = journal
        self._emit = Log('peers').emit
        self.table = peer.PeerTable()

    async def run(self) -> None:
        """Connect to all peers and compare digests until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._start_from_peers)
            nursery.start_soon(self._compare_digests)
            for address in self._settings.peers:
                nursery.start_soon(self._maintain_connection, address)

    async def serve_connection(self, connection: ServerConnection) -> None:
        """Handle the messages of a peer that has connected."""
        try:
            await self._receive_messages(connection)
        except _PEER_ERRORS as error:
            self._emit('The connection of a peer failed.', error=repr(error))

    async def _receive_messages(self, connection: ServerConnection) -> None:
        while True:
            with trio.fail_after(peer.HEARTBEAT_TIMEOUT_SECONDS):
                message = peer.decode_message(await connection.recv())
            if isinstance(message, peer.Heartbeat):
                own_digest = self._journal.replica.find_digest(message.offset)
                self.table.add_heartbeat(message, own_digest, read_monotonic())
            elif isinstance(message, peer.SnapshotAsked):
                await self._send_state(connection)

    async def _send_state(self, connection: ServerConnection) -> None:
        if not self._journal.replica.caught_up:
            raise JournalError(
                'this daemon has not caught up, it has no state to send'
            )
        for message in peer.make_state_messages(self._journal.replica):
            await connection.send(peer.encode_message(message))

    async def _maintain_connection(self, address: str) -> None:
        while True:
            try:
                async with _connect(address) as connection:
                    await self._send_heartbeats(connection)
            except Exception as error:
                if not isinstance(error, _PEER_ERRORS):
                    self._emit(
                        'Sending heartbeats to a peer failed unexpectedly.',
                        peer=address,
                        error=repr(error),
                        trace=format_trace(error),
                    )
            await trio.sleep(RETRY_SECONDS)

    async def _send_heartbeats(self, connection: ClientConnection) -> None:
        head_factory = self._journal.head_factory
        while True:
            state = self._journal.state
            heartbeat = peer.Heartbeat(
                member=head_factory.author,
                incarnation=head_factory.incarnation,
                offset=state.offset,
                digest=state.digest,
            )
            await connection.send(peer.encode_message(heartbeat))
            await trio.sleep(HEARTBEAT_SECONDS)

    async def _compare_digests(self) -> None:
        while True:
            await trio.sleep(HEARTBEAT_SECONDS)
            now = read_monotonic()
            majority = self.table.find_differing_majority(now)
            differing = self.table.list_differing(now)
            if differing:
                self._emit(
                    'The state digests of peers differ from the local one.',
                    peers=differing,
                )
            if majority and not self._journal.replica.halted:
                names = ', '.join(majority)
                self._journal.halt(
                    f'the state digests of {names} differ from the local one'
                )

    async def _start_from_peers(self) -> None:
        with trio.move_on_after(LOG_TIMEOUT_SECONDS):
            await self._journal.wait_until_caught_up()
        while not self._journal.replica.caught_up:
            states = await self._fetch_states()
            if states:
                self._adopt_latest(states)
            else:
                await trio.sleep(RETRY_SECONDS)

    async def _fetch_states(self) -> list[State]:
        states: list[State] = []
        async with trio.open_nursery() as nursery:
            for address in self._settings.peers:
                nursery.start_soon(self._fetch_state_from, address, states)
        return states

    async def _fetch_state_from(
        self, address: str, states: list[State]
    ) -> None:
        try:
            with trio.fail_after(SNAPSHOT_TIMEOUT_SECONDS):
                async with _connect(address) as connection:
                    states.append(await _fetch_state(connection))
        except Exception as error:
            self._emit(
                'Fetching the state of a peer failed.',
                peer=address,
                error=repr(error),
                trace=_describe_trace(error),
            )

    def _adopt_latest(self, states: list[State]) -> None:
        latest = max(states, key=_get_offset)
        if self._journal.adopt_peer_state(latest):
            self._emit(
                'The state of a peer was installed, as the log cannot be read.',
                offset=latest.offset,
            )


def _describe_trace(error: Exception) -> str:
    """Return the trace of an unexpected error, else nothing."""
    return '' if isinstance(error, _PEER_ERRORS) else format_trace(error)


def _get_offset(state: State) -> int:
    return state.offset


def _connect(address: str) -> connect:
    return connect(
        f'ws://{address}/state',
        compression=None,
        proxy=None,
        user_agent_header=None,
        open_timeout=OPEN_TIMEOUT_SECONDS,
        ping_interval=PING_SECONDS,
        ping_timeout=PING_SECONDS,
        max_size=MAX_MESSAGE_BYTES,
    )


async def _fetch_state(connection: ClientConnection) -> State:
    await connection.send(peer.encode_message(peer.SnapshotAsked()))
    bodies: list[bytes] = []
    while len(bodies) < MAX_SNAPSHOT_PARTS:
        message = peer.decode_message(await connection.recv())
        if isinstance(message, peer.SnapshotEnd):
            return peer.restore_peer_state(bodies, message)
        if isinstance(message, peer.SnapshotPart):
            bodies.append(message.body)
    raise JournalError('the snapshot of the peer has too many parts')

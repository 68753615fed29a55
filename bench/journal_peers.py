"""Measures the cost of the heartbeats within an availability zone."""

import contextlib
import functools
import time
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any
from unittest import mock

from trio import SocketStream, lowlevel, open_nursery, run, sleep, testing

from tarragonlb.daemon.journal import Journal
from tarragonlb.daemon.peers import PeerTask
from tarragonlb.daemon.peerserver import PeerServer
from tarragonlb.journal.fold import DIGEST_BYTES
from tarragonlb.journal.log import LogEntry, RecordLog
from tarragonlb.model.recordhead import HeadFactory
from tarragonlb.settings.startup import DaemonSettings
from tarragonlb.standin.cluster import reserve_port

PEER_SIZES = (2, 5, 9)
CLOCK_RATE = 10
WARM_UP_SECONDS = 10
MEASURED_SECONDS = 60
OFFSET = 10_000_000
INCARNATION = '0123456789abcdef0123456789abcdef'


@dataclass(frozen=True, slots=True, kw_only=True)
class PeerFigure:
    """Cost per daemon in an availability zone with ``members`` daemons.

    Bytes are those written to and read from its sockets, without the headers
    of TCP and IP for each write and each read.
    """

    members: int
    sent_bytes_a_second: float
    received_bytes_a_second: float
    writes_a_second: float
    processor_share: float


class EmptyLog(RecordLog):
    """A log without records."""

    async def append(self, blobs: Sequence[bytes]) -> None:
        """Discard the records."""
        await lowlevel.checkpoint()

    async def read(self, after: int, wait_seconds: float) -> list[LogEntry]:
        """Return no records after ``wait_seconds``."""
        await sleep(wait_seconds)
        return []


class SocketCounter:
    """Counts the bytes and writes on all sockets of this process."""

    __slots__ = ('received', 'sent', 'writes')

    def __init__(self) -> None:
        """Start at zero."""
        self.reset()

    def reset(self) -> None:
        """Reset all counts to zero."""
        self.sent = 0
        self.received = 0
        self.writes = 0

    def list_patches(self) -> list[contextlib.AbstractContextManager[Any]]:
        """Return the patches that count on all sockets of this process."""
        patched = (('send_all', _send), ('receive_some', _receive))
        return [
            mock.patch.object(
                SocketStream,
                name,
                functools.partialmethod(
                    method, self, getattr(SocketStream, name)
                ),
            )
            for name, method in patched
        ]


async def _send(
    stream: SocketStream, counter: SocketCounter, send: Any, blob: bytes
) -> None:
    counter.sent += len(blob)
    counter.writes += 1
    await send(stream, blob)


async def _receive(
    stream: SocketStream,
    counter: SocketCounter,
    receive: Any,
    max_bytes: int | None = None,
) -> bytes:
    blob = await receive(stream, max_bytes)
    counter.received += len(blob)
    return bytes(blob)


def measure_peers(members: int) -> PeerFigure:
    """Measure ``members`` daemons on loopback with an empty log."""
    counter = SocketCounter()
    clock = testing.MockClock(rate=CLOCK_RATE)
    with contextlib.ExitStack() as stack:
        for patch in counter.list_patches():
            stack.enter_context(patch)
        seconds = run(_run, members, counter, clock=clock)
    total = members * MEASURED_SECONDS
    return PeerFigure(
        members=members,
        sent_bytes_a_second=counter.sent / total,
        received_bytes_a_second=counter.received / total,
        writes_a_second=counter.writes / total,
        processor_share=seconds / total,
    )


def _make_settings(
    name: str, address: str, addresses: list[str]
) -> DaemonSettings:
    return DaemonSettings(
        name=name,
        zone='kandy',
        listen=address,
        platform=address,
        peer_listen=address,
        peers=tuple(other for other in addresses if other != address),
    )


def _make_journal(name: str) -> Journal:
    journal = Journal(EmptyLog(), HeadFactory(name, INCARNATION))
    journal.replica.caught_up = True
    journal.state.offset = OFFSET
    journal.state.digest = bytes(DIGEST_BYTES)
    return journal


async def _run(members: int, counter: SocketCounter) -> float:
    addresses = [f'127.0.0.1:{reserve_port()}' for _ in range(members)]
    async with open_nursery() as nursery:
        for index, address in enumerate(addresses):
            settings = _make_settings(
                f'entry-kandy-{index}', address, addresses
            )
            peers = PeerTask(settings, _make_journal(settings.name))
            server = PeerServer(
                settings.peer_listen, {'/state': peers.serve_connection}
            )
            nursery.start_soon(server.run)
            nursery.start_soon(peers.run)
        await sleep(WARM_UP_SECONDS)
        counter.reset()
        started = time.process_time()
        await sleep(MEASURED_SECONDS)
        seconds = time.process_time() - started
        nursery.cancel_scope.cancel()
    return seconds

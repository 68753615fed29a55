"""Messages between the daemons of one availability zone.

A heartbeat has the name and the incarnation of its sender, and the offset and
digest of its state.  Peers at the same offset must have the same digest.  A new
daemon requests a snapshot from its peers if the platform's log can't be read.

>>> table = PeerTable()
>>> heartbeat = Heartbeat(member='b', incarnation='1', offset=0, digest=b'')
>>> table.add_heartbeat(heartbeat, b'', now=5)
>>> table.list_live(now=6)
['b']
"""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass, fields
from types import MappingProxyType
from typing import Any, TypeAlias

import cbor2
import msgspec

from tarragonlb.journal.replica import Replica
from tarragonlb.journal.snapshot import (
    SnapshotEncoder,
    compress_part,
    decompress_part,
    digest_parts,
    restore_state,
)
from tarragonlb.journal.state import State
from tarragonlb.model.decoding import convert, decode_cbor
from tarragonlb.model.errors import JournalError

HEARTBEAT_TIMEOUT_SECONDS = 15


@dataclass(frozen=True, slots=True, kw_only=True)
class Heartbeat:
    """A running member, and the offset and digest of its state."""

    member: str
    incarnation: str
    offset: int
    digest: bytes


@dataclass(frozen=True, slots=True, kw_only=True)
class SnapshotAsked:
    """A request for the state of the receiver."""


@dataclass(frozen=True, slots=True, kw_only=True)
class SnapshotPart:
    """A chunk of a state; the chunks are sent in order."""

    body: bytes


@dataclass(frozen=True, slots=True, kw_only=True)
class SnapshotEnd:
    """The end of a state, and the digest of all its rows."""

    content: bytes


Message: TypeAlias = Heartbeat | SnapshotAsked | SnapshotPart | SnapshotEnd

_KINDS: MappingProxyType[str, type[Any]] = MappingProxyType(
    {
        'heartbeat': Heartbeat,
        'ask': SnapshotAsked,
        'part': SnapshotPart,
        'end': SnapshotEnd,
    }
)
_NAMES = MappingProxyType({kind: name for name, kind in _KINDS.items()})


def encode_message(message: Message) -> bytes:
    """Encode a message as a pair of its kind and its values."""
    values_by_name = msgspec.to_builtins(message, builtin_types=(bytes,))
    return cbor2.dumps([_NAMES[type(message)], list(values_by_name.values())])


def decode_message(blob: bytes | str) -> Message:
    """Decode a message.

    Raises ``JournalError`` for bytes that are not a message.
    """
    try:
        name, values = convert(decode_cbor(blob), tuple[str, list[Any]])
        kind = _KINDS[name]
        values_by_name = dict(zip(_list_field_names(kind), values, strict=True))
        message: Message = convert(values_by_name, kind)
    except (KeyError, ValueError) as error:
        raise JournalError(f'not a peer message: {error!r}') from error
    return message


def _list_field_names(kind: type[Any]) -> list[str]:
    return [field.name for field in fields(kind)]


class PeerTable:
    """The latest heartbeat of each peer, with its local time of receipt."""

    __slots__ = ('_differing', '_heartbeats')

    def __init__(self) -> None:
        """Start without any peer."""
        self._heartbeats: dict[str, tuple[Heartbeat, float]] = {}
        self._differing: dict[str, bool] = {}

    def add_heartbeat(
        self, heartbeat: Heartbeat, own_digest: bytes | None, now: float
    ) -> None:
        """Store a heartbeat and compare its digest with the own one.

        ``own_digest`` is the digest of this process at the offset of the
        heartbeat, or None if it is not known any more or not yet.  ``now`` is
        in seconds of the monotonic clock.
        """
        self._heartbeats[heartbeat.member] = (heartbeat, now)
        if own_digest is not None:
            self._differing[heartbeat.member] = heartbeat.digest != own_digest

    def list_live(self, now: float) -> list[str]:
        """Return the names of the members with a recent heartbeat, sorted."""
        return sorted(
            member
            for member, (_, received_at) in self._heartbeats.items()
            if now - received_at < HEARTBEAT_TIMEOUT_SECONDS
        )

    def list_differing(self, now: float) -> list[str]:
        """Return the live peers whose digest differs from the own one."""
        return [
            member
            for member in self.list_live(now)
            if self._differing.get(member, False)
        ]

    def find_differing_majority(self, now: float) -> list[str]:
        """Return the live peers that differ, if they are the majority.

        The minority is this process and the live peers that agree with it.
        """
        differing = self.list_differing(now)
        compared = self._differing.keys() & set(self.list_live(now))
        agreeing = len(compared) - len(differing) + 1
        return differing if len(differing) > agreeing else []


def make_state_messages(replica: Replica) -> Iterator[Message]:
    """Yield the messages that transfer the state of a replica."""
    encoder = SnapshotEncoder(replica.state)
    part = encoder.encode_next_part()
    while part is not None:
        yield SnapshotPart(body=compress_part(part))
        part = encoder.encode_next_part()
    yield SnapshotEnd(content=encoder.digest_content())


def restore_peer_state(bodies: Iterable[bytes], end: SnapshotEnd) -> State:
    """Return the state that a peer has sent.

    Raises ``JournalError`` if it is corrupt.
    """
    parts = [decompress_part(body) for body in bodies]
    if digest_parts(parts) != end.content:
        raise JournalError(
            'the state that the peer sent does not match its digest'
        )
    return restore_state(parts)

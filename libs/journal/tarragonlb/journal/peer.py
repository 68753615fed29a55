"""What daemons of one availability zone tell each other.

A heartbeat says who runs, since which start, and the digest of its state at its
offset.  Peers at the same offset must have the same digest.  A new daemon asks
its peers for a snapshot where the platform's log can't be read.

>>> table = PeerTable()
>>> beat = Heartbeat(member='b', incarnation='1', offset=0, digest=b'')
>>> table.add_heartbeat(beat, b'', now=5)
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
from tarragonlb.model.errors import JournalError

HEARTBEAT_TIMEOUT_SECONDS = 15


@dataclass(frozen=True, slots=True, kw_only=True)
class Heartbeat:
    """A member that runs, and the state that it has come to."""

    member: str
    incarnation: str
    offset: int
    digest: bytes


@dataclass(frozen=True, slots=True, kw_only=True)
class SnapshotAsked:
    """A wish for the state of the one who reads this."""


@dataclass(frozen=True, slots=True, kw_only=True)
class SnapshotPart:
    """A chunk of a state; chunks come in order."""

    body: bytes


@dataclass(frozen=True, slots=True, kw_only=True)
class SnapshotEnd:
    """The end of a state, with the digest of all its rows."""

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


_NO_MESSAGE = (
    cbor2.CBORDecodeError,
    KeyError,
    TypeError,
    ValueError,
)


def encode_message(message: Message) -> bytes:
    """Return the bytes of a message: a pair of its kind and its values."""
    tree = msgspec.to_builtins(message, builtin_types=(bytes,))
    return cbor2.dumps([_NAMES[type(message)], list(tree.values())])


def decode_message(blob: bytes | str) -> Message:
    """Return the message that the bytes hold.

    Raises ``JournalError`` for bytes that are none.
    """
    try:
        name, members = cbor2.loads(blob)  # type: ignore[arg-type]
        kind = _KINDS[name]
        tree = dict(zip(_list_names(kind), members, strict=True))
        message: Message = msgspec.convert(tree, kind)
    except _NO_MESSAGE as error:
        raise JournalError(f'not a message of a peer: {error!r}') from error
    return message


def _list_names(kind: type[Any]) -> list[str]:
    return [member.name for member in fields(kind)]


class PeerTable:
    """Owns what was heard of each peer, on the clock of this process."""

    __slots__ = ('_differing', '_heard')

    def __init__(self) -> None:
        """Start without having heard of anyone."""
        self._heard: dict[str, tuple[Heartbeat, float]] = {}
        self._differing: dict[str, bool] = {}

    def add_heartbeat(
        self, beat: Heartbeat, own: bytes | None, now: float
    ) -> None:
        """Note a heartbeat, with the own digest at its offset if known.

        ``now`` is in seconds of the monotonic clock.
        """
        self._heard[beat.member] = (beat, now)
        if own is not None:
            self._differing[beat.member] = beat.digest != own

    def list_live(self, now: float) -> list[str]:
        """Return the members heard lately, in the order of their names."""
        return sorted(
            member
            for member, (_, heard_at) in self._heard.items()
            if now - heard_at < HEARTBEAT_TIMEOUT_SECONDS
        )

    def list_differing(self, now: float) -> list[str]:
        """Return the live peers whose digest was not the own one."""
        return [
            member
            for member in self.list_live(now)
            if self._differing.get(member, False)
        ]

    def find_differing_majority(self, now: float) -> list[str]:
        """Return the peers that differ if they are more than the others.

        The others are this process and the live peers that agree with it.
        """
        differing = self.list_differing(now)
        compared = self._differing.keys() & set(self.list_live(now))
        agreeing = len(compared) - len(differing) + 1
        return differing if len(differing) > agreeing else []


def make_state_messages(replica: Replica) -> Iterator[Message]:
    """Yield the messages that carry the state of a replica."""
    encoder = SnapshotEncoder(replica.state)
    part = encoder.encode_next_part()
    while part is not None:
        yield SnapshotPart(body=compress_part(part))
        part = encoder.encode_next_part()
    yield SnapshotEnd(content=encoder.digest_content())


def restore_peer_state(bodies: Iterable[bytes], end: SnapshotEnd) -> State:
    """Return the state that a peer has sent.

    Raises ``JournalError`` if it is damaged.
    """
    parts = [decompress_part(body) for body in bodies]
    if digest_parts(parts) != end.content:
        raise JournalError('the snapshot of the peer is damaged')
    return restore_state(parts)

"""The fold: from a state and a record to the next state.

``apply_record`` is a deterministic function of its arguments.  A record that
doesn't hold against the state is void: it changes nothing but the offset and
the digest, and the outcome tells its writer why.
"""

import hashlib
from dataclasses import dataclass
from types import MappingProxyType

from tarragonlb.journal import (
    burnfold,
    jobfold,
    memberfold,
    settingfold,
    snapshotfold,
    vmfold,
    wavefold,
)
from tarragonlb.journal.codec import RECORD_KINDS, decode_record
from tarragonlb.journal.rule import Reason, Rule
from tarragonlb.journal.state import State
from tarragonlb.journal.version import FIRST_LEVEL, Version
from tarragonlb.model.errors import JournalError, UnknownRecordError
from tarragonlb.model.invariant import ensure
from tarragonlb.model.record import Record

SEEN_WINDOW_RECORDS = 65_536
DIGEST_BYTES = 16
COUNTED = b'\x01'
VOID = b'\x00'
REPEATED = b'\x02'

_RULES: MappingProxyType[type, Rule] = MappingProxyType(
    {
        **settingfold.RULES,
        **vmfold.RULES,
        **jobfold.RULES,
        **wavefold.RULES,
        **burnfold.RULES,
        **snapshotfold.RULES,
        **memberfold.RULES,
    }
)

CURRENT = Version(
    level=FIRST_LEVEL,
    kinds=RECORD_KINDS,
    rules=_RULES,
    levels=MappingProxyType({}),
)


@dataclass(frozen=True, slots=True)
class RecordOutcome:
    """Whether a record counted; ``reason`` is empty if it did.

    ``entry`` is the record, None for bytes that are none.  ``repeated`` says
    that the id was folded before: this copy says nothing about the first one.
    """

    offset: int
    record_id: str
    reason: Reason = ''
    entry: Record | None = None
    repeated: bool = False

    @property
    def accepted(self) -> bool:
        """Return whether the record changed the state."""
        return not self.reason


def apply_blob(
    state: State, offset: int, blob: bytes, version: Version = CURRENT
) -> RecordOutcome:
    """Fold the bytes that stand in the log at an offset.

    Bytes that are no record are void.  Raises ``UnknownRecordError`` for a
    kind of a newer version, with the state unchanged.
    """
    ensure(offset == state.offset + 1, 'offsets have no gap', offset)
    try:
        entry = decode_record(blob, version.kinds)
    except UnknownRecordError:
        raise
    except JournalError as error:
        outcome = RecordOutcome(offset, '', str(error))
    else:
        outcome = _fold(state, entry, offset, version)
    state.offset = offset
    state.digest = _chain(state.digest, blob, outcome)
    return outcome


def _fold(
    state: State, entry: Record, offset: int, version: Version
) -> RecordOutcome:
    record_id = entry.head.record_id
    counted_at = state.seen.get(record_id)
    if counted_at:
        reason = f'counted at offset {counted_at}'
        return RecordOutcome(offset, record_id, reason, entry, repeated=True)
    if entry.head.basis < offset - SEEN_WINDOW_RECORDS:
        reason = f'made too long ago, at offset {entry.head.basis}'
        return RecordOutcome(offset, record_id, reason, entry)
    rule = version.rules[type(entry)]
    refusal = rule(state, entry, offset)
    _remember(state, record_id, offset)
    return RecordOutcome(offset, record_id, refusal or '', entry)


def _remember(state: State, record_id: str, offset: int) -> None:
    state.seen[record_id] = offset
    while len(state.seen) > SEEN_WINDOW_RECORDS:
        state.seen.pop(next(iter(state.seen)))


def _chain(digest: bytes, blob: bytes, outcome: RecordOutcome) -> bytes:
    link = hashlib.blake2b(digest, digest_size=DIGEST_BYTES)
    link.update(blob)
    link.update(_mark(outcome))
    return link.digest()


def _mark(outcome: RecordOutcome) -> bytes:
    if outcome.accepted:
        return COUNTED
    return REPEATED if outcome.repeated else VOID

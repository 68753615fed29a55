"""The fold, which applies records to the shared state.

``apply_blob`` is deterministic: the next state depends only on its arguments.
A record that is not valid in the present state is rejected: it changes nothing
but the offset and the digest, and the outcome tells its writer the reason.
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
ACCEPTED_MARK = b'\x01'
REJECTED_MARK = b'\x00'
DUPLICATE_MARK = b'\x02'

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

CURRENT_VERSION = Version(
    level=FIRST_LEVEL,
    kinds=RECORD_KINDS,
    rules=_RULES,
    levels=MappingProxyType({}),
)


@dataclass(frozen=True, slots=True)
class RecordOutcome:
    """Whether a record was accepted; if so, ``reason`` is empty.

    ``record`` is None for bytes that are not a record.  ``is_duplicate`` says
    that a record with the same id was folded before; this outcome does not say
    whether that one was accepted.
    """

    offset: int
    record_id: str
    reason: Reason = ''
    record: Record | None = None
    is_duplicate: bool = False

    @property
    def accepted(self) -> bool:
        """Return whether the record changed the state."""
        return not self.reason


def apply_blob(
    state: State, offset: int, blob: bytes, version: Version = CURRENT_VERSION
) -> RecordOutcome:
    """Fold the bytes that the log has at an offset.

    Bytes that are not a record are rejected.  Raises ``UnknownRecordError``
    for a kind of a newer version, and leaves the state unchanged.
    """
    ensure(offset == state.offset + 1, 'offsets are consecutive', offset)
    try:
        record = decode_record(blob, version.kinds)
    except UnknownRecordError:
        raise
    except JournalError as error:
        outcome = RecordOutcome(offset, '', str(error))
    else:
        outcome = _fold(state, record, offset, version)
    state.offset = offset
    state.digest = _extend_digest(state.digest, blob, outcome)
    return outcome


def _fold(
    state: State, record: Record, offset: int, version: Version
) -> RecordOutcome:
    record_id = record.head.record_id
    folded_at = state.seen.get(record_id)
    if folded_at:
        reason = f'already folded at offset {folded_at}'
        return RecordOutcome(
            offset, record_id, reason, record, is_duplicate=True
        )
    if record.head.basis < offset - SEEN_WINDOW_RECORDS:
        reason = f'too old, based on offset {record.head.basis}'
        return RecordOutcome(offset, record_id, reason, record)
    rule = version.rules[type(record)]
    rejection = rule(state, record, offset)
    _remember_id(state, record_id, offset)
    return RecordOutcome(offset, record_id, rejection or '', record)


def _remember_id(state: State, record_id: str, offset: int) -> None:
    state.seen[record_id] = offset
    while len(state.seen) > SEEN_WINDOW_RECORDS:
        state.seen.pop(next(iter(state.seen)))


def _extend_digest(digest: bytes, blob: bytes, outcome: RecordOutcome) -> bytes:
    next_digest = hashlib.blake2b(digest, digest_size=DIGEST_BYTES)
    next_digest.update(blob)
    next_digest.update(_choose_mark(outcome))
    return next_digest.digest()


def _choose_mark(outcome: RecordOutcome) -> bytes:
    if outcome.accepted:
        return ACCEPTED_MARK
    return DUPLICATE_MARK if outcome.is_duplicate else REJECTED_MARK

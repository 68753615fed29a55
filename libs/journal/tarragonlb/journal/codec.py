"""Records as CBOR.

A record is written as a pair of its kind and its fields.  A kind that this
version doesn't know can't be passed over: the state after it would differ
from that of daemons which know it.
"""

from types import MappingProxyType

import cbor2
import msgspec

from tarragonlb.model import burn, job, ownership, record, snapshot, wave
from tarragonlb.model.errors import JournalError, UnknownRecordError

MAX_RECORD_BYTES = 512 * 1024

RECORD_KINDS = MappingProxyType(
    {
        kind.__name__: kind
        for kind in (
            record.SettingPublished,
            record.TermTaken,
            record.KeyClaimed,
            ownership.VmAdopted,
            ownership.VmCharged,
            ownership.VmReleased,
            ownership.VmMoved,
            ownership.VmRetired,
            job.JobSubmitted,
            job.JobStarted,
            job.JobEnded,
            job.JobSetAside,
            job.JobsCancelled,
            wave.WavePlanned,
            wave.WaveSteered,
            burn.BurnReported,
            snapshot.SnapshotOpened,
            snapshot.SnapshotChunk,
            snapshot.SnapshotClosed,
            wave.VmPassedOver,
        )
    }
)


def encode_record(entry: record.Record) -> bytes:
    """Return the bytes of a record."""
    fields = msgspec.to_builtins(entry, builtin_types=(bytes,))
    return cbor2.dumps([type(entry).__name__, fields])


def decode_record(blob: bytes) -> record.Record:
    """Return the record that the bytes hold.

    Raises ``UnknownRecordError`` for a kind of a newer version and
    ``JournalError`` for bytes that are no record at all.
    """
    try:
        kind_name, fields = cbor2.loads(blob)
    except (cbor2.CBORDecodeError, TypeError, ValueError) as error:
        raise JournalError(f'not a record: {error}') from error
    kind = RECORD_KINDS.get(kind_name) if isinstance(kind_name, str) else None
    if kind is None:
        raise UnknownRecordError(f'record kind {kind_name!r} is not known')
    try:
        return msgspec.convert(fields, kind)
    except msgspec.ValidationError as error:
        raise JournalError(f'bad {kind_name}: {error}') from error

"""Encoding of records in CBOR.

A record is encoded as a pair of its kind and its fields.  A record of an
unknown kind must not be skipped: the state would then differ from that of
daemons that know the kind.
"""

from collections.abc import Mapping
from types import MappingProxyType
from typing import Any, cast

import cbor2
import msgspec

from tarragonlb.model import (
    burn,
    job,
    member,
    ownership,
    record,
    snapshot,
    wave,
)
from tarragonlb.model.decoding import DecodingError, convert, decode_cbor
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
            member.MemberAnnounced,
            member.MemberRetired,
            member.LevelRaised,
        )
    }
)


def encode_record(any_record: record.Record) -> bytes:
    """Encode a record."""
    fields = msgspec.to_builtins(any_record, builtin_types=(bytes,))
    return cbor2.dumps([type(any_record).__name__, fields])


def decode_record(
    blob: bytes, kinds: Mapping[str, type] = RECORD_KINDS
) -> record.Record:
    """Decode a record that is of one of these kinds.

    Raises ``UnknownRecordError`` for any other kind, which a newer version may
    have written, and ``JournalError`` for bytes that are not a record.
    """
    try:
        kind_name, fields = convert(decode_cbor(blob), tuple[Any, Any])
    except DecodingError as error:
        raise JournalError(f'not a record: {error}') from error
    kind = kinds.get(kind_name) if isinstance(kind_name, str) else None
    if kind is None:
        raise UnknownRecordError(f'record kind {kind_name!r} is unknown')
    try:
        return cast(record.Record, convert(fields, kind))
    except DecodingError as error:
        raise JournalError(f'invalid {kind_name}: {error}') from error

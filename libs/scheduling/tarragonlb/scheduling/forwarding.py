"""Records of a job that was forwarded to the partition of another pool.

See ``tarragonlb.scheduling.queuemoves``.
"""

from typing import Any

import cbor2

from tarragonlb.scheduling.records import (
    FORWARDING,
    SUBMISSION,
    KeyedRecord,
    build_removal_records,
    decode_content,
)


def build_forwarding_record(job_id: str, offset: int) -> KeyedRecord:
    """Return the mark that the submission at an offset was forwarded."""
    return KeyedRecord(job_id + FORWARDING, cbor2.dumps(offset))


def decode_forwarding(value: bytes) -> int:
    """Return the offset in a mark; raise ``RecordError`` if it is invalid."""
    return decode_content(value, int, 'forwarding')


def build_forwarded_submission(
    job_id: str, value: bytes, queue: str, pool: str
) -> KeyedRecord:
    """Return the submission of a job for another queue and pool.

    ``value`` is that of the former record.  Raise ``RecordError`` if it can't
    be decoded.
    """
    _, _, *rest = decode_content(value, list[Any], 'submission')
    return KeyedRecord(job_id + SUBMISSION, cbor2.dumps([queue, pool, *rest]))


def build_forwarded_removal(job_id: str) -> list[KeyedRecord]:
    """Return the records that remove what is left of a forwarded job."""
    return [
        *build_removal_records(job_id),
        KeyedRecord(job_id + FORWARDING, b''),
    ]

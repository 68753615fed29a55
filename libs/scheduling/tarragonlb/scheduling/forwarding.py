"""Records of a job that was forwarded to the partition of another pool.

See ``tarragonlb.scheduling.queuemoves``.
"""

from collections.abc import Iterable
from typing import Any

import cbor2

from tarragonlb.scheduling.records import (
    FORWARDING,
    KeyedRecord,
    build_submission_tail,
    decode_content,
)


def build_forwarding_record(job_id: str, offset: int) -> KeyedRecord:
    """Return the mark that the submission at an offset was forwarded."""
    return KeyedRecord(job_id + FORWARDING, cbor2.dumps(offset))


def decode_forwarding(value: bytes) -> int:
    """Return the offset in a mark; raise ``RecordError`` if it is invalid."""
    return decode_content(value, int, 'forwarding')


def build_forwarded_submission(
    job_id: str, value: bytes, queue: str, pool: str, covers: int = -1
) -> KeyedRecord:
    """Return the submission of a job for another queue and pool.

    ``value`` is that of the former record, and ``covers`` the last round of
    early cancellations that it covers.  Raise ``RecordError`` if it can't be
    decoded.
    """
    _, _, *rest = decode_content(value, list[Any], 'submission')
    return KeyedRecord(
        job_id + build_submission_tail(covers),
        cbor2.dumps([queue, pool, *rest]),
    )


def build_forwarded_removal(
    job_id: str, removals: Iterable[KeyedRecord]
) -> list[KeyedRecord]:
    """Return the records that remove what is left of a forwarded job.

    ``removals`` are those that would remove it if it had not been forwarded.
    """
    return [*removals, KeyedRecord(job_id + FORWARDING, b'')]

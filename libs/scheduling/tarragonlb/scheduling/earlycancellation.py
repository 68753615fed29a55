"""Cancellations of jobs that are not known, for submissions that come late.

An append without an answer may be carried out seconds later.  So the submission
of a job may be stored after its client has cancelled it, when no daemon knows
the job.  Such a cancellation is stored as well, in each partition where the
submission may arrive:

    ID-ROUND-OWNER + x   the tenant and the queue of the request

It is one of the tenant's jobs of that id only; OWNER is a digest of both, so
that none replaces that of another.  A round is one more than the last one that
its daemon has read, 0 if it has read none.  All cancellations that clients send
before one of them is answered have its round or a lower one.

A daemon reads the partition before it stores a submission, which says with its
key up to which round the daemon had read:

    ID + j         none
    ID-ROUND + j   that one, and all before

A submission that does not cover a round was sent before its cancellation was
answered, and does not count.  One that covers all of them is a new job.  Late
copies change nothing: a cancellation keeps its round, and submissions of
different rounds have different keys.
"""

import hashlib
from dataclasses import dataclass

import cbor2
import msgspec

from tarragonlb.scheduling.records import (
    EARLY_CANCELLATION,
    SEPARATOR,
    KeyedRecord,
    RecordError,
    decode_content,
)

# Far longer than an append without an answer may be late, and than a daemon
# goes on trying to store a submission.
RETENTION_SECONDS = 60.0
# Bounds what the daemons hold, as cancellations of unknown ids cost nothing.
MAX_IN_PARTITION = 3000
DIGEST_BYTES = 6
MAX_ROUND_DIGITS = 9


class EarlyCancellationContent(msgspec.Struct, array_like=True, frozen=True):
    """The content of a record."""

    tenant: str
    queue: str


@dataclass(frozen=True, slots=True)
class EarlyCancellation:
    """A cancellation by a tenant for a queue, first seen at an offset.

    >>> early = EarlyCancellation(7, 0, 'acme', 'q')
    >>> early.concerns('acme', 'r'), early.concerns('other', 'q')
    (True, False)
    """

    offset: int
    number: int
    tenant: str
    queue: str

    def concerns(self, tenant: str, queue: str) -> bool:
        """Return whether it is about a job of a tenant and a queue.

        If only one of both has a tenant, the queue became public, or ceased to
        be, between the two requests.
        """
        if self.tenant == tenant:
            return True
        return not (self.tenant and tenant) and self.queue == queue


def build_early_cancellation_record(
    job_id: str, number: int, tenant: str, queue: str
) -> KeyedRecord:
    """Return the record of a round in which an unknown job is cancelled."""
    content = EarlyCancellationContent(tenant, queue)
    value = cbor2.dumps(msgspec.to_builtins(content))
    owner = hashlib.blake2s(value, digest_size=DIGEST_BYTES).hexdigest()
    return KeyedRecord(f'{job_id}-{number}-{owner}{EARLY_CANCELLATION}', value)


def decode_early_cancellation(
    tail: str, offset: int, value: bytes
) -> EarlyCancellation:
    """Decode a record, of whose key ``tail`` follows the job's id.

    Raise ``RecordError`` if that is impossible.
    """
    content = decode_content(
        value, EarlyCancellationContent, 'early cancellation'
    )
    number = tail[1:].partition(SEPARATOR)[0]
    if not is_round(number):
        raise RecordError(f'unknown key of an early cancellation: {tail!r}')
    return EarlyCancellation(offset, int(number), content.tenant, content.queue)


def is_round(digits: str) -> bool:
    """Return whether part of a key is the number of a round."""
    return digits.isdecimal() and len(digits) <= MAX_ROUND_DIGITS

"""Cancellations of jobs that are not known, for submissions that come late.

An append without an answer may be carried out seconds later.  So the submission
of a job may be stored after its client has cancelled it, when no daemon knows
the job.  Such a cancellation is stored as well, in each partition where the
submission may arrive:

    ID-TOKEN + x   the tenant and the queue of the request

It is one of the tenant's jobs of that id only, and each has a token of its own,
so that none replaces another.

A daemon reads the partition before it stores a submission, which says with its
key up to which such record the daemon had read:

    ID + j             none of this job
    ID-OFFSET + j      the one at the offset, and all before

A submission that comes behind a cancellation which it does not cover was sent
before that, or at the same time, and is void.  One that covers it is a new job.
Since these have different keys, a late submission replaces no newer one.
"""

from dataclasses import dataclass

import cbor2
import msgspec

from tarragonlb.scheduling.records import (
    EARLY_CANCELLATION,
    KeyedRecord,
    decode_content,
)

# Far longer than an append without an answer may be late, and than a daemon
# goes on trying to store a submission.
RETENTION_SECONDS = 60.0
# Bounds what the daemons hold, as cancellations of unknown ids cost nothing.
MAX_IN_PARTITION = 3000


class EarlyCancellationContent(msgspec.Struct, array_like=True, frozen=True):
    """The content of a record."""

    tenant: str
    queue: str


@dataclass(frozen=True, slots=True)
class EarlyCancellation:
    """A cancellation at an offset, by a tenant for a queue.

    >>> early = EarlyCancellation(7, 'acme', 'q')
    >>> early.concerns('acme', 'r'), early.concerns('other', 'q')
    (True, False)
    """

    offset: int
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
    job_id: str, token: str, tenant: str, queue: str
) -> KeyedRecord:
    """Return the record that cancels a job which is not known."""
    content = EarlyCancellationContent(tenant, queue)
    return KeyedRecord(
        f'{job_id}-{token}{EARLY_CANCELLATION}',
        cbor2.dumps(msgspec.to_builtins(content)),
    )


def decode_early_cancellation(offset: int, value: bytes) -> EarlyCancellation:
    """Decode a record; raise ``RecordError`` if that is impossible."""
    content = decode_content(
        value, EarlyCancellationContent, 'early cancellation'
    )
    return EarlyCancellation(offset, content.tenant, content.queue)

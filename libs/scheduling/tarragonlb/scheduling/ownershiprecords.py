"""Records on which partition a pool has, and which daemon owns it.

They are in the fleet partition.

    pool/POOL           the partition of the pool's jobs, chosen once
    owner/PARTITION     a sign of life of the partition's owner

>>> status = OwnerStatus(partition=3, member='vm-1', term=7, number=1,
...                      processor_cores=2.0)
>>> decode_owner_status(3, build_owner_record(status).value) == status
True
"""

from dataclasses import dataclass

import cbor2

from tarragonlb.scheduling.records import KeyedRecord

POOL = 'pool'
OWNER = 'owner'


@dataclass(frozen=True, slots=True, kw_only=True)
class OwnerStatus:
    """A sign of life of a partition's owner; ``number`` rises with each.

    ``processor_cores`` is the capacity of the owner's VM.  Once the partition
    is released, another daemon may own it.
    """

    partition: int
    member: str
    term: int
    number: int
    processor_cores: float
    is_released: bool = False


def build_pool_record(pool: str, partition: int) -> KeyedRecord:
    """Return the record that assigns a pool to a partition."""
    return KeyedRecord(f'{POOL}/{pool}', cbor2.dumps(partition))


def build_owner_record(status: OwnerStatus) -> KeyedRecord:
    """Return the record of an owner's status."""
    content = [
        status.member,
        status.term,
        status.number,
        status.processor_cores,
        status.is_released,
    ]
    return KeyedRecord(f'{OWNER}/{status.partition}', cbor2.dumps(content))


def decode_owner_status(partition: int, value: bytes) -> OwnerStatus:
    """Return the status in a record; raise ``ValueError`` if it is invalid."""
    row = cbor2.loads(value)
    if not isinstance(row, list) or len(row) < 5:
        raise ValueError('not the status of an owner')
    return OwnerStatus(
        partition=partition,
        member=str(row[0]),
        term=int(row[1]),
        number=int(row[2]),
        processor_cores=float(row[3]),
        is_released=bool(row[4]),
    )


def is_owner_record(record: KeyedRecord) -> bool:
    """Return whether a record is an owner's status."""
    return record.key.startswith(f'{OWNER}/')

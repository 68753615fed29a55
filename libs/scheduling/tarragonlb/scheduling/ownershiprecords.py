"""Records on which partition a pool has, and which daemon owns it.

They are in the fleet partition.

    pool/POOL           the partition of the pool's jobs, chosen once
    owner/PARTITION     a sign of life of the partition's owner
    offer/PARTITION     an offer to take over from an overloaded owner

>>> status = OwnerStatus(partition=3, member='vm-1', term=7, number=1,
...                      processor_cores=2.0)
>>> decode_owner_status(3, build_owner_record(status).value) == status
True
>>> offer = OwnerOffer(partition=3, member='vm-2', term=7, number=1)
>>> decode_owner_offer(3, build_offer_record(offer).value) == offer
True
"""

from dataclasses import astuple, dataclass, fields

import cbor2

from tarragonlb.model.decoding import (
    Amount,
    Count,
    DecodingError,
    convert,
    decode_cbor,
)
from tarragonlb.scheduling.records import KeyedRecord

POOL = 'pool'
OWNER = 'owner'
OFFER = 'offer'


@dataclass(frozen=True, slots=True, kw_only=True)
class OwnerStatus:
    """A sign of life of a partition's owner; ``number`` rises with each.

    ``processor_cores`` is the capacity of the owner's VM, ``lag_share`` the
    share of time for which its event loop is behind, ``owned_partitions`` how
    many it owns.  Once the partition is released, another daemon may own it;
    if the owner has chosen a ``successor``, others leave it to that one.
    """

    partition: int
    member: str
    term: Count
    number: Count
    processor_cores: Amount
    lag_share: Amount = 0.0
    owned_partitions: Count = 1
    is_released: bool = False
    successor: str = ''


@dataclass(frozen=True, slots=True, kw_only=True)
class OwnerOffer:
    """An offer to own a partition after the owner of ``term``.

    ``number`` is that of the owner's status that it responds to.
    """

    partition: int
    member: str
    term: Count
    number: Count


def build_pool_record(pool: str, partition: int) -> KeyedRecord:
    """Return the record that assigns a pool to a partition."""
    return KeyedRecord(f'{POOL}/{pool}', cbor2.dumps(partition))


def build_owner_record(status: OwnerStatus) -> KeyedRecord:
    """Return the record of an owner's status."""
    return KeyedRecord(f'{OWNER}/{status.partition}', _encode(status))


def build_offer_record(offer: OwnerOffer) -> KeyedRecord:
    """Return the record of an offer."""
    return KeyedRecord(f'{OFFER}/{offer.partition}', _encode(offer))


def decode_owner_status(partition: int, value: bytes) -> OwnerStatus:
    """Return the status in a record; raise ``ValueError`` if it is invalid."""
    return convert(_decode(partition, value, OwnerStatus), OwnerStatus)


def decode_owner_offer(partition: int, value: bytes) -> OwnerOffer:
    """Return the offer in a record; raise ``ValueError`` if it is invalid."""
    return convert(_decode(partition, value, OwnerOffer), OwnerOffer)


def decode_pool_partition(value: bytes) -> int:
    """Return a pool's partition; raise ``ValueError`` if it is invalid."""
    return convert(decode_cbor(value), int)


def is_owner_record(record: KeyedRecord) -> bool:
    """Return whether a record is an owner's status or an offer to one."""
    return record.key.startswith((f'{OWNER}/', f'{OFFER}/'))


def _encode(record: OwnerStatus | OwnerOffer) -> bytes:
    # The partition, which is the first field, is in the key.
    return cbor2.dumps(astuple(record)[1:])


def _decode(
    partition: int, value: bytes, kind: type[OwnerStatus | OwnerOffer]
) -> dict[str, object]:
    content = decode_cbor(value)
    if not isinstance(content, list):
        raise DecodingError('expected a row')
    names = (field.name for field in fields(kind))
    return dict(zip(names, (partition, *content), strict=False))

"""Decodes the values of the records in ``tarragonlb.scheduling.fleetrecords``.

Each function raises ``ValueError`` for a value that can't be used.
"""

import msgspec

from tarragonlb.model.decoding import Amount, Count, convert, decode_cbor
from tarragonlb.scheduling.fleetrecords import DrainRequest, PoolLoad, VmOrder


class DrainContent(msgspec.Struct, array_like=True, frozen=True):
    """The value of the record of a drain request, or of a drained worker."""

    worker_id: str
    wave: Count
    number: Count


class LoadContent(msgspec.Struct, array_like=True, frozen=True):
    """The value of the record of a pool's load."""

    wanted_workers: Count
    min_workers: Count
    needed_workers: Count
    drain_candidates: tuple[str, ...]
    with_permanent_tasks: tuple[str, ...]


class OrderContent(msgspec.Struct, array_like=True, frozen=True):
    """The value of the record of an order for a VM."""

    term: Count
    wall_ms: Amount


def decode_load(value: bytes) -> PoolLoad:
    """Return the load in a record; raise ``ValueError`` if it is invalid."""
    content = convert(decode_cbor(value), LoadContent)
    return PoolLoad(*msgspec.structs.astuple(content))


def decode_drain(vm_id: str, value: bytes) -> DrainRequest:
    """Return the request in a record; raise ``ValueError`` if it is invalid."""
    content = convert(decode_cbor(value), DrainContent)
    return DrainRequest(vm_id, *msgspec.structs.astuple(content))


def decode_order(value: bytes) -> VmOrder:
    """Return the order in a record; raise ``ValueError`` if it is invalid."""
    content = convert(decode_cbor(value), OrderContent)
    return VmOrder(content.term, content.wall_ms)


def decode_worker_id(value: bytes) -> str:
    """Return the worker in a record; raise ``ValueError`` if it is invalid."""
    return convert(decode_cbor(value), str)

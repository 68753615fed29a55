"""Measures the time to fold a record at three fleet sizes."""

import time
from dataclasses import dataclass

from tarragonlb.journal.codec import encode_record
from tarragonlb.journal.fold import apply_blob
from tarragonlb.journal.state import State
from tarragonlb.model.ownership import VmAdopted
from tarragonlb.model.recordhead import HeadFactory

FLEET_SIZES = (1_000, 5_000, 23_000)
MICROSECONDS_PER_SECOND = 1_000_000


@dataclass(frozen=True, slots=True, kw_only=True)
class FoldFigure:
    """Mean time to fold a record, and mean size of a record."""

    vms: int
    microseconds_a_record: float
    bytes_a_record: float


def measure_fold(vms: int) -> FoldFigure:
    """Fold the adoption of ``vms`` VMs and return the cost per record."""
    head_factory = HeadFactory('bench', '1')
    blobs = [
        encode_record(
            VmAdopted(
                head=head_factory.make_head(0, 0),
                vm_id=f'vm-{index}',
                pool=f'pool-{index % 72}',
                zone=f'zone-{index % 8}',
                rack=f'rack-{index // 4}',
            )
        )
        for index in range(vms)
    ]
    state = State()
    started = time.process_time()
    for offset, blob in enumerate(blobs, start=1):
        apply_blob(state, offset, blob)
    seconds = time.process_time() - started
    return FoldFigure(
        vms=vms,
        microseconds_a_record=seconds / vms * MICROSECONDS_PER_SECOND,
        bytes_a_record=sum(map(len, blobs)) / vms,
    )

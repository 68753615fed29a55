"""How long the fold takes for a record, at three sizes of the fleet."""

import time
from dataclasses import dataclass

from tarragonlb.journal.codec import encode_record
from tarragonlb.journal.fold import apply_blob
from tarragonlb.journal.state import State
from tarragonlb.model.ownership import VmAdopted
from tarragonlb.model.recordhead import HeadFactory

SIZES = (1_000, 5_000, 23_000)
MICROSECONDS = 1_000_000


@dataclass(frozen=True, slots=True, kw_only=True)
class FoldFigure:
    """Microseconds to fold a record, and bytes of a record."""

    vms: int
    microseconds_a_record: float
    bytes_a_record: float


def measure_fold(vms: int) -> FoldFigure:
    """Adopt so many VMs and return the cost of a record."""
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
        microseconds_a_record=seconds / vms * MICROSECONDS,
        bytes_a_record=sum(map(len, blobs)) / vms,
    )

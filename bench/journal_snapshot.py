"""Measures the shared state: fold, snapshot, restore and memory."""

import time
import tracemalloc
from collections.abc import Iterator
from dataclasses import dataclass

from tarragonlb.journal.codec import encode_record
from tarragonlb.journal.fold import SEEN_WINDOW_RECORDS, apply_blob
from tarragonlb.journal.snapshot import (
    SnapshotEncoder,
    compress_part,
    decompress_part,
    restore_state,
)
from tarragonlb.journal.state import State
from tarragonlb.model.ownership import VmAdopted
from tarragonlb.model.record import Record, SettingPublished, TermTaken
from tarragonlb.model.recordhead import HeadFactory

SNAPSHOT_SIZES = (1_000, 5_000, 23_000)
POOLS = 72
TEAMS = 380
MICROSECONDS_PER_SECOND = 1_000_000
BYTES_PER_MEBIBYTE = 1024 * 1024
INCARNATION = '0123456789abcdef0123456789abcdef'


@dataclass(frozen=True, slots=True, kw_only=True)
class SnapshotFigure:
    """Cost of a state with ``vms`` VMs and the ids of ``ids`` records.

    ``longest_part_milliseconds`` is the longest time for which encoding one
    chunk blocks the process.
    """

    vms: int
    ids: int
    fold_microseconds_a_record: float
    state_mebibytes: float
    snapshot_bytes: int
    chunks: int
    cut_milliseconds: float
    encode_seconds: float
    longest_part_milliseconds: float
    encode_peak_mebibytes: float
    restore_seconds: float


def list_records(vms: int, ids: int) -> Iterator[Record]:
    """Yield the records that produce a state of this size."""
    head_factory = HeadFactory('entry-bench', INCARNATION)
    for kind, count in (('pools', POOLS), ('teams', TEAMS)):
        for index in range(count):
            yield SettingPublished(
                head=head_factory.make_head(0, 0),
                path=f'/{kind}/{kind}-{index}',
                text='{}',
                source='bench.yaml',
                expected_version=0,
            )
    for index in range(vms):
        yield VmAdopted(
            head=head_factory.make_head(0, 0),
            vm_id=f'vm-{index}',
            pool=f'pool-{index % POOLS}',
            zone=f'zone-{index % 8}',
            rack=f'rack-{index // 4}',
        )
    for number in range(ids - vms - POOLS - TEAMS):
        yield TermTaken(
            head=head_factory.make_head(number, 0),
            scope='planner',
            expected_number=min(number, 1),
            holder='entry-bench',
        )


def measure_snapshot(
    vms: int, ids: int = SEEN_WINDOW_RECORDS
) -> SnapshotFigure:
    """Fold a state of this size, take a snapshot of it and restore it."""
    blobs = [encode_record(record) for record in list_records(vms, ids)]
    state, fold_seconds = _fold(blobs)
    creation_seconds = _time_encoder_creation(state)
    bodies, times = _encode(SnapshotEncoder(state))
    state_bytes, peak_bytes = _measure_memory(blobs)
    return SnapshotFigure(
        vms=vms,
        ids=ids,
        fold_microseconds_a_record=fold_seconds
        / len(blobs)
        * MICROSECONDS_PER_SECOND,
        state_mebibytes=state_bytes / BYTES_PER_MEBIBYTE,
        snapshot_bytes=sum(map(len, bodies)),
        chunks=len(bodies),
        cut_milliseconds=creation_seconds * 1000,
        encode_seconds=sum(times),
        longest_part_milliseconds=max(times) * 1000,
        encode_peak_mebibytes=peak_bytes / BYTES_PER_MEBIBYTE,
        restore_seconds=_restore(bodies),
    )


def _fold(blobs: list[bytes]) -> tuple[State, float]:
    state = State()
    started = time.process_time()
    for offset, blob in enumerate(blobs, start=1):
        apply_blob(state, offset, blob)
    return state, time.process_time() - started


def _measure_memory(blobs: list[bytes]) -> tuple[int, int]:
    tracemalloc.start()
    state, _ = _fold(blobs)
    state_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.reset_peak()
    SnapshotEncoder(state).digest_content()
    peak_bytes = tracemalloc.get_traced_memory()[1]
    tracemalloc.stop()
    return state_bytes, peak_bytes - state_bytes


def _time_encoder_creation(state: State) -> float:
    started = time.process_time()
    SnapshotEncoder(state)
    return time.process_time() - started


def _encode(encoder: SnapshotEncoder) -> tuple[list[bytes], list[float]]:
    bodies = []
    times = []
    started = time.process_time()
    part = encoder.encode_next_part()
    while part is not None:
        bodies.append(compress_part(part))
        times.append(time.process_time() - started)
        started = time.process_time()
        part = encoder.encode_next_part()
    return bodies, times


def _restore(bodies: list[bytes]) -> float:
    started = time.process_time()
    restore_state(decompress_part(body) for body in bodies)
    return time.process_time() - started

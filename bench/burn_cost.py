"""Measures the burn report: counting, report size, folding and memory.

Each figure is measured at three numbers of services, all of them active.  The
folded state of a service holds 36 days, 24 hours and 12 spans of five minutes.
"""

import random
import time
import tracemalloc
from dataclasses import dataclass

from tarragonlb.journal.burnfold import (
    FINE_MINUTES,
    HOUR_MINUTES,
    MAX_DAY_BUCKETS,
    MAX_FINE_BUCKETS,
    MAX_HOUR_BUCKETS,
    add_count,
)
from tarragonlb.journal.codec import encode_record
from tarragonlb.journal.snapshot import SnapshotEncoder, compress_part
from tarragonlb.journal.state import State
from tarragonlb.model.burn import (
    MINUTES_PER_DAY,
    BurnEntry,
    BurnReported,
    ServiceCount,
)
from tarragonlb.model.record import Head
from tarragonlb.settings.schema import ObjectiveSettings
from tarragonlb.telemetry.burnreport import report_service
from tarragonlb.telemetry.meter import (
    BurnMeter,
    RequestResult,
    choose_report_interval,
)

SIZES = (60, 380, 1140)
ENTRY_VMS = 72
REQUESTS_PER_SERVICE = 100
FIRST_MINUTE = 29_000_000
LAST_MINUTE = FIRST_MINUTE + MAX_DAY_BUCKETS * MINUTES_PER_DAY
SEED = 1
MAX_COUNT = 100_000
LATENCY_BUCKETS = range(-8, 4)
SECONDS_PER_MICROSECOND = 1e-6
BYTES_PER_KILOBYTE = 1024
MINUTES = (
    *(FIRST_MINUTE + day * MINUTES_PER_DAY for day in range(MAX_DAY_BUCKETS)),
    *(LAST_MINUTE - hour * HOUR_MINUTES for hour in range(MAX_HOUR_BUCKETS)),
    *(LAST_MINUTE - step * FINE_MINUTES for step in range(MAX_FINE_BUCKETS)),
)
OBJECTIVE = ObjectiveSettings(availability=0.999, latency_seconds=2)


@dataclass(frozen=True, slots=True, kw_only=True)
class BurnFigure:
    """Costs at a number of services; times are in microseconds.

    ``period_minutes`` is the time between two reports of an entry VM if there
    are 72 entry VMs.
    """

    services: int
    count_request: float
    summary_bytes: int
    period_minutes: int
    fold_service: float
    report_service: float
    entry_kilobytes: float
    snapshot_kilobytes: int


def measure_burn(services: int) -> BurnFigure:
    """Measure the costs at a number of services."""
    meter = BurnMeter()
    counting_seconds = _time_counting(meter, services)
    counts = meter.collect_and_reset()
    size = len(encode_record(_make_record(counts)))
    started = time.perf_counter()
    entries = _fold(services)
    folding_seconds = time.perf_counter() - started
    return BurnFigure(
        services=services,
        count_request=_to_microseconds(
            counting_seconds, services * REQUESTS_PER_SERVICE
        ),
        summary_bytes=size,
        period_minutes=choose_report_interval(size, ENTRY_VMS),
        fold_service=_to_microseconds(folding_seconds, services * len(MINUTES)),
        report_service=_to_microseconds(_time_reports(entries), services),
        entry_kilobytes=_measure_memory(services),
        snapshot_kilobytes=_measure_snapshot(entries) // BYTES_PER_KILOBYTE,
    )


def _measure_memory(services: int) -> float:
    tracemalloc.start()
    entries = _fold(services)
    used = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return round(used / len(entries) / BYTES_PER_KILOBYTE, 1)


def _time_counting(meter: BurnMeter, services: int) -> float:
    started = time.perf_counter()
    for number in range(services):
        for step in range(REQUESTS_PER_SERVICE):
            result = RequestResult(
                service=f'team-{number}/service',
                seconds=(step + 1) / REQUESTS_PER_SERVICE,
                answered=bool(step),
            )
            meter.add(result, OBJECTIVE)
    return time.perf_counter() - started


def _make_record(counts: tuple[ServiceCount, ...]) -> BurnReported:
    head = Head(
        record_id='entry-colombo-1-0123456789abcdef0123456789abcdef-1',
        basis=1,
        author='entry-colombo-1',
        written_at=1.5e9,
    )
    return BurnReported(
        head=head, entry='entry-colombo-1', minute=FIRST_MINUTE, counts=counts
    )


def _fold(services: int) -> dict[str, BurnEntry]:
    rng = random.Random(SEED)
    names = [f'team-{number}/service' for number in range(services)]
    entries = {name: BurnEntry(service=name) for name in names}
    for minute in MINUTES:
        for name in names:
            count = _make_random_count(name, rng)
            entries[name] = add_count(entries[name], count, minute)
    return entries


def _make_random_count(service: str, rng: random.Random) -> ServiceCount:
    latency = tuple((key, rng.randrange(MAX_COUNT)) for key in LATENCY_BUCKETS)
    return ServiceCount(
        service=service,
        good=rng.randrange(MAX_COUNT),
        slow=rng.randrange(MAX_COUNT // 100),
        bad=rng.randrange(MAX_COUNT // 1000),
        latency=latency,
    )


def _measure_snapshot(entries: dict[str, BurnEntry]) -> int:
    state = State()
    state.burn = entries
    encoder = SnapshotEncoder(state)
    size = 0
    while part := encoder.encode_next_part():
        size += len(compress_part(part))
    return size


def _time_reports(entries: dict[str, BurnEntry]) -> float:
    started = time.perf_counter()
    for entry in entries.values():
        report_service(entry, OBJECTIVE, LAST_MINUTE)
    return time.perf_counter() - started


def _to_microseconds(seconds: float, steps: int) -> float:
    return round(seconds / steps / SECONDS_PER_MICROSECOND, 1)

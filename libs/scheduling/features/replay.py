"""Replays one stream of jobs under several policies, on virtual time."""

import math
import random
from collections import defaultdict
from dataclasses import dataclass, replace

from peaksimulation import (
    OBJECTIVE_SECONDS,
    SETTINGS,
    STRETCH,
    TICK_SECONDS,
    JobResult,
    PeakSimulation,
    PoolTraffic,
)

from tarragonlb.scheduling.forecast import EndForecast
from tarragonlb.scheduling.job import Demand, Job, JobSpec, Moment, Step
from tarragonlb.scheduling.jobstate import JobState
from tarragonlb.scheduling.lookahead import LookAheadPlacement
from tarragonlb.scheduling.lookaheadrecord import (
    LookAheadRecord,
    ReservationEvent,
)
from tarragonlb.scheduling.placement import FirstFit, PackNearData
from tarragonlb.scheduling.policies import (
    JobOrder,
    SchedulingPolicies,
)
from tarragonlb.scheduling.reservationfilter import ReservationFilter
from tarragonlb.scheduling.wave import VmStatus

POOL = 'p'
KINDS = 8
GANG_SHARE = 0.1
TAIL_SHARE = 0.03
TAIL_FACTOR = 7
PERIOD_SECONDS = 18.0
PEAK_SECONDS = 5.0
PEAK_FACTOR = 5.0
# Arrivals between peaks, so that the mean of a period is 1.
BASE_FACTOR = (PERIOD_SECONDS - PEAK_FACTOR * PEAK_SECONDS * 2 / math.pi) / (
    PERIOD_SECONDS - PEAK_SECONDS
)
# Tasks of this share of a worker or more make a job large.
LARGE_SHARE = 0.25
MAX_DRAIN_SECONDS = 40.0
# Jobs with a gang that needs more than one worker, with large tasks, others.
SIZES = ('small', 'large', 'gang')


class ArrivalOrder(JobOrder):
    """Places the steps of jobs in the order in which these were submitted."""

    def arrange(self, ready, partition, now):
        yield from sorted(
            ready,
            key=lambda one: (one.job_state.submitted_at, one.key),
        )

    def note_placed(self, ready):
        """Nothing."""


def build_first_fit():
    return SchedulingPolicies(placement=FirstFit(), order=ArrivalOrder())


def build_present():
    return SchedulingPolicies(placement=PackNearData())


def build_look_ahead(gangs=False, wide=False, fits_by_end=False):
    record = LookAheadRecord()
    forecast = EndForecast(record.durations)
    settings = replace(
        SETTINGS, reserves_for_gangs=gangs, reserves_for_wide_steps=wide
    )
    placement = LookAheadPlacement(forecast)
    return SchedulingPolicies(
        placement=placement if fits_by_end else PackNearData(),
        filters=(ReservationFilter(record, forecast, settings),),
        look_ahead=record,
    )


POLICIES = {
    'first fit': build_first_fit,
    'today': build_present,
    'gangs': lambda: build_look_ahead(gangs=True),
    'gangs+wide': lambda: build_look_ahead(gangs=True, wide=True),
    'best fit': lambda: build_look_ahead(fits_by_end=True),
    'gangs+fit': lambda: build_look_ahead(gangs=True, fits_by_end=True),
}


@dataclass(frozen=True)
class Shape:
    """A stream of jobs, by its load as a share of the pool's capacity."""

    load: float
    workers: int = 40
    cores: int = 16
    cpu_range: tuple[float, float] = (0.3, 10)
    seconds: float = 30.0
    has_tail: bool = False
    is_misdeclared: bool = False
    has_peaks: bool = False


@dataclass(frozen=True)
class StreamedJob:
    submitted_at: float
    job: Job
    durations: dict
    chain_seconds: float
    size: str


class JobStream:
    """Jobs that arrive at the load of a shape."""

    def __init__(self, shape, seed):
        self.shape = shape
        self.random = random.Random(seed)
        low, high = map(math.log, shape.cpu_range)
        self.kinds = [
            (
                math.exp(low + (high - low) * (number + 0.5) / KINDS),
                self.random.uniform(0.64, 1.7),
            )
            for number in range(KINDS)
        ]
        owed = shape.load * shape.cores * shape.workers * shape.seconds
        drafts = []
        while owed > 0:
            steps, durations = self._make_steps(len(drafts))
            drafts.append((steps, durations))
            owed -= sum(
                seconds * steps[number].demand.cpu_millicores / 1000
                for (_, number, _), seconds in durations.items()
            )
        times = sorted(self._draw_time() for _ in drafts)
        self.jobs = [
            self._build(number, at, *draft)
            for number, (at, draft) in enumerate(
                zip(times, drafts, strict=True)
            )
        ]

    def _draw_time(self):
        while True:
            at = self.random.uniform(0, self.shape.seconds)
            if not self.shape.has_peaks:
                return at
            if self.random.random() * PEAK_FACTOR < compute_rate(at):
                return at

    def _make_steps(self, job_number):
        source, shape = self.random, self.shape
        steps, durations = [], {}
        image = source.randrange(KINDS)
        cores, mean_seconds = self.kinds[image]
        for number in range(source.randint(1, 4)):
            width = round(math.exp(source.uniform(0, math.log(32))))
            low, high = shape.cpu_range
            cpu = min(max(cores * source.lognormvariate(0, 0.3), low), high)
            typical = mean_seconds * source.lognormvariate(-0.02, 0.2)
            room = shape.cores * shape.workers / 3
            is_gang = source.random() < GANG_SHARE and width * cpu < room
            seconds = 0.0
            for position in range(width):
                # The tasks of a gang end together.
                if not (is_gang and seconds):
                    seconds = self._draw_seconds(typical)
                durations[f'{job_number:016x}', number, position] = seconds
            off = source.uniform(0.1, 1.9) if shape.is_misdeclared else 1
            memory_mb = cpu * 2048 * source.lognormvariate(0, 0.5)
            steps.append(
                Step(
                    width=width,
                    demand=Demand(
                        round(cpu * 1000), min(round(memory_mb), 32768), 0
                    ),
                    estimate_seconds=typical * off,
                    prerequisites=(number - 1,) if number else (),
                    image=f'i{image}',
                    is_gang=is_gang,
                )
            )
        return steps, durations

    def _draw_seconds(self, typical):
        seconds = typical * self.random.lognormvariate(-0.02, 0.2)
        is_slow = self.shape.has_tail and self.random.random() < TAIL_SHARE
        return seconds * TAIL_FACTOR if is_slow else seconds

    def _build(self, number, at, steps, durations):
        chain = 0.0
        for index in range(len(steps)):
            chain += max(
                seconds
                for (_, step, _), seconds in durations.items()
                if step == index
            )
        job = Job(
            job_id=next(iter(durations))[0],
            queue=POOL,
            pool=POOL,
            spec=JobSpec(payload='x', steps=tuple(steps)),
        )
        size = _find_size(steps, self.shape.cores * 1000)
        return StreamedJob(at, job, durations, chain, size)


def _find_size(steps, millicores):
    """Return the size of a job on workers with so many millicores."""
    if any(
        step.is_gang and step.width * step.demand.cpu_millicores > millicores
        for step in steps
    ):
        return 'gang'
    largest = max(step.demand.cpu_millicores for step in steps)
    return 'large' if largest >= LARGE_SHARE * millicores else 'small'


def compute_rate(at):
    """Return the arrivals at a time, as a multiple of their mean."""
    turn = at % PERIOD_SECONDS
    if turn >= PEAK_SECONDS:
        return BASE_FACTOR
    return BASE_FACTOR + (PEAK_FACTOR - BASE_FACTOR) * math.sin(
        math.pi * turn / PEAK_SECONDS
    )


class Replay(PeakSimulation):
    """One pool of a fixed number of workers that serves a stream."""

    def __init__(self, stream, build):
        shape = stream.shape
        traffic = PoolTraffic(0, (), 0, 0, 0, vm_cores=shape.cores)
        self.stream = stream
        self.upcoming = list(reversed(stream.jobs))
        self.used_seconds = 0.0
        self.empty_counts = []
        self.changes = []
        self.build_policies = build
        super().__init__(0, shape.workers, {POOL: traffic}, 1.0)

    def _create_vms(self, count):
        for number in range(count):
            self._add_vm(f'm{number}', POOL, VmStatus.UP)

    def _submit_jobs(self):
        scheduler = self.pools[POOL].scheduler
        while self.upcoming and self.upcoming[-1].submitted_at <= self.now:
            streamed = self.upcoming.pop()
            self.durations.update(streamed.durations)
            self.results[streamed.job.job_id] = JobResult(
                POOL,
                self.now,
                STRETCH * streamed.chain_seconds + OBJECTIVE_SECONDS,
            )
            scheduler.state.add_job(JobState(streamed.job, Moment(self.now)))

    def _rebalance(self):
        """Leave all workers in the pool."""

    def _compute_percent(self, key, ends_at):
        seconds = self.durations[key.job_id, key.step, key.position]
        return int(100 * (1 - (ends_at - self.now) / seconds))

    def _count(self):
        state = self.pools[POOL].scheduler.state
        if state.look_ahead is not None:
            self.changes.extend(state.look_ahead.changes)
            state.look_ahead.changes.clear()
        if self.now <= self.stream.shape.seconds:
            used = sum(
                worker.entry.capacity.cpu_millicores - worker.free_cpu
                for worker in state.workers.values()
            )
            self.used_seconds += used / 1000 * TICK_SECONDS
        turn = self.now % PERIOD_SECONDS
        if PEAK_SECONDS < turn <= 2 * PEAK_SECONDS:
            self.empty_counts.append(
                sum(not worker.attached for worker in state.workers.values())
            )

    def run_all(self):
        shape = self.stream.shape
        self.run(shape.seconds)
        self.done_in_time = sum(
            result.ended_at < math.inf for result in self.results.values()
        )
        while (
            any(one.ended_at == math.inf for one in self.results.values())
            and self.now < shape.seconds + MAX_DRAIN_SECONDS
        ):
            self.step()
        return self

    def list_waits(self):
        """Return the sorted waits by the size of the jobs."""
        waits = defaultdict(list)
        for streamed in self.stream.jobs:
            result = self.results[streamed.job.job_id]
            ended_at = min(result.ended_at, self.now)
            taken = ended_at - result.submitted_at
            waits[streamed.size].append(taken - streamed.chain_seconds)
        return {size: sorted(waits[size]) for size in SIZES}

    def measure(self):
        waits = self.list_waits()
        shape = self.stream.shape
        capacity = shape.workers * shape.cores * shape.seconds
        earned = [result.earned for result in self.results.values()]
        return {
            **{
                f'{size} {label}': pick(waits[size], share)
                for size in SIZES
                for label, share in (('p50', 0.5), ('p99', 0.99))
            },
            'used': self.used_seconds / capacity,
            'empty': sum(self.empty_counts) / max(len(self.empty_counts), 1),
            'done': self.done_in_time,
            'earned': sum(earned) / len(earned),
        }

    def measure_reserved_idle(self):
        """Return the share of capacity that reservations kept free."""
        shape = self.stream.shape
        idle = sum(
            change.idle_core_seconds
            for change in self.changes
            if change.event is not ReservationEvent.MADE
        )
        return idle / (shape.workers * shape.cores * shape.seconds)


def pick(ordered, share):
    return ordered[min(int(share * len(ordered)), len(ordered) - 1)]

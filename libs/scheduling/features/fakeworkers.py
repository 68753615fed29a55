"""Fake workers on virtual time, which follow the platform's rules."""

from dataclasses import dataclass, field

from tarragonlb.scheduling.job import Demand
from tarragonlb.scheduling.orders import OrderResult
from tarragonlb.scheduling.worker import (
    EndedAttempt,
    RunningAttempt,
    Worker,
    WorkerReport,
)

MAX_LEASE_SECONDS = 6.0
STOP_SECONDS = 0.2
BEAT_SECONDS = 1.5
# A capacity that has shrunk still counts for this long.
SHRINK_GRACE_SECONDS = 3.0 + BEAT_SECONDS


@dataclass
class FakeRun:
    attempt: int
    step: object
    ends_at: float
    outcome: str
    stops_at: float | None = None


@dataclass
class FakeWorker:
    """One VM: its present incarnation, its running and its ended attempts."""

    worker_id: str
    rate: float = 1.0
    incarnation: int = 1
    started_at: float = -1.0
    fence: int = 0
    lease_until: float = 0.0
    is_up: bool = True
    is_reachable: bool = True
    is_draining: bool = False
    fails_all: bool = False
    # With ``fails_all``: when the task would be done, instead of at once.
    fails_late: bool = False
    is_stalled: bool = False
    runs: dict = field(default_factory=dict)
    ended: list = field(default_factory=list)
    barred: dict = field(default_factory=dict)
    last_end_number: int = 0
    now: float = 0.0
    lease_expired_at: float = -1.0
    end_times: dict = field(default_factory=dict)
    acknowledged: set = field(default_factory=set)
    capacity: Demand = field(default_factory=lambda: Demand(4000, 8000, 0))
    # The capacity that the directory shows, and earlier ones, each with when
    # it changed.
    published: Demand | None = None
    published_at: float = 0.0
    former: list = field(default_factory=list)

    @property
    def entry(self):
        return Worker(
            worker_id=self.worker_id,
            pool='p',
            address=f'x:{self.worker_id.partition("-")[0]}',
            zone='z',
            is_draining=self.is_draining,
            labels=frozenset(('a', 'r1')),
            capacity=self.published or self.capacity,
        )

    def resize(self, cpu_millicores, now):
        self.published = self.published or self.capacity
        self.former.append((now, self.capacity))
        self.capacity = Demand(cpu_millicores, 8000, 0)

    def publish(self, now, address_history):
        if self.is_up and now >= self.published_at + BEAT_SECONDS:
            address_history.note(self.worker_id, self.entry.address, now)
            self.published_at = now
            self.published = self.capacity

    def compute_limit(self, now):
        """Return the millicores up to which a task may be started."""
        recent = [
            capacity.cpu_millicores
            for changed_at, capacity in self.former
            if now < changed_at + SHRINK_GRACE_SECONDS
        ]
        return max([self.capacity.cpu_millicores, *recent])

    def measure_used(self):
        return sum(run.step.demand.cpu_millicores for run in self.runs.values())

    def clock_ms(self, now):
        return int(now * self.rate * 1000)

    def advance(self, now, log):
        if not self.is_up:
            return
        self.now = now
        if now * self.rate > self.lease_until:
            self.lease_expired_at = now
            for key in tuple(self.runs):
                self._end(key, 'lapsed', log)
        for key, run in tuple(self.runs.items()):
            if run.stops_at is not None and now >= run.stops_at:
                self._end(key, 'stopped', log)
            elif now >= run.ends_at and not self.is_stalled:
                self._end(key, run.outcome, log)

    def start(self, order, step, seconds, outcome, term, until_ms, now):
        if term < self.fence:
            return OrderResult.FENCED
        self.fence = term
        run = self.runs.get(order.key)
        if run is not None and run.attempt == order.attempt:
            return OrderResult.DONE
        if self.barred.get(order.key, 0) >= order.attempt or run is not None:
            return OrderResult.REFUSED
        if until_ms <= self.clock_ms(now):
            return OrderResult.REFUSED
        self._extend_lease(until_ms, now)
        if self.fails_all:
            outcome = 'failed'
            seconds = seconds if self.fails_late else 0.1
        self.runs[order.key] = FakeRun(
            order.attempt, step, now + seconds, outcome
        )
        return OrderResult.DONE

    def stop(self, order, term, now):
        if term < self.fence:
            return OrderResult.FENCED
        self.fence = term
        run = self.runs.get(order.key)
        if run is not None and run.attempt == order.attempt:
            if run.stops_at is None:
                run.stops_at = now + STOP_SECONDS
        else:
            known = self.barred.get(order.key, 0)
            self.barred[order.key] = max(known, order.attempt)
        return OrderResult.DONE

    def answer_status_check(self, term, seen, until_ms, now):
        if term < self.fence:
            return None
        self.fence = term
        for row in self.ended:
            is_within_lease = self.end_times[row.number] > self.lease_expired_at
            if row.number <= seen and row.outcome == 'done' and is_within_lease:
                self.acknowledged.add(row.key)
        self.ended = [row for row in self.ended if row.number > seen]
        if until_ms is not None:
            self._extend_lease(until_ms, now)
        return WorkerReport(
            worker_id=self.worker_id,
            requested_at=now,
            received_at=now,
            incarnation=self.incarnation,
            running=tuple(
                RunningAttempt(
                    key, run.attempt, '', self._get_percent(run, now), 0
                )
                for key, run in self.runs.items()
            ),
            ended=tuple(self.ended),
        )

    def crash(self, log):
        for key in tuple(self.runs):
            self.runs.pop(key)
            log.append((self.worker_id, key, 'gone'))
        self.is_up = False

    def restart(self, now, new_id=None):
        self.is_up = True
        self.started_at = now
        self.incarnation += 1
        self.worker_id = new_id or self.worker_id
        self.runs = {}
        self.fence = 0
        self.ended = []
        self.barred = {}
        self.last_end_number = 0
        self.lease_until = 0.0

    def _get_percent(self, run, now):
        return int(now * 10) if not self.is_stalled else 1

    def _extend_lease(self, until_ms, now):
        longest = now * self.rate + MAX_LEASE_SECONDS
        until = min(until_ms / 1000, longest)
        self.lease_until = max(self.lease_until, until)

    def _end(self, key, outcome, log):
        run = self.runs.pop(key)
        self.last_end_number += 1
        self.end_times[self.last_end_number] = self.now
        self.ended.append(
            EndedAttempt(self.last_end_number, key, run.attempt, outcome, '')
        )
        known = self.barred.get(key, 0)
        self.barred[key] = max(known, run.attempt)
        log.append((self.worker_id, key, outcome))

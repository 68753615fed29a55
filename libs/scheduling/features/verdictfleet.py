"""Fleets that record why their jobs have failed.

    python libs/scheduling/features/verdictfleet.py 1 400

prints what many fleets with random faults have shown.
"""

import math
import random
import sys
from collections import Counter, defaultdict
from dataclasses import dataclass, field, replace

from fakeworkers import FakeWorker
from faultscripts import FAULTS, clear_faults, inject_fault
from fleetsimulation import FleetSimulation, make_step
from simulatedowner import QUEUE

from tarragonlb.scheduling.orders import OrderResult

TROUBLE_TICKS = 300
LAST_FAULT_TICK = 250
TICKS_PER_JOB = 25
MAX_FAULTS = 14
RECOVERY_SECONDS = 60
LONG_SHARE = 0.4
# Beside those that the fleet lets fail.
FAILED_SHARES = (0.0, 0.15)
MAX_ATTEMPTS = (2, 3)
FLEET_FAULTS = (*FAULTS, 'lossless', 'restart')


@dataclass
class TaskRecord:
    """What really happened to one task; times are those of the fleet.

    ``noted`` are the failed ends that were acknowledged before their worker's
    lease lapsed.  ``done_at`` is when the end of a successful run was
    acknowledged.
    """

    failed: list = field(default_factory=list)
    noted: list = field(default_factory=list)
    starts: list = field(default_factory=list)
    done_at: float = math.inf

    def count_extra_starts(self, most):
        """Return the starts after ``most`` ends that were taken note of."""
        ends = sorted(self.noted)
        if len(ends) < most:
            return 0
        return sum(at > ends[most - 1] for at in self.starts)


class RecordingWorker(FakeWorker):
    """A worker that records starts, failed ends and their acknowledgements."""

    def attach(self, records, failed_share, seed):
        self.records = records
        self.failed_share = failed_share
        self.fault_random = random.Random(seed)

    def start(self, order, step, seconds, outcome, *rest):
        if self.fault_random.random() < self.failed_share:
            outcome = 'failed'
        before = self.runs.get(order.key)
        result = super().start(order, step, seconds, outcome, *rest)
        is_new = self.runs.get(order.key) is not before
        if result is OrderResult.DONE and is_new:
            self.records[order.key].starts.append(rest[-1])
        return result

    def answer_status_check(self, term, seen, until_ms, now):
        if term >= self.fence:
            for row in self.ended:
                if row.number <= seen:
                    self._note(row, now)
        return super().answer_status_check(term, seen, until_ms, now)

    def _note(self, end, now):
        record = self.records[end.key]
        ended_at = self.end_times[end.number]
        if end.outcome == 'done':
            record.done_at = min(record.done_at, now)
        elif end.outcome == 'failed' and ended_at > self.lease_expired_at:
            record.noted.append(ended_at)

    def _end(self, key, outcome, log):
        super()._end(key, outcome, log)
        if outcome == 'failed':
            self.records[key].failed.append(self.now)


class VerdictFleet(FleetSimulation):
    """A fleet whose tasks may fail ``max_attempts`` times."""

    def __init__(self, seed, max_attempts, failed_share=0.0, workers=4):
        super().__init__(seed, workers=workers, long_share=LONG_SHARE)
        self.max_attempts = max_attempts
        self.records = defaultdict(TaskRecord)
        self.workers = [
            RecordingWorker(worker.worker_id, rate=worker.rate)
            for worker in self.workers
        ]
        for number, worker in enumerate(self.workers):
            worker.attach(self.records, failed_share, f'{seed} {number}')
        # By job: when it was first shown as failed.
        self.failed_at = {}
        self.given_up = set()
        self._set_limit()

    def step(self):
        super().step()
        for records in self.job_index.list_jobs():
            if records.describe() == 'failed':
                self.failed_at.setdefault(records.job_id, self.now)

    def list_causes(self, job_id):
        """Return how often each failed task of a job ended as failed."""
        return {
            key: len(record.failed)
            for key, record in self.records.items()
            if key.job_id == job_id and record.failed
        }

    def find_groundless(self):
        """Return the jobs shown as failed of which no task failed so often.

        Those that were given up, as they crashed their workers, don't count.
        """
        return {
            job_id: self.list_causes(job_id)
            for job_id in self.failed_at.keys() - self.given_up
            if not self._is_exhausted(job_id)
        }

    def find_done(self):
        """Return the jobs shown as failed whose failing tasks were all done."""
        return {
            job_id: self.list_causes(job_id)
            for job_id in self.failed_at.keys() - self.given_up
            if all(
                self.records[key].done_at < self.failed_at[job_id]
                for key, count in self.list_causes(job_id).items()
                if count >= self.max_attempts
            )
        }

    def find_excess_starts(self):
        """Return the tasks that started after their last allowed failure."""
        return {
            key: record
            for key, record in self.records.items()
            if not self._get_step(key).allows_copies
            and record.count_extra_starts(self.max_attempts)
        }

    def find_unnoted(self):
        """Return the jobs closed on ends that were not taken note of."""
        return [
            job_id
            for job_id in self.failed_at.keys() - self.given_up
            if not any(
                key.job_id == job_id and len(record.noted) >= self.max_attempts
                for key, record in self.records.items()
            )
        ]

    def _get_step(self, key):
        return self.specs[key.job_id].steps[key.step]

    def _is_exhausted(self, job_id):
        at = self.failed_at[job_id]
        return any(
            key.job_id == job_id
            and sum(ended <= at for ended in record.failed) >= self.max_attempts
            for key, record in self.records.items()
        )

    def _begin_term(self):
        super()._begin_term()
        self._set_limit()

    def _set_limit(self):
        queue = replace(QUEUE, max_attempts=self.max_attempts)
        self.owner.scheduler.state.queues = {queue.name: queue}

    def _run_owner(self, owner):
        super()._run_owner(owner)
        self.given_up.update(
            task.key.job_id for task in owner.scheduler.state.given_up
        )


def run_fleet(number):
    """Run one fleet through random faults, and let it recover."""
    rng = random.Random(number)
    faults = defaultdict(list)
    for _ in range(rng.randrange(MAX_FAULTS)):
        faults[rng.randrange(LAST_FAULT_TICK)].append(rng.choice(FLEET_FAULTS))
    fleet = VerdictFleet(
        number, rng.choice(MAX_ATTEMPTS), rng.choice(FAILED_SHARES)
    )
    for tick in range(TROUBLE_TICKS):
        if tick % TICKS_PER_JOB == 0 and tick < LAST_FAULT_TICK:
            copies = tick % (2 * TICKS_PER_JOB) == 0
            first = make_step(5, allows_copies=copies)
            fleet.submit([first, make_step(3, prerequisites=(0,))])
        for fault in faults[tick]:
            inject(fleet, fault, tick)
        fleet.step()
    for worker in fleet.workers:
        clear_faults(worker, fleet.now)
    fleet.is_store_up = True
    fleet.run(RECOVERY_SECONDS)
    return fleet


def inject(fleet, fault, tick):
    worker = fleet.workers[tick % len(fleet.workers)]
    if fault == 'lossless':
        fleet.is_reliable = not fleet.is_reliable
    elif fault == 'restart':
        # Between two reports, so that its ends are numbered anew.
        if worker.is_up:
            worker.crash(fleet.log)
        worker.restart(fleet.now)
    else:
        inject_fault(fleet, fault, tick)


def summarize(first, count):
    """Count what fleets have shown, by kind."""
    counts = Counter()
    for number in range(first, first + count):
        fleet = run_fleet(number)
        found = {
            'failed': fleet.failed_at,
            'given up': fleet.given_up,
            'groundless': fleet.find_groundless(),
            'failed after the task was done': fleet.find_done(),
            'starts beyond the limit': fleet.find_excess_starts(),
            'on ends not taken note of': fleet.find_unnoted(),
            'open': fleet.list_open(),
        }
        for kind, rows in found.items():
            counts[kind] += len(rows)
        rare = {
            kind: rows
            for kind, rows in found.items()
            if rows and kind not in {'failed'}
        }
        if rare:
            print(number, fleet.max_attempts, rare)
    print(count, 'fleets', dict(counts))


if __name__ == '__main__':
    summarize(*map(int, sys.argv[1:]))

"""Owners, a store and workers in one world of virtual time.

Owners are real schedulers.  The network loses calls, loses answers and delivers
orders late; owners die or freeze, workers crash, fall silent or fail.  After
every step the world checks what the workers did against the promises.
"""

import random
from collections import Counter

from fakeworkers import FakeWorker

from tarragonlb.scheduling.job import Demand, Job, JobSpec, Moment, Step
from tarragonlb.scheduling.jobindex import JobIndex
from tarragonlb.scheduling.jobstate import JobOutcome
from tarragonlb.scheduling.orders import OrderResult
from tarragonlb.scheduling.placement import PackNearData
from tarragonlb.scheduling.progress import build_progress_record
from tarragonlb.scheduling.queue import Queue
from tarragonlb.scheduling.records import (
    KeyedRecord,
    build_cancellation_record,
    build_submission_record,
)
from tarragonlb.scheduling.scheduler import Scheduler
from tarragonlb.scheduling.settings import (
    CLOCK_DRIFT_FACTOR,
    SchedulingSettings,
)

TICK = 0.1
TTL = 1.6
LEASE = 3.5
LOST_SHARE = 0.08
LATE_SHARE = 0.04
MAX_LATE = 8.0
QUEUE = Queue(name='q', host='h', path_prefix='/q/', pool='p', max_attempts=50)
SETTINGS = SchedulingSettings(
    max_lease_seconds=6.0,
    maintenance_seconds=2.0,
)


class Owner:
    def __init__(self, world, term):
        self.term = term
        self.valid_until = world.now + TTL
        self.frozen_until = 0.0
        self.scheduler = Scheduler(SETTINGS, PackNearData(), world.now)
        self.granted = {}
        self.clocks = {}
        self.acked = {}
        self.failures = Counter()
        self.pending = None
        pool = self.scheduler.state
        pool.queues = {'q': QUEUE}
        pool.update_workers(worker.entry for worker in world.workers)
        for entry in world.ledger.list_jobs():
            pool.add_job(entry.build_state(Moment(world.now)))


class FleetWorld:
    """Everything at one moment."""

    def __init__(self, seed, workers=4, long_share=0, is_reliable=False):
        self.is_reliable = is_reliable
        self.long_share = long_share
        self.random = random.Random(seed)
        self.now = 0.0
        self.workers = [
            FakeWorker(f'w{n}', rate=self.random.choice([0.98, 1.0]))
            for n in range(workers)
        ]
        self.ledger = JobIndex()
        self.offset = 0
        self.is_store_up = True
        self.term = 1
        self.late = []
        self.log = []
        self.done = {}
        self.starts = Counter()
        self.specs = {}
        self.cancelled = {}
        self.owner = Owner(self, self.term)
        self.former = []

    # What clients and operators do.

    def submit(self, steps):
        job_id = f'{len(self.specs):016x}'
        job = Job(
            job_id=job_id,
            queue='q',
            pool='p',
            spec=JobSpec(payload='x', steps=tuple(steps)),
        )
        self.specs[job_id] = job.spec
        self.append([build_submission_record(job)])
        return job_id

    def cancel(self, job_id):
        self.append([build_cancellation_record(job_id)])
        self.cancelled.setdefault(job_id, self.now)

    def append(self, records):
        for record in records:
            self.ledger.apply(
                [KeyedRecord(record.key, record.value, self.offset)]
            )
            self.offset += 1

    # Faults.

    def kill_owner(self):
        self.take_over(self.now + TTL)

    def freeze_owner(self, seconds):
        self.owner.frozen_until = self.now + seconds
        self.former.append(self.owner)
        self.take_over(self.now + TTL)

    def take_over(self, at):
        """End the present term; the next owner begins at ``at``."""
        self.owner = None
        self.late.append((at, self._begin_term))

    def _begin_term(self):
        if self.owner is None:
            self.term += 1
            self.owner = Owner(self, self.term)

    # Time.

    def run(self, seconds):
        end = self.now + seconds
        while self.now < end:
            self.step()

    def step(self):
        self.now += TICK
        due = [entry for entry in self.late if entry[0] <= self.now]
        self.late = [entry for entry in self.late if entry[0] > self.now]
        for _, act in due:
            act()
        for worker in self.workers:
            worker.advance(self.now, self.log)
        self._note_ends()
        for owner in [self.owner, *self.former]:
            if owner is not None and self.now >= owner.frozen_until:
                self._drive(owner)
        self.check()

    def _drive(self, owner):
        is_current = owner is self.owner
        if is_current and self.is_store_up:
            owner.valid_until = self.now + TTL
        for worker in self.workers:
            self._look(owner, worker)
        pool = owner.scheduler.state
        pool.update_workers(w.entry for w in self.workers)
        for entry in self.ledger.list_jobs():
            if is_current and entry.job_id not in pool.jobs:
                pool.add_job(entry.build_state(Moment(self.now)))
            if entry.is_cancelled:
                pool.cancel_job(entry.job_id, self.now)
        if owner.pending is None:
            owner.pending = owner.scheduler.decide(Moment(self.now))
            for stop in owner.pending.stops:
                self._order(owner, stop, 'stop')
        if not (self.is_store_up and is_current):
            return
        decided, owner.pending = owner.pending, None
        self.append(
            [build_progress_record(j, owner.term) for j in decided.jobs]
        )
        for worker_id, seen in decided.end_acks.items():
            owner.acked[worker_id] = seen
        for start in decided.starts:
            if owner.scheduler.is_still_wanted(start):
                self._order(owner, start, 'start')
            else:
                self._answer(owner, start, OrderResult.REFUSED)

    def _look(self, owner, worker):
        granted = owner.granted.get(worker.worker_id)
        may_grant = self.now < owner.valid_until
        until = granted
        failures = owner.failures[worker.worker_id]
        if may_grant and not failures and worker.worker_id in owner.clocks:
            clock, heard = owner.clocks[worker.worker_id]
            until = int(clock + (self.now - heard + LEASE) * 1000)
            owner.granted[worker.worker_id] = max(until, granted or 0)
        born, number = owner.acked.get(worker.worker_id, (None, 0))
        seen = number if born == worker.incarnation else 0
        report = None
        if worker.is_up and worker.is_reachable and not self._lost():
            report = worker.look(
                owner.term, seen, until if may_grant else None, self.now
            )
            if self._lost():
                report = None
        if report is None:
            owner.failures[worker.worker_id] += 1
            if owner.failures[worker.worker_id] >= 2:
                owner.scheduler.reconciler.note_silence(
                    worker.worker_id, self._bound(owner, worker.worker_id)
                )
            return
        owner.failures[worker.worker_id] = 0
        clock = worker.clock_ms(self.now)
        owner.clocks[worker.worker_id] = (clock, self.now)
        owner.scheduler.reconciler.apply_report(report)

    def _bound(self, owner, worker_id):
        granted = owner.granted.get(worker_id)
        if granted is None:
            return 0.0
        clock, heard = owner.clocks[worker_id]
        return heard + (granted - clock) / 1000 * CLOCK_DRIFT_FACTOR

    def _order(self, owner, order, kind):
        worker = next(w for w in self.workers if w.worker_id == order.worker_id)
        until = owner.granted.get(order.worker_id)
        if kind == 'start' and (until is None or self.now > owner.valid_until):
            self._answer(owner, order, OrderResult.REFUSED)
            return
        if self._lost():
            self._answer(owner, order, OrderResult.UNANSWERED)
            return
        born = worker.incarnation

        def act():
            if not worker.is_up or worker.incarnation != born:
                return OrderResult.UNANSWERED
            if kind == 'stop':
                return worker.stop(order, owner.term, self.now)
            return self._start(owner, worker, order, until)

        is_late = not self.is_reliable and self.random.random() < LATE_SHARE
        if is_late:
            delay = self.random.uniform(0.5, MAX_LATE)
            self.late.append((self.now + delay, act))
            self._answer(owner, order, OrderResult.UNANSWERED)
            return
        if not worker.is_reachable:
            self._answer(owner, order, OrderResult.UNANSWERED)
            return
        result = act()
        if self._lost():
            result = OrderResult.UNANSWERED
        self._answer(owner, order, result)

    def _start(self, owner, worker, order, until):
        key = order.key
        step = self.specs[key.job_id].steps[key.step]
        is_long = self.random.random() < self.long_share
        seconds = self.random.uniform(0.2, 8.0 if is_long else 1.5)
        how = 'failed' if self.random.random() < 0.02 else 'done'
        before = worker.runs.get(key)
        result = worker.start(
            order, step, seconds, how, owner.term, until, self.now
        )
        if result is OrderResult.DONE and worker.runs.get(key) is not before:
            self._check_start(worker, order, step)
        return result

    def _answer(self, owner, order, result):
        order_tracker = owner.scheduler.order_tracker
        if hasattr(order, 'payload'):
            order_tracker.apply_start_result(order, result, self.now)
        else:
            order_tracker.apply_stop_result(order, result, self.now)

    def _lost(self):
        return not self.is_reliable and self.random.random() < LOST_SHARE

    # Promises.

    def _note_ends(self):
        for _, key, how in self.log:
            if how == 'done':
                self.done.setdefault(key, self.now)
        self.log.clear()

    def _check_start(self, worker, order, step):
        key = order.key
        self.starts[key] += 1
        others = [
            w.worker_id
            for w in self.workers
            if w is not worker and w.is_up and key in w.runs
        ]
        if not step.allows_copies:
            assert not others, f'{key} runs on {others} and {worker.worker_id}'
            noted = [w.worker_id for w in self.workers if key in w.noted]
            assert not noted, f'{key} starts again, done on {noted}'
        for number in step.prerequisites:
            width = self.specs[key.job_id].steps[number].width
            for position in range(width):
                earlier = key._replace(step=number, position=position)
                assert earlier in self.done, f'{key} before {earlier}'

    def check(self):
        for worker in self.workers:
            used = sum(
                run.step.demand.cpu_millicores for run in worker.runs.values()
            )
            limit = worker.capacity.cpu_millicores
            assert used <= limit, f'{worker.worker_id} has {used} of {limit}'

    # Questions.

    def list_open(self):
        return [
            entry.job_id
            for entry in self.ledger.list_jobs()
            if entry.describe() not in {'completed', 'cancelled', 'failed'}
        ]

    def describe(self, job_id):
        return self.ledger.find(job_id).describe()


def make_step(width=4, cpu=1000, **more):
    return Step(width=width, demand=Demand(cpu, 500, 0), **more)


__all__ = ['FleetWorld', 'JobOutcome', 'make_step']

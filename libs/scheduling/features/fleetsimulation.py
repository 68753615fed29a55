"""Simulates owners, a store and workers on virtual time.

Owners are real schedulers.  The network loses calls and answers and delays
orders; owners die or freeze; workers crash, become unreachable or fail tasks.
After every step the simulation checks invariants on what the workers did.
"""

import math
import random
from collections import Counter

from fakeworkers import FakeWorker
from simulatedcrashes import SimulatedCrashes
from simulatedowner import MEMBER_TTL_SECONDS, SimulatedOwner
from simulatedvms import VmListings

from tarragonlb.scheduling.job import Demand, Job, JobSpec, Moment, Step
from tarragonlb.scheduling.jobindex import JobIndex
from tarragonlb.scheduling.jobstate import JobOutcome
from tarragonlb.scheduling.leasebound import (
    LeaseBoundIndex,
    build_bound_records,
)
from tarragonlb.scheduling.orders import OrderResult
from tarragonlb.scheduling.partitionstate import InheritedBound
from tarragonlb.scheduling.progress import build_progress_record
from tarragonlb.scheduling.records import (
    KeyedRecord,
    build_cancellation_record,
    build_submission_record,
)
from tarragonlb.scheduling.settings import CLOCK_DRIFT_FACTOR

TICK_SECONDS = 0.1
LEASE_SECONDS = 3.5
STORE_SUSPECT_SECONDS = 0.9
FOLLOWER_LAG_SECONDS = 1.0
TAKEOVER_SECONDS = 0.2
LOSS_PROBABILITY = 0.08
DELAY_PROBABILITY = 0.04
MAX_DELAY_SECONDS = 8.0
FAILED_SHARE = 0.02


class FleetSimulation:
    """One partition with its owners, its store and its workers."""

    def __init__(self, seed, workers=4, long_share=0, is_reliable=False):
        self.is_reliable = is_reliable
        self.long_share = long_share
        # Of the attempts of tasks that end.
        self.failed_share = FAILED_SHARE
        self.run_seconds = None
        self.random = random.Random(seed)
        self.late_random = random.Random(seed)
        self.now = 0.0
        self.workers = [
            FakeWorker(f'w{n}', rate=self.random.choice([0.98, 1.0]))
            for n in range(workers)
        ]
        self.job_index = JobIndex()
        self.bound_index = LeaseBoundIndex()
        self.bound_writes = []
        self.offset = 0
        self.is_store_up = True
        self.term = 1
        self.delayed_calls = []
        self.log = []
        self.done_at = {}
        self.start_counts = Counter()
        self.crashes = SimulatedCrashes(self)
        self.drain_requests = set()
        self.specs = {}
        self.cancelled = {}
        self.owner = SimulatedOwner(self, self.term)
        self.former_owners = []
        self.vm_listings = VmListings(
            seed, 0 if is_reliable else LOSS_PROBABILITY
        )

    # Actions of clients.

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
            stored = KeyedRecord(record.key, record.value, self.offset)
            others = self.bound_index.apply([stored], self.now)
            self.job_index.apply(others)
            self.offset += 1

    def list_bounds(self):
        """Return the lease bounds as a daemon knows them that takes over.

        It has read them as a follower, or reads them now.
        """
        return {
            worker_id: InheritedBound(
                bound.remaining_seconds,
                min(bound.read_at + FOLLOWER_LAG_SECONDS, self.now),
            )
            for worker_id, bound in self.bound_index.bounds.items()
        }

    # Faults.

    def kill_owner(self):
        self.replace_owner(self.now + MEMBER_TTL_SECONDS)

    def freeze_owner(self, seconds):
        self.owner.frozen_until = self.now + seconds
        self.former_owners.append(self.owner)
        self.replace_owner(self.now + MEMBER_TTL_SECONDS)

    def hand_over(self):
        if self.is_store_up:
            keeper = self.owner.scheduler.bound_keeper
            changes = keeper.decide_last(self.now)
            self.append(build_bound_records(changes, self.owner.term))
        self.replace_owner(self.now + TAKEOVER_SECONDS)

    def replace_owner(self, at):
        """End the current term; the next owner starts at ``at`` seconds."""
        self.owner = None
        self.delayed_calls.append((at, self._begin_term))

    def _begin_term(self):
        if self.owner is None:
            self.term += 1
            self.owner = SimulatedOwner(self, self.term)

    # Time.

    def run(self, seconds):
        end = self.now + seconds
        while self.now < end:
            self.step()

    def step(self):
        self.now += TICK_SECONDS
        due = [entry for entry in self.delayed_calls if entry[0] <= self.now]
        self.delayed_calls = [
            entry for entry in self.delayed_calls if entry[0] > self.now
        ]
        for _, deliver in due:
            deliver()
        for worker in self.workers:
            worker.advance(self.now, self.log)
            if self.is_store_up:
                worker.publish(self.now, self.vm_listings.addresses)
        self._record_ends()
        self.vm_listings.send(self)
        for owner in [self.owner, *self.former_owners]:
            if owner is not None and self.now >= owner.frozen_until:
                self._run_owner(owner)
        self.check()

    def _run_owner(self, owner):
        is_current = owner is self.owner
        if is_current and self.is_store_up:
            owner.valid_until = self.now + MEMBER_TTL_SECONDS
            owner.contact_at = self.now
        for worker in self.workers:
            self._check_status(owner, worker)
        state = owner.scheduler.state
        state.update_workers(w.entry for w in self.workers)
        state.evidence.replaced_workers = self.vm_listings.addresses.replaced
        state.apply_drain_requests(self.drain_requests)
        for entry in self.job_index.list_jobs():
            if is_current and entry.job_id not in state.jobs:
                state.add_job(entry.build_state(Moment(self.now)))
            if entry.is_cancelled:
                state.cancel_job(entry.job_id, self.now)
        if owner.pending is None:
            contact_age = self.now - owner.contact_at
            owner.pending = owner.scheduler.decide(
                Moment(self.now),
                is_store_suspect=contact_age > STORE_SUSPECT_SECONDS,
            )
            for stop in owner.pending.stops:
                self._send_order(owner, stop, 'stop')
        if not (self.is_store_up and is_current):
            return
        decided, owner.pending = owner.pending, None
        bounds = build_bound_records(decided.bound_changes, owner.term)
        progress = [
            build_progress_record(j, owner.term, self.now) for j in decided.jobs
        ]
        self.append([*progress, *bounds])
        self.bound_writes.extend([self.now] * bool(bounds))
        owner.scheduler.note_stored(decided, self.now)
        for worker_id, seen in decided.end_acks.items():
            owner.end_acks[worker_id] = seen
        for start in decided.starts:
            if owner.scheduler.is_still_wanted(start):
                self._send_order(owner, start, 'start')
            else:
                self._apply_result(owner, start, OrderResult.WITHHELD)

    def _check_status(self, owner, worker):
        granted = owner.granted.get(worker.worker_id)
        can_grant = self.now < owner.valid_until
        until = granted
        failures = owner.failures[worker.worker_id]
        may_extend = owner.scheduler.may_extend_lease(worker.worker_id)
        is_known = worker.worker_id in owner.clocks
        if can_grant and may_extend and not failures and is_known:
            clock, received_at = owner.clocks[worker.worker_id]
            until = int(clock + (self.now - received_at + LEASE_SECONDS) * 1000)
            owner.granted[worker.worker_id] = max(until, granted or 0)
        incarnation, number = owner.end_acks.get(worker.worker_id, (None, 0))
        seen = number if incarnation == worker.incarnation else 0
        report = None
        if not can_grant:
            until = None
        is_late = self.late_random.random() < DELAY_PROBABILITY
        if is_late and not self.is_reliable:
            self._delay_status_check(owner, worker, seen, until)
        elif worker.is_up and worker.is_reachable and not self._is_lost():
            report = worker.answer_status_check(
                owner.term, seen, until, self.now
            )
            if self._is_lost():
                report = None
        if report is None:
            owner.failures[worker.worker_id] += 1
            if owner.failures[worker.worker_id] >= 2:
                owner.scheduler.reconciler.note_silence(
                    worker.worker_id,
                    self._bound_lease_end(owner, worker.worker_id),
                    self.now,
                )
            return
        owner.failures[worker.worker_id] = 0
        clock = worker.clock_ms(self.now)
        owner.clocks[worker.worker_id] = (clock, self.now)
        owner.scheduler.reconciler.apply_report(report)

    def _delay_status_check(self, owner, worker, seen, until):
        incarnation = worker.incarnation

        def deliver():
            if worker.is_up and worker.incarnation == incarnation:
                worker.answer_status_check(owner.term, seen, until, self.now)

        delay = self.late_random.uniform(0.5, MAX_DELAY_SECONDS)
        self.delayed_calls.append((self.now + delay, deliver))

    def _bound_lease_end(self, owner, worker_id):
        granted = owner.granted.get(worker_id)
        if granted is None:
            return 0.0
        clock, received_at = owner.clocks[worker_id]
        return received_at + (granted - clock) / 1000 * CLOCK_DRIFT_FACTOR

    def _send_order(self, owner, order, kind):
        worker = next(
            (w for w in self.workers if w.worker_id == order.worker_id), None
        )
        until = owner.granted.get(order.worker_id)
        if kind == 'start' and (until is None or self.now > owner.valid_until):
            self._apply_result(owner, order, OrderResult.WITHHELD)
            return
        if worker is None or self._is_lost():
            self._apply_result(owner, order, OrderResult.UNANSWERED)
            return
        incarnation = worker.incarnation
        if kind == 'start':
            self.crashes.note_order(worker)

        def deliver():
            if not worker.is_up or worker.incarnation != incarnation:
                return OrderResult.UNANSWERED
            if kind == 'stop':
                return worker.stop(order, owner.term, self.now)
            return self._start(owner, worker, order, until)

        is_delayed = (
            not self.is_reliable and self.random.random() < DELAY_PROBABILITY
        )
        if is_delayed:
            delay = self.random.uniform(0.5, MAX_DELAY_SECONDS)
            self.delayed_calls.append((self.now + delay, deliver))
            self._apply_result(owner, order, OrderResult.UNANSWERED)
            return
        if not worker.is_reachable:
            self._apply_result(owner, order, OrderResult.UNANSWERED)
            return
        result = deliver()
        if self._is_lost():
            result = OrderResult.UNANSWERED
        self._apply_result(owner, order, result)

    def _start(self, owner, worker, order, until):
        key = order.key
        step = self.specs[key.job_id].steps[key.step]
        is_long = self.random.random() < self.long_share
        seconds = self.random.uniform(0.2, 8.0 if is_long else 1.5)
        if self.run_seconds is not None:
            seconds = self.run_seconds
        if step.is_permanent:
            seconds = math.inf
        has_failed = self.random.random() < self.failed_share
        outcome = 'failed' if has_failed else 'done'
        before = worker.runs.get(key)
        result = worker.start(
            order, step, seconds, outcome, owner.term, until, self.now
        )
        if result is OrderResult.DONE and worker.runs.get(key) is not before:
            self._check_start(worker, order, step)
            self.crashes.note_start(worker, key)
        return result

    def _apply_result(self, owner, order, result):
        order_tracker = owner.scheduler.order_tracker
        if hasattr(order, 'payload'):
            order_tracker.apply_start_result(order, result, self.now)
        else:
            order_tracker.apply_stop_result(order, result, self.now)

    def _is_lost(self):
        return not self.is_reliable and self.random.random() < LOSS_PROBABILITY

    # Invariants.

    def _record_ends(self):
        for _, key, outcome in self.log:
            if outcome == 'done':
                self.done_at.setdefault(key, self.now)
        self.log.clear()

    def _check_start(self, worker, order, step):
        key = order.key
        self._check_capacity(worker)
        self.start_counts[key] += 1
        others = [
            w.worker_id
            for w in self.workers
            if w is not worker and w.is_up and key in w.runs
        ]
        if not step.allows_copies:
            assert not others, f'{key} runs on {others} and {worker.worker_id}'
            acknowledged = [
                w.worker_id for w in self.workers if key in w.acknowledged
            ]
            assert not acknowledged, (
                f'{key} started again after its end on {acknowledged}'
            )
        for number in step.prerequisites:
            width = self.specs[key.job_id].steps[number].width
            for position in range(width):
                earlier = key._replace(step=number, position=position)
                assert earlier in self.done_at, (
                    f'{key} started before the end of {earlier}'
                )

    def check(self):
        for worker in self.workers:
            # A worker that has shrunk may keep what it runs.
            if not worker.former:
                self._check_capacity(worker)

    def _check_capacity(self, worker):
        used = worker.measure_used()
        limit = worker.compute_limit(self.now)
        assert used <= limit, f'{worker.worker_id} uses {used} of {limit}'

    # Queries.

    def list_open(self):
        return [
            entry.job_id
            for entry in self.job_index.list_jobs()
            if entry.describe() not in {'completed', 'cancelled', 'failed'}
        ]

    def describe(self, job_id):
        return self.job_index.find(job_id).describe()


def make_step(width=4, cpu=1000, **more):
    return Step(width=width, demand=Demand(cpu, 500, 0), **more)


__all__ = ['FleetSimulation', 'JobOutcome', 'make_step']

"""The scheduler of a partition's owner, which decides in rounds.

The caller applies events at any time and calls ``decide`` for a round of
decisions.  It stores what the round changed, sends the orders, and passes the
result of every order back.

>>> from tarragonlb.scheduling.placement import FirstFit
>>> policies = SchedulingPolicies(placement=FirstFit())
>>> scheduler = Scheduler(settings, policies, now=0.0)   # doctest: +SKIP
>>> scheduler.decide(Moment(1.0)).starts                   # doctest: +SKIP
()
"""

from collections.abc import Mapping

from tarragonlb.scheduling.assignment import Assigner
from tarragonlb.scheduling.crashreview import CrashReviewer
from tarragonlb.scheduling.job import Moment
from tarragonlb.scheduling.jobstate import JobOutcome, JobState
from tarragonlb.scheduling.leasebound import LeaseBoundKeeper
from tarragonlb.scheduling.orders import (
    OrderResult,
    PaceOrder,
    SchedulingDecision,
    StartOrder,
    StopOrder,
)
from tarragonlb.scheduling.ordertracker import OrderTracker
from tarragonlb.scheduling.pacing import Pacer
from tarragonlb.scheduling.partitionstate import PartitionState
from tarragonlb.scheduling.policies import SchedulingPolicies
from tarragonlb.scheduling.reconciliation import Reconciler
from tarragonlb.scheduling.settings import SchedulingSettings
from tarragonlb.scheduling.startbinding import store_open_starts
from tarragonlb.scheduling.startwindow import StartWindow
from tarragonlb.scheduling.stopping import StopPlanner
from tarragonlb.scheduling.task import StartStage, TaskPhase
from tarragonlb.scheduling.waitreason import StepKey, WaitReason

# Finished jobs are looked through this often, since most rounds remove none.
CLEANUP_INTERVAL_SECONDS = 1.0
# Followers read a partition only a little more often than the number of pending
# jobs may be old.
MAX_BEGUN_DELAY_SECONDS = 0.15


class Scheduler:
    """Schedules all pools of one partition, during one term."""

    __slots__ = (
        '_assigner',
        '_crash_reviewer',
        '_next_cleanup_at',
        '_stop_planner',
        'bound_keeper',
        'order_tracker',
        'pacer',
        'reconciler',
        'start_window',
        'state',
    )

    def __init__(
        self,
        settings: SchedulingSettings,
        policies: SchedulingPolicies,
        now: float,
    ) -> None:
        """Start a term at ``now`` seconds, without jobs and workers."""
        self.state = PartitionState(settings, now)
        self.state.look_ahead = policies.look_ahead
        self.reconciler = Reconciler(self.state)
        self._crash_reviewer = CrashReviewer(self.state)
        self.order_tracker = OrderTracker(self.state)
        self.pacer = Pacer(self.state)
        self.bound_keeper = LeaseBoundKeeper(self.state)
        self.start_window = StartWindow(
            self.state, is_bounded=policies.bounds_pending_starts
        )
        self._assigner = Assigner(self.state, policies, self.start_window)
        self._stop_planner = StopPlanner(self.state, self.reconciler.done_at)
        self._next_cleanup_at = now

    @property
    def wait_reasons(self) -> Mapping[StepKey, WaitReason]:
        """Return why steps were not placed, as of the last rounds."""
        return self._assigner.wait_notes.reasons

    def decide(
        self,
        now: Moment,
        *,
        is_store_suspect: bool = False,
        may_place: bool = True,
    ) -> SchedulingDecision:
        """Run one scheduling round.

        ``is_store_suspect`` means that the store may be unavailable.  With
        ``may_place`` false no task is placed.
        """
        state = self.state
        self.reconciler.expire_leases(now.seconds)
        self._crash_reviewer.review(now.seconds)
        store_open_starts(state, now.seconds)
        self._stop_planner.evict_permanent_tasks()
        self._stop_planner.stop_stalled(now.seconds)
        removed = self._forget_finished(now.seconds)
        starts = self._assigner.place_ready(now) if may_place else ()
        changed = self._collect_changed(now.seconds)
        return SchedulingDecision(
            jobs=changed,
            removed=removed,
            starts=tuple(starts),
            stops=tuple(self._stop_planner.list_orders(now.seconds)),
            paces=tuple(self.pacer.decide()),
            bound_changes=self.bound_keeper.decide(
                now.seconds, is_store_suspect=is_store_suspect
            ),
            end_acks={
                worker_id: (worker.incarnation, worker.last_end_number)
                for worker_id, worker in state.workers.items()
            },
        )

    def note_stored(self, decision: SchedulingDecision, now: float) -> None:
        """Note that a decision is stored, before its starts are sent."""
        self.start_window.note_queued(decision.starts, now)
        self.bound_keeper.note_stored(decision.bound_changes)
        for start in decision.starts:
            task = self.state.find_attempt(
                start.key, start.attempt, start.worker_id
            )
            if task is not None:
                task.start_stage = StartStage.STORED

    def apply_order_result(
        self,
        order: StartOrder | StopOrder | PaceOrder,
        result: OrderResult,
        now: float,
        token: int = 0,
    ) -> None:
        """Apply the result of an order, sent to a worker under ``token``."""
        if isinstance(order, StartOrder):
            self.start_window.note_answer(order, result, now)
            self.order_tracker.apply_start_result(order, result, now, token)
        elif isinstance(order, StopOrder):
            self.order_tracker.apply_stop_result(order, result, now)
        elif result is not OrderResult.DONE:
            self.pacer.note_refused(order)

    def may_extend_lease(self, worker_id: str) -> bool:
        """Return whether leases on a worker may be extended now."""
        return worker_id not in self.state.stored_bounds

    def is_still_wanted(self, order: StartOrder) -> bool:
        """Return whether a stored start order should still be sent."""
        task = self.state.find_attempt(
            order.key, order.attempt, order.worker_id
        )
        if task is None or task.phase is not TaskPhase.PLACED:
            return False
        worker = self.state.workers.get(order.worker_id)
        if worker is None or worker.entry.is_draining:
            return False
        # Storing a decision may take seconds, and a capacity can shrink.
        return not worker.is_overfilled(self.state.find_step(order.key))

    def _collect_changed(self, now: float) -> tuple[JobState, ...]:
        """Return the jobs whose progress is to be stored.

        While a decision is being stored no other is made, so first starts are
        stored with other changes, or by themselves after some time.
        """
        state = self.state
        begun_at = min(state.begun_jobs.values(), default=now)
        if state.changed_jobs or now - begun_at >= MAX_BEGUN_DELAY_SECONDS:
            state.changed_jobs.update(state.begun_jobs)
            state.begun_jobs.clear()
        changed = tuple(
            state.jobs[job_id]
            for job_id in state.changed_jobs
            if job_id in state.jobs
        )
        state.changed_jobs.clear()
        return changed

    def _forget_finished(self, now: float) -> tuple[str, ...]:
        if now < self._next_cleanup_at:
            return ()
        self._next_cleanup_at = now + CLEANUP_INTERVAL_SECONDS
        limit = now - self.state.settings.status_retention_seconds
        old = [
            job_id
            for job_id, job_state in self.state.jobs.items()
            if job_state.outcome is not JobOutcome.OPEN
            and job_state.finished_at < limit
            and not any(task.is_attached for _, task in job_state.list_tasks())
        ]
        for job_id in old:
            self.state.jobs.pop(job_id)
        return tuple(old)

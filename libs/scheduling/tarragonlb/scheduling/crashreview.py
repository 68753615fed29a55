"""Weighs the crashes under tasks, and gives up the tasks that cause them.

A crash counts at once, so that the task is isolated, and is reviewed a little
later, when the losses of other workers at that time are known.  A task with a
case against it waits: the longer no other worker of its pool goes, the less
likely it is that chance explains its crashes.
"""

import math
from collections import Counter

from tarragonlb.scheduling.crashhistory import (
    ISOLATION_WAIT_SECONDS,
    UNKNOWN_ATTEMPT_SECONDS,
    ConfirmedCrash,
    get_max_chance,
)
from tarragonlb.scheduling.evidence import CrashReview
from tarragonlb.scheduling.job import TaskKey
from tarragonlb.scheduling.jobstate import JobOutcome, JobState
from tarragonlb.scheduling.losslog import WINDOW_SECONDS, SeenLoss
from tarragonlb.scheduling.partitionstate import PartitionState
from tarragonlb.scheduling.task import TaskPhase, TaskState
from tarragonlb.scheduling.verdictnotes import GivenUpTask, NotedCrash
from tarragonlb.scheduling.workerloss import LostAttempt

# After this time it is known which workers went together.
REVIEW_SECONDS = 1.5
# Time between two reviews of the tasks that wait.
REVIEW_INTERVAL_SECONDS = 0.2
# The workers of the pools are counted no more often.
COUNT_INTERVAL_SECONDS = 0.2
# A task with a case waits for at most this long while no other worker goes.
MAX_QUIET_SECONDS = 40.0
# A permanent task must not be away for longer than some seconds.
MAX_PERMANENT_PAUSE_SECONDS = 3.0
# That does not hold for one that goes on to crash workers.
MANY_CRASHES = 5
# An attempt lasts at least as long as an order takes to be answered.
MIN_ATTEMPT_SECONDS = 0.1
COUNTED = 'counted'
TRIAL = 'counted, as it was alone'
UNCONFIRMED = 'excused, as the start was not confirmed'


class CrashReviewer:
    """Counts crashes for the tasks of a partition, and reviews them."""

    __slots__ = (
        '_counted_at',
        '_next_review_at',
        '_partition',
        '_worker_counts',
    )

    def __init__(self, partition: PartitionState) -> None:
        """Update ``partition``, which the caller owns."""
        self._partition = partition
        self._next_review_at = 0.0
        self._worker_counts: Counter[str] = Counter()
        self._counted_at = -math.inf

    def note_crash(
        self, lost: LostAttempt, loss: SeenLoss, now: float, *, is_alone: bool
    ) -> None:
        """Take note that the worker of an attempt crashed.

        ``is_alone`` means that no other job had an attempt there.
        """
        state, task = self._find(lost.key)
        if state is None or task is None or not state.is_open:
            return
        # Permanent tasks live long enough to see workers crash by chance.
        is_permanent = self._partition.find_step(lost.key).is_permanent
        if is_permanent and lost.has_survived:
            return
        if task.crashes.knows(lost.attempt):
            return
        task.avoided.add(loss.worker_id)
        if lost.was_started:
            task.crashes = task.crashes.count(lost.attempt)
            self._partition.evidence.add_review(
                CrashReview(
                    lost.key,
                    lost.attempt,
                    state.job.pool,
                    loss,
                    _measure_attempt(lost, loss),
                    is_alone,
                    now + REVIEW_SECONDS,
                )
            )
        else:
            task.crashes = task.crashes.excuse(lost.attempt)
            self._note(lost.key, lost.attempt, loss, UNCONFIRMED, now)
        self._partition.note_changed(state)
        if task.crashes.needs_isolation:
            self._partition.evidence.paused[lost.key] = now
            self._review_paused(lost.key, now, now)

    def review(self, now: float) -> None:
        """Review the crashes that are due, and the tasks that wait."""
        for review in self._partition.evidence.list_due_reviews(now):
            self._review(review)
        if now < self._next_review_at:
            return
        self._next_review_at = now + REVIEW_INTERVAL_SECONDS
        for key, since in tuple(self._partition.evidence.paused.items()):
            self._review_paused(key, since, now)

    def _review(self, review: CrashReview) -> None:
        state, task = self._find(review.key)
        if state is None or task is None or not state.is_open:
            return
        # A permanent task may have been cleared since.
        if review.attempt not in task.crashes.attempts:
            return
        others = self._count_together(review)
        share = (others + 1) / self._count_workers(review.pool, review.due_at)
        seen, rate = self._measure_losses(review.key, state, review.due_at)
        task.crashes = task.crashes.confirm(
            ConfirmedCrash(
                review.attempt,
                review.seconds,
                review.is_alone,
                min(share, 1) if others else 0,
                rate if seen else 0,
            )
        )
        verdict = TRIAL if review.is_alone else COUNTED
        self._note(
            review.key, review.attempt, review.loss, verdict, review.due_at
        )
        self._partition.note_changed(state)

    def _count_together(self, review: CrashReview) -> int:
        """Count the other workers of the pool that went at the same time."""
        # Copies of one task may have crashed their workers together.
        step = self._partition.find_step(review.key)
        key = review.key if step.allows_copies else None
        losses = self._partition.evidence.losses
        return losses.count_together(review.pool, review.loss, key)

    def _review_paused(self, key: TaskKey, since: float, now: float) -> None:
        """Give a task up, have it wait, or let it be tried."""
        paused = self._partition.evidence.paused
        state, task = self._find(key)
        if state is None or task is None or not state.is_open:
            paused.pop(key)
        elif task.phase is TaskPhase.WAITING:
            self._weigh(key, state, task, now)
            self._extend_pause(key, state, task, now)
        elif task.placed_at is not None and since > task.placed_at:
            # The crash became known only after the next placement.
            self._weigh(key, state, task, now)
        else:
            paused.pop(key)

    def _extend_pause(
        self, key: TaskKey, state: JobState, task: TaskState, now: float
    ) -> None:
        """Have a task wait until its pause is over."""
        evidence = self._partition.evidence
        others, rate = self._measure_losses(key, state, now)
        pause = task.crashes.compute_pause(rate if others else 0)
        wait = task.crashes.isolation_wait_seconds
        if self._partition.find_step(key).is_permanent:
            if task.crashes.count_all() < MANY_CRASHES:
                pause = min(pause, MAX_PERMANENT_PAUSE_SECONDS)
            wait = min(wait, ISOLATION_WAIT_SECONDS)
        if not others and self._has_case(key, task):
            pause = max(pause, MAX_QUIET_SECONDS)
        task.not_before = evidence.paused[key] + pause
        task.isolate_until = task.not_before + wait
        if now >= task.not_before:
            evidence.paused.pop(key)
            self._partition.changed_pools.add(state.job.pool)

    def _has_case(self, key: TaskKey, task: TaskState) -> bool:
        """Return whether there is a case against a task, all crashes known."""
        step = self._partition.find_step(key)
        if not task.crashes.has_case(is_permanent=step.is_permanent):
            return False
        return key not in self._partition.evidence.under_review

    def _weigh(
        self, key: TaskKey, state: JobState, task: TaskState, now: float
    ) -> None:
        """Give a task up if there is a case, and chance is ruled out."""
        if not self._has_case(key, task):
            return
        _, rate = self._measure_losses(key, state, now)
        chance = task.crashes.compute_chance(rate)
        max_chance = get_max_chance(
            is_permanent=self._partition.find_step(key).is_permanent
        )
        if chance <= max_chance:
            crashes = len(task.crashes.attempts)
            self._partition.evidence.notes.given_up.append(
                GivenUpTask(key, crashes, chance, max_chance)
            )
            self._partition.close_job(state, JobOutcome.FAILED, now)

    def _measure_losses(
        self, key: TaskKey, state: JobState, now: float
    ) -> tuple[int, float]:
        """Return how many workers went without a task, and how often one does.

        The rate is per second of a worker, as if one more had just gone.
        """
        partition, pool = self._partition, state.job.pool
        started = max(partition.taken_over_at, now - WINDOW_SECONDS)
        others = partition.evidence.losses.count_without(pool, key, started)
        seen_seconds = max(self._count_workers(pool, now) * (now - started), 1)
        return others, (others + 1) / seen_seconds

    def _count_workers(self, pool: str, now: float) -> int:
        """Return the number of workers of a pool, as of a moment ago."""
        if now >= self._counted_at + COUNT_INTERVAL_SECONDS:
            self._counted_at = now
            self._worker_counts = Counter(
                worker.entry.pool
                for worker in self._partition.workers.values()
                if worker.is_listed
            )
        return max(self._worker_counts[pool], 1)

    def _note(
        self,
        key: TaskKey,
        attempt: int,
        loss: SeenLoss,
        verdict: str,
        now: float,
    ) -> None:
        state, task = self._find(key)
        if state is None or task is None:
            return
        _, rate = self._measure_losses(key, state, now)
        step = self._partition.find_step(key)
        self._partition.evidence.notes.crashes.append(
            NotedCrash(
                key,
                attempt,
                loss.worker_id,
                verdict,
                task.crashes,
                task.crashes.compute_chance(rate),
                get_max_chance(is_permanent=step.is_permanent),
            )
        )

    def _find(self, key: TaskKey) -> tuple[JobState | None, TaskState | None]:
        state = self._partition.jobs.get(key.job_id)
        return state, None if state is None else state.find(key)


def _measure_attempt(lost: LostAttempt, loss: SeenLoss) -> float:
    """Return within how many seconds of its start an attempt was lost."""
    if lost.placed_at is None:
        return UNKNOWN_ATTEMPT_SECONDS
    return max(loss.gone_at - lost.placed_at, MIN_ATTEMPT_SECONDS)

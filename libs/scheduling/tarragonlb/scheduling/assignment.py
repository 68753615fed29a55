"""Assigns waiting tasks to workers.

The policies decide in which order steps are tried, which tasks may start now
and which worker each of them gets.  A permanent task that fits on no worker
reserves the one with the most free CPU among those where it will fit, so that a
stream of small tasks cannot starve it.

A round looks only at pools whose jobs or workers have changed since the last
one.  Backoffs and due times pass without such an event, so pools that have any
are looked at again after a short time.
"""

from collections.abc import Container, Iterator

from tarragonlb.scheduling.candidates import PoolCandidates
from tarragonlb.scheduling.job import Moment, TaskKey
from tarragonlb.scheduling.orders import StartOrder
from tarragonlb.scheduling.partitionstate import PartitionState, note_limit
from tarragonlb.scheduling.placement import (
    is_candidate,
    is_choosy,
    must_wait_for_empty_worker,
    will_be_candidate,
)
from tarragonlb.scheduling.policies import SchedulingPolicies
from tarragonlb.scheduling.readystep import ReadyStep, list_ready_steps
from tarragonlb.scheduling.retryguard import RetryGuard
from tarragonlb.scheduling.startbinding import (
    find_full_worker,
    forget_closed_starts,
)
from tarragonlb.scheduling.startwindow import StartWindow
from tarragonlb.scheduling.task import TaskState
from tarragonlb.scheduling.waitnotes import WaitNotes
from tarragonlb.scheduling.waitreason import WaitReason
from tarragonlb.scheduling.worker import WorkerState

# Time between two rounds that look at all pools.
FULL_PASS_INTERVAL_SECONDS = 1.0
# Time after which a pool with backoffs or due times is looked at again.
RETRY_SECONDS = 0.1


class Assigner:
    """Chooses workers for the ready tasks of a partition."""

    __slots__ = (
        '_candidates',
        '_is_window_full',
        '_next_full_pass_at',
        '_partition',
        '_policies',
        '_queues',
        '_reserved',
        '_retry_at',
        '_retry_guard',
        '_window',
        'wait_notes',
    )

    def __init__(
        self,
        partition: PartitionState,
        policies: SchedulingPolicies,
        window: StartWindow,
    ) -> None:
        """Place the tasks of ``partition`` according to ``policies``.

        ``window`` limits how many are placed and not started.
        """
        self._window = window
        self._is_window_full = False
        self._partition = partition
        self._policies = policies
        self._reserved: set[str] = set()
        self._retry_guard = RetryGuard()
        self._candidates: dict[str, PoolCandidates] = {}
        self._queues = partition.queues
        self._next_full_pass_at = 0.0
        self._retry_at: dict[str, float] = {}
        self.wait_notes = WaitNotes()

    def place_ready(self, now: Moment) -> list[StartOrder]:
        """Place the tasks that fit; return the orders to send once stored."""
        pools = self._choose_pools(now.seconds)
        if pools is not None and not pools:
            return []
        self._reserved.clear()
        self._candidates.clear()
        self._retry_guard.begin_round(now.seconds)
        self._partition.changed_pools.clear()
        for worker_filter in self._policies.filters:
            worker_filter.begin_round(self._partition, now.seconds)
        self._window.begin_round()
        self.wait_notes.begin_round(is_full_pass=pools is None)
        self._is_window_full = False
        found = self._list_ready(now, pools)
        orders: list[StartOrder] = []
        for ready in self._policies.order.arrange(found, self._partition, now):
            placed = self._place_step(ready, now.seconds)
            self._window.note_placed(placed)
            orders.extend(placed)
            if self._is_window_full:
                # Steps behind the first one that waits for the window would
                # take what becomes free of it, and starve a gang.
                self._window.note_limited(
                    waiting.job_state.job.pool for waiting in found
                )
                self.wait_notes.note_not_tried(found)
                break
        return orders

    def _choose_pools(self, now: float) -> set[str] | None:
        """Return the pools to look at in this round, None for all pools."""
        partition = self._partition
        are_queues_new = partition.queues is not self._queues
        if are_queues_new or now >= self._next_full_pass_at:
            self._queues = partition.queues
            self._next_full_pass_at = now + FULL_PASS_INTERVAL_SECONDS
            self._retry_at.clear()
            return None
        due = [pool for pool, at in self._retry_at.items() if now >= at]
        for pool in due:
            self._retry_at.pop(pool)
        return partition.changed_pools.union(due)

    def _retry_later(self, pool: str, now: float) -> None:
        self._retry_at.setdefault(pool, now + RETRY_SECONDS)

    def _list_ready(
        self, now: Moment, pools: Container[str] | None
    ) -> list[ReadyStep]:
        found: list[ReadyStep] = []
        for job_state in self._partition.open_jobs.values():
            if pools is not None and job_state.job.pool not in pools:
                continue
            queue = self._partition.queue_history.find(
                self._partition.queues, job_state, now.seconds
            )
            note_limit(self._partition, job_state)
            if queue is None:
                self.wait_notes.note_unknown_queue(job_state)
            else:
                # No occurrence starts early by ``wall_ms``, a wall clock
                # without short jumps.
                job_state.add_due_occurrences(now.wall_ms)
                if job_state.has_occurrences_to_come:
                    self._retry_later(job_state.job.pool, now.seconds)
                found.extend(list_ready_steps(job_state, queue, now))
        return found

    def _get_candidates(self, pool: str) -> PoolCandidates:
        candidates = self._candidates.get(pool)
        if candidates is None:
            candidates = PoolCandidates(
                worker
                for worker in self._partition.workers.values()
                if worker.entry.pool == pool
            )
            self._candidates[pool] = candidates
        return candidates

    def _place_step(self, ready: ReadyStep, now: float) -> list[StartOrder]:
        waiting = ready.list_waiting(now)
        if len(waiting) < ready.step_state.count_waiting():
            self._retry_later(ready.job_state.job.pool, now)
        self._policies.placement.begin_step(ready)
        self.wait_notes.begin_step(ready, waiting)
        if ready.step.is_gang:
            return self._place_gang(ready, waiting, now)
        orders: list[StartOrder] = []
        for index in waiting:
            if not self._may_start(ready, 1, len(orders)):
                return orders
            order = self._place_task(ready, index, now)
            if order is not None:
                orders.append(order)
            elif not is_choosy(ready.step_state.tasks[index]):
                break
        if len(orders) < len(waiting):
            self._note_waiting(ready, now)
        return orders

    def _may_start(self, ready: ReadyStep, count: int, placed: int = 0) -> bool:
        """Return whether ``count`` more tasks of a step may start now.

        ``placed`` tasks of it were placed before in this round.
        """
        self._is_window_full = not self._window.allows(
            placed + count, is_gang=ready.step.is_gang
        )
        if self._is_window_full:
            self.wait_notes.note(ready, WaitReason.WINDOW)
            return False
        is_allowed = self._policies.limit.allows(ready, count, self._partition)
        if not is_allowed:
            self.wait_notes.note(ready, WaitReason.CAP)
        return is_allowed

    def _note_waiting(self, ready: ReadyStep, now: float) -> None:
        for worker_filter in self._policies.filters:
            worker_filter.note_waiting(ready, now)

    def _place_gang(
        self, ready: ReadyStep, waiting: list[int], now: float
    ) -> list[StartOrder]:
        tasks = ready.step_state.tasks
        if len(waiting) < len(tasks):
            self.wait_notes.note_incomplete(ready)
            return []
        if not self._may_start(ready, len(waiting)):
            return []
        attempts = [task.attempt for task in tasks]
        checkpoint = max(task.checkpoint for task in tasks)
        was_changed = ready.job_state.job.job_id in self._partition.changed_jobs
        orders = []
        for index in waiting:
            tasks[index].checkpoint = checkpoint
            order = self._place_task(ready, index, now, max(attempts) + 1)
            if order is None:
                self._undo_gang(ready, attempts, was_changed=was_changed)
                self._note_waiting(ready, now)
                return []
            orders.append(order)
        return orders

    def _undo_gang(
        self, ready: ReadyStep, attempts: list[int], *, was_changed: bool
    ) -> None:
        """Detach a gang that did not fit, as if it had not been tried."""
        for index, task in enumerate(ready.step_state.tasks):
            if task.is_attached:
                worker = self._partition.workers[task.worker_id]
                key = TaskKey(*ready.key, index)
                worker.detach(key)
                self._partition.usage.remove(task.worker_id, key)
                self._get_candidates(ready.job_state.job.pool).note_freed(
                    worker
                )
                task.release()
                task.attempt = attempts[index]
        if not was_changed:
            self._partition.changed_jobs.discard(ready.job_state.job.job_id)

    def _place_task(
        self,
        ready: ReadyStep,
        index: int,
        now: float,
        attempt: int = 0,
    ) -> StartOrder | None:
        task = ready.step_state.tasks[index]
        worker = None
        candidates = self._get_candidates(ready.job_state.job.pool)
        self.wait_notes.begin_task()
        key = TaskKey(*ready.key, index)
        forget_closed_starts(self._partition, key, task, now)
        if _is_held_back(ready, task, candidates, now):
            self.wait_notes.note_refused(WaitReason.SUSPECT)
        elif not candidates.is_full(ready.step):
            worker = self._policies.placement.choose(
                ready.step, task, self._list_candidates(ready, task, now)
            )
        if worker is None:
            self.wait_notes.note_no_worker(ready, task, candidates, now)
            must_be_alone = must_wait_for_empty_worker(ready.step, task, now)
            if task.crashes.needs_isolation:
                self._retry_later(ready.job_state.job.pool, now)
            if not task.open_starts.is_empty:
                self._reserved.add(
                    find_full_worker(self._partition, ready.step, task)
                )
            elif ready.step.is_permanent or must_be_alone:
                self._reserve(ready, now, must_be_empty=must_be_alone)
            return None
        return self._attach(ready, index, worker, attempt, now)

    def _attach(
        self,
        ready: ReadyStep,
        index: int,
        worker: WorkerState,
        attempt: int,
        now: float,
    ) -> StartOrder:
        key = TaskKey(*ready.key, index)
        task = ready.step_state.tasks[index]
        worker_id = worker.entry.worker_id
        task.place(
            worker_id,
            worker.incarnation or 0,
            attempt or task.open_starts.choose_attempt(task.attempt),
            now,
        )
        self._partition.attach(worker, key, task)
        if task.keeps_worker(now):
            self._get_candidates(ready.job_state.job.pool).note_kept()
        self._get_candidates(ready.job_state.job.pool).move_after_change(worker)
        self._partition.changed_jobs.add(key.job_id)
        self._policies.order.note_placed(ready)
        return StartOrder(
            key=key,
            attempt=task.attempt,
            worker_id=worker_id,
            payload=ready.job_state.job.spec.payload,
            checkpoint=task.checkpoint,
            ticket=self._find_ticket(worker, ready, now),
        )

    def _list_candidates(
        self, ready: ReadyStep, task: TaskState, now: float
    ) -> Iterator[WorkerState]:
        candidates = self._get_candidates(ready.job_state.job.pool)
        for worker in candidates.list_fitting(ready.step):
            if not task.open_starts.allow(worker.entry.worker_id):
                self.wait_notes.note_refused(WaitReason.FORMER_ATTEMPT)
            elif self._may_take(worker, ready, task, now):
                yield worker

    def _may_take(
        self,
        worker: WorkerState,
        ready: ReadyStep,
        task: TaskState,
        now: float,
    ) -> bool:
        is_in_doubt = worker.has_refused or worker.suspects
        if is_in_doubt or worker.probation.has_recent_failures:
            self._retry_later(worker.entry.pool, now)
        if worker.entry.worker_id in self._reserved:
            self.wait_notes.note_refused(WaitReason.RESERVED)
            return False
        candidates = self._get_candidates(worker.entry.pool)
        if self._retry_guard.must_wait(
            worker, ready, task, candidates.list_usable, now
        ):
            self.wait_notes.note_refused(WaitReason.PROBATION)
            return False
        if not is_candidate(worker, ready.step, ready.key, task, now):
            self.wait_notes.note_held_back(worker)
            return False
        return self._is_allowed_by_filters(worker, ready, now)

    def _is_allowed_by_filters(
        self, worker: WorkerState, ready: ReadyStep, now: float
    ) -> bool:
        for worker_filter in self._policies.filters:
            if not worker_filter.may_use(worker, ready, now):
                self.wait_notes.note_refused(worker_filter.wait_reason)
                return False
        return True

    def _find_ticket(
        self, worker: WorkerState, ready: ReadyStep, now: float
    ) -> str:
        tickets = (
            worker_filter.find_ticket(worker, ready, now)
            for worker_filter in self._policies.filters
        )
        return next(filter(None, tickets), '')

    def _reserve(
        self, ready: ReadyStep, now: float, *, must_be_empty: bool
    ) -> None:
        """Keep the emptiest worker free of others that come later.

        One that ``must_be_empty`` is kept for a suspect, and only a share of
        the pool is.
        """
        candidates = self._get_candidates(ready.job_state.job.pool)
        if must_be_empty and not candidates.may_keep(now):
            return
        eligible = [
            worker
            for worker in self._partition.workers.values()
            if worker.entry.pool == ready.job_state.job.pool
            and worker.entry.worker_id not in self._reserved
            and will_be_candidate(worker, ready.step, ready.key)
            and self._is_allowed_by_filters(worker, ready, now)
        ]
        if must_be_empty:
            eligible = [w for w in eligible if not w.count_permanent()]
        emptiest = max(eligible, key=_get_free_cpu, default=None)
        if emptiest is not None:
            if must_be_empty:
                candidates.note_kept()
            self._reserved.add(emptiest.entry.worker_id)


def _get_free_cpu(worker: WorkerState) -> int:
    return worker.free_cpu


def _is_held_back(
    ready: ReadyStep, task: TaskState, candidates: PoolCandidates, now: float
) -> bool:
    """Return whether suspects keep all the workers that they may keep."""
    must_be_alone = must_wait_for_empty_worker(ready.step, task, now)
    return must_be_alone and not candidates.may_keep(now)

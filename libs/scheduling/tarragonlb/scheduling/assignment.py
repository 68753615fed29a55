"""Places waiting tasks on workers.

Steps are tried in the order of their queue's priority; within it permanent
tasks go first, then the steps that must start soonest for their job to meet its
objective.  Jobs that will miss it wait behind those that can still meet it, but
not for ever: at the height of a peak each pool is asked for more than it has,
and in the order of arrival everyone would be late.  A permanent task that fits
nowhere reserves the emptiest worker, so that a stream of small tasks can't
keep it out for ever.
"""

from tarragonlb.scheduling.job import Moment, Step, TaskKey
from tarragonlb.scheduling.jobstate import JobState, StepState
from tarragonlb.scheduling.orders import StartOrder
from tarragonlb.scheduling.partitionstate import PartitionState
from tarragonlb.scheduling.placement import (
    PlacementPolicy,
    is_candidate,
    is_eligible,
)
from tarragonlb.scheduling.queue import Queue
from tarragonlb.scheduling.task import TaskPhase, TaskState
from tarragonlb.scheduling.worker import WorkerState

# From placing a task to its start, and from its end to the report.
OVERHEAD_SECONDS = 0.2
# A job that is late waits behind others at most so long; peaks are shorter.
MAX_DEFERRAL_SECONDS = 20.0


class ReadyStep:
    """A step with waiting tasks whose prerequisites are done."""

    __slots__ = ('job', 'number', 'occurrence', 'rank', 'state', 'step')

    def __init__(
        self,
        job: JobState,
        occurrence: int,
        number: int,
        queue: Queue,
        now: Moment,
    ) -> None:
        """Rank the step among all others."""
        self.job = job
        self.occurrence = occurrence
        self.number = number
        self.state: StepState = job.occurrences[occurrence][number]
        self.step: Step = job.job.spec.steps[number]
        begin = job.find_begin(occurrence, now)
        # When the step must start for the job to meet its objective.
        objective = queue.stretch * max(job.chains) + queue.objective_seconds
        latest = begin + objective - job.chains[number] - OVERHEAD_SECONDS
        is_deferred = latest < now.seconds < begin + MAX_DEFERRAL_SECONDS
        self.rank = (
            queue.priority,
            not self.step.is_permanent,
            is_deferred,
            begin if is_deferred else latest,
        )

    @property
    def key(self) -> tuple[str, int, int]:
        """Return what identifies the step's occurrence."""
        return (self.job.job.job_id, self.occurrence, self.number)

    def list_waiting(self, now: float) -> list[int]:
        """Return the indexes of the tasks that may be placed."""
        return [
            index
            for index, task in enumerate(self.state.tasks)
            if task.phase is TaskPhase.WAITING and task.not_before <= now
        ]


class Assigner:
    """Chooses workers for all ready tasks of a partition."""

    __slots__ = ('_policy', '_pool', '_reserved')

    def __init__(self, pool: PartitionState, policy: PlacementPolicy) -> None:
        """Place tasks of ``pool`` by ``policy``."""
        self._pool = pool
        self._policy = policy
        self._reserved: set[str] = set()

    def place_ready(self, now: Moment) -> list[StartOrder]:
        """Place what fits and return the orders to send once it is stored."""
        self._reserved.clear()
        orders: list[StartOrder] = []
        for ready in sorted(self._list_ready(now), key=_rank):
            orders.extend(self._place_step(ready, now.seconds))
        return orders

    def _list_ready(self, now: Moment) -> list[ReadyStep]:
        found: list[ReadyStep] = []
        for job in self._pool.jobs.values():
            queue = self._pool.queues.get(job.job.queue)
            if queue is not None and job.is_open:
                # No occurrence starts early by the time of day that is kept
                # free of short jumps.
                job.open_due_occurrences(now.wall_ms)
                found.extend(_list_ready_steps(job, queue, now))
        return found

    def _place_step(self, ready: ReadyStep, now: float) -> list[StartOrder]:
        waiting = ready.list_waiting(now)
        if ready.step.is_gang:
            return self._place_gang(ready, waiting, now)
        orders = []
        for index in waiting:
            order = self._place_task(ready, index, now)
            if order is None:
                break
            orders.append(order)
        return orders

    def _place_gang(
        self, ready: ReadyStep, waiting: list[int], now: float
    ) -> list[StartOrder]:
        tasks = ready.state.tasks
        if len(waiting) < len(tasks):
            return []
        attempts = [task.attempt for task in tasks]
        checkpoint = max(task.checkpoint for task in tasks)
        was_changed = ready.job.job.job_id in self._pool.changed_jobs
        had_begun = ready.job.began
        orders = []
        for index in waiting:
            tasks[index].checkpoint = checkpoint
            order = self._place_task(ready, index, now, max(attempts) + 1)
            if order is None:
                self._undo(ready, attempts, was_changed=was_changed)
                ready.job.began = had_begun
                return []
            orders.append(order)
        return orders

    def _undo(
        self, ready: ReadyStep, attempts: list[int], *, was_changed: bool
    ) -> None:
        """Take a gang back that found no room, as if it was never tried."""
        for index, task in enumerate(ready.state.tasks):
            if task.is_attached:
                worker = self._pool.workers[task.worker_id]
                worker.detach(TaskKey(*ready.key, index))
                task.release()
                task.attempt = attempts[index]
        if not was_changed:
            self._pool.changed_jobs.discard(ready.job.job.job_id)

    def _place_task(
        self,
        ready: ReadyStep,
        index: int,
        now: float,
        attempt: int = 0,
    ) -> StartOrder | None:
        task = ready.state.tasks[index]
        worker = self._policy.choose(
            ready.step, task, self._list_candidates(ready, task, now)
        )
        if worker is None:
            if ready.step.is_permanent:
                self._reserve(ready)
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
        task = ready.state.tasks[index]
        worker_id = worker.entry.worker_id
        task.place(worker_id, attempt or task.attempt + 1, now)
        worker.attach(key, task.attempt, ready.step)
        ready.job.began = True
        self._pool.changed_jobs.add(key.job_id)
        return StartOrder(
            key=key,
            attempt=task.attempt,
            worker_id=worker_id,
            payload=ready.job.job.spec.payload,
            checkpoint=task.checkpoint,
        )

    def _list_candidates(
        self, ready: ReadyStep, task: TaskState, now: float
    ) -> list[WorkerState]:
        pool = ready.job.job.pool
        return [
            worker
            for worker in self._pool.workers.values()
            if worker.entry.pool == pool
            and worker.entry.worker_id not in self._reserved
            and is_candidate(worker, ready.step, ready.key, task, now)
        ]

    def _reserve(self, ready: ReadyStep) -> None:
        eligible = [
            worker
            for worker in self._pool.workers.values()
            if worker.entry.pool == ready.job.job.pool
            and worker.entry.worker_id not in self._reserved
            and is_eligible(worker, ready.step, ready.key)
        ]
        best = max(eligible, key=_measure_room, default=None)
        if best is not None:
            self._reserved.add(best.entry.worker_id)


def _list_ready_steps(
    job: JobState, queue: Queue, now: Moment
) -> list[ReadyStep]:
    return [
        ReadyStep(job, occurrence, number, queue, now)
        for occurrence, number, state in job.list_steps()
        if not state.is_done and job.is_ready(occurrence, number)
    ]


def _rank(ready: ReadyStep) -> tuple[int, bool, bool, float]:
    return ready.rank


def _measure_room(worker: WorkerState) -> int:
    return worker.free_cpu

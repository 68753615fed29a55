"""Tells attempts that make no progress from those that make it slowly.

Workers may report progress in whole percents, so a sound attempt of a long task
shows none for a while.  An attempt is stalled once its progress has stood still
for a share of the task's expected duration that allows for an estimate which is
ten times too low, and no less than the stall timeout.  That limit is doubled
for each attempt of the task that was stopped before, so that also a task of
unknown duration ends.

The worker is at fault only if nothing else on it went on, and if other attempts
tell that it is not the task: attempts of the step on other workers go on, or
the next attempt, elsewhere, goes on at a pace that this one has missed.  Until
that is known a worker is on probation only while tasks on other workers of its
pool go on.
"""

from dataclasses import dataclass, replace
from statistics import median

from tarragonlb.scheduling.durations import find_kind
from tarragonlb.scheduling.job import Step, TaskKey
from tarragonlb.scheduling.partitionstate import PartitionState
from tarragonlb.scheduling.task import TaskPhase, TaskState
from tarragonlb.scheduling.worker import Attachment, WorkerState

# Share of the expected duration in which a sound attempt shows progress: one
# percent, if the duration is at most 12 times as long as expected.
STALL_SHARE = 0.125
# The same on a worker on which nothing else goes on either.
STILL_WORKER_SHARE = 0.03
# Bounds the doublings of a count that was read from the store.
MAX_DOUBLINGS = 40


@dataclass(frozen=True, slots=True)
class _Stall:
    """An attempt that is stalled on ``worker``."""

    key: TaskKey
    attachment: Attachment
    worker: WorkerState

    @property
    def task(self) -> TaskState:
        return self.attachment.task


@dataclass(frozen=True, slots=True)
class _Doubt:
    """A stall of which it is not known whether the task is at fault.

    Its attempt went on until ``progress_at``.  ``is_blamed`` means that the
    worker is on probation because of it.
    """

    key: TaskKey
    worker_id: str
    progress_at: float
    still_seconds: float
    is_blamed: bool


class StallDetector:
    """Finds the stalled attempts of a partition, and the workers at fault.

    ``_still_since`` maps the ids of workers at fault to when one of their
    attempts last went on.
    """

    __slots__ = ('_done_at', '_doubts', '_partition', '_still_since')

    def __init__(
        self, partition: PartitionState, done_at: dict[str, float]
    ) -> None:
        """Look at the attempts of ``partition``, which the caller owns.

        ``done_at`` maps the ids of workers to when one last reported a task as
        done.
        """
        self._partition = partition
        self._done_at = done_at
        self._doubts: list[_Doubt] = []
        self._still_since: dict[str, float] = {}

    def find_stalled(self, now: float) -> list[TaskState]:
        """Return the tasks whose attempts are to be stopped as stalled.

        Workers at fault are put on probation at ``now``.
        """
        self._forget_workers()
        self._settle_doubts(now)
        paces: dict[tuple[str, int, int], float] = {}
        stalls = [
            stall
            for stall in self._list_still()
            if self._is_stalled(stall, paces)
        ]
        for stall in stalls:
            self._judge_worker(stall, now)
        return [stall.task for stall in stalls]

    def _forget_workers(self) -> None:
        workers = self._partition.workers
        for times in (self._done_at, self._still_since):
            if len(times) > len(workers):
                for worker_id in times.keys() - workers.keys():
                    times.pop(worker_id)

    def _list_still(self) -> list[_Stall]:
        """Return the attempts without progress for the stall timeout."""
        timeout = self._partition.settings.stall_timeout_seconds
        # There may be thousands, so the fields are compared in place.
        return [
            _Stall(key, attachment, worker)
            for worker in self._partition.workers.values()
            if not worker.is_silent and worker.last_report_at is not None
            for key, attachment in worker.attached.items()
            if attachment.task.progress.listed_at
            >= attachment.task.progress.changed_at + timeout
        ]

    def _is_stalled(
        self, stall: _Stall, paces: dict[tuple[str, int, int], float]
    ) -> bool:
        """Return whether an attempt has stood still for too long.

        ``paces`` keeps the usual paces of steps, which change little.
        """
        if stall.attachment.is_permanent and stall.task.is_serving:
            stall.task.stalls = 0
            return False
        if not _can_stall(stall.attachment):
            return False
        if stall.attachment.step.scavenges and _may_starve(stall.worker):
            stall.task.progress.excuse(stall.task.progress.listed_at)
            return False
        still_seconds = stall.task.progress.still_seconds
        expected = _estimate_seconds(self._partition, stall)
        if still_seconds < self._compute_limit(stall, expected):
            return False
        step_key = stall.attachment.step_key
        if step_key not in paces:
            paces[step_key] = _measure_usual_pace(self._partition, stall.key)
        usual = max(expected, paces[step_key])
        return still_seconds >= self._compute_limit(stall, usual)

    def _compute_limit(self, stall: _Stall, expected: float) -> float:
        """Return the seconds after which an attempt is stalled.

        ``expected`` are the seconds that its task is expected to take.
        """
        settings = self._partition.settings
        task = stall.task
        is_still = self._is_still(stall.worker)
        share = STILL_WORKER_SHARE if is_still else STALL_SHARE
        limit = max(settings.stall_timeout_seconds, share * expected)
        if task.checkpoint:
            limit += settings.resume_seconds or 0
        if stall.attachment.step.scavenges:
            # It may have found no CPU time until shortly before.
            limit += settings.stall_timeout_seconds
        return limit * 2.0 ** min(task.stalls, MAX_DOUBLINGS)

    def _is_still(self, worker: WorkerState) -> bool:
        since = self._still_since.get(worker.entry.worker_id)
        if since is None:
            return False
        if worker.failures and self._find_last_progress(worker) <= since:
            return True
        self._still_since.pop(worker.entry.worker_id)
        return False

    def _judge_worker(self, stall: _Stall, now: float) -> None:
        """Put the worker on probation if it is more likely at fault."""
        worker, task = stall.worker, stall.task
        worker_id = worker.entry.worker_id
        is_repeated = self._withdraw_doubts(stall.key, worker_id)
        has_gone_on = (
            self._find_last_progress(worker) > task.progress.changed_at
        )
        # Scavenging tasks may be slowed down by their neighbours.
        if has_gone_on or stall.attachment.step.scavenges:
            return
        is_proven = self._do_peers_go_on(stall)
        is_first = not (task.stalls or is_repeated)
        is_likely = is_first and self._does_pool_go_on(stall)
        if is_proven or is_likely:
            self._blame(worker, stall.key, task.progress.changed_at, now)
        if not is_proven:
            self._forget_doubts(stall.key, worker_id)
            self._doubts.append(
                _Doubt(
                    stall.key,
                    worker_id,
                    task.progress.changed_at,
                    task.progress.still_seconds,
                    is_likely,
                )
            )

    def _blame(
        self, worker: WorkerState, key: TaskKey, since: float, now: float
    ) -> None:
        worker.probation.log.add(key)
        worker.probation.note_failure(now)
        self._still_since[worker.entry.worker_id] = since

    def _do_peers_go_on(self, stall: _Stall) -> bool:
        """Return whether attempts of the step go on, on other workers."""
        state = self._partition.jobs[stall.key.job_id]
        return any(
            peer.phase is TaskPhase.RUNNING
            and peer.worker_id != stall.task.worker_id
            and peer.progress.measure_pace() is not None
            and peer.progress.changed_at > stall.task.progress.changed_at
            for peer in state.get_step(stall.key).tasks
        )

    def _does_pool_go_on(self, stall: _Stall) -> bool:
        """Return whether tasks on other workers of the pool go on."""
        return any(
            worker is not stall.worker
            and worker.entry.pool == stall.worker.entry.pool
            and self._find_last_progress(worker)
            > stall.task.progress.changed_at
            for worker in self._partition.workers.values()
        )

    def _withdraw_doubts(self, key: TaskKey, worker_id: str) -> bool:
        """Clear other workers where the step stalled, return if there are any.

        A step that stalls on several workers is more likely at fault.
        """
        found = [
            doubt
            for doubt in self._doubts
            if doubt.key[:3] == key[:3] and doubt.worker_id != worker_id
        ]
        for doubt in found:
            self._clear(doubt)
            self._doubts.remove(doubt)
            # The next attempt may show that all of them are at fault.
            self._doubts.append(replace(doubt, is_blamed=False))
        return bool(found)

    def _forget_doubts(self, key: TaskKey, worker_id: str) -> None:
        self._doubts = [
            doubt
            for doubt in self._doubts
            if (doubt.key, doubt.worker_id) != (key, worker_id)
        ]

    def _settle_doubts(self, now: float) -> None:
        """Tell from later attempts whether workers were at fault."""
        for doubt in tuple(self._doubts):
            state = self._partition.jobs.get(doubt.key.job_id)
            task = None if state is None else state.find(doubt.key)
            worker = self._partition.workers.get(doubt.worker_id)
            if task is None or worker is None or state is None:
                self._doubts.remove(doubt)
                continue
            seconds = _measure_duration(task, doubt, now)
            if seconds is not None:
                self._doubts.remove(doubt)
                self._settle(doubt, worker, seconds, now)
            elif not state.is_open:
                self._doubts.remove(doubt)

    def _settle(
        self, doubt: _Doubt, worker: WorkerState, seconds: float, now: float
    ) -> None:
        """Judge a worker by the duration of a task that stalled there."""
        if doubt.still_seconds < STALL_SHARE * seconds:
            self._clear(doubt)
        elif not (doubt.is_blamed or worker.failures):
            last_progress_at = self._find_last_progress(worker)
            if last_progress_at <= doubt.progress_at:
                self._blame(worker, doubt.key, last_progress_at, now)

    def _clear(self, doubt: _Doubt) -> None:
        worker = self._partition.workers.get(doubt.worker_id)
        if worker is not None and doubt.is_blamed:
            worker.probation.withdraw(doubt.key)
            self._partition.changed_pools.add(worker.entry.pool)

    def _find_last_progress(self, worker: WorkerState) -> float:
        """Return when a task on a worker was last seen to go on, or done."""
        seen = (
            attachment.task.progress.changed_at
            for attachment in worker.attached.values()
            if attachment.task.progress.has_changed
            and not attachment.step.scavenges
        )
        done_at = self._done_at.get(worker.entry.worker_id, 0.0)
        return max(done_at, *seen, 0.0)


def _estimate_seconds(partition: PartitionState, stall: _Stall) -> float:
    """Return the longest of the durations expected, 0 if none is known."""
    pace = stall.task.progress.measure_pace() or 0.0
    step = stall.attachment.step
    if step.is_permanent:
        return pace
    learned = _find_learned(partition, stall.key, step)
    return max(pace, step.estimate_seconds, learned)


def _find_learned(partition: PartitionState, key: TaskKey, step: Step) -> float:
    if partition.look_ahead is None:
        return 0
    kind = find_kind(step, partition.jobs[key.job_id].job.queue, key.step)
    durations = partition.look_ahead.durations
    learned = durations.estimate(kind, step.estimate_seconds)
    return learned.seconds if learned.is_learned else 0


def _measure_usual_pace(partition: PartitionState, key: TaskKey) -> float:
    """Return the median of the paces of a step's tasks, 0 without any."""
    paces = [
        pace
        for task in partition.jobs[key.job_id].get_step(key).tasks
        if (pace := task.progress.measure_pace()) is not None
    ]
    return median(paces) if paces else 0.0


def _can_stall(attachment: Attachment) -> bool:
    is_running = attachment.task.phase is TaskPhase.RUNNING
    return is_running and not attachment.step.is_gang


def _may_starve(worker: WorkerState) -> bool:
    """Return whether scavenging tasks may find no CPU time."""
    wanted = sum(
        attachment.step.demand.cpu_millicores
        for attachment in worker.attached.values()
        if attachment.step.scavenges
    )
    return wanted > worker.free_cpu


def _measure_duration(
    task: TaskState, doubt: _Doubt, now: float
) -> float | None:
    """Return how long a task takes, by attempts after that of a doubt.

    None if they have not told it yet.
    """
    if task.phase is TaskPhase.DONE:
        began_at = now if task.placed_at is None else task.placed_at
        return task.progress.measure_pace() or now - began_at
    if task.phase is TaskPhase.RUNNING and task.worker_id != doubt.worker_id:
        return task.progress.measure_pace()
    return None

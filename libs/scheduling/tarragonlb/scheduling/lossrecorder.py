"""Records workers that are over, and counts crashes for the tasks on them."""

from collections.abc import Container, Iterable, Iterator

from tarragonlb.scheduling.crashreview import CrashReviewer
from tarragonlb.scheduling.job import TaskKey
from tarragonlb.scheduling.losslog import SeenLoss
from tarragonlb.scheduling.partitionstate import PartitionState
from tarragonlb.scheduling.startbinding import release_to_repeat
from tarragonlb.scheduling.task import StartStage, TaskPhase
from tarragonlb.scheduling.tenantusage import ORPHANED
from tarragonlb.scheduling.worker import WorkerReport, WorkerState
from tarragonlb.scheduling.workerloss import (
    LossReason,
    LostAttempt,
    WorkerLoss,
)

# For this long after its leases have run out, it is still determined whether a
# worker had crashed.
MAX_DOUBT_SECONDS = 10.0
# For this long before its end a worker may have been gone that this owner has
# not heard of.
UNHEARD_SECONDS = 2.0


class LossRecorder:
    """Releases the attempts of lost workers and counts crashes."""

    __slots__ = ('_partition', '_reviewer')

    def __init__(self, partition: PartitionState) -> None:
        """Update ``partition``, which the caller owns."""
        self._partition = partition
        self._reviewer = CrashReviewer(partition)

    def note_silence(self, worker: WorkerState) -> None:
        """Take note of a worker that does not answer any more.

        One that has not answered this owner yet may have been silent for long.
        """
        if worker.last_report_at is not None and not worker.is_leaving:
            self._note_loss(worker, worker.silent_since)

    def retract_silence(self, worker: WorkerState) -> None:
        """Take note that a silent worker answers again, and had not ended."""
        if worker.is_silent and worker.last_report_at is not None:
            self._partition.evidence.losses.retract(
                worker.entry.pool,
                worker.entry.worker_id,
                worker.last_report_at,
            )

    def lose_all(
        self,
        worker: WorkerState,
        reason: LossReason,
        now: float,
        survivors: Container[TaskKey] = (),
    ) -> None:
        """Release all attempts on a worker that is over.

        Those of ``survivors`` may run on the next incarnation, and are kept.
        """
        lost = tuple(
            attempt
            for attempt in _list_lost(worker, now)
            if attempt.key not in survivors
        )
        worker.last_end_number = 0
        worker.incarnation = None
        worker.must_report = True
        for key in worker.orphans:
            self._partition.usage.remove(worker.entry.worker_id, key, ORPHANED)
        worker.orphans.clear()
        self._lose(worker, lost, reason, now)
        if reason is not LossReason.LEASE_OVER:
            self.settle_doubt(worker, None, now)

    def lose_reborn(self, worker: WorkerState, report: WorkerReport) -> None:
        """Release the attempts of an incarnation that has ended.

        ``report`` is the first one of the present incarnation.
        """
        if not worker.is_leaving:
            self._note_loss(worker, report.received_at)
        survivors = _adopt_survivors(worker, report)
        self.lose_all(worker, LossReason.REBORN, report.received_at, survivors)

    def lose_former(self, worker: WorkerState, report: WorkerReport) -> None:
        """Release attempts that an earlier incarnation of a worker had.

        ``report`` is the first one that this owner has of the worker, or the
        first one after its leases ran out.
        """
        survivors = _adopt_survivors(worker, report)
        lost = tuple(
            attempt
            for attempt in _list_lost(worker, report.received_at)
            if attempt.incarnation not in {0, report.incarnation}
            and attempt.key not in survivors
        )
        self._lose(worker, lost, LossReason.REBORN, report.received_at)

    def settle_doubt(
        self, worker: WorkerState, incarnation: int | None, now: float
    ) -> None:
        """Determine whether a worker crashed before its leases ran out.

        ``incarnation`` is the present one, None if the worker is over.
        """
        doubtful, worker.doubtful = worker.doubtful, ()
        crashed = tuple(
            attempt
            for attempt in doubtful
            if incarnation is None
            or attempt.incarnation not in {0, incarnation}
        )
        self._count_crash(worker, crashed, now)

    def forget_doubt(self, worker: WorkerState, now: float) -> None:
        """Stop to determine whether a worker crashed, after some time."""
        if worker.doubtful and now > worker.doubtful_since + MAX_DOUBT_SECONDS:
            worker.doubtful = ()

    def _lose(
        self,
        worker: WorkerState,
        lost: tuple[LostAttempt, ...],
        reason: LossReason,
        now: float,
    ) -> None:
        if not lost:
            return
        partition = self._partition
        reported_at = worker.last_report_at
        partition.worker_losses.append(
            WorkerLoss(
                worker.entry.worker_id,
                reason,
                lost,
                None if reported_at is None else now - reported_at,
            )
        )
        for attempt in lost:
            self._release(worker, attempt, reason, now)
        if reason is LossReason.LEASE_OVER:
            worker.doubtful = lost
            worker.doubtful_since = now
        else:
            self._count_crash(worker, lost, now)

    def _release(
        self,
        worker: WorkerState,
        attempt: LostAttempt,
        reason: LossReason,
        now: float,
    ) -> None:
        worker_id = worker.entry.worker_id
        task = self._partition.find_attempt(
            attempt.key, attempt.attempt, worker_id
        )
        if task is None:
            return
        # Crashes are counted by attempt, of those that were started.
        if attempt.was_started:
            self._partition.release(attempt.key, task, reason.value, now)
        else:
            release_to_repeat(
                self._partition, attempt.key, task, reason.value, now
            )
        if reason is LossReason.REPLACED:
            # A call for the worker is refused at that address.
            starts = task.open_starts.drop_worker(worker_id)
            task.replace_open_starts(starts)

    def _count_crash(
        self,
        worker: WorkerState,
        lost: Iterable[LostAttempt],
        now: float,
    ) -> None:
        """Count a crash for the tasks that may have caused it.

        A worker that announced its end did not crash.
        """
        lost = tuple(lost)
        if worker.is_leaving or not lost:
            return
        loss = self._note_loss(worker, now, [attempt.key for attempt in lost])
        lost = tuple(attempt for attempt in lost if attempt.was_sent)
        is_alone = len({attempt.key.job_id for attempt in lost}) == 1
        for attempt in lost:
            self._reviewer.note_crash(attempt, loss, now, is_alone=is_alone)

    def _note_loss(
        self,
        worker: WorkerState,
        now: float,
        lost_keys: Iterable[TaskKey] = (),
    ) -> SeenLoss:
        gone_at = worker.silent_since if worker.is_silent else now
        alive_at = worker.last_report_at
        if alive_at is None:
            alive_at = gone_at - UNHEARD_SECONDS
        doubtful = (attempt.key for attempt in worker.doubtful)
        keys = frozenset(
            (*worker.attached, *worker.orphans, *doubtful, *lost_keys)
        )
        loss = SeenLoss(worker.entry.worker_id, alive_at, gone_at, keys)
        self._partition.evidence.losses.note(worker.entry.pool, loss)
        return loss


def _adopt_survivors(worker: WorkerState, report: WorkerReport) -> set[TaskKey]:
    """Return the tasks whose attempts the present incarnation may run.

    It has executed starts that were meant for the former one, or may do so yet:
    ``report`` lists the attempt, or the start was not answered yet when it was
    requested, or never was, and nothing has shut it out.
    """
    listed = {(row.key, row.attempt) for row in report.running}
    listed.update((end.key, end.attempt) for end in report.ended)
    survivors: set[TaskKey] = set()
    for key, attachment in worker.attached.items():
        task = attachment.task
        is_listed = (key, attachment.attempt) in listed
        if is_listed or task.may_arrive(report.requested_at, report.token):
            survivors.add(key)
            task.incarnation = report.incarnation
    return survivors


def _list_lost(worker: WorkerState, now: float) -> Iterator[LostAttempt]:
    for key, attachment in worker.attached.items():
        task = attachment.task
        is_own = task.placed_at is not None
        yield LostAttempt(
            key,
            attachment.attempt,
            task.incarnation,
            was_sent=task.start_stage is not StartStage.DECIDED,
            was_seen=not (is_own and task.phase is TaskPhase.PLACED),
            was_started=not is_own or task.start_stage is StartStage.CONFIRMED,
            has_survived=worker.last_report_at is not None
            and task.phase is not TaskPhase.PLACED
            and task.has_survived_start(worker.last_report_at),
            age_seconds=None
            if task.placed_at is None
            else now - task.placed_at,
            placed_at=task.placed_at,
        )
    for key, orphan in worker.orphans.items():
        yield LostAttempt(
            key,
            orphan.attempt,
            worker.incarnation or 0,
            was_started=orphan.was_listed or orphan.was_started,
        )

"""Reconciles the recorded state of attempts with the workers' reports.

An attempt is over only when its worker reports its end, when the worker has
barred it and then does not list it, when the worker has a new incarnation or
runs on no VM any more, or when the attempt's lease has certainly run out.
"""

from tarragonlb.scheduling.crashhistory import NO_CRASHES
from tarragonlb.scheduling.durations import find_kind
from tarragonlb.scheduling.job import TaskKey
from tarragonlb.scheduling.jobstate import JobOutcome
from tarragonlb.scheduling.leaseends import LeaseEnds
from tarragonlb.scheduling.lossrecorder import LossRecorder
from tarragonlb.scheduling.partitionstate import (
    PartitionState,
    note_begun,
    note_confirmed,
)
from tarragonlb.scheduling.startbinding import (
    release_to_repeat,
    resume_attempt,
)
from tarragonlb.scheduling.task import (
    StartStage,
    StopReason,
    TaskPhase,
    TaskState,
)
from tarragonlb.scheduling.tenantusage import ORPHANED
from tarragonlb.scheduling.verdictnotes import CountedFailure
from tarragonlb.scheduling.vmevidence import VmListEvidence, VmListing
from tarragonlb.scheduling.worker import (
    EndedAttempt,
    OrphanedAttempt,
    RunningAttempt,
    WorkerReport,
    WorkerState,
)
from tarragonlb.scheduling.workerblame import note_task_done, note_task_failed
from tarragonlb.scheduling.workerloss import LossReason

ENDED_DONE = 'done'
ENDED_FAILED = 'failed'


class Reconciler:
    """Updates a partition after reports, silence and expired leases.

    ``done_at`` maps the ids of workers to when one last reported a task as
    done.
    """

    __slots__ = ('_losses', '_partition', '_vm_evidence', 'done_at')

    def __init__(self, partition: PartitionState) -> None:
        """Update ``partition``, which the caller owns."""
        self._partition = partition
        self._losses = LossRecorder(partition)
        self._vm_evidence = VmListEvidence()
        self.done_at: dict[str, float] = {}

    def apply_report(self, report: WorkerReport) -> None:
        """Apply a worker's report of running and ended attempts."""
        worker = self._partition.workers.get(report.worker_id)
        if worker is None:
            return
        was_usable = worker.is_usable() and not worker.failures
        margin = self._partition.settings.lease_margin_seconds
        has_lapsed = _has_lapsed(worker, report.requested_at - margin)
        self._update_incarnation(worker, report)
        worker.last_report_at = report.received_at
        self._partition.reported_workers.add(report.worker_id)
        worker.is_silent = False
        if report.is_complete:
            self._partition.evidence.note_complete_report(
                report.worker_id, report.requested_at
            )
        for end in report.ended:
            if end.number > worker.last_end_number:
                worker.last_end_number = end.number
                self._apply_end(
                    worker, end, report.received_at, has_lapsed=has_lapsed
                )
        listed = self._apply_running(worker, report)
        for key, attachment in tuple(worker.attached.items()):
            is_listed = (key, attachment.attempt) in listed
            if report.is_complete and not is_listed:
                self._handle_unlisted(worker, key, report)
        if not was_usable and worker.is_usable():
            self._partition.changed_pools.add(worker.entry.pool)

    def note_silence(
        self,
        worker_id: str,
        lease_until: float,
        now: float,
        unread_lease_until: float = 0.0,
    ) -> None:
        """Stop using a worker until it answers again.

        It was found to be silent at ``now`` seconds.
        The leases that this owner granted to the incarnation that has last
        reported end at ``lease_until`` seconds, those of one that has not
        reported at ``unread_lease_until``.  Tasks that allow copies may start
        on another worker at once.
        """
        worker = self._partition.workers.get(worker_id)
        if worker is None:
            return
        worker.lease_ends = worker.lease_ends.extend(
            LeaseEnds(lease_until, unread_lease_until)
        )
        if worker.is_silent:
            return
        worker.is_silent = True
        worker.silent_since = now
        self._losses.note_silence(worker)
        for key, attachment in tuple(worker.attached.items()):
            # The task may be what silenced the worker, so it is copied once.
            is_first = not attachment.task.was_copied
            if attachment.step.allows_copies and is_first:
                attachment.task.was_copied = True
                self._orphan_attempt(worker, key)
                self._partition.release(
                    key, attachment.task, 'the worker is silent', now
                )

    def note_worker_replaced(self, worker_id: str, now: float) -> None:
        """Release the attempts of a worker whose address now is another's."""
        worker = self._partition.workers.get(worker_id)
        if worker is not None:
            self._losses.lose_all(worker, LossReason.REPLACED, now)

    def apply_vm_listing(self, listing: VmListing) -> None:
        """Release the attempts of workers that a list of VMs proves over."""
        for worker_id in self._vm_evidence.observe(
            listing, self._partition.list_unreachable()
        ):
            worker = self._partition.workers[worker_id]
            self._losses.lose_all(
                worker, LossReason.NO_VM, listing.requested_at
            )

    def expire_leases(self, now: float) -> None:
        """Release the attempts of silent workers whose lease has run out."""
        margin = self._partition.settings.lease_margin_seconds
        longest = self._partition.settings.compute_longest_lease()
        for worker in self._partition.workers.values():
            self._losses.forget_doubt(worker, now)
            is_unreachable = worker.is_silent or worker.last_report_at is None
            if is_unreachable and now > worker.lease_ends.read + margin:
                survivors = _list_lasting(worker, longest, now - margin)
                self._losses.lose_all(
                    worker, LossReason.LEASE_OVER, now, survivors
                )

    def _update_incarnation(
        self, worker: WorkerState, report: WorkerReport
    ) -> None:
        now = report.received_at
        if worker.incarnation is None:
            self._losses.lose_former(worker, report)
        elif report.incarnation == worker.incarnation:
            self._losses.retract_silence(worker)
        else:
            self._losses.lose_reborn(worker, report)
        self._losses.settle_doubt(worker, report.incarnation, now)
        worker.incarnation = report.incarnation
        worker.is_leaving = worker.entry.is_draining
        worker.must_report = False

    def _apply_running(
        self, worker: WorkerState, report: WorkerReport
    ) -> set[tuple[TaskKey, int]]:
        listed = set()
        for row in report.running:
            listed.add((row.key, row.attempt))
            task = self._partition.find_attempt(
                row.key, row.attempt, worker.entry.worker_id
            ) or resume_attempt(self._partition, worker, row, report)
            if task is None:
                self._add_orphan(worker, row)
            else:
                self._update_running(worker, row, task, report)
        for key, orphan in tuple(worker.orphans.items()):
            may_run = (key, orphan.attempt) in listed or not report.is_complete
            if not may_run and orphan.is_over(report.requested_at):
                worker.orphans.pop(key)
                self._partition.usage.remove(
                    worker.entry.worker_id, key, ORPHANED
                )
        return listed

    def _add_orphan(self, worker: WorkerState, row: RunningAttempt) -> None:
        known = worker.orphans.get(row.key)
        if known is None or known.attempt != row.attempt:
            known = OrphanedAttempt(row.attempt)
            worker.orphans[row.key] = known
            self._count_orphan(worker, row.key)
        known.was_listed = True

    def _update_running(
        self,
        worker: WorkerState,
        row: RunningAttempt,
        task: TaskState,
        report: WorkerReport,
    ) -> None:
        if task.start_stage is not StartStage.CONFIRMED:
            note_confirmed(self._partition, row.key, report.received_at)
        task.update_progress(
            row.percent,
            row.checkpoint,
            report.received_at,
            report.requested_at,
        )
        note_begun(self._partition, row.key.job_id, report.received_at)
        step = self._partition.find_step(row.key)
        if step.latency_target_ms:
            task.tail_ms = row.gauge
        # It counts for a permanent task only how it starts, see LossRecorder.
        if (
            row.key in worker.suspects
            and step.is_permanent
            and task.has_survived_start(report.requested_at)
        ):
            task.crashes = NO_CRASHES
            worker.suspects.pop(row.key)
            self._partition.note_changed(self._partition.jobs[row.key.job_id])

    def _apply_end(
        self,
        worker: WorkerState,
        end: EndedAttempt,
        now: float,
        *,
        has_lapsed: bool,
    ) -> None:
        state = self._partition.jobs.get(end.key.job_id)
        task = None if state is None else state.find(end.key)
        if task is None or not 0 < end.attempt <= task.attempt:
            return
        note_begun(self._partition, end.key.job_id, now)
        if end.outcome == ENDED_DONE:
            note_task_done(self._partition, worker, end.key, task, now)
            self.done_at[worker.entry.worker_id] = now
            self._learn_duration(worker, end, now)
            self._finish_task(end, task, now)
            return
        current = self._partition.find_attempt(
            end.key, end.attempt, worker.entry.worker_id
        )
        if end.outcome == ENDED_FAILED:
            # Also of a former attempt, whose end is known only from here.
            is_counted = not has_lapsed or (
                current is not None and current.has_open_start
            )
            if is_counted and end.attempt not in task.failed_attempts:
                task.failed_attempts.add(end.attempt)
                _note_failure(self._partition, worker, end, task, now)
            self._partition.changed_jobs.add(end.key.job_id)
            note_task_failed(self._partition, worker, end.key, now)
        if current is None:
            # The worker would refuse an order for the same attempt.
            task.replace_open_starts(task.open_starts.repeat(0))
        else:
            task.start_stage = StartStage.CONFIRMED
            task.checkpoint = end.checkpoint or task.checkpoint
            self._partition.release(
                end.key, task, f'the attempt {end.outcome}', now
            )
        self._fail_job_if_exhausted(end.key, task, now)

    def _learn_duration(
        self, worker: WorkerState, end: EndedAttempt, now: float
    ) -> None:
        look_ahead = self._partition.look_ahead
        task = self._partition.find_attempt(
            end.key, end.attempt, worker.entry.worker_id
        )
        if look_ahead is None or task is None:
            return
        step = self._partition.find_step(end.key)
        # Outside the rack of its data a task takes several times as long.
        if worker.entry.has_local_data(step):
            queue = self._partition.jobs[end.key.job_id].job.queue
            kind = find_kind(step, queue, end.key.step)
            look_ahead.durations.note_done(step, kind, task, now)

    def _finish_task(
        self, end: EndedAttempt, task: TaskState, now: float
    ) -> None:
        """Finish a task when the first of its attempts is done.

        A later attempt on another worker becomes an orphan: that worker gets
        no tasks until the attempt is stopped.
        """
        if task.phase is TaskPhase.DONE:
            return
        if task.is_attached and task.attempt != end.attempt:
            other = self._partition.workers.get(task.worker_id)
            if other is not None:
                self._orphan_attempt(other, end.key)
        self._partition.finish(end.key, now)

    def _orphan_attempt(self, worker: WorkerState, key: TaskKey) -> None:
        attachment = worker.attached[key]
        stage = attachment.task.start_stage
        worker.orphans[key] = OrphanedAttempt(
            attachment.attempt, was_started=stage is StartStage.CONFIRMED
        )
        self._count_orphan(worker, key)

    def _count_orphan(self, worker: WorkerState, key: TaskKey) -> None:
        worker_id = worker.entry.worker_id
        self._partition.stopping_workers.add(worker_id)
        state = self._partition.jobs.get(key.job_id)
        if state is not None and key.step < len(state.job.spec.steps):
            self._partition.usage.add(worker_id, key, state.job, ORPHANED)

    def _fail_job_if_exhausted(
        self, key: TaskKey, task: TaskState, now: float
    ) -> None:
        state = self._partition.jobs[key.job_id]
        if task.phase is TaskPhase.DONE:
            # A copy, or an attempt that was given up, failed before or after.
            return
        queue = self._partition.queue_history.find(
            self._partition.queues, state, now
        )
        if self._partition.find_step(key).is_permanent:
            return
        # While its queue is unknown, the job has its limit as last stored.
        limit = state.max_attempts if queue is None else queue.max_attempts
        if limit and task.failures >= limit:
            self._partition.close_job(state, JobOutcome.FAILED, now)

    def _handle_unlisted(
        self, worker: WorkerState, key: TaskKey, report: WorkerReport
    ) -> None:
        task = self._partition.jobs[key.job_id].find(key)
        if task is None or task.settled_at is None:
            return
        if report.requested_at <= task.settled_at:
            return
        now = report.received_at
        if task.is_shut_out(report.token):
            release_to_repeat(
                self._partition, key, task, 'the start was shut out', now
            )
            return
        if task.phase is not TaskPhase.STOPPING:
            self._partition.begin_stop(task, StopReason.NOT_LISTED)
        elif (
            task.barred_at is not None and report.requested_at > task.barred_at
        ):
            self._partition.release(key, task, 'the attempt was barred', now)


def _note_failure(
    partition: PartitionState,
    worker: WorkerState,
    end: EndedAttempt,
    task: TaskState,
    now: float,
) -> None:
    state = partition.jobs[end.key.job_id]
    queue = partition.queue_history.find(partition.queues, state, now)
    limit = None if queue is None else queue.max_attempts
    partition.evidence.notes.failures.append(
        CountedFailure(
            end.key,
            end.attempt,
            worker.entry.worker_id,
            task.failures,
            limit,
        )
    )


def _has_lapsed(worker: WorkerState, at: float) -> bool:
    """Return whether the leases on a silent worker ran out before ``at``.

    What it then lists as ended was over by then, unless its start was open.
    """
    is_unreachable = worker.is_silent or worker.last_report_at is None
    return is_unreachable and at > worker.lease_ends.read


def _list_lasting(
    worker: WorkerState, longest_seconds: float, at: float
) -> set[TaskKey]:
    """Return the tasks whose attempts may run longer than until ``at``."""
    ends = worker.lease_ends
    return {
        key
        for key, attachment in worker.attached.items()
        if ends.find_end(attachment.task, longest_seconds) >= at
    }

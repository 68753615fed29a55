"""Placement of queued jobs: which one starts next, and on which VM.

Urgent jobs go first, then those that have to start earliest to meet their
deadline; jobs over the quota of their team come last.  A job that is larger
than every VM of its pool is set aside with the reason.  A size that did not fit
is not tried again in the same round, so a long queue costs one comparison per
job.
"""

from collections.abc import Iterable

from tarragonlb.capacity.action import Action, Commit, StopTask
from tarragonlb.capacity.attempts import choose_lease_seconds
from tarragonlb.capacity.estimates import RunTimeEstimates
from tarragonlb.capacity.freecapacity import JobSize, PoolCapacity, is_too_large
from tarragonlb.capacity.quotas import QuotaUsage, choose_stops
from tarragonlb.capacity.view import RoundContext, make_task_id
from tarragonlb.model.entry import JobEntry
from tarragonlb.model.job import JobSetAside, JobStarted


class Placement:
    """Places the queued jobs of one pool in one round."""

    __slots__ = (
        '_actions',
        '_capacity',
        '_context',
        '_quotas',
        '_run_times',
        '_unplaceable_sizes',
    )

    def __init__(
        self,
        context: RoundContext,
        capacity: PoolCapacity,
        run_times: RunTimeEstimates,
    ) -> None:
        """Place jobs into the free capacity of a pool."""
        self._context = context
        self._run_times = run_times
        self._capacity = capacity
        self._quotas = QuotaUsage(context.view)
        self._unplaceable_sizes: set[JobSize] = set()
        self._actions: list[Action] = []

    def run(self, pool: str) -> list[Action]:
        """Return starts, stops of attempts, and jobs that are set aside."""
        queued = self._context.view.jobs.list_queued(pool)
        queued.sort(key=self._rank)
        over_quota: list[JobEntry] = []
        waiting: list[JobEntry] = []
        for job in queued:
            if not self._quotas.is_within_quota(job.spec):
                over_quota.append(job)
            elif not self._try_start(job):
                waiting.append(job)
        self._actions.extend(self._reclaim(waiting))
        waiting.extend(job for job in over_quota if not self._try_start(job))
        self._actions.extend(self._set_aside(pool, waiting))
        return self._actions

    def _rank(self, job: JobEntry) -> tuple[bool, float, int]:
        spec = job.spec
        seconds = self._run_times.estimate(
            spec.team, spec.kind, declared=spec.declared_seconds
        )
        due = spec.head.written_at + spec.deadline_seconds
        return (not spec.urgent, due - seconds, job.offset)

    def _try_start(self, job: JobEntry) -> bool:
        spec = job.spec
        if any(size.is_at_most(spec) for size in self._unplaceable_sizes):
            return False
        vm_id = self._capacity.allocate(spec)
        if vm_id is None:
            self._unplaceable_sizes.add(JobSize(spec.cores, spec.memory_gb))
            return False
        self._quotas.add(spec)
        self._actions.append(Commit(_make_started(self._context, job, vm_id)))
        return True

    def _reclaim(self, waiting: Iterable[JobEntry]) -> list[Action]:
        """Return the stops for the first job that stops can make fit."""
        for job in waiting:
            stops = choose_stops(self._context.view, self._quotas, job.spec)
            if stops:
                return [
                    StopTask(stop.vm_id, stop.boot, make_task_id(stop))
                    for stop in stops
                ]
        return []

    def _set_aside(self, pool: str, waiting: list[JobEntry]) -> list[Action]:
        view = self._context.view
        sizes = {JobSize(job.spec.cores, job.spec.memory_gb) for job in waiting}
        too_large = {size for size in sizes if is_too_large(view, pool, size)}
        return [
            Commit(_make_set_aside(self._context, job))
            for job in waiting
            if JobSize(job.spec.cores, job.spec.memory_gb) in too_large
        ]


def _make_started(
    context: RoundContext, job: JobEntry, vm_id: str
) -> JobStarted:
    return JobStarted(
        head=context.make_head(),
        job_id=job.spec.job_id,
        attempt=job.attempt + 1,
        vm_id=vm_id,
        lease_seconds=choose_lease_seconds(context.view),
        term=context.view.term,
        boot=context.view.vm_readings[vm_id].boot,
    )


def _make_set_aside(context: RoundContext, job: JobEntry) -> JobSetAside:
    spec = job.spec
    return JobSetAside(
        head=context.make_head(),
        job_id=spec.job_id,
        reason=(
            f'{spec.cores} cores and {spec.memory_gb} GB are more than any '
            f'VM of pool {spec.pool} has'
        ),
    )

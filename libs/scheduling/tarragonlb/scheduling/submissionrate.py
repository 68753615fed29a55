"""Which jobs a tenant submitted beyond its rate.

A tenant of weight ``w`` may submit ``w`` jobs a second; with a weight below 1,
one job in ``1 / w`` seconds.  A job is beyond the rate if that many jobs of its
tenant which are not beyond it were submitted in the span before it.  So of a
tenant that steadily submits twice its rate, one job in two keeps its place.  A
job exactly one span earlier does not count, as otherwise a tenant that submits
at its rate in regular intervals would be beyond it.

The marks follow from the stored submission times, and from the ids for jobs of
the same time, so each owner finds the same jobs, whatever the order in which it
read them.

Jobs without a tenant, and jobs of a tenant that the configuration no longer
lists, have no rate: nobody has set one.
"""

from bisect import bisect_left, insort
from collections import deque
from typing import TypeAlias

from tarragonlb.scheduling.job import MS_PER_SECOND, Job
from tarragonlb.scheduling.partitionstate import PartitionState
from tarragonlb.scheduling.tenant import NO_TENANTS, Tenant

# Submission time in Unix milliseconds, and id of the job.
Submission: TypeAlias = tuple[float, str]

# Finished jobs are dropped from the index when it has grown to this multiple of
# the jobs of the partition.
MAX_GROWTH = 2


class SubmissionRates:
    """An index of the jobs of a partition by tenant and submission time.

    ``beyond`` holds the ids of the jobs beyond the rates of their tenants.
    """

    __slots__ = ('_indexed', '_submissions', '_tenants', 'beyond')

    def __init__(self) -> None:
        """Start without jobs."""
        self.beyond: set[str] = set()
        self._tenants = NO_TENANTS
        self._indexed: set[str] = set()
        self._submissions: dict[str, list[Submission]] = {}

    def update(self, partition: PartitionState) -> None:
        """Add new jobs, by the rates of the partition's tenants."""
        has_grown = len(self._indexed) > MAX_GROWTH * len(partition.jobs)
        if has_grown or partition.tenants is not self._tenants:
            self._tenants = partition.tenants
            self._indexed.clear()
            self._submissions.clear()
            self.beyond.clear()
        added: dict[str, list[Submission]] = {}
        # New jobs are at the end of the dictionary.
        for job_id in reversed(partition.jobs):
            if job_id in self._indexed:
                break
            self._indexed.add(job_id)
            job = partition.jobs[job_id].job
            if job.handed_in_ms:
                added.setdefault(job.tenant, []).append(self._add(job))
        for name, submissions in added.items():
            tenant = self._tenants.find(name)
            if tenant is not None:
                self._mark(tenant, min(submissions), max(submissions))

    def _add(self, job: Job) -> Submission:
        submission = (job.handed_in_ms, job.job_id)
        insort(self._submissions.setdefault(job.tenant, []), submission)
        return submission

    def _mark(
        self, tenant: Tenant, first: Submission, last: Submission
    ) -> None:
        """Mark the jobs from the first to the last new one, and later ones.

        It ends where no job in the span before has changed, so that all later
        marks are as before.  It passes through a tenant's jobs once at most,
        whatever the number of new ones.
        """
        span_ms = MS_PER_SECOND / min(tenant.weight, 1)
        submissions = self._submissions[tenant.name]
        begin = bisect_left(submissions, first)
        recent = self._list_recent(submissions[:begin], first[0] - span_ms)
        changed_ms = last[0]
        for at_ms, job_id in submissions[begin:]:
            if at_ms - span_ms >= changed_ms:
                break
            while recent and recent[0] <= at_ms - span_ms:
                recent.popleft()
            is_beyond = len(recent) >= max(tenant.weight, 1)
            if is_beyond != (job_id in self.beyond):
                self.beyond ^= {job_id}
                changed_ms = max(changed_ms, at_ms)
            if not is_beyond:
                recent.append(at_ms)

    def _list_recent(
        self, submissions: list[Submission], since_ms: float
    ) -> deque[float]:
        """Return the times of the jobs within the rate since then."""
        begin = bisect_left(submissions, (since_ms, ''))
        return deque(
            at_ms
            for at_ms, job_id in submissions[begin:]
            if job_id not in self.beyond
        )

"""Which jobs a tenant submitted beyond its rate.

A tenant of weight ``w`` may submit ``w`` jobs a second, in any span of one
second; with a weight below 1, one job in any span of ``1 / w`` seconds.  A job
is beyond the rate if its tenant had submitted that many jobs in the span before
it.  Only the stored submission times count, so each owner finds the same jobs,
whatever the order in which it read them.

Jobs without a tenant, and jobs of a tenant that the configuration no longer
lists, have no rate: nobody has set one.
"""

from bisect import bisect_left, insort

from tarragonlb.scheduling.job import MS_PER_SECOND, Job
from tarragonlb.scheduling.partitionstate import PartitionState
from tarragonlb.scheduling.tenant import NO_TENANTS

# Finished jobs are dropped from the index when it has grown to this multiple of
# the jobs of the partition.
MAX_GROWTH = 2


class SubmissionRates:
    """An index of the jobs of a partition by tenant and submission time.

    ``beyond`` holds the ids of the jobs beyond the rates of their tenants.
    """

    __slots__ = ('_indexed', '_tenants', '_times', 'beyond')

    def __init__(self) -> None:
        """Start without jobs."""
        self.beyond: set[str] = set()
        self._tenants = NO_TENANTS
        self._indexed: set[str] = set()
        self._times: dict[str, list[tuple[float, str]]] = {}

    def update(self, partition: PartitionState) -> None:
        """Add new jobs, by the rates of the partition's tenants."""
        has_grown = len(self._indexed) > MAX_GROWTH * len(partition.jobs)
        if has_grown or partition.tenants is not self._tenants:
            self._tenants = partition.tenants
            self._indexed.clear()
            self._times.clear()
            self.beyond.clear()
        # New jobs are at the end of the dictionary.
        for job_id in reversed(partition.jobs):
            if job_id in self._indexed:
                break
            self._indexed.add(job_id)
            self._add(partition.jobs[job_id].job)

    def _add(self, job: Job) -> None:
        tenant = self._tenants.find(job.tenant)
        if tenant is None or not job.handed_in_ms:
            return
        times = self._times.setdefault(job.tenant, [])
        entry = (job.handed_in_ms, job.job_id)
        insort(times, entry)
        span_ms = MS_PER_SECOND / min(tenant.weight, 1)
        # Jobs that were read before this one but submitted after it may now be
        # beyond the rate too.
        own = bisect_left(times, entry)
        for position, (at_ms, job_id) in enumerate(times[own:], start=own):
            if at_ms > job.handed_in_ms + span_ms:
                break
            first = bisect_left(times, (at_ms - span_ms, ''))
            if position - first >= max(tenant.weight, 1):
                self.beyond.add(job_id)

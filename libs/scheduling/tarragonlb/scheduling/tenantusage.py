"""What each tenant occupies on the workers of one partition.

Every attempt counts that may run: placed, running, being stopped, on a silent
worker, or orphaned.  Scavenging tasks count with their whole demand.  The sums
are updated with each attempt that is attached or detached, so that reading them
does not depend on the number of attempts.
"""

from tarragonlb.scheduling import amounts
from tarragonlb.scheduling.job import Job, TaskKey

AttemptId = tuple[str, str, TaskKey]

ATTACHED = 'attached'
ORPHANED = 'orphaned'
# The former attempt of a copied task, which no record locates.
COPIED = 'copied'


class TenantUsage:
    """The sums of what attempts occupy, by tenant."""

    __slots__ = ('_amounts', '_attempts', '_temporary')

    def __init__(self) -> None:
        """Start without attempts."""
        self._amounts: dict[str, amounts.Amounts] = {}
        self._attempts: dict[AttemptId, tuple[str, amounts.Amounts]] = {}
        self._temporary: dict[AttemptId, float] = {}

    def get(self, tenant: str) -> amounts.Amounts:
        """Return what a tenant occupies."""
        return self._amounts.get(tenant, amounts.NOTHING)

    def add(
        self, worker_id: str, key: TaskKey, job: Job, kind: str = ATTACHED
    ) -> None:
        """Count an attempt of a task on a worker, once for each kind."""
        if not job.tenant:
            return
        attempt_id = (kind, worker_id, key)
        if attempt_id in self._attempts:
            return
        occupied = amounts.count_demand(job.spec.steps[key.step].demand)
        self._attempts[attempt_id] = (job.tenant, occupied)
        self._amounts[job.tenant] = amounts.add(self.get(job.tenant), occupied)

    def add_until(
        self, worker_id: str, key: TaskKey, job: Job, until: float
    ) -> None:
        """Count an attempt that has certainly ended at ``until`` seconds."""
        self.add(worker_id, key, job, COPIED)
        if job.tenant:
            self._temporary[COPIED, worker_id, key] = until

    def remove(
        self, worker_id: str, key: TaskKey, kind: str = ATTACHED
    ) -> None:
        """Count an attempt no longer."""
        found = self._attempts.pop((kind, worker_id, key), None)
        if found is None:
            return
        tenant, occupied = found
        left = amounts.subtract(self.get(tenant), occupied)
        if left == amounts.NOTHING:
            # Attempts that occupy nothing may be left.
            self._amounts.pop(tenant, None)
        else:
            self._amounts[tenant] = left

    def expire(self, now: float) -> None:
        """Stop counting attempts that have certainly ended by ``now``."""
        if not self._temporary:
            return
        for attempt_id, until in tuple(self._temporary.items()):
            if now > until:
                self._temporary.pop(attempt_id)
                kind, worker_id, key = attempt_id
                self.remove(worker_id, key, kind)

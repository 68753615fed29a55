"""Index of the jobs of one partition, built from the partition's records.

Every daemon indexes the partitions from which it serves clients.  Of the
records with one key only the one with the highest offset is used, so records
may be applied in any order and more than once.
"""

from collections import Counter
from collections.abc import Iterable, Iterator

from tarragonlb.scheduling.jobrecords import JobRecords
from tarragonlb.scheduling.records import (
    KINDS,
    SEPARATOR,
    KeyedRecord,
    RecordError,
    build_removal_records,
)


class JobIndex:
    """All jobs of one partition.

    ``errors`` describes records that could not be applied, for the caller to
    log.  ``early_cancellations`` is how many there are of all jobs.
    """

    __slots__ = ('_jobs', 'early_cancellations', 'errors')

    def __init__(self) -> None:
        """Start without jobs."""
        self._jobs: dict[str, JobRecords] = {}
        self.early_cancellations = 0
        self.errors: list[RecordError] = []

    def apply(self, records: Iterable[KeyedRecord]) -> list[str]:
        """Apply records and return the ids of their jobs."""
        changed = []
        for record in records:
            job_id, tail = _split_key(record.key)
            if tail[-1:] not in KINDS or not job_id:
                self.errors.append(RecordError(f'unknown key {record.key!r}'))
                continue
            job = self._jobs.get(job_id)
            if job is None:
                job = JobRecords(job_id)
                self._jobs[job_id] = job
            self.early_cancellations -= job.submissions.early_cancellations
            try:
                job.apply(tail, record.offset, record.value)
            except RecordError as error:
                self.errors.append(RecordError(f'job {job_id}: {error}'))
            self.early_cancellations += job.submissions.early_cancellations
            if job.is_empty:
                self._jobs.pop(job_id)
            changed.append(job_id)
        return changed

    def apply_snapshot(
        self, records: Iterable[KeyedRecord], end: int
    ) -> list[str]:
        """Apply the newest record of each key, complete up to offset ``end``.

        Records that are not listed were removed while nobody read.
        """
        found = tuple(records)
        listed = frozenset(record.key for record in found)
        for job_id, job in tuple(self._jobs.items()):
            self.early_cancellations -= job.submissions.early_cancellations
            job.drop_unlisted(listed, end)
            self.early_cancellations += job.submissions.early_cancellations
            if job.is_empty:
                self._jobs.pop(job_id)
        return self.apply(found)

    def find(self, job_id: str) -> JobRecords | None:
        """Return the records of an accepted job, or None if there is none."""
        job = self._jobs.get(job_id)
        if job is None or not job.is_submitted:
            return None
        return job

    def find_covered(self, job_id: str, tenant: str, queue: str) -> int:
        """Return which round a new submission covers, -1 if there is none.

        The submission is that of a tenant for a queue.
        """
        job = self._jobs.get(job_id)
        return (
            -1 if job is None else job.submissions.find_covered(tenant, queue)
        )

    def list_early_cancelled(self) -> Iterator[JobRecords]:
        """Yield the records of ids with early cancellations."""
        for job in tuple(self._jobs.values()):
            if job.submissions.early_cancellations:
                yield job

    def build_removals(self, job_id: str) -> list[KeyedRecord]:
        """Return the records that remove a job."""
        removals = build_removal_records(job_id)
        job = self._jobs.get(job_id)
        if job is not None:
            known = {removal.key for removal in removals}
            removals.extend(
                KeyedRecord(key, b'')
                for key in job.submissions.list_keys(job_id)
                if key not in known
            )
        return removals

    def find_forwarded(self, job_id: str) -> JobRecords | None:
        """Return the records of a job that was forwarded, or None."""
        job = self._jobs.get(job_id)
        return job if job is not None and job.is_forwarded else None

    def list_forwarded(self) -> Iterator[JobRecords]:
        """Yield the records of the jobs that were forwarded."""
        for job in tuple(self._jobs.values()):
            if job.is_forwarded:
                yield job

    def list_jobs(self) -> Iterator[JobRecords]:
        """Yield the records of all accepted jobs."""
        for job in tuple(self._jobs.values()):
            if job.is_submitted:
                yield job

    def count_pending(self) -> Counter[str]:
        """Count, by queue, the jobs whose first task has not started."""
        counts: Counter[str] = Counter()
        for job in self.list_jobs():
            if job.describe() == 'queued':
                counts[self._find_queue(job)] += 1
        counts.pop('', None)
        return counts

    def _find_queue(self, job: JobRecords) -> str:
        """Return the queue of a job, empty if its submission is invalid."""
        try:
            return job.decode_head().queue
        except RecordError as error:
            self.errors.append(RecordError(f'job {job.job_id}: {error}'))
            return ''


def _split_key(key: str) -> tuple[str, str]:
    """Return the id of a job, and what follows it in the key of a record.

    >>> _split_key('9fj'), _split_key('9f-12j')
    (('9f', 'j'), ('9f', '-12j'))
    """
    job_id, separator, rest = key[:-1].partition(SEPARATOR)
    return job_id, f'{separator}{rest}{key[-1:]}'

"""Index of the jobs of one partition, built from the partition's records.

Every daemon indexes the partitions from which it serves clients.  Of the
records with one key only the one with the highest offset is used, so records
may be applied in any order and more than once.
"""

from collections import Counter
from collections.abc import Iterable, Iterator

from tarragonlb.scheduling.jobrecords import JobRecords
from tarragonlb.scheduling.records import KINDS, KeyedRecord, RecordError


class JobIndex:
    """All jobs of one partition.

    ``errors`` describes records that could not be applied, for the caller to
    log.
    """

    __slots__ = ('_jobs', 'errors')

    def __init__(self) -> None:
        """Start without jobs."""
        self._jobs: dict[str, JobRecords] = {}
        self.errors: list[RecordError] = []

    def apply(self, records: Iterable[KeyedRecord]) -> list[str]:
        """Apply records and return the ids of their jobs."""
        changed = []
        for record in records:
            job_id, kind = record.key[:-1], record.key[-1:]
            if kind not in KINDS or not job_id:
                self.errors.append(RecordError(f'unknown key {record.key!r}'))
                continue
            job = self._jobs.get(job_id)
            if job is None:
                job = JobRecords(job_id)
                self._jobs[job_id] = job
            try:
                job.apply(kind, record.offset, record.value)
            except RecordError as error:
                self.errors.append(RecordError(f'job {job_id}: {error}'))
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
            job.drop_unlisted(listed, end)
            if job.is_empty:
                self._jobs.pop(job_id)
        return self.apply(found)

    def find(self, job_id: str) -> JobRecords | None:
        """Return the records of an accepted job, or None if there is none."""
        job = self._jobs.get(job_id)
        if job is None or not job.is_submitted:
            return None
        return job

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

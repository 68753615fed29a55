"""Index of the jobs of one partition, built from the partition's records.

Every daemon indexes the partitions from which it serves clients.  Of the
records with one key only the one with the highest offset is used, so records
may be applied in any order and more than once.  Values are decoded on demand.
"""

from collections import Counter
from collections.abc import Container, Iterable, Iterator

from tarragonlb.scheduling.job import Job, Moment
from tarragonlb.scheduling.jobstate import JobOutcome, JobState
from tarragonlb.scheduling.progress import (
    Progress,
    decode_progress,
    restore_tasks,
)
from tarragonlb.scheduling.records import (
    CANCELLATION,
    KINDS,
    PROGRESS,
    SUBMISSION,
    KeyedRecord,
    RecordError,
    decode_spec,
    decode_submission_head,
)

# Of a job whose progress can't be decoded, all that is known is that an owner
# has stored some.
UNREADABLE_PROGRESS = Progress(term=0, outcome=JobOutcome.OPEN, began=True)


class JobRecords:
    """The newest record of each kind of one job.

    ``error`` says why the newest progress can't be decoded, None if it can or
    was not needed yet.
    """

    __slots__ = ('_progress', '_values', 'error', 'job_id')

    def __init__(self, job_id: str) -> None:
        """Start without records."""
        self.job_id = job_id
        self._values: dict[str, tuple[int, bytes]] = {}
        self._progress: Progress | None = None
        self.error: RecordError | None = None

    def apply(self, kind: str, offset: int, value: bytes) -> None:
        """Apply a record unless a newer one of its kind is known."""
        known = self._values.get(kind)
        if known is not None and known[0] >= offset:
            return
        self._values[kind] = (offset, value)
        if kind == PROGRESS:
            self._progress = None
            self.error = None

    def drop_unlisted(self, listed: Container[str], end: int) -> None:
        """Drop records before offset ``end`` whose keys are not ``listed``."""
        self._values = {
            kind: (offset, value)
            for kind, (offset, value) in self._values.items()
            if offset >= end or self.job_id + kind in listed
        }

    @property
    def is_submitted(self) -> bool:
        """Return whether the job was accepted and has not been removed."""
        return bool(self.get_value(SUBMISSION))

    @property
    def is_cancelled(self) -> bool:
        """Return whether a client cancelled the job."""
        return bool(self.get_value(CANCELLATION))

    @property
    def is_over(self) -> bool:
        """Return whether the job has an outcome."""
        progress = self.find_progress()
        return progress is not None and (
            progress.outcome is not JobOutcome.OPEN
        )

    @property
    def is_empty(self) -> bool:
        """Return whether all records have been removed."""
        return not any(value for _, value in self._values.values())

    def get_value(self, kind: str) -> bytes:
        """Return the newest value of a kind, or an empty one."""
        return self._values.get(kind, (-1, b''))[1]

    def find_progress(self) -> Progress | None:
        """Return the newest progress, or None if no owner has recorded any.

        Clients are shown a job whose progress can't be decoded as running.
        """
        value = self.get_value(PROGRESS)
        if self._progress is None and value:
            try:
                self._progress = decode_progress(value)
            except RecordError as error:
                self._progress = UNREADABLE_PROGRESS
                self.error = error
        return self._progress if value else None

    def describe(self) -> str:
        """Return the state of the job in one word."""
        progress = self.find_progress()
        if progress is not None and progress.outcome is not JobOutcome.OPEN:
            return progress.outcome.name.lower()
        if self.is_cancelled:
            return JobOutcome.CANCELLED.name.lower()
        began = progress is not None and progress.began
        return 'running' if began else 'queued'

    def belongs_to(self, tenant: str, queue: str) -> bool:
        """Return whether a request of a tenant for a queue is about this job.

        If only one of the request and the job has a tenant, the queue became
        public, or ceased to be, after the job was submitted to it.  A record
        that can't be decoded belongs to nobody.
        """
        try:
            head = decode_submission_head(self.get_value(SUBMISSION))
        except RecordError:
            return False
        if head.tenant == tenant:
            return True
        return not (head.tenant and tenant) and head.queue == queue

    def build_state(self, now: Moment) -> JobState:
        """Return the state of the job, for an owner of the partition.

        Raise ``RecordError`` if a record can't be decoded.
        """
        head = decode_submission_head(self.get_value(SUBMISSION))
        job = Job(
            job_id=self.job_id,
            queue=head.queue,
            pool=head.pool,
            spec=decode_spec(head.spec),
            handed_in_ms=head.handed_in_ms,
            tenant=head.tenant,
        )
        state = JobState(job, now)
        progress = self.find_progress()
        if self.error is not None:
            raise self.error
        if progress is not None:
            restore_tasks(state, progress, now.seconds)
        return state


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
            job.apply(kind, record.offset, record.value)
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
            return decode_submission_head(job.get_value(SUBMISSION)).queue
        except RecordError as error:
            self.errors.append(RecordError(f'job {job.job_id}: {error}'))
            return ''

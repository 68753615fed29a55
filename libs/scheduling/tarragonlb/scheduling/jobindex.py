"""The jobs of one partition, folded from its records.

Every daemon folds the partitions that it answers for.  For each key the record
with the highest offset counts, so records may be applied in any order and more
than once.  Values are decoded when they are needed.
"""

from collections import Counter
from collections.abc import Iterable, Iterator

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


class JobRecords:
    """The newest records of one job: value and offset by kind."""

    __slots__ = ('_progress', '_values', 'job_id')

    def __init__(self, job_id: str) -> None:
        """Begin without any record."""
        self.job_id = job_id
        self._values: dict[str, tuple[int, bytes]] = {}
        self._progress: Progress | None = None

    def apply(self, kind: str, offset: int, value: bytes) -> None:
        """Take a record over unless a newer one is known."""
        known = self._values.get(kind)
        if known is not None and known[0] >= offset:
            return
        self._values[kind] = (offset, value)
        if kind == PROGRESS:
            self._progress = None

    @property
    def is_submitted(self) -> bool:
        """Return whether the job was accepted and not removed."""
        return bool(self.get_value(SUBMISSION))

    @property
    def is_cancelled(self) -> bool:
        """Return whether a client cancelled the job."""
        return bool(self.get_value(CANCELLATION))

    @property
    def is_empty(self) -> bool:
        """Return whether every record was removed."""
        return not any(value for _, value in self._values.values())

    def get_value(self, kind: str) -> bytes:
        """Return the newest value of a kind, empty where there is none."""
        return self._values.get(kind, (-1, b''))[1]

    def get_progress(self) -> Progress | None:
        """Return the newest progress, or None where no owner wrote any."""
        value = self.get_value(PROGRESS)
        if self._progress is None and value:
            self._progress = decode_progress(value)
        return self._progress if value else None

    def describe(self) -> str:
        """Return the state of the job in one word."""
        progress = self.get_progress()
        if progress is not None and progress.outcome is not JobOutcome.OPEN:
            return progress.outcome.name.lower()
        if self.is_cancelled:
            return JobOutcome.CANCELLED.name.lower()
        began = progress is not None and progress.began
        return 'running' if began else 'queued'

    def build_state(self, now: Moment) -> JobState:
        """Return the job as an owner keeps it."""
        head = decode_submission_head(self.get_value(SUBMISSION))
        job = Job(
            job_id=self.job_id,
            queue=head.queue,
            pool=head.pool,
            spec=decode_spec(head.spec),
            handed_in_ms=head.handed_in_ms,
        )
        state = JobState(job, now)
        progress = self.get_progress()
        if progress is not None:
            restore_tasks(state, progress, now.seconds)
        return state


class JobIndex:
    """All jobs of one partition.

    ``errors`` are records that could not be used, for the caller to log.
    """

    __slots__ = ('_jobs', 'errors')

    def __init__(self) -> None:
        """Begin empty."""
        self._jobs: dict[str, JobRecords] = {}
        self.errors: list[RecordError] = []

    def apply(self, records: Iterable[KeyedRecord]) -> list[str]:
        """Apply records and return the ids of the jobs they are about."""
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

    def find(self, job_id: str) -> JobRecords | None:
        """Return an accepted job, or None where there is none."""
        job = self._jobs.get(job_id)
        if job is None or not job.is_submitted:
            return None
        return job

    def list_jobs(self) -> Iterator[JobRecords]:
        """Yield all accepted jobs."""
        for job in tuple(self._jobs.values()):
            if job.is_submitted:
                yield job

    def count_pending(self) -> Counter[str]:
        """Return by queue how many jobs wait for their first task."""
        counts: Counter[str] = Counter()
        for job in self.list_jobs():
            if job.describe() == 'queued':
                head = decode_submission_head(job.get_value(SUBMISSION))
                counts[head.queue] += 1
        return counts

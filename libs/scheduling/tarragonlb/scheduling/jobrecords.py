"""The records of one job, of which the newest of each kind counts.

Values are decoded on demand.
"""

from collections.abc import Container

from tarragonlb.scheduling.forwarding import decode_forwarding
from tarragonlb.scheduling.job import Job, Moment
from tarragonlb.scheduling.jobstate import JobOutcome, JobState
from tarragonlb.scheduling.progress import (
    Progress,
    decode_progress,
    restore_tasks,
)
from tarragonlb.scheduling.records import (
    CANCELLATION,
    FORWARDING,
    PROGRESS,
    SUBMISSION,
    RecordError,
    SubmissionHead,
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
        """Apply a record unless a newer one of its kind is known.

        Raise ``RecordError`` for a mark of forwarding that can't be decoded.
        """
        if kind == FORWARDING and value:
            decode_forwarding(value)
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
        """Return whether the job was accepted and has not been removed.

        One that was forwarded to another partition is no job of this one.
        """
        if not self.get_value(SUBMISSION):
            return False
        return FORWARDING not in self._values or not self.is_forwarded

    @property
    def is_forwarded(self) -> bool:
        """Return whether the newest submission was forwarded elsewhere."""
        value = self.get_value(FORWARDING)
        if not value:
            return False
        return decode_forwarding(value) == self.get_offset(SUBMISSION)

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

    def get_offset(self, kind: str) -> int:
        """Return the offset of the newest record of a kind, -1 without one."""
        return self._values.get(kind, (-1, b''))[0]

    def decode_head(self) -> SubmissionHead:
        """Return the submission; raise ``RecordError`` if it is invalid."""
        return decode_submission_head(self.get_value(SUBMISSION))

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
            head = self.decode_head()
        except RecordError:
            return False
        if head.tenant == tenant:
            return True
        return not (head.tenant and tenant) and head.queue == queue

    def build_state(self, now: Moment) -> JobState:
        """Return the state of the job, for an owner of the partition.

        Raise ``RecordError`` if a record can't be decoded.
        """
        head = self.decode_head()
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

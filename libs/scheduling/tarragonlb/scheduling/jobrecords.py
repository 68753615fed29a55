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
    SUBMISSION_KINDS,
    RecordError,
    SubmissionHead,
    decode_spec,
)
from tarragonlb.scheduling.submissions import Submissions

# Of a job whose progress can't be decoded, all that is known is that an owner
# has stored some.
UNREADABLE_PROGRESS = Progress(term=0, outcome=JobOutcome.OPEN, began=True)


class JobRecords:
    """The newest record of each kind of one job.

    ``error`` says why the newest progress can't be decoded, None if it can or
    was not needed yet.
    """

    __slots__ = ('_progress', '_values', 'error', 'job_id', 'submissions')

    def __init__(self, job_id: str) -> None:
        """Start without records."""
        self.job_id = job_id
        self.submissions = Submissions()
        self._values: dict[str, tuple[int, bytes]] = {}
        self._progress: Progress | None = None
        self.error: RecordError | None = None

    def apply(self, tail: str, offset: int, value: bytes) -> None:
        """Apply a record unless a newer one of its key is known.

        ``tail`` is what follows the job's id in the key.  Raise ``RecordError``
        for one that can't be applied.
        """
        kind = tail[-1:]
        if kind in SUBMISSION_KINDS:
            self.submissions.apply(tail, offset, value)
            return
        if kind != tail:
            raise RecordError(f'unknown key: {tail!r}')
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
        self.submissions.keep_listed(self.job_id, listed, end)

    @property
    def is_submitted(self) -> bool:
        """Return whether the job was accepted and has not been removed.

        One that was forwarded to another partition is no job of this one, and
        one that was cancelled before it was stored is none at all.
        """
        if not self.submissions.value or self.submissions.is_void():
            return False
        return FORWARDING not in self._values or not self.is_forwarded

    @property
    def is_forwarded(self) -> bool:
        """Return whether the newest submission was forwarded elsewhere."""
        value = self.get_value(FORWARDING)
        if not value:
            return False
        return decode_forwarding(value) == self.submissions.offset

    @property
    def is_cancelled(self) -> bool:
        """Return whether a client cancelled the job."""
        if self.get_value(CANCELLATION):
            return True
        return self.submissions.is_cancelled()

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
        is_any = any(value for _, value in self._values.values())
        return self.submissions.is_empty and not is_any

    def get_value(self, kind: str) -> bytes:
        """Return the newest value of a kind, or an empty one.

        Of submissions, that of the one which counts.
        """
        if kind == SUBMISSION:
            return self.submissions.value
        return self._values.get(kind, (-1, b''))[1]

    def get_offset(self, kind: str) -> int:
        """Return the offset of the newest record of a kind, -1 without one."""
        if kind == SUBMISSION:
            return self.submissions.offset
        return self._values.get(kind, (-1, b''))[0]

    def decode_head(self) -> SubmissionHead:
        """Return the submission; raise ``RecordError`` if it is invalid."""
        return self.submissions.decode_head()

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

"""The submissions of one job, and the cancellations that came before them.

See ``tarragonlb.scheduling.earlycancellation``.  Of several submissions the one
that covers most counts.

>>> import cbor2
>>> submissions = Submissions()
>>> submissions.apply('-0-a1x', 4, cbor2.dumps(['', 'q']))
>>> submissions.apply('j', 5, cbor2.dumps(['q', 'pool', b'', 0]))
>>> submissions.is_void()
True
>>> submissions.apply('-0j', 6, cbor2.dumps(['q', 'pool', b'', 0]))
>>> submissions.is_void()
False
"""

from collections.abc import Container

from tarragonlb.scheduling.earlycancellation import (
    EarlyCancellation,
    decode_early_cancellation,
    is_round,
)
from tarragonlb.scheduling.records import (
    EARLY_CANCELLATION,
    SUBMISSION,
    RecordError,
    SubmissionHead,
    decode_submission_head,
)


class Submissions:
    """The newest record of each key, by what follows the job's id in it."""

    __slots__ = ('_early', '_present', '_values')

    def __init__(self) -> None:
        """Start without records."""
        self._values: dict[str, tuple[int, bytes]] = {}
        # The key of the submission that covers most.
        self._present = SUBMISSION
        self._early: tuple[EarlyCancellation, ...] = ()

    def apply(self, tail: str, offset: int, value: bytes) -> None:
        """Apply a record unless a newer one of its key is known.

        Raise ``RecordError`` if it can't be applied.
        """
        is_submission = _is_submission(tail)
        if tail.endswith(EARLY_CANCELLATION):
            if value:
                decode_early_cancellation(tail, offset, value)
        elif not is_submission:
            raise RecordError(f'unknown key of a submission: {tail!r}')
        known = self._values.get(tail)
        if known is not None and known[0] >= offset:
            return
        if known is not None and known[1] == value and not is_submission:
            # A late copy of a cancellation came no later than the first one.
            return
        self._values[tail] = (offset, value)
        self._index()

    def keep_listed(
        self, job_id: str, listed: Container[str], end: int
    ) -> None:
        """Drop records before offset ``end`` whose keys are not ``listed``."""
        self._values = {
            tail: (offset, value)
            for tail, (offset, value) in self._values.items()
            if offset >= end or job_id + tail in listed
        }
        self._index()

    @property
    def value(self) -> bytes:
        """Return the value of the submission that counts, or an empty one."""
        return self._values.get(self._present, (-1, b''))[1]

    @property
    def offset(self) -> int:
        """Return the offset of the submission that counts, -1 without one."""
        return self._values.get(self._present, (-1, b''))[0]

    @property
    def covers(self) -> int:
        """Return the last round that the one which counts covers, or -1."""
        return _find_covered(self._present)

    @property
    def is_empty(self) -> bool:
        """Return whether all records have been removed."""
        return not any(value for _, value in self._values.values())

    @property
    def early_cancellations(self) -> int:
        """Return how often the job was cancelled while it was not known."""
        return len(self._early)

    def is_void(self) -> bool:
        """Return whether the submission came behind its cancellation."""
        return any(early < self.offset for early in self._list_uncovered())

    def is_cancelled(self) -> bool:
        """Return whether a cancellation came when a daemon did not know it."""
        return any(early > self.offset for early in self._list_uncovered())

    def decode_head(self) -> SubmissionHead:
        """Return the one that counts; raise ``RecordError`` if invalid."""
        return decode_submission_head(self.value)

    def find_covered(self, tenant: str, queue: str) -> int:
        """Return which round a new submission covers, -1 if there is none.

        The submission is that of a tenant for a queue.
        """
        return max(
            (
                early.number
                for early in self._early
                if early.concerns(tenant, queue)
            ),
            default=-1,
        )

    def list_keys(self, job_id: str) -> list[str]:
        """Return the keys of all submissions."""
        return [job_id + tail for tail in self._values if _is_submission(tail)]

    def list_early_keys(self, job_id: str) -> list[str]:
        """Return the keys of early cancellations."""
        return [
            job_id + tail
            for tail, (_, value) in self._values.items()
            if value and not _is_submission(tail)
        ]

    def list_void_keys(self, job_id: str) -> list[str]:
        """Return the keys of submissions that do not count."""
        return [
            job_id + tail
            for tail, (_, value) in self._values.items()
            if value
            and _is_submission(tail)
            and (tail != self._present or self.is_void())
        ]

    def _list_uncovered(self) -> list[int]:
        """Return the offsets of cancellations of the submission that counts.

        Its writer had not read them.
        """
        if not self._early:
            return []
        try:
            head = self.decode_head()
        except RecordError:
            return []
        covered = _find_covered(self._present)
        return [
            early.offset
            for early in self._early
            if early.number > covered
            and early.concerns(head.tenant, head.queue)
        ]

    def _index(self) -> None:
        self._early = tuple(
            decode_early_cancellation(tail, offset, value)
            for tail, (offset, value) in self._values.items()
            if value and not _is_submission(tail)
        )
        submissions = (
            tail
            for tail, (_, value) in self._values.items()
            if value and _is_submission(tail)
        )
        self._present = max(submissions, key=_find_covered, default=SUBMISSION)


def _is_submission(tail: str) -> bool:
    digits = tail[1:-1]
    return tail.endswith(SUBMISSION) and (not digits or is_round(digits))


def _find_covered(tail: str) -> int:
    """Return the round in the key of a submission, -1 if it has none."""
    return int(tail[1:-1] or -1)

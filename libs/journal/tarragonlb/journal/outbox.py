"""Records of this process that were submitted but not yet read back.

A record is pending from its submission until it is read back or discarded.  An
append of unknown effect is retried, as records with the same id take effect
only once.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from tarragonlb.journal.codec import encode_record
from tarragonlb.journal.fold import RecordOutcome
from tarragonlb.model.record import Record

MAX_BATCH_RECORDS = 256


@dataclass(eq=False, slots=True)
class PendingRecord:
    """A record that was submitted but not yet read back.

    ``outcome`` is set when it has been read back.  ``outcome_unknown`` is set
    if its first copy was not folded here but is part of a state that was
    installed, so that this process can't know whether it was accepted.
    """

    record: Record
    blob: bytes
    outcome: RecordOutcome | None = None
    outcome_unknown: bool = False

    @property
    def record_id(self) -> str:
        """Return the id of the record."""
        return self.record.head.record_id

    @property
    def settled(self) -> bool:
        """Return whether the outcome is known, or known to stay unknown."""
        return self.outcome_unknown or self.outcome is not None


class Outbox:
    """Holds the pending records of this process."""

    __slots__ = ('_pending', '_unsent')

    def __init__(self) -> None:
        """Start empty."""
        self._pending: dict[str, PendingRecord] = {}
        self._unsent: dict[str, PendingRecord] = {}

    def submit(self, record: Record) -> PendingRecord:
        """Queue a record for the next batch."""
        pending = PendingRecord(record, encode_record(record))
        self._pending[pending.record_id] = pending
        self._unsent[pending.record_id] = pending
        return pending

    def take_batch(self) -> list[PendingRecord]:
        """Remove and return the records of the next append, in order."""
        batch = list(self._unsent.values())[:MAX_BATCH_RECORDS]
        for pending in batch:
            self._unsent.pop(pending.record_id)
        return batch

    def requeue(self, batch: Iterable[PendingRecord]) -> None:
        """Queue a batch again whose append failed or may have failed."""
        requeued = {
            pending.record_id: pending
            for pending in batch
            if pending.record_id in self._pending
        }
        self._unsent = {**requeued, **self._unsent}

    def discard(self, pending: PendingRecord) -> None:
        """Drop a record; it may still be accepted if it was sent."""
        self._pending.pop(pending.record_id, None)
        self._unsent.pop(pending.record_id, None)

    def settle(self, outcome: RecordOutcome) -> PendingRecord | None:
        """Settle and return the pending record that was read back, if any."""
        pending = self._pending.get(outcome.record_id)
        if pending is None:
            return None
        self.discard(pending)
        if outcome.is_duplicate:
            pending.outcome_unknown = True
        else:
            pending.outcome = outcome
        return pending

    def settle_skipped(self, seen: Mapping[str, int]) -> list[PendingRecord]:
        """Settle and return the records that an installed state includes.

        ``seen`` has the ids of the records that were folded into that state.
        """
        skipped = [
            pending
            for record_id, pending in self._pending.items()
            if record_id in seen
        ]
        for pending in skipped:
            pending.outcome_unknown = True
            self.discard(pending)
        return skipped

"""Records on their way into the log and back.

A record stays here from its submission until it is read back or given up.
An append whose effect is not known is sent again: the ids of the records make
them count once.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from tarragonlb.journal.codec import encode_record
from tarragonlb.journal.fold import RecordOutcome
from tarragonlb.model.record import Record

MAX_BATCH_RECORDS = 256


@dataclass(eq=False, slots=True)
class PendingRecord:
    """A record on its way.

    ``outcome`` is set once it was read back, ``doubtful`` if it was folded by
    somebody else's snapshot, so that nobody here knows whether it counted.
    """

    record: Record
    blob: bytes
    outcome: RecordOutcome | None = None
    doubtful: bool = False

    @property
    def record_id(self) -> str:
        """Return the id of the record."""
        return self.record.head.record_id

    @property
    def settled(self) -> bool:
        """Return whether there is nothing left to wait for."""
        return self.doubtful or self.outcome is not None


class Outbox:
    """Owns the records of this process that were not read back yet."""

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
        """Return the records of the next append, in order."""
        batch = list(self._unsent.values())[:MAX_BATCH_RECORDS]
        for pending in batch:
            self._unsent.pop(pending.record_id)
        return batch

    def requeue(self, batch: Iterable[PendingRecord]) -> None:
        """Queue a batch again whose append failed or is in doubt."""
        again = {
            pending.record_id: pending
            for pending in batch
            if pending.record_id in self._pending
        }
        self._unsent = {**again, **self._unsent}

    def discard(self, pending: PendingRecord) -> None:
        """Forget a record; it may count all the same if it was sent."""
        self._pending.pop(pending.record_id, None)
        self._unsent.pop(pending.record_id, None)

    def settle(self, outcome: RecordOutcome) -> PendingRecord | None:
        """Return the record that was read back, if it is one of these."""
        pending = self._pending.get(outcome.record_id)
        if pending is None:
            return None
        self.discard(pending)
        if outcome.repeated:
            pending.doubtful = True
        else:
            pending.outcome = outcome
        return pending

    def settle_skipped(self, seen: Mapping[str, int]) -> list[PendingRecord]:
        """Return the records that were folded in a part not read here."""
        skipped = [
            pending
            for record_id, pending in self._pending.items()
            if record_id in seen
        ]
        for pending in skipped:
            pending.doubtful = True
            self.discard(pending)
        return skipped

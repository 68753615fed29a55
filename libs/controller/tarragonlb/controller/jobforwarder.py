"""Forwards jobs that were accepted into a partition after their queue had left.

A daemon that does not know yet that a queue has moved accepts jobs into the
former partition (see ``tarragonlb.scheduling.queuemoves``).  The owner of that
partition does not run them, but stores them in the partition where they belong
now, where they may be known already.  Then it marks them as forwarded.  All of
that may be done twice, by this owner and the next one.
"""

import math

import trio

from tarragonlb.controller.partition import PartitionFeed
from tarragonlb.controller.platformview import PlatformView
from tarragonlb.controller.ports import Clock, Store
from tarragonlb.controller.results import Stored
from tarragonlb.controller.settings import ControllerSettings
from tarragonlb.scheduling.forwarding import (
    build_forwarded_removal,
    build_forwarded_submission,
    build_forwarding_record,
)
from tarragonlb.scheduling.job import MS_PER_SECOND, Moment
from tarragonlb.scheduling.jobrecords import JobRecords
from tarragonlb.scheduling.jobstate import JobState
from tarragonlb.scheduling.records import (
    SUBMISSION,
    KeyedRecord,
    RecordError,
    build_cancellation_record,
)
from tarragonlb.telemetry.log import Log

LOG = Log('owner')
# Records that are of no use any more are looked for this often.
CLEANUP_SECONDS = 30.0


def build_state(records: JobRecords, now: Moment) -> JobState | None:
    """Return the state of a job, or log why its records are invalid."""
    try:
        return records.build_state(now)
    except RecordError as error:
        LOG.emit(
            'Job ignored, as its records are invalid.',
            job=records.job_id,
            reason=str(error),
        )
        return None


class JobForwarder:
    """Forwards the late jobs of one partition, for its owner's term."""

    __slots__ = (
        '_cancelled',
        '_clock',
        '_feed',
        '_inbox',
        '_job_ids',
        '_seen_at',
        '_settings',
        '_store',
        '_view',
    )

    def __init__(
        self,
        feed: PartitionFeed,
        store: Store,
        view: PlatformView,
        settings: ControllerSettings,
        clock: Clock,
    ) -> None:
        """Forward the jobs of the partition of ``feed``."""
        self._feed = feed
        self._store = store
        self._view = view
        self._settings = settings
        self._clock = clock
        # When each forwarded job was first seen, in monotonic seconds.
        self._seen_at: dict[str, float] = {}
        # Forwarded jobs whose cancellation was forwarded, too.
        self._cancelled: set[str] = set()
        self._inbox, self._job_ids = trio.open_memory_channel[str](math.inf)

    def find_own(self, job_id: str, *, is_known: bool) -> JobRecords | None:
        """Return the records of a job that this partition's owner runs.

        ``is_known`` says that it runs the job already, which then may have been
        submitted again.  None for a job that is late, which is forwarded soon,
        and for one that was stored behind what has been read: a record that
        makes it late may come before it.
        """
        records = self._feed.job_index.find(job_id)
        if records is None:
            if self._feed.job_index.find_forwarded(job_id) is not None:
                self._inbox.send_nowait(job_id)
            return None
        if is_known:
            return records
        if not self._feed.has_read(records.get_offset(SUBMISSION)):
            return None
        if self._feed.find_late_target(records) is None:
            return records
        self._inbox.send_nowait(job_id)
        return None

    async def run(self) -> None:
        """Forward jobs until cancelled."""
        for records in self._feed.job_index.list_forwarded():
            self._inbox.send_nowait(records.job_id)
        clean_up_at = trio.current_time() + CLEANUP_SECONDS
        while True:
            with trio.move_on_at(clean_up_at):
                await self._handle_next()
            if trio.current_time() >= clean_up_at:
                await self._clean_up()
                clean_up_at = trio.current_time() + CLEANUP_SECONDS

    async def _handle_next(self) -> None:
        """Forward the next job, or put it back if that is not possible now."""
        job_id = await self._job_ids.receive()
        is_done = False
        try:
            is_done = await self._handle(job_id)
        finally:
            if not is_done:
                self._inbox.send_nowait(job_id)
        if not is_done:
            await trio.sleep(self._settings.store_retry_seconds)

    async def _handle(self, job_id: str) -> bool:
        """Forward a job, or the cancellation of one that was forwarded.

        Return whether that is done, or need not be.
        """
        records = self._feed.job_index.find(job_id)
        if records is not None:
            return await self._forward(records)
        forwarded = self._feed.job_index.find_forwarded(job_id)
        if forwarded is None:
            return True
        self._seen_at.setdefault(job_id, self._clock.read_monotonic())
        if not forwarded.is_cancelled or job_id in self._cancelled:
            return True
        return await self._forward_cancellation(forwarded)

    async def _forward_cancellation(self, records: JobRecords) -> bool:
        """Forward the cancellation alone, as the job may be over by now."""
        move = self._feed.find_late_target(records)
        if move is None:
            return True
        target = self._view.find_partition(move.target_pool)
        cancellation = build_cancellation_record(records.job_id)
        if await self._append(target, [cancellation]) is None:
            return False
        self._cancelled.add(records.job_id)
        return True

    async def _forward(self, records: JobRecords) -> bool:
        move = self._feed.find_late_target(records)
        if move is None:
            return True
        job_id, offset = records.job_id, records.get_offset(SUBMISSION)
        if job_id in self._seen_at:
            # It came back, as its queue moves once more.
            await trio.sleep(self._settings.store_retry_seconds)
        try:
            submission = build_forwarded_submission(
                job_id,
                records.get_value(SUBMISSION),
                move.target_queue,
                move.target_pool,
                records.submissions.covers,
            )
        except RecordError as error:
            LOG.emit(
                'Job ignored, as its records are invalid.',
                job=job_id,
                reason=str(error),
            )
            return True
        to_store = [submission]
        if records.is_cancelled:
            to_store.append(build_cancellation_record(job_id))
        target = self._view.find_partition(move.target_pool)
        if await self._append(target, to_store) is None:
            return False
        if len(to_store) > 1:
            self._cancelled.add(job_id)
        mark = build_forwarding_record(job_id, offset)
        first = await self._append(self._feed.partition, [mark])
        if first is None:
            return False
        self._feed.apply_stored([mark], first)
        self._seen_at.setdefault(job_id, self._clock.read_monotonic())
        LOG.emit(
            'Job forwarded, as its queue has moved.',
            job=job_id,
            queue=move.queue,
            pool=move.pool,
            target_pool=move.target_pool,
            partition=self._feed.partition,
            target_partition=target,
        )
        return True

    async def _append(
        self, partition: int | None, records: list[KeyedRecord]
    ) -> int | None:
        """Append records once; return the offset, None if they may be lost."""
        if partition is None:
            return None
        result = await self._store.append(partition, tuple(records), None)
        return result.first if isinstance(result, Stored) else None

    async def _clean_up(self) -> None:
        """Remove what is left of forwarded jobs, and moves of long ago."""
        retention = self._settings.scheduling.status_retention_seconds
        oldest = self._clock.read_monotonic() - retention
        over = [job for job, at in self._seen_at.items() if at < oldest]
        records = self._feed.queue_moves.list_removals(
            self._clock.read_wall() * MS_PER_SECOND
        )
        for job_id in over:
            if self._feed.job_index.find_forwarded(job_id) is None:
                self._seen_at.pop(job_id)
                self._cancelled.discard(job_id)
            else:
                removals = self._feed.job_index.build_removals(job_id)
                records.extend(build_forwarded_removal(job_id, removals))
        first = None
        if records:
            first = await self._append(self._feed.partition, records)
        if first is not None:
            self._feed.apply_stored(records, first)

"""What clients ask for: hand a job in, ask for it, cancel it, count.

A job is accepted once its record is stored.  Its id makes a repeated append
harmless, so an append of unknown result is repeated; if that does not help
either, the answer says that the job may have been accepted.  A daemon that has
not heard of the store for a while refuses at once: the client reaches another
daemon while its deadline lasts.
"""

import itertools
from collections.abc import Mapping
from dataclasses import dataclass, replace

import trio

from tarragonlb.controller.groupcommit import GroupCommit
from tarragonlb.controller.partition import PartitionFeed
from tarragonlb.controller.ports import Clock, Store
from tarragonlb.controller.results import NotDone, Stored
from tarragonlb.controller.settings import ControllerSettings
from tarragonlb.controller.view import View
from tarragonlb.model.verdict import Verdict
from tarragonlb.scheduling.job import MS_PER_SECOND, Job
from tarragonlb.scheduling.jobindex import JobRecords
from tarragonlb.scheduling.queue import Queue
from tarragonlb.scheduling.records import (
    KeyedRecord,
    build_cancellation_record,
    build_submission_record,
)
from tarragonlb.telemetry.fleetmetrics import FLEET_METER, HAND_INS
from tarragonlb.telemetry.log import Log

LOG = Log('desk')
# Long enough for another daemon to reach the store, short against deadlines.
RETRY_AFTER_SECONDS = 1
# A store that refuses twice is down for this daemon; another may reach it.
MAX_REFUSALS = 2


@dataclass(frozen=True, slots=True)
class Receipt:
    """What a client is told.

    RAN: stored.  NOT_RUN: refused, come back after ``retry_after`` seconds.
    MAY_HAVE_RUN: nobody can say.  ``reason`` is what the store did last.
    """

    verdict: Verdict
    retry_after: int = 0
    reason: str = ''


@dataclass(frozen=True, slots=True)
class Unreadable:
    """The store can't be read, so nothing can be said of a job."""


class Desk:
    """Serves clients of all queues, whoever owns their partitions."""

    __slots__ = (
        '_clock',
        '_commits',
        '_feeds',
        '_settings',
        '_store',
        '_view',
    )

    def __init__(
        self,
        store: Store,
        feeds: Mapping[int, PartitionFeed],
        settings: ControllerSettings,
        clock: Clock,
        view: View,
    ) -> None:
        """Answer from ``feeds``, which the caller keeps complete."""
        self._store = store
        self._commits: dict[int, GroupCommit] = {}
        self._feeds = feeds
        self._settings = settings
        self._clock = clock
        self._view = view

    async def submit(self, job: Job) -> Receipt:
        """Accept a job, once however often it is handed in."""
        if self._find(job.job_id) is not None:
            return Receipt(Verdict.RAN)
        partition = self._settings.find_partition(job.pool)
        wall_ms = self._clock.read_wall() * MS_PER_SECOND
        record = build_submission_record(replace(job, handed_in_ms=wall_ms))
        receipt = await self._append(partition, record)
        FLEET_METER.count(HAND_INS, 'submit', receipt.verdict.value)
        LOG.say(
            'Job submitted.',
            job=job.job_id,
            queue=job.queue,
            pool=job.pool,
            partition=partition,
            verdict=receipt.verdict.value,
            reason=receipt.reason,
        )
        return receipt

    async def cancel(self, queue: Queue, job_id: str) -> Receipt | None:
        """Cancel a job; None if there is no such job."""
        found = await self._look_up(queue, job_id)
        if found is None:
            return None
        if isinstance(found, Unreadable):
            return Receipt(Verdict.NOT_RUN, RETRY_AFTER_SECONDS)
        if found[1].is_cancelled:
            return Receipt(Verdict.RAN)
        receipt = await self._append(
            found[0], build_cancellation_record(job_id)
        )
        FLEET_METER.count(HAND_INS, 'cancel', receipt.verdict.value)
        LOG.say(
            'A job was cancelled.', job=job_id, verdict=receipt.verdict.value
        )
        return receipt

    async def describe(
        self, queue: Queue, job_id: str
    ) -> str | Unreadable | None:
        """Return the state of a job in one word; None if there is none."""
        found = await self._look_up(queue, job_id)
        if found is None or isinstance(found, Unreadable):
            return found
        return found[1].describe()

    def count_pending(self, queue: Queue) -> int:
        """Return how many jobs of a queue wait for their first task."""
        partition = self._settings.find_partition(queue.pool)
        feed = self._feeds.get(partition)
        return 0 if feed is None else feed.count_pending(queue.name)

    def _find(self, job_id: str) -> tuple[int, JobRecords] | None:
        for partition, feed in self._feeds.items():
            entry = feed.ledger.find(job_id)
            if entry is not None:
                return partition, entry
        return None

    async def _look_up(
        self, queue: Queue, job_id: str
    ) -> tuple[int, JobRecords] | Unreadable | None:
        found = self._find(job_id)
        if found is not None:
            return found
        feed = self._feeds.get(self._settings.find_partition(queue.pool))
        if feed is None or not await feed.refresh():
            return Unreadable()
        return self._find(job_id)

    async def _append(self, partition: int, record: KeyedRecord) -> Receipt:
        silence = self._view.measure_silence(self._clock.read_lease())
        if silence > self._settings.doubt_seconds:
            reason = f'no contact to the store for {silence:.1f} s'
            return Receipt(Verdict.NOT_RUN, RETRY_AFTER_SECONDS, reason)
        verdict = Verdict.NOT_RUN
        reason = ''
        give_up_at = self._clock.read_steady() + self._settings.submit_seconds
        for attempt in itertools.count(1):
            result = await self._find_commit(partition).append(record)
            if isinstance(result, Stored):
                self._apply(partition, record, result.first)
                return Receipt(Verdict.RAN)
            reason = result.reason
            if not isinstance(result, NotDone):
                verdict = Verdict.MAY_HAVE_RUN
            is_over = self._clock.read_steady() >= give_up_at
            is_refused = verdict is Verdict.NOT_RUN and attempt >= MAX_REFUSALS
            if is_over or is_refused:
                break
            await trio.sleep(self._settings.store_retry_seconds)
        return Receipt(verdict, RETRY_AFTER_SECONDS, reason)

    def _find_commit(self, partition: int) -> GroupCommit:
        known = self._commits.get(partition)
        if known is None:
            known = GroupCommit(self._store, partition)
            self._commits[partition] = known
        return known

    def _apply(self, partition: int, record: KeyedRecord, first: int) -> None:
        feed = self._feeds.get(partition)
        if feed is not None:
            feed.apply_own((record,), first)

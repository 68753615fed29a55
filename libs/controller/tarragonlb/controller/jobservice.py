"""Serves client requests: submit, query, cancel and count jobs.

A job is accepted once its record is stored.  The job's id is its idempotency
key, so an append with an unknown result is retried; if the result stays
unknown, the client is told that the job may have been accepted.  A daemon that
has had no contact with the store for a while rejects requests at once, so that
the client can reach another daemon before its deadline.

With tenants, a job belongs to the tenant that submitted it, and for any other
there is no such job.
"""

import random
from collections.abc import Callable, Iterator, Mapping
from dataclasses import dataclass, replace

import trio

from tarragonlb.controller.earlycanceller import EarlyCanceller
from tarragonlb.controller.jobadmission import JobAdmission
from tarragonlb.controller.jobappender import (
    RETRY_AFTER_SECONDS,
    JobAppender,
    RequestOutcome,
)
from tarragonlb.controller.partition import PartitionFeed
from tarragonlb.controller.platformview import PlatformView
from tarragonlb.controller.ports import Clock, Store
from tarragonlb.controller.queuehomes import QueueHomes
from tarragonlb.controller.settings import ControllerSettings
from tarragonlb.controller.submissionlog import SubmissionKind, SubmissionLog
from tarragonlb.model.verdict import Verdict
from tarragonlb.scheduling.job import MS_PER_SECOND, Job
from tarragonlb.scheduling.jobrecords import JobRecords
from tarragonlb.scheduling.queue import Queue
from tarragonlb.scheduling.records import (
    build_cancellation_record,
    build_submission_record,
)
from tarragonlb.telemetry.fleetmetrics import FLEET_METER, JOB_REQUESTS
from tarragonlb.telemetry.log import Log

LOG = Log('desk')


@dataclass(frozen=True, slots=True)
class StoreUnavailable:
    """The state of a job is unknown because the store can't be read."""


class JobService:
    """Serves the clients of all queues, whoever owns their partitions."""

    __slots__ = (
        '_admission',
        '_appender',
        '_clock',
        '_early_canceller',
        '_feeds',
        '_homes',
        '_settings',
        '_submission_log',
        '_view',
    )

    def __init__(
        self,
        store: Store,
        feeds: Mapping[int, PartitionFeed],
        settings: ControllerSettings,
        clock: Clock,
        view: PlatformView,
        draw_share: Callable[[], float] = random.random,
    ) -> None:
        """Read jobs from ``feeds``, by partition; the caller adds to it.

        ``draw_share`` returns random numbers from 0 to 1, by which rejected
        clients are told when to return.
        """
        self._admission = JobAdmission(view, settings, clock, draw_share)
        self._submission_log = SubmissionLog(clock)
        self._homes = QueueHomes(store, feeds, settings, clock, view)
        self._appender = JobAppender(store, feeds, settings, clock, view)
        self._early_canceller = EarlyCanceller(
            self._homes, feeds, self._appender
        )
        self._feeds = feeds
        self._settings = settings
        self._clock = clock
        self._view = view

    async def log_submissions(self) -> None:
        """Log submissions that were collected, until cancelled."""
        await self._submission_log.run()

    async def submit(self, job: Job) -> RequestOutcome:
        """Accept a job; submitting the same job again has no effect."""
        # The reads below may take long if the store is slow.
        arrived_ms = self._clock.read_wall() * MS_PER_SECOND
        queue = self._find_queue(job)
        if self._find_job(queue, job.job_id, job.tenant) is not None:
            return RequestOutcome(Verdict.RAN)
        if self._homes.must_settle(queue):
            settled = await self._settle(job, queue)
            if isinstance(settled, RequestOutcome):
                self._note_submission(job, settled)
                return settled
            job = settled
        known = await self._find_submitted(job, queue)
        if known is not None:
            if known.verdict is not Verdict.RAN:
                self._note_submission(job, known)
            return known
        partition = self._view.find_partition(job.pool)
        if partition is None:
            return RequestOutcome(
                Verdict.NOT_RUN, RETRY_AFTER_SECONDS, 'pool has no partition'
            )
        refused = await self._refuse_hopeless(job, queue)
        if refused is not None:
            return refused
        outcome = await self._appender.append(
            partition,
            build_submission_record(
                replace(job, handed_in_ms=arrived_ms),
                self._find_covered(partition, job),
            ),
        )
        self._note_submission(job, outcome)
        return outcome

    async def cancel(
        self, queue: Queue, job_id: str, tenant: str = ''
    ) -> RequestOutcome | None:
        """Cancel a job; return None if the tenant has no such job.

        A submission of it that comes later is void.
        """
        found = await self._find_or_refresh(queue, job_id, tenant)
        if found is None:
            refused = await self._early_canceller.cancel(queue, job_id, tenant)
            if refused is not None:
                return refused
            # It may have been stored meanwhile.
            found = await self._find_or_refresh(queue, job_id, tenant)
        if found is None:
            return None
        if isinstance(found, StoreUnavailable):
            return RequestOutcome(Verdict.NOT_RUN, RETRY_AFTER_SECONDS)
        if found[1].is_cancelled:
            return RequestOutcome(Verdict.RAN)
        outcome = await self._appender.append(
            found[0], build_cancellation_record(job_id)
        )
        FLEET_METER.count(JOB_REQUESTS, 'cancel', outcome.verdict.value)
        LOG.emit(
            'Job cancellation requested.',
            job=job_id,
            verdict=outcome.verdict.value,
        )
        return outcome

    async def describe(
        self, queue: Queue, job_id: str, tenant: str = ''
    ) -> str | StoreUnavailable | None:
        """Return the state of a job as one word, None if the tenant has none.

        While the job is open, the newest records are read first: clients wait
        for its end, and the next poll may be a second away.
        """
        found = await self._find_or_refresh(queue, job_id, tenant)
        if found is None or isinstance(found, StoreUnavailable):
            return found
        partition, records = found
        feed = self._feeds[partition]
        if not (records.is_over or feed.is_owned):
            with trio.move_on_after(self._settings.state_read_seconds):
                await feed.refresh()
        if records.is_forwarded:
            # It was moved to another partition meanwhile.
            return await self.describe(queue, job_id, tenant)
        return records.describe()

    def count_pending(self, queue: Queue) -> int:
        """Return how many jobs of a queue have not started a task yet.

        Those that it accepted under a former name, or for a former pool, count
        as well.
        """
        # Two pools of one partition may have had the queue under one name.
        names = {
            (place.feed.partition, place.queue)
            for place in self._homes.list_places(queue)
        }
        return sum(
            self._feeds[partition].count_pending(name)
            for partition, name in names
        )

    def _find_queue(self, job: Job) -> Queue:
        """Return the queue of a job.

        After it was removed from the configuration, only its name and its pool
        are known.
        """
        configuration = self._view.configuration
        queue = None
        if configuration is not None:
            queue = configuration.queues.by_name.get(job.queue)
        if queue is None or queue.pool != job.pool:
            return Queue(name=job.queue, host='', path_prefix='', pool=job.pool)
        return queue

    async def _settle(self, job: Job, queue: Queue) -> Job | RequestOutcome:
        """Return a job as it may be accepted while its queue moves."""
        refused = self._appender.refuse_without_contact()
        if refused is not None:
            return refused
        settled = await self._homes.settle(job, queue)
        if settled is None:
            return RequestOutcome(
                Verdict.NOT_RUN, RETRY_AFTER_SECONDS, 'the queue is moving'
            )
        return settled

    def _list_jobs(self, job_id: str) -> Iterator[tuple[int, JobRecords]]:
        for partition, feed in self._feeds.items():
            records = feed.job_index.find(job_id)
            if records is not None:
                yield partition, records

    def _find_job(
        self, queue: Queue, job_id: str, tenant: str
    ) -> tuple[int, JobRecords] | None:
        for partition, records in self._list_jobs(job_id):
            if not self._settings.has_tenants or records.belongs_to(
                tenant, queue.name
            ):
                return partition, records
        return None

    async def _find_or_refresh(
        self, queue: Queue, job_id: str, tenant: str
    ) -> tuple[int, JobRecords] | StoreUnavailable | None:
        found = self._find_job(queue, job_id, tenant)
        if found is not None:
            return found
        if not await self._homes.read_all(queue):
            return StoreUnavailable()
        return self._find_job(queue, job_id, tenant)

    async def _find_submitted(
        self, job: Job, queue: Queue
    ) -> RequestOutcome | None:
        """Return the outcome of a submission whose id is known, else None.

        An unknown id is looked up in the store first, since the last read may
        be 1.8 s ago: the submission has to cover a cancellation that has been
        answered since, and must not replace a job of another tenant.
        """
        if self._find_job(queue, job.job_id, job.tenant) is not None:
            return RequestOutcome(Verdict.RAN)
        feed = self._homes.find_feed(job.pool)
        if feed is None:
            return None
        # A read of a store that does not answer would hold the client.
        refused = self._appender.refuse_without_contact()
        if refused is not None:
            return refused
        if not (any(self._list_jobs(job.job_id)) or await feed.refresh()):
            return RequestOutcome(
                Verdict.NOT_RUN, RETRY_AFTER_SECONDS, 'the store is not read'
            )
        if self._find_job(queue, job.job_id, job.tenant) is not None:
            return RequestOutcome(Verdict.RAN)
        if self._settings.has_tenants and any(self._list_jobs(job.job_id)):
            return RequestOutcome(
                Verdict.NOT_RUN,
                reason="another tenant's job has this id",
                is_conflict=True,
            )
        return None

    def _find_covered(self, partition: int, job: Job) -> int:
        """Return which early cancellations a submission covers, -1 if none."""
        feed = self._feeds.get(partition)
        if feed is None:
            return -1
        return feed.job_index.find_covered(job.job_id, job.tenant, job.queue)

    def _note_submission(self, job: Job, outcome: RequestOutcome) -> None:
        FLEET_METER.count(JOB_REQUESTS, 'submit', outcome.verdict.value)
        self._submission_log.note(
            job.job_id,
            SubmissionKind(
                queue=job.queue,
                pool=job.pool,
                partition=self._view.find_partition(job.pool),
                verdict=outcome.verdict.value,
                reason=outcome.reason,
            ),
        )

    async def _refuse_hopeless(
        self, job: Job, queue: Queue
    ) -> RequestOutcome | None:
        """Return the outcome of a job that can't be done in time, else None.

        The id is looked up in the store first, since another daemon may have
        accepted it, and then it must not be called not run.
        """
        if self._admission.find_rejection(job) is None:
            return None
        if not await self._homes.read_all(queue):
            return None
        if self._find_job(queue, job.job_id, job.tenant) is not None:
            return RequestOutcome(Verdict.RAN)
        rejection = self._admission.find_rejection(job)
        if rejection is None:
            return None
        self._admission.note_rejected(job, rejection)
        FLEET_METER.count(JOB_REQUESTS, 'submit', Verdict.NOT_RUN.value)
        return RequestOutcome(
            Verdict.NOT_RUN, rejection.retry_after, 'it would end too late'
        )

"""Cancels jobs that no daemon knows, in case their submissions come late.

See ``tarragonlb.scheduling.earlycancellation``.
"""

from collections import Counter
from collections.abc import Mapping

from tarragonlb.controller.jobappender import (
    RETRY_AFTER_SECONDS,
    JobAppender,
    RequestOutcome,
)
from tarragonlb.controller.partition import PartitionFeed
from tarragonlb.controller.queuehomes import QueueHomes
from tarragonlb.model.verdict import Verdict
from tarragonlb.scheduling.earlycancellation import (
    MAX_IN_PARTITION,
    build_early_cancellation_record,
)
from tarragonlb.scheduling.queue import Queue
from tarragonlb.scheduling.records import KeyedRecord
from tarragonlb.telemetry.log import Log

LOG = Log('desk')


class EarlyCanceller:
    """Stores early cancellations wherever a submission may arrive."""

    __slots__ = ('_appender', '_feeds', '_homes', '_under_way')

    def __init__(
        self,
        homes: QueueHomes,
        feeds: Mapping[int, PartitionFeed],
        appender: JobAppender,
    ) -> None:
        """Store them with ``appender`` in the ``homes`` of queues."""
        self._homes = homes
        self._feeds = feeds
        self._appender = appender
        # Appends by partition.
        self._under_way: Counter[int] = Counter()

    async def cancel(
        self, queue: Queue, job_id: str, tenant: str
    ) -> RequestOutcome | None:
        """Cancel a job that is not known, for its tenant only.

        Return None once that is stored, or why it is not.
        """
        partitions = {
            place.feed.partition for place in self._homes.list_places(queue)
        }
        # The same in all of them, since submissions may be forwarded.
        last = max(
            (
                self._feeds[partition].job_index.find_covered(
                    job_id, tenant, queue.name
                )
                for partition in partitions
            ),
            default=-1,
        )
        record = build_early_cancellation_record(
            job_id, last + 1, tenant, queue.name
        )
        for partition in sorted(partitions):
            outcome = await self._store(partition, record)
            if outcome.verdict is not Verdict.RAN:
                return outcome
        LOG.emit('Unknown job cancelled.', job=job_id)
        return None

    async def _store(
        self, partition: int, record: KeyedRecord
    ) -> RequestOutcome:
        known = self._feeds[partition].job_index.early_cancellations
        if known + self._under_way[partition] >= MAX_IN_PARTITION:
            return RequestOutcome(
                Verdict.NOT_RUN,
                RETRY_AFTER_SECONDS,
                'too many unknown jobs are being cancelled',
            )
        self._under_way[partition] += 1
        try:
            return await self._appender.append(partition, record)
        finally:
            self._under_way[partition] -= 1

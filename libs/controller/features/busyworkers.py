"""Workers whose calls share the processor of the daemon that calls them."""

import random
from collections import defaultdict
from dataclasses import replace

import trio
from fakedocuments import FakeDocumentDecoder
from fakeplatform import QUEUE, FakeStore, FakeWorkerApi

from tarragonlb.controller.ports import (
    Configuration,
    OrderReply,
    StatusReply,
    Topic,
)
from tarragonlb.scheduling.job import TaskKey
from tarragonlb.scheduling.orders import OrderResult
from tarragonlb.scheduling.progress import decode_progress
from tarragonlb.scheduling.queue import QueueTable
from tarragonlb.scheduling.records import PROGRESS
from tarragonlb.scheduling.task import TaskPhase

# The adapter's timeout for a call, in addition to a poll's wait.
TIMEOUT_SECONDS = 0.4
MS_PER_SECOND = 1000


class BusyWorkerApi(FakeWorkerApi):
    """Every call first uses some processor time, one call after the other.

    Tasks take 0.5 to 1.5 s and lapse once the lease that was granted to their
    worker has run out.
    """

    def __init__(self, call_seconds):
        super().__init__()
        self.call_seconds = call_seconds
        self.processor = trio.Lock()
        self.lease_until = defaultdict(float)
        self.failures = defaultdict(int)
        self.silent = set()
        self.lapsed = []
        self.busy_polls = 0
        self.random = random.Random(1)
        self.ended_at = {}
        self.report_delays = []
        self.started_at = {}
        self.unreachable = set()

    async def poll_status(self, request):
        worker_id = request.worker.worker_id
        self.busy_polls += bool(self.starts)
        with trio.move_on_after(TIMEOUT_SECONDS + request.wait_seconds):
            await self._compute()
            await self._reach(worker_id)
            if request.lease_until_ms is not None:
                self._extend(worker_id, request.lease_until_ms)
            reply = await super().poll_status(request)
            if isinstance(reply, StatusReply):
                self.failures[worker_id] = 0
                self._note_delays(worker_id, reply.report)
            return reply
        self.failures[worker_id] += 1
        if self.failures[worker_id] > 1:
            self.silent.add(worker_id)
        return OrderResult.UNANSWERED

    async def start(self, worker, order, token, lease_until_ms):
        with trio.move_on_after(TIMEOUT_SECONDS):
            await self._compute()
            await self._reach(worker.worker_id)
            self._extend(worker.worker_id, lease_until_ms)
            reply = await super().start(worker, order, token, lease_until_ms)
            if reply.result is OrderResult.DONE:
                attempt = (order.key, order.attempt)
                self.started_at[attempt] = trio.current_time()
                ends_at = trio.current_time() + self.random.uniform(0.5, 1.5)
                self.runs[worker.worker_id][order.key] = order.attempt, ends_at
            return reply
        return OrderReply(OrderResult.UNANSWERED)

    async def _reach(self, worker_id):
        if worker_id in self.unreachable:
            await trio.sleep_forever()

    async def _compute(self):
        async with self.processor:
            await trio.sleep(self.call_seconds)

    def _note_delays(self, worker_id, report):
        for end in report.ended:
            ended_at = self.ended_at.pop((worker_id, end.number), None)
            if ended_at is not None:
                delay = report.received_at - ended_at
                self.report_delays.append(delay)

    def _extend(self, worker_id, until_ms):
        self.lease_until[worker_id] = max(
            self.lease_until[worker_id], until_ms / MS_PER_SECOND
        )

    def _advance(self, worker_id):
        now = trio.current_time()
        if now > self.lease_until[worker_id]:
            for key, (attempt, _) in self.runs.pop(worker_id, {}).items():
                self.lapsed.append(key)
                self._end(worker_id, key, attempt, 'lapsed')
        number = self.last_end_numbers[worker_id]
        for _, ends_at in self.runs[worker_id].values():
            if now >= ends_at:
                number += 1
                self.ended_at[worker_id, number] = ends_at
        super()._advance(worker_id)


class ProgressStore(FakeStore):
    """Keeps which attempts of the only job are stored as placed."""

    def __init__(self):
        super().__init__()
        self.placed = set()

    async def append(self, partition, records, append_key, topic=Topic.JOBS):
        result = await super().append(partition, records, append_key, topic)
        for record in records:
            if partition and record.key.endswith(PROGRESS):
                self._note_progress(record)
        return result

    def _note_progress(self, record):
        job_id = record.key.removesuffix(PROGRESS)
        self.placed = {
            (
                TaskKey(job_id, row.occurrence, row.step, row.position),
                row.attempt,
            )
            for row in decode_progress(record.value).tasks
            if row.phase is TaskPhase.PLACED
        }


class UrgentDocumentDecoder(FakeDocumentDecoder):
    """Adds a queue of higher priority, ``urgent``, in the same pool."""

    def decode_operator_record(self, record):
        document = super().decode_operator_record(record)
        if not isinstance(document, Configuration):
            return document
        queues = (
            replace(QUEUE, priority=1),
            replace(QUEUE, name='urgent', path_prefix='/urgent/'),
        )
        return replace(document, queues=QueueTable(queues))

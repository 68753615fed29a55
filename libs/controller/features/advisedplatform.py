"""A placement policy service in memory, and workers that check tickets."""

from collections import Counter
from dataclasses import replace

import trio
from fakedocuments import FakeDocumentDecoder
from fakeplatform import (
    QUEUE,
    FakeWorkerApi,
)

from tarragonlb.controller.ports import (
    Configuration,
    OrderReply,
    PlacementAdvisor,
)
from tarragonlb.scheduling.advice import AdviceAnswer, AdviceOutcome
from tarragonlb.scheduling.orders import OrderResult
from tarragonlb.scheduling.queue import Advice, QueueTable

ADVICE = Advice(
    decision_seconds=0.05, per_worker_seconds=0.01, valid_seconds=3.0
)


class FakeAdvisor(PlacementAdvisor):
    """Answers after the configured time, or never while it is silent."""

    def __init__(self):
        self.calls = []
        self.issued = {}
        self.under_way = Counter()
        self.is_silent = False

    async def ask(self, call):
        self.calls.append(call)
        self.under_way[call.queue] += 1
        assert max(self.under_way.values()) == 1, self.under_way
        try:
            await trio.sleep(call.expected_seconds)
            if self.is_silent:
                await trio.sleep_forever()
        finally:
            self.under_way[call.queue] -= 1
        rows = []
        for worker in call.workers:
            ticket = f't{len(self.issued)}'
            until = trio.current_time() + ADVICE.valid_seconds
            self.issued[call.step_key, worker.worker_id, ticket] = until
            rows.append((worker.worker_id, ticket))
        return AdviceAnswer(AdviceOutcome.ANSWERED, tuple(rows), 3.0)


class AdvisedDecoder(FakeDocumentDecoder):
    """Adds the queue "advised" to the configuration."""

    def decode_operator_record(self, record):
        advised = replace(
            QUEUE, name='advised', path_prefix='/advised/', advice=ADVICE
        )
        queues = QueueTable([QUEUE, advised])
        return Configuration(int(record.value), queues, 1000)


class AdvisedWorkerApi(FakeWorkerApi):
    """Refuses the starts of jobs in ``advised`` without a valid ticket."""

    def __init__(self, has_service):
        super().__init__()
        self.advisor = FakeAdvisor() if has_service else None
        self.advised = set()
        self.refused = 0
        self.tickets = []

    async def start(self, worker, order, token, lease_until_ms):
        self.tickets.append(order.ticket)
        if order.key.job_id in self.advised:
            name = (tuple(order.key[:3]), worker.worker_id, order.ticket)
            issued = self.advisor.issued if self.advisor else {}
            if issued.get(name, 0.0) < trio.current_time():
                self.refused += 1
                return OrderReply(OrderResult.TICKET_REFUSED)
        return await super().start(worker, order, token, lease_until_ms)

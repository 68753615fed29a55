"""Tickets for the tasks of queues with advice.

A ticket allows all tasks of one step on one incarnation of a worker for a short
time.  Tickets are not stored: a new owner asks for them again, and attempts
that run need none.  Which workers may run a step does not change, so that is
kept for as long as the step is open.
"""

import enum
from dataclasses import dataclass

from tarragonlb.scheduling.advice import AdviceAnswer, AdviceCall, StepKey
from tarragonlb.scheduling.jobstate import StepState
from tarragonlb.scheduling.orders import StartOrder
from tarragonlb.scheduling.partitionstate import PartitionState
from tarragonlb.scheduling.policies import WorkerFilter
from tarragonlb.scheduling.readystep import ReadyStep
from tarragonlb.scheduling.waitreason import WaitReason
from tarragonlb.scheduling.worker import WorkerState

# The time from a decision to the arrival of its start order: one append, a
# call to the worker, and the drift of its clock over the ticket's validity.
START_MARGIN_SECONDS = 0.2
# The margin takes at most this share of a short validity.
MAX_MARGIN_SHARE = 0.25
CLEANUP_INTERVAL_SECONDS = 1.0


class Standing(enum.Enum):
    """What is known about a worker for a step.

    HELD: there is a valid ticket.  ALLOWED: the worker may run the step, but
    there is no valid ticket.  UNASKED: nothing is known.  DENIED: it may not.
    """

    HELD = 'held'
    ALLOWED = 'allowed'
    UNASKED = 'unasked'
    DENIED = 'denied'


@dataclass(frozen=True, slots=True)
class Ticket:
    """A ticket for one incarnation of a worker, valid until a time."""

    text: str
    incarnation: int | None
    valid_until: float


class StepAdvice:
    """What the service said about one step.

    ``tickets`` holds the newest ticket of each allowed worker, None once it
    was refused.
    """

    __slots__ = ('asked', 'tickets')

    def __init__(self) -> None:
        """Start without an answer."""
        self.asked: set[str] = set()
        self.tickets: dict[str, Ticket | None] = {}

    def find_ticket(self, worker: WorkerState, until: float) -> str:
        """Return the ticket that is valid until a time, empty for none."""
        ticket = self.tickets.get(worker.entry.worker_id)
        if ticket is None or ticket.valid_until <= until:
            return ''
        is_current = ticket.incarnation == worker.incarnation
        return ticket.text if is_current else ''


class TicketBook(WorkerFilter):
    """Holds tickets; rules out the workers for which there is none.

    ``unplaced`` are the steps of which tasks found no worker since the last
    answer about them.
    """

    __slots__ = ('_next_cleanup_at', '_partition', '_steps', 'unplaced')
    wait_reason = WaitReason.TICKET

    def __init__(self) -> None:
        """Start without tickets."""
        self._partition: PartitionState | None = None
        self._steps: dict[StepKey, StepAdvice] = {}
        self._next_cleanup_at = 0.0
        self.unplaced: set[StepKey] = set()

    def begin_round(self, partition: PartitionState, now: float) -> None:
        """Forget steps that have ended, once a second."""
        self._partition = partition
        if now < self._next_cleanup_at:
            return
        self._next_cleanup_at = now + CLEANUP_INTERVAL_SECONDS
        for key in tuple(self._steps):
            state = _find_step(partition, key)
            if state is None or state.is_done:
                self._steps.pop(key)
        for unplaced in tuple(self.unplaced):
            state = _find_step(partition, unplaced)
            if state is None or not state.count_waiting():
                self.unplaced.discard(unplaced)

    def may_use(
        self, worker: WorkerState, ready: ReadyStep, now: float
    ) -> bool:
        """Return whether the step needs no ticket, or there is one."""
        if not self._needs_ticket(ready):
            return True
        return bool(self.find_ticket(worker, ready, now))

    def note_waiting(self, ready: ReadyStep, now: float) -> None:
        """Remember the step if its queue has advice."""
        if self._needs_ticket(ready):
            self.unplaced.add(ready.key)

    def find_ticket(
        self, worker: WorkerState, ready: ReadyStep, now: float
    ) -> str:
        """Return the valid ticket of a worker for a step, empty for none."""
        known = self._steps.get(ready.key)
        return '' if known is None else known.find_ticket(worker, now)

    def assess(
        self, worker: WorkerState, key: StepKey, until: float
    ) -> Standing:
        """Return what is known about a worker; tickets count until a time."""
        known = self._steps.get(key)
        worker_id = worker.entry.worker_id
        if known is None or worker_id not in known.asked:
            return Standing.UNASKED
        if worker_id not in known.tickets:
            return Standing.DENIED
        is_held = known.find_ticket(worker, until)
        return Standing.HELD if is_held else Standing.ALLOWED

    def apply_answer(
        self, call: AdviceCall, answer: AdviceAnswer, sent_at: float
    ) -> None:
        """Keep the tickets of a valid answer to a call sent at a time."""
        # The service counts from when it answered, which is not known here.
        valid_seconds = answer.valid_seconds
        if call.advice.valid_seconds > 0:
            valid_seconds = min(valid_seconds, call.advice.valid_seconds)
        margin = min(START_MARGIN_SECONDS, MAX_MARGIN_SHARE * valid_seconds)
        valid_until = sent_at + valid_seconds - margin
        known = self._steps.setdefault(call.step_key, StepAdvice())
        texts = dict(answer.tickets)
        for worker in call.workers:
            known.asked.add(worker.worker_id)
            text = texts.get(worker.worker_id)
            if text is not None:
                known.tickets[worker.worker_id] = Ticket(
                    text, worker.incarnation, valid_until
                )
        self.unplaced.discard(call.step_key)

    def drop_ticket(self, order: StartOrder) -> None:
        """Drop the ticket of a start that the worker refused for it."""
        key = (order.key.job_id, order.key.occurrence, order.key.step)
        known = self._steps.get(key)
        ticket = None if known is None else known.tickets.get(order.worker_id)
        if known and ticket is not None and ticket.text == order.ticket:
            known.tickets[order.worker_id] = None

    def count_tickets(self, now: float) -> int:
        """Count the tickets that are valid."""
        return sum(
            ticket is not None and ticket.valid_until > now
            for known in self._steps.values()
            for ticket in known.tickets.values()
        )

    def count_unadvised(self, now: float) -> int:
        """Count the waiting steps without any valid ticket."""
        return sum(not self._has_ticket(key, now) for key in self.unplaced)

    def _has_ticket(self, key: StepKey, now: float) -> bool:
        known = self._steps.get(key)
        return known is not None and any(
            ticket is not None and ticket.valid_until > now
            for ticket in known.tickets.values()
        )

    def _needs_ticket(self, ready: ReadyStep) -> bool:
        if self._partition is None:
            return False
        queue = self._partition.queues.get(ready.job_state.job.queue)
        return queue is not None and queue.advice is not None


def _find_step(partition: PartitionState, key: StepKey) -> StepState | None:
    """Return the state of a step, None if its job has ended."""
    job_id, occurrence, number = key
    job_state = partition.open_jobs.get(job_id)
    if job_state is None:
        return None
    return job_state.occurrences[occurrence][number]

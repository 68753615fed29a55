"""Decides what the placement policy service is asked next.

One call for each queue is under way at a time.  Steps that wait now come
first, in the order of their ranks, then the step that becomes ready next.  A
failed call makes its queue wait, with a backoff that doubles.
"""

import random
from collections.abc import Iterator
from operator import attrgetter

from tarragonlb.scheduling.advice import (
    MAX_WORKERS_PER_CALL,
    AdviceAnswer,
    AdviceCall,
    AdviceCallLimit,
    AdviceOutcome,
    check_answer,
    name_worker,
)
from tarragonlb.scheduling.advicechoice import AskFor, WorkerChoice
from tarragonlb.scheduling.job import Moment
from tarragonlb.scheduling.jobstate import JobState
from tarragonlb.scheduling.partitionstate import PartitionState
from tarragonlb.scheduling.queue import Advice, Queue
from tarragonlb.scheduling.readystep import ReadyStep
from tarragonlb.scheduling.task import TaskPhase, TaskState
from tarragonlb.scheduling.ticketbook import TicketBook

MIN_BACKOFF_SECONDS = 0.1
MAX_BACKOFF_SECONDS = 2.0
MAX_DOUBLINGS = 5
# Backoffs are drawn from half to one and a half times their nominal length.
JITTER = 0.5
# Time between two plans while there is nothing to ask.
IDLE_PLAN_SECONDS = 0.05
# Steps of a queue for which tickets are kept while there is no room for them.
# All together are renewed within the validity of a ticket at about 5 calls a
# second.
MAX_KEPT_STEPS = 16
# A ticket is renewed this long before its end, besides the time of a call.
RENEWAL_MARGIN_SECONDS = 0.1
# The counts of allowed and named workers are halved above this, so that newer
# answers count more.
MAX_COUNTED_WORKERS = 200


class QueueAdvice:
    """The calls of one queue so far: failures in a row, and shares."""

    __slots__ = ('_allowed', '_named', 'asked_at', 'failures', 'retry_at')

    def __init__(self) -> None:
        """Start as if the service had allowed one worker of one."""
        self.failures = 0
        self.retry_at = 0.0
        self.asked_at = 0.0
        self._allowed = 1.0
        self._named = 1.0

    @property
    def allowed_share(self) -> float:
        """Return the estimated share of workers that the service allows."""
        return self._allowed / self._named

    def note_success(self, named: int, allowed: int) -> None:
        """Count the workers of an answer."""
        self.failures = 0
        self.retry_at = 0.0
        self._named += named
        self._allowed += allowed
        if self._named > MAX_COUNTED_WORKERS:
            self._named /= 2
            self._allowed /= 2

    def note_failure(self, now: float, jitter: float) -> None:
        """Back off, for ``jitter`` times the nominal length."""
        nominal = MIN_BACKOFF_SECONDS * 2 ** min(self.failures, MAX_DOUBLINGS)
        self.failures += 1
        self.retry_at = now + min(nominal, MAX_BACKOFF_SECONDS) * jitter


class AdvicePlanner:
    """Plans the calls of one owner, and applies their answers."""

    __slots__ = (
        '_book',
        '_limit',
        '_next_plan_at',
        '_queues',
        '_random',
        '_under_way',
    )

    def __init__(
        self, book: TicketBook, limit: AdviceCallLimit, source: random.Random
    ) -> None:
        """Plan for ``book``; jitter is drawn from ``source``."""
        self._book = book
        self._limit = limit
        self._random = source
        self._queues: dict[str, QueueAdvice] = {}
        self._under_way: set[str] = set()
        self._next_plan_at = 0.0

    def plan(self, partition: PartitionState, now: Moment) -> list[AdviceCall]:
        """Return the calls to send now; they count as under way."""
        if now.seconds < self._next_plan_at:
            return []
        found = self._list_steps(partition, now)
        choices: dict[str, WorkerChoice] = {}
        calls: list[AdviceCall] = []
        for name in sorted(found, key=self._get_asked_at):
            call = None
            if self._limit.admits(name):
                call = self._plan_queue(
                    found[name], partition, choices, now.seconds
                )
            if call is not None:
                calls.append(self._begin(call, now.seconds))
        if not calls:
            self._next_plan_at = now.seconds + IDLE_PLAN_SECONDS
        return calls

    def apply_answer(
        self, call: AdviceCall, answer: AdviceAnswer, sent_at: float, now: float
    ) -> AdviceOutcome:
        """Apply the result of a call; return what became of it."""
        self._under_way.discard(call.queue)
        self._next_plan_at = 0.0
        queue = self._get_queue(call.queue)
        checked = check_answer(call, answer)
        if checked.outcome is AdviceOutcome.ANSWERED:
            self._book.apply_answer(call, checked, sent_at)
            queue.note_success(len(call.workers), len(checked.tickets))
        else:
            queue.note_failure(
                now, self._random.uniform(1 - JITTER, 1 + JITTER)
            )
        return checked.outcome

    def _begin(self, call: AdviceCall, now: float) -> AdviceCall:
        self._under_way.add(call.queue)
        self._get_queue(call.queue).asked_at = now
        return self._limit.enter(call)

    def _get_queue(self, name: str) -> QueueAdvice:
        return self._queues.setdefault(name, QueueAdvice())

    def _get_asked_at(self, name: str) -> float:
        return self._get_queue(name).asked_at

    def _list_steps(
        self, partition: PartitionState, now: Moment
    ) -> dict[str, 'UnplacedSteps']:
        """Return the steps of the queues for which a call may be sent."""
        found: dict[str, UnplacedSteps] = {
            name: UnplacedSteps(queue, queue.advice)
            for name, queue in partition.queues.items()
            if queue.advice is not None and self._may_ask(name, now.seconds)
        }
        if not found:
            return found
        for job_state in partition.open_jobs.values():
            steps = found.get(job_state.job.queue)
            if steps is not None:
                steps.add(job_state, now)
        return found

    def _may_ask(self, name: str, now: float) -> bool:
        if name in self._under_way:
            return False
        return now >= self._get_queue(name).retry_at

    def _plan_queue(
        self,
        steps: 'UnplacedSteps',
        partition: PartitionState,
        choices: dict[str, WorkerChoice],
        now: float,
    ) -> AdviceCall | None:
        most = _compute_most_workers(steps.advice, self._limit.ahead_seconds)
        if not most:
            return None
        share = self._get_queue(steps.queue.name).allowed_share
        until = now + _compute_renewal_seconds(steps.advice)
        for ready, ask_for in steps.arrange():
            pool = ready.job_state.job.pool
            if pool not in choices:
                choices[pool] = _measure_pool(partition, pool, self._book, now)
            chosen = choices[pool].choose(ready, share, until, ask_for)
            if chosen:
                return AdviceCall(
                    queue=steps.queue.name,
                    pool=pool,
                    step_key=ready.key,
                    workers=tuple(map(name_worker, chosen[:most])),
                    advice=steps.advice,
                )
        return None


class UnplacedSteps:
    """The steps of one queue that wait, and those that are ready next."""

    __slots__ = ('_coming', '_waiting', 'advice', 'queue')

    def __init__(self, queue: Queue, advice: Advice) -> None:
        """Start without steps."""
        self.queue = queue
        self.advice = advice
        self._waiting: list[ReadyStep] = []
        self._coming: list[ReadyStep] = []

    def add(self, job_state: JobState, now: Moment) -> None:
        """Add the steps of a job that need tickets now or next."""
        latest_end = now.seconds + self.advice.valid_seconds
        for occurrence, number, state in job_state.list_steps():
            if not state.count_waiting():
                continue
            if job_state.is_ready(occurrence, number):
                found = self._waiting
            elif _is_ready_next(job_state, occurrence, number, latest_end):
                found = self._coming
            else:
                continue
            found.append(
                ReadyStep(job_state, occurrence, number, self.queue, now)
            )

    def arrange(self) -> Iterator[tuple[ReadyStep, AskFor]]:
        """Yield the steps in the order of asking."""
        self._waiting.sort(key=attrgetter('rank'))
        for ready in self._waiting:
            yield ready, AskFor.NOW
        for kept in self._waiting[:MAX_KEPT_STEPS]:
            yield kept, AskFor.SOON
        self._coming.sort(key=attrgetter('rank'))
        for later in self._coming[:MAX_KEPT_STEPS]:
            yield later, AskFor.NEXT


def _measure_pool(
    partition: PartitionState, pool: str, book: TicketBook, now: float
) -> WorkerChoice:
    workers = (
        worker
        for worker in partition.workers.values()
        if worker.entry.pool == pool
    )
    return WorkerChoice(workers, book, now)


def _is_ready_next(
    job_state: JobState, occurrence: int, number: int, latest_end: float
) -> bool:
    """Return whether the last prerequisite tasks run and end in time.

    A ticket that is asked for earlier would expire before the step is ready.
    """
    states = job_state.occurrences[occurrence]
    steps = job_state.job.spec.steps
    return all(
        _will_end(task, steps[earlier].estimate_seconds, latest_end)
        for earlier in steps[number].prerequisites
        for task in states[earlier].tasks
    )


def _will_end(
    task: TaskState, estimate_seconds: float, latest_end: float
) -> bool:
    if task.phase is TaskPhase.DONE:
        return True
    if task.phase not in {TaskPhase.PLACED, TaskPhase.RUNNING}:
        return False
    return (task.placed_at or 0.0) + estimate_seconds <= latest_end


def _compute_renewal_seconds(advice: Advice) -> float:
    """Return how long before its end a ticket is renewed."""
    call_seconds = 2 * (advice.decision_seconds + advice.per_worker_seconds)
    return min(call_seconds + RENEWAL_MARGIN_SECONDS, advice.valid_seconds / 3)


def _compute_most_workers(advice: Advice, ahead_seconds: float) -> int:
    """Return how many workers a call may name, 0 if it must wait.

    The answer must come while at least half of the validity is left, also
    after the calls of this daemon that the service handles first.  Otherwise
    the tickets of many queues would expire before they arrive.
    """
    if not (advice.per_worker_seconds and advice.valid_seconds):
        return MAX_WORKERS_PER_CALL
    left = advice.valid_seconds / 2 - advice.decision_seconds - ahead_seconds
    most = int(left / advice.per_worker_seconds)
    return max(0 if ahead_seconds else 1, min(most, MAX_WORKERS_PER_CALL))

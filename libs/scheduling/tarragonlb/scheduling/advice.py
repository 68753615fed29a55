"""Calls to the placement policy service, and what it answers.

Only some workers may run a step of a queue with advice, and only the service
knows which.  It issues a ticket for each of them, which the start carries.
"""

import enum
from dataclasses import dataclass, replace

from tarragonlb.scheduling.queue import Advice
from tarragonlb.scheduling.worker import WorkerState

StepKey = tuple[str, int, int]

# The most workers that one call may name.
MAX_WORKERS_PER_CALL = 100
# The service takes 32 waiting calls of all daemons together.
MAX_CALLS_OF_DAEMON = 8
# Added to twice the expected time of a call, for the network and a service
# that serves other daemons as well.
CALL_MARGIN_SECONDS = 0.25


class AdviceOutcome(enum.Enum):
    """What became of a call; values are labels of metrics."""

    ANSWERED = 'answered'
    SILENT = 'silent'
    # The service has too many calls waiting.
    BUSY = 'busy'
    FAILED = 'failed'
    # The answer can't be right, so nothing of it is used.
    INVALID = 'invalid'


@dataclass(frozen=True, slots=True)
class NamedWorker:
    """A worker that a call is about, in one incarnation."""

    worker_id: str
    incarnation: int | None


@dataclass(frozen=True, slots=True, kw_only=True)
class AdviceCall:
    """Ask which of some workers may run a step.

    ``timeout_seconds`` allows for the calls of this daemon that the service
    handles first.
    """

    queue: str
    pool: str
    step_key: StepKey
    workers: tuple[NamedWorker, ...]
    advice: Advice
    timeout_seconds: float = 0

    @property
    def expected_seconds(self) -> float:
        """Return how long the service needs for the call alone."""
        advice = self.advice
        return (
            advice.decision_seconds
            + len(self.workers) * advice.per_worker_seconds
        )


@dataclass(frozen=True, slots=True)
class AdviceAnswer:
    """The result of a call; ``tickets`` are pairs of worker id and ticket."""

    outcome: AdviceOutcome
    tickets: tuple[tuple[str, str], ...] = ()
    valid_seconds: float = 0


def check_answer(call: AdviceCall, answer: AdviceAnswer) -> AdviceAnswer:
    """Return the answer, marked as invalid if it can't be right.

    A worker that the call did not name, one that is listed twice, an empty
    ticket and a validity that is not positive all show a faulty service.  What
    it says about a worker is final, so no part of such an answer is used.
    """
    if answer.outcome is not AdviceOutcome.ANSWERED:
        return answer
    named = {worker.worker_id for worker in call.workers}
    listed = {worker_id for worker_id, _ in answer.tickets}
    is_valid = (
        answer.valid_seconds > 0
        and listed <= named
        and len(listed) == len(answer.tickets)
        and all(ticket for _, ticket in answer.tickets)
    )
    return answer if is_valid else AdviceAnswer(AdviceOutcome.INVALID)


class AdviceCallLimit:
    """Bounds the calls of one daemon: one for each queue, and a few in all.

    All owners of a process share it.  The service handles the calls of a VM
    one after the other, so a call may take as long as all before it.
    """

    __slots__ = ('_expected',)

    def __init__(self) -> None:
        """Start with no call under way."""
        self._expected: dict[str, float] = {}

    def admits(self, queue: str) -> bool:
        """Return whether a call for a queue may be sent now."""
        is_full = len(self._expected) >= MAX_CALLS_OF_DAEMON
        return not is_full and queue not in self._expected

    @property
    def ahead_seconds(self) -> float:
        """Return how long the service needs for the calls under way."""
        return sum(self._expected.values())

    def enter(self, call: AdviceCall) -> AdviceCall:
        """Count a call as under way; return it with its timeout."""
        self._expected[call.queue] = call.expected_seconds
        longest = 2 * self.ahead_seconds + CALL_MARGIN_SECONDS
        return replace(call, timeout_seconds=longest)

    def leave(self, queue: str) -> None:
        """Note that the call for a queue has ended."""
        self._expected.pop(queue, None)


def name_worker(worker: WorkerState) -> NamedWorker:
    """Return a worker as a call names it."""
    return NamedWorker(worker.entry.worker_id, worker.incarnation)

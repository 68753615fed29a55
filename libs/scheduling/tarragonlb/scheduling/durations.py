"""Run times of tasks, learned from attempts that ended as done.

Tasks are alike if they run the same image, or, without an image, belong to the
same step of one queue's jobs.  The last runs of each kind give a median, which
a few runs that take many times as long do not move, and a spread.  The declared
estimate of a step may tell its runs from others of the kind, or it may be off
by most of its value; so each kind uses the run times themselves or their ratios
to the declared values, whichever have varied less.

>>> durations = DurationEstimates()
>>> kind = TaskKind('render', 'q', 0)
>>> for _ in range(MIN_RUNS):
...     durations.note_run(kind, declared_seconds=9, seconds=2)
>>> durations.estimate(kind, declared_seconds=1).seconds
2.0
"""

import math
from collections import OrderedDict, deque
from dataclasses import dataclass
from statistics import median
from typing import NamedTuple

from tarragonlb.scheduling.attemptprogress import FULL_PERCENT
from tarragonlb.scheduling.job import Step
from tarragonlb.scheduling.task import TaskState

# Runs of a kind before its estimate replaces the declared one.
MIN_RUNS = 8
# Runs of a kind that are kept.
MAX_RUNS = 48
# Kinds that are kept; those not seen for longest are forgotten.
MAX_KINDS = 512
# An estimate is computed again after this many runs.
RUNS_PER_UPDATE = 4
# Share of the runs that end within the upper estimate.  Below 0.97, as up to 3
# of 100 tasks may take seven times as long as similar ones.
UPPER_QUANTILE = 0.9
# Upper estimate of a declared duration, as a multiple of it.
DECLARED_SPREAD = 2.0
# Progress below this is too coarse to compute a speed from it.
MIN_PERCENT = 10
# Bounds the ratios of times of which one is about 0.
MIN_SECONDS = 0.001


class TaskKind(NamedTuple):
    """Tasks whose run times are taken to be alike."""

    image: str
    queue: str
    number: int


@dataclass(frozen=True, slots=True)
class DurationEstimate:
    """How long a task will run: a median, and a time that few runs exceed."""

    seconds: float
    upper_seconds: float
    is_learned: bool = False


UNKNOWN_DURATION = DurationEstimate(math.inf, math.inf)


def find_kind(step: Step, queue: str, number: int) -> TaskKind:
    """Return the kind of the tasks of step ``number`` of a queue's job."""
    if step.image:
        return TaskKind(step.image, '', 0)
    return TaskKind('', queue, number)


def find_start(task: TaskState) -> float | None:
    """Return when the present attempt began, None if that is not known.

    That is when its start order was answered, or when a report first listed
    it.
    """
    if task.placed_at is None:
        return None
    seen = (task.settled_at, task.progress.first_listed_at)
    return min((at for at in seen if at is not None), default=None)


def estimate_remaining(
    task: TaskState, estimate: DurationEstimate, now: float
) -> float:
    """Return the seconds until an attempt ends, infinity if not known.

    An attempt that has run longer than its upper estimate may be one of those
    that take many times as long, so its end is not known.
    """
    started_at = find_start(task)
    if started_at is None:
        # The start order was not answered yet, or another owner sent it.
        started_at = task.placed_at
    if started_at is None:
        return math.inf
    age = now - started_at
    if age > estimate.upper_seconds:
        return math.inf
    if MIN_PERCENT <= task.progress.percent < FULL_PERCENT:
        ran_seconds = max(task.progress.changed_at - started_at, 0)
        total = ran_seconds * FULL_PERCENT / task.progress.percent
        if total > age:
            return total - age
    likely = estimate.seconds if age <= estimate.seconds else math.inf
    return min(likely, estimate.upper_seconds) - age


class _RunHistory:
    """The last runs of one kind of tasks, and the estimate from them."""

    __slots__ = ('_runs', '_since_update', '_summary')

    def __init__(self) -> None:
        self._runs: deque[tuple[float, float]] = deque(maxlen=MAX_RUNS)
        self._since_update = 0
        self._summary = _Summary(0, 0, is_scaled=False)

    def add(self, declared_seconds: float, seconds: float) -> None:
        self._runs.append((declared_seconds, max(seconds, MIN_SECONDS)))
        self._since_update += 1
        if len(self._runs) < MIN_RUNS:
            return
        if len(self._runs) == MIN_RUNS or self._since_update >= RUNS_PER_UPDATE:
            self._since_update = 0
            self._summary = self._summarize()

    def estimate(self, declared_seconds: float) -> DurationEstimate | None:
        if len(self._runs) < MIN_RUNS:
            return None
        unit = declared_seconds if self._summary.is_scaled else 1.0
        return DurationEstimate(
            self._summary.middle * unit, self._summary.upper * unit, True
        )

    def _summarize(self) -> '_Summary':
        times = sorted(seconds for _, seconds in self._runs)
        if all(declared for declared, _ in self._runs):
            ratios = sorted(
                seconds / declared for declared, seconds in self._runs
            )
            if _measure_error(ratios) < _measure_error(times):
                return _build_summary(ratios, is_scaled=True)
        return _build_summary(times, is_scaled=False)


class DurationEstimates:
    """The run times of all kinds of tasks that one owner has seen end."""

    __slots__ = ('_histories',)

    def __init__(self) -> None:
        """Start without any runs."""
        self._histories: OrderedDict[TaskKind, _RunHistory] = OrderedDict()

    def note_run(
        self, kind: TaskKind, declared_seconds: float, seconds: float
    ) -> None:
        """Learn from an attempt that ended as done after ``seconds``."""
        history = self._histories.get(kind)
        if history is None:
            history = _RunHistory()
            self._histories[kind] = history
            if len(self._histories) > MAX_KINDS:
                self._histories.popitem(last=False)
        self._histories.move_to_end(kind)
        history.add(declared_seconds, seconds)

    def note_done(
        self, step: Step, kind: TaskKind, task: TaskState, now: float
    ) -> None:
        """Learn from a task whose present attempt is reported as done.

        An attempt that may have resumed from a checkpoint tells nothing.
        """
        may_have_resumed = step.saves_checkpoints and task.attempt > 1
        started_at = find_start(task)
        if step.is_permanent or may_have_resumed or started_at is None:
            return
        self.note_run(kind, step.estimate_seconds, now - started_at)

    def estimate(
        self, kind: TaskKind, declared_seconds: float
    ) -> DurationEstimate:
        """Return the estimate of a task that declares its duration.

        It is the declared one until enough runs of the kind were seen.
        """
        history = self._histories.get(kind)
        learned = (
            None if history is None else history.estimate(declared_seconds)
        )
        if learned is not None and learned.seconds:
            return learned
        if not declared_seconds:
            return UNKNOWN_DURATION
        return DurationEstimate(
            declared_seconds, DECLARED_SPREAD * declared_seconds
        )

    def count_kinds(self) -> int:
        """Return how many kinds of tasks are kept."""
        return len(self._histories)


@dataclass(frozen=True, slots=True)
class _Summary:
    """Median and upper quantile of the run times, or of their ratios."""

    middle: float
    upper: float
    is_scaled: bool


def _build_summary(ordered: list[float], *, is_scaled: bool) -> _Summary:
    upper = ordered[int(UPPER_QUANTILE * len(ordered))]
    return _Summary(median(ordered), upper, is_scaled)


def _measure_error(ordered: list[float]) -> float:
    """Return the median distance from the median, as a ratio's logarithm."""
    middle = median(ordered)
    return median(abs(math.log(one / middle)) for one in ordered)

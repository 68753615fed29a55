"""Finds ready steps that have waited for a while without a start, and why.

A step waits from when it has a task that could be started until one of its
tasks starts.  A look at all open jobs once a second finds those that have
waited for long.  What changed since the last look is listed, but for a few
steps only: at a peak thousands wait.  Those that have waited longest come
first, and each reason has its turn.

>>> steps = WaitingSteps()
>>> steps.update(partition, reasons, None, now=10.0)      # doctest: +SKIP
>>> steps.update(partition, reasons, None, now=12.0)      # doctest: +SKIP
WaitChanges(counts={'no room': 1}, waiting=(WaitingStep(job_id='9f', ...)), ...)
"""

from collections import Counter
from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass

from tarragonlb.scheduling.health import count_obstacles
from tarragonlb.scheduling.job import TaskKey
from tarragonlb.scheduling.jobstate import StepState
from tarragonlb.scheduling.partitionstate import PartitionState
from tarragonlb.scheduling.task import TaskPhase
from tarragonlb.scheduling.waitreason import StepKey, WaitReason

# Steps wait this long for a moment of load; longer needs a reason.
MIN_WAIT_SECONDS = 2.0
# Of one look, for steps that wait and for those that no longer do.
MAX_LISTED_STEPS = 5
# A reason that changes back and forth is listed no more often.
MIN_REPEAT_SECONDS = 2.0

NOT_STARTED = frozenset(
    (TaskPhase.WAITING, TaskPhase.PLACED, TaskPhase.STOPPING)
)


@dataclass(frozen=True, slots=True, kw_only=True)
class WaitingStep:
    """A step that waits, or has waited.

    ``phases`` counts its tasks.  ``obstacles`` counts the workers of the pool
    by why they can't take its first waiting task.
    """

    job_id: str
    occurrence: int
    step: int
    tenant: str
    reason: str
    waited_seconds: float
    phases: dict[str, int]
    obstacles: dict[str, int]
    is_job_over: bool


@dataclass(frozen=True, slots=True, kw_only=True)
class WaitChanges:
    """What has changed from one look to the next.

    ``counts`` are the steps that have waited for long, by reason.
    ``unlisted`` counts those left out of ``waiting``, which stay due while they
    wait, and ``unlisted_ends`` those left out of ``ended``.
    """

    counts: dict[str, int]
    waiting: tuple[WaitingStep, ...]
    ended: tuple[WaitingStep, ...]
    unlisted: int
    unlisted_ends: int


class _Wait:
    """A wait of one step; ``listed_for`` is the reason that was listed last.

    ``started`` is the sum of the attempts that were running or done.
    """

    __slots__ = ('listed_at', 'listed_for', 'reason', 'since', 'started')

    def __init__(self, started: int, now: float) -> None:
        self.since = now
        self.started = started
        self.reason = WaitReason.NOT_TRIED
        self.listed_for: WaitReason | None = None
        self.listed_at = now

    def is_long(self, now: float) -> bool:
        """Return whether the wait is long enough to need a reason."""
        return now - self.since >= MIN_WAIT_SECONDS

    def is_due(self, now: float) -> bool:
        """Return whether the wait, or its new reason, is to be listed."""
        if self.listed_for is None:
            return self.is_long(now)
        is_new = self.reason is not self.listed_for
        return is_new and now - self.listed_at >= MIN_REPEAT_SECONDS


class WaitingSteps:
    """Remembers since when each ready step of a partition has waited."""

    __slots__ = ('_waits',)

    def __init__(self) -> None:
        """Start without waiting steps."""
        self._waits: dict[StepKey, _Wait] = {}

    def update(
        self,
        partition: PartitionState,
        reasons: Mapping[StepKey, WaitReason],
        stall: WaitReason | None,
        now: float,
    ) -> WaitChanges:
        """Look at all open jobs; ``reasons`` are those of the last rounds.

        ``stall`` is why the owner places nothing at all, None if it does.
        """
        former, self._waits = self._waits, {}
        for key, step_state in _list_ready(partition):
            started = _sum_started(step_state)
            wait = former.get(key)
            if wait is None or started > wait.started:
                wait = _Wait(started, now)
            wait.started = started
            wait.reason = _find_reason(step_state, reasons.get(key), stall)
            self._waits[key] = wait
        ended = [
            (key, wait)
            for key, wait in former.items()
            if wait.listed_for and self._waits.get(key) is not wait
        ]
        due = self._choose_due(now)
        listed = due[:MAX_LISTED_STEPS]
        for _, wait in listed:
            wait.listed_for = wait.reason
            wait.listed_at = now
        return WaitChanges(
            counts=self._count(now),
            waiting=_describe_all(partition, listed, now),
            ended=_describe_all(partition, ended[:MAX_LISTED_STEPS], now),
            unlisted=len(due) - len(listed),
            unlisted_ends=max(len(ended) - MAX_LISTED_STEPS, 0),
        )

    def list_longest(self) -> list[str]:
        """Return the jobs of the steps that have waited longest."""
        keys = sorted(self._waits, key=lambda key: self._waits[key].since)
        return list(dict.fromkeys(key[0] for key in keys[:MAX_LISTED_STEPS]))

    def _choose_due(self, now: float) -> list[tuple[StepKey, _Wait]]:
        """Return the waits to list, one of each reason before the next."""
        due = [item for item in self._waits.items() if item[1].is_due(now)]
        due.sort(key=lambda item: item[1].since)
        turns: Counter[WaitReason] = Counter()
        ranked = []
        for key, wait in due:
            ranked.append((turns[wait.reason], key, wait))
            turns[wait.reason] += 1
        ranked.sort(key=lambda item: item[0])
        return [(key, wait) for _, key, wait in ranked]

    def _count(self, now: float) -> dict[str, int]:
        return dict(
            Counter(
                wait.reason.value
                for wait in self._waits.values()
                if wait.is_long(now)
            )
        )


def _list_ready(
    partition: PartitionState,
) -> Iterator[tuple[StepKey, StepState]]:
    """Yield the ready steps with a task that is not started."""
    for job_id, state in partition.open_jobs.items():
        for occurrence, number, step_state in state.list_steps():
            if _has_unstarted(step_state) and state.is_ready(
                occurrence, number
            ):
                yield (job_id, occurrence, number), step_state


def _has_unstarted(step_state: StepState) -> bool:
    if step_state.is_done:
        return False
    return any(task.phase in NOT_STARTED for task in step_state.tasks)


def _sum_started(step_state: StepState) -> int:
    return sum(
        task.attempt
        for task in step_state.tasks
        if task.phase not in NOT_STARTED
    )


def _find_reason(
    step_state: StepState,
    noted: WaitReason | None,
    stall: WaitReason | None,
) -> WaitReason:
    phases = {task.phase for task in step_state.tasks}
    if TaskPhase.WAITING in phases:
        return stall or noted or WaitReason.NOT_TRIED
    if TaskPhase.PLACED not in phases:
        return WaitReason.FORMER_ATTEMPT
    is_stored = stall is not WaitReason.STORING
    return WaitReason.UNANSWERED if is_stored else WaitReason.STORING


def _describe_all(
    partition: PartitionState,
    waits: Iterable[tuple[StepKey, _Wait]],
    now: float,
) -> tuple[WaitingStep, ...]:
    return tuple(_describe(partition, key, wait, now) for key, wait in waits)


def _describe(
    partition: PartitionState, key: StepKey, wait: _Wait, now: float
) -> WaitingStep:
    job_id, occurrence, number = key
    state = partition.jobs.get(job_id)
    tasks = [] if state is None else state.occurrences[occurrence][number].tasks
    waiting = [
        index
        for index, task in enumerate(tasks)
        if task.phase is TaskPhase.WAITING
    ]
    obstacles: dict[str, int] = {}
    if waiting and job_id in partition.open_jobs:
        obstacles = count_obstacles(partition, TaskKey(*key, waiting[0]))
    return WaitingStep(
        job_id=job_id,
        occurrence=occurrence,
        step=number,
        tenant='' if state is None else state.job.tenant,
        reason=wait.reason.value,
        waited_seconds=round(now - wait.since, 1),
        phases=dict(Counter(task.phase.name.lower() for task in tasks)),
        obstacles=obstacles,
        is_job_over=job_id not in partition.open_jobs,
    )

"""Jobs as clients submit them: their steps and the resources of a task.

All types are immutable.  The progress of a job is in
``tarragonlb.scheduling.jobstate``.
"""

from dataclasses import dataclass, field
from graphlib import TopologicalSorter
from typing import NamedTuple

from tarragonlb.model.decoding import Amount, Count, Integer

# Tasks of all steps of a new job.  Its progress, with a row for each of them,
# must fit into one record of the store (256 KiB).
MAX_TASKS = 2_000
# Of a stored job, which may have been accepted under another limit.
MAX_STORED_TASKS = 100_000
MS_PER_SECOND = 1000.0


@dataclass(frozen=True, slots=True)
class Demand:
    """Resources that one task occupies on its worker."""

    cpu_millicores: Integer = 0
    memory_mb: Integer = 0
    gpus: Integer = 0


@dataclass(frozen=True, slots=True, kw_only=True)
class Step:
    """A number of identical tasks, which wait for earlier steps.

    ``scavenges`` marks best-effort tasks, which use the CPU time that others
    leave: no CPU is reserved for them, only memory and GPUs.
    ``disruption_budget`` is how many tasks may be unavailable at a time because
    of the scheduler; None is no limit.
    """

    width: Count
    demand: Demand = field(default_factory=Demand)
    estimate_seconds: Amount = 0
    prerequisites: tuple[Count, ...] = ()
    data_rack: str = ''
    required_label: str = ''
    max_per_worker: Count = 0
    is_gang: bool = False
    wants_one_rack: bool = False
    saves_checkpoints: bool = False
    allows_copies: bool = False
    is_permanent: bool = False
    image: str = ''
    latency_target_ms: Count = 0
    scavenges: bool = False
    disruption_budget: Count | None = None


@dataclass(frozen=True, slots=True)
class SpecProblem:
    """Why a job can't be run: the number of a step, and a field of it.

    ``step`` is None if the reason is in the job as a whole.
    """

    step: int | None
    field: str
    reason: str


@dataclass(frozen=True, slots=True, kw_only=True)
class JobSpec:
    """The steps of a job, and when they run.

    A job with ``repetitions`` runs its steps that many times, the first time
    at ``first_due_ms`` (Unix milliseconds), then every ``interval_ms``.
    ``max_attempts`` is how often a task may fail, by the configuration of the
    job's queue when the job was accepted; 0 in records that don't say so.
    """

    payload: str
    steps: tuple[Step, ...]
    first_due_ms: Integer = 0
    interval_ms: Count = 0
    repetitions: Count = 0
    max_attempts: Count = 0

    def find_problem(self, max_tasks: int) -> 'SpecProblem | None':
        """Return the first reason why the job can't be run, None if it can.

        >>> JobSpec(payload='', steps=(Step(width=0),)).find_problem(9).field
        'width'
        """
        if not self.steps:
            return SpecProblem(None, 'steps', 'a job has at least one step')
        for number, step in enumerate(self.steps):
            problem = _find_step_problem(number, step, max_tasks)
            if problem is not None:
                return problem
        tasks = sum(step.width for step in self.steps)
        if tasks > max_tasks:
            reason = f'{tasks} tasks are more than {max_tasks}'
            return SpecProblem(None, 'steps', reason)
        return None

    @property
    def occurrence_count(self) -> int:
        """Return how many times the steps run, at least once."""
        return max(self.repetitions, 1)

    def compute_critical_paths(self) -> tuple[float, ...]:
        """Return, for each step, the seconds from its start to the job's end.

        That is the length of the critical path from the step: the longest
        chain of estimates that begins with it.

        >>> first, then = Step(width=1, estimate_seconds=2), Step(
        ...     width=1, estimate_seconds=3, prerequisites=(0,))
        >>> JobSpec(payload='', steps=(first, then)).compute_critical_paths()
        (5, 3)
        """
        followers: dict[int, set[int]] = {
            number: set() for number in range(len(self.steps))
        }
        for number, step in enumerate(self.steps):
            for earlier in step.prerequisites:
                followers[earlier].add(number)
        lengths: dict[int, float] = {}
        for number in TopologicalSorter(followers).static_order():
            after = (lengths[follower] for follower in followers[number])
            own = self.steps[number].estimate_seconds
            lengths[number] = own + max(after, default=0)
        return tuple(lengths[number] for number in sorted(lengths))

    def is_due(self, occurrence: int, wall_ms: float) -> bool:
        """Return whether an occurrence may start at a wall clock time."""
        if not self.repetitions:
            return True
        return wall_ms >= self.first_due_ms + occurrence * self.interval_ms


@dataclass(frozen=True, slots=True, kw_only=True)
class Job:
    """An accepted job, its queue and the pool that it runs on.

    ``handed_in_ms`` is when the job was submitted, in Unix milliseconds by the
    clock of the daemon that accepted it; 0 if that is not known.  ``tenant`` is
    empty for a job of no tenant.
    """

    job_id: str
    queue: str
    pool: str
    spec: JobSpec
    handed_in_ms: float = 0
    tenant: str = ''


class TaskKey(NamedTuple):
    """Identifies a task by its job, occurrence, step and position."""

    job_id: str
    occurrence: int
    step: int
    position: int

    def __str__(self) -> str:
        """Return the key as written in logs and on the wire."""
        return f'{self.job_id}.{self.occurrence}.{self.step}.{self.position}'


@dataclass(frozen=True, slots=True)
class Moment:
    """A point in time: monotonic seconds, and Unix milliseconds."""

    seconds: float
    wall_ms: float = 0


def _find_step_problem(
    number: int, step: Step, max_tasks: int
) -> SpecProblem | None:
    if not 0 < step.width <= max_tasks:
        return SpecProblem(number, 'width', f'{step.width} is out of range')
    demand = step.demand
    if min(demand.cpu_millicores, demand.memory_mb, demand.gpus) < 0:
        return SpecProblem(number, 'demand', 'a demand is negative')
    for earlier in step.prerequisites:
        if earlier >= number:
            reason = f'{earlier} is no earlier step'
            return SpecProblem(number, 'prerequisites', reason)
    return None

"""What clients ask for: jobs, their steps, and what a task needs.

These are values.  What has become of a job is kept apart, in
``tarragonlb.scheduling.jobstate``.
"""

from dataclasses import dataclass, field
from graphlib import TopologicalSorter
from typing import NamedTuple

MS_PER_SECOND = 1000.0


@dataclass(frozen=True, slots=True)
class Demand:
    """What one task occupies on its worker."""

    cpu_millicores: int = 0
    memory_mb: int = 0
    gpus: int = 0


@dataclass(frozen=True, slots=True, kw_only=True)
class Step:
    """A number of equal tasks, which wait for earlier steps.

    ``scavenges`` says that its processor share is what others leave unused,
    so only memory is reserved.  ``disruption_budget`` is how many tasks may be
    away at a time because of us; None means any number.
    """

    width: int
    demand: Demand = field(default_factory=Demand)
    estimate_seconds: float = 0
    prerequisites: tuple[int, ...] = ()
    data_rack: str = ''
    required_label: str = ''
    max_per_worker: int = 0
    is_gang: bool = False
    wants_one_rack: bool = False
    saves_checkpoints: bool = False
    allows_copies: bool = False
    is_permanent: bool = False
    image: str = ''
    latency_target_ms: int = 0
    scavenges: bool = False
    disruption_budget: int | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class JobSpec:
    """The work of a job.

    A job with ``repetitions`` runs its steps that many times, the first time
    at ``first_due_ms`` (Unix milliseconds), then every ``interval_ms``.
    """

    payload: str
    steps: tuple[Step, ...]
    first_due_ms: int = 0
    interval_ms: int = 0
    repetitions: int = 0

    @property
    def occurrence_count(self) -> int:
        """Return how often the steps run, at least once."""
        return max(self.repetitions, 1)

    def compute_critical_paths(self) -> tuple[float, ...]:
        """Return for each step the seconds from its start to the end.

        That is the longest chain of estimates that begins with the step.

        >>> first, then = Step(width=1, estimate_seconds=2), Step(
        ...     width=1, estimate_seconds=3, prerequisites=(0,))
        >>> JobSpec(payload='', steps=(first, then)).measure_chains()
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
        """Return whether an occurrence may start at a time of day."""
        if not self.repetitions:
            return True
        return wall_ms >= self.first_due_ms + occurrence * self.interval_ms


@dataclass(frozen=True, slots=True, kw_only=True)
class Job:
    """An accepted job, the queue it came through and the pool it runs on.

    ``handed_in_ms`` is the time of day of the daemon that took it, in Unix
    milliseconds; 0 where that is not known.
    """

    job_id: str
    queue: str
    pool: str
    spec: JobSpec
    handed_in_ms: float = 0


class TaskKey(NamedTuple):
    """The place of a task: its job, occurrence, step and position."""

    job_id: str
    occurrence: int
    step: int
    position: int

    def __str__(self) -> str:
        """Return the key as it stands in logs and on the wire."""
        return f'{self.job_id}.{self.occurrence}.{self.step}.{self.position}'


@dataclass(frozen=True, slots=True)
class Moment:
    """The present: seconds on a clock that never jumps, and time of day."""

    seconds: float
    wall_ms: float = 0

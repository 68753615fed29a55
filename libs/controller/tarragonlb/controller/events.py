"""What the owner of a partition is told by its other tasks."""

from dataclasses import dataclass

from tarragonlb.scheduling.orders import (
    OrderResult,
    PaceOrder,
    SchedulingDecision,
    StartOrder,
    StopOrder,
)
from tarragonlb.scheduling.worker import WorkerReport


@dataclass(frozen=True, slots=True)
class JobsChanged:
    """Records of these jobs were read."""

    job_ids: list[str]


@dataclass(frozen=True, slots=True)
class ViewChanged:
    """The configuration, the workers or the maintenance board changed."""


@dataclass(frozen=True, slots=True)
class Reported:
    """A worker answered a look."""

    report: WorkerReport


@dataclass(frozen=True, slots=True)
class Silent:
    """A worker did not answer; its leases end at ``lease_until`` seconds."""

    worker_id: str
    lease_until: float


@dataclass(frozen=True, slots=True)
class LifeEnded:
    """Another worker answers at the address of this one."""

    worker_id: str


@dataclass(frozen=True, slots=True)
class Answered:
    """What became of an order."""

    order: StartOrder | StopOrder | PaceOrder
    result: OrderResult


@dataclass(frozen=True, slots=True)
class RoundStored:
    """The records of a round lie in the store."""

    round: SchedulingDecision


@dataclass(frozen=True, slots=True)
class TermEnded:
    """A later owner was seen, by a worker or by the store."""

    reason: str


Event = (
    JobsChanged
    | ViewChanged
    | Reported
    | Silent
    | LifeEnded
    | Answered
    | RoundStored
    | TermEnded
)

"""The policies that decide how waiting tasks are placed.

A scheduling round tries the ready steps in the order that the ``JobOrder``
arranges.  The ``StartLimit`` says whether a task may start now, whatever room
there is; the filters rule out workers; the placement policy chooses one of the
others.
"""

import abc
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field

from tarragonlb.scheduling.job import Moment
from tarragonlb.scheduling.lookaheadrecord import LookAheadRecord
from tarragonlb.scheduling.partitionstate import PartitionState
from tarragonlb.scheduling.placement import PlacementPolicy
from tarragonlb.scheduling.readystep import ReadyStep
from tarragonlb.scheduling.waitreason import WaitReason
from tarragonlb.scheduling.worker import WorkerState


class JobOrder(abc.ABC):
    """Arranges the ready steps of a round."""

    __slots__ = ()

    @abc.abstractmethod
    def arrange(
        self, ready: Iterable[ReadyStep], partition: PartitionState, now: Moment
    ) -> Iterator[ReadyStep]:
        """Yield the steps in the order in which they are to be placed."""

    @abc.abstractmethod
    def note_placed(self, ready: ReadyStep) -> None:
        """Note that a task of a step was placed in this round."""


class UrgencyOrder(JobOrder):
    """Places the steps in the order of their ranks."""

    __slots__ = ()

    def arrange(
        self, ready: Iterable[ReadyStep], partition: PartitionState, now: Moment
    ) -> Iterator[ReadyStep]:
        """Yield the steps by rank."""
        yield from sorted(ready, key=_get_rank)

    def note_placed(self, ready: ReadyStep) -> None:
        """Ignore it: the order does not depend on what was placed."""


class StartLimit(abc.ABC):
    """Limits which tasks may start, apart from the room on workers."""

    __slots__ = ()

    @abc.abstractmethod
    def allows(
        self, ready: ReadyStep, count: int, partition: PartitionState
    ) -> bool:
        """Return whether ``count`` more tasks of a step may start now."""


class NoStartLimit(StartLimit):
    """Lets every task start."""

    __slots__ = ()

    def allows(
        self, ready: ReadyStep, count: int, partition: PartitionState
    ) -> bool:
        """Return true."""
        return True


class WorkerFilter(abc.ABC):
    """Rules out workers for the tasks of a step.

    ``wait_reason`` is why a step waits for which all workers are ruled out.
    """

    __slots__ = ()
    wait_reason = WaitReason.RESERVED

    @abc.abstractmethod
    def begin_round(self, partition: PartitionState, now: float) -> None:
        """Prepare for a round that begins at ``now`` seconds."""

    @abc.abstractmethod
    def may_use(
        self, worker: WorkerState, ready: ReadyStep, now: float
    ) -> bool:
        """Return whether a worker with room may take a task of a step."""

    @abc.abstractmethod
    def note_waiting(self, ready: ReadyStep, now: float) -> None:
        """Note that tasks of a step found no worker in this round."""

    def find_ticket(
        self, worker: WorkerState, ready: ReadyStep, now: float
    ) -> str:
        """Return the ticket that a start of a task carries, empty for none."""
        return ''


@dataclass(frozen=True, slots=True, kw_only=True)
class SchedulingPolicies:
    """The policies of one owner, for one term.

    ``look_ahead`` is what those that look ahead learn, None without any.
    ``bounds_pending_starts`` limits how many tasks are placed whose orders are
    not answered yet; the caller then has to pass the result of each order.
    """

    placement: PlacementPolicy
    order: JobOrder = field(default_factory=UrgencyOrder)
    limit: StartLimit = field(default_factory=NoStartLimit)
    filters: tuple[WorkerFilter, ...] = ()
    look_ahead: LookAheadRecord | None = None
    bounds_pending_starts: bool = False


def _get_rank(ready: ReadyStep) -> tuple[int, bool, bool, bool, float]:
    return ready.rank

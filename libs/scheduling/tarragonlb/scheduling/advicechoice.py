"""Chooses the workers that a call to the placement policy service names.

Each worker named costs time, so a call names as few as the tasks of the step
need to start without waiting: workers with room first, then those that will
have room soon.  How many of them the service will allow is estimated from its
answers; if it allows too few, the next call names more.
"""

import enum
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from tarragonlb.scheduling.advice import StepKey
from tarragonlb.scheduling.job import Demand, Step
from tarragonlb.scheduling.placement import is_eligible
from tarragonlb.scheduling.readystep import ReadyStep
from tarragonlb.scheduling.ticketbook import Standing, TicketBook
from tarragonlb.scheduling.worker import WorkerState


class AskFor(enum.Enum):
    """Which room counts for a step.

    NOW: the room that there is.  SOON: also the room once tasks have ended.
    NEXT: as SOON, for a step that is not ready yet; what other such steps will
    take by their tickets does not count.
    """

    NOW = 'now'
    SOON = 'soon'
    NEXT = 'next'


@dataclass(frozen=True, slots=True)
class Offer:
    """A worker that could be named, and how many tasks may start there.

    Both counts are multiplied by the chance that the service allows it.
    """

    room: 'WorkerRoom'
    standing: Standing
    tasks_now: float
    tasks_soon: float

    @property
    def worker(self) -> WorkerState:
        """Return the worker."""
        return self.room.worker


class WorkerRoom:
    """The room of one worker now, and once its tasks that end have ended."""

    __slots__ = ('_claimed', '_now', '_soon', 'first_end', 'worker')

    def __init__(self, worker: WorkerState, now: float) -> None:
        """Measure the room at ``now`` seconds."""
        self.worker = worker
        self._claimed = Demand()
        self._now = Demand(
            worker.free_cpu, worker.free_memory, worker.free_gpus
        )
        ending = [
            attachment
            for attachment in worker.attached.values()
            if not attachment.is_permanent
        ]
        self._soon = Demand(
            worker.free_cpu + sum(one.demand.cpu_millicores for one in ending),
            worker.free_memory + sum(one.demand.memory_mb for one in ending),
            worker.free_gpus + sum(one.demand.gpus for one in ending),
        )
        # When the first task will end, by its estimate.
        self.first_end = min(
            (
                (one.task.placed_at or now) + one.step.estimate_seconds
                for one in ending
            ),
            default=now,
        )
        is_blocked = worker.is_kept_by_suspect(now)
        if is_blocked or not worker.can_accept_on_probation(
            now, is_retry=False
        ):
            self._now = Demand()

    def claim(self, step: Step, tasks: int) -> None:
        """Keep room for tasks of a step that is ready next."""
        demand, claimed = step.demand, self._claimed
        cpu_millicores = 0 if step.scavenges else demand.cpu_millicores
        self._claimed = Demand(
            claimed.cpu_millicores + tasks * cpu_millicores,
            claimed.memory_mb + tasks * demand.memory_mb,
            claimed.gpus + tasks * demand.gpus,
        )

    def count_tasks(
        self, step: Step, key: StepKey, *, with_claims: bool
    ) -> tuple[int, int]:
        """Return how many tasks of a step fit now, and soon."""
        if not is_eligible(self.worker, step, key):
            return 0, 0
        most = step.width
        if step.max_per_worker:
            attached = self.worker.count_step_tasks(key)
            most = min(most, step.max_per_worker - attached)
        claimed = self._claimed if with_claims else Demand()
        return (
            _count_fitting(step, _subtract(self._now, claimed), most),
            _count_fitting(step, _subtract(self._soon, claimed), most),
        )


class WorkerChoice:
    """Chooses among the usable workers of one pool, in one round."""

    __slots__ = ('_book', '_now', '_rooms')

    def __init__(
        self, workers: Iterable[WorkerState], book: TicketBook, now: float
    ) -> None:
        """Measure the usable ones among the pool's workers."""
        self._book = book
        self._now = now
        self._rooms = [
            WorkerRoom(worker, now) for worker in workers if worker.is_usable()
        ]

    def choose(
        self,
        ready: ReadyStep,
        allowed_share: float,
        until: float,
        ask_for: AskFor,
    ) -> list[WorkerState]:
        """Return the workers to name, none if the step has its tickets.

        Tickets that are not valid ``until`` a time are to be renewed.
        """
        held: list[Offer] = []
        offers: list[Offer] = []
        for offer in self._list_offers(ready, allowed_share, until, ask_for):
            is_held = offer.standing is Standing.HELD
            (held if is_held else offers).append(offer)
        if ask_for is AskFor.NEXT:
            _claim(held, ready)
        held_now = sum(offer.tasks_now for offer in held)
        needed = ready.step_state.count_waiting()
        if ready.key in self._book.unplaced and held_now >= needed:
            # The tickets are on workers that the tasks could not use.
            needed += int(held_now)
            held = [offer for offer in held if offer.tasks_now]
        chosen = _take(
            sorted(offers, key=lambda offer: _rank_now(offer, ready.step)),
            needed - held_now,
            lambda offer: offer.tasks_now,
        )
        if ask_for is not AskFor.NOW:
            chosen += _choose_soon(offers, held, chosen, needed)
        return [offer.worker for offer in chosen]

    def _list_offers(
        self,
        ready: ReadyStep,
        allowed_share: float,
        until: float,
        ask_for: AskFor,
    ) -> Iterable[Offer]:
        for room in self._rooms:
            tasks_now, tasks_soon = room.count_tasks(
                ready.step, ready.key, with_claims=ask_for is AskFor.NEXT
            )
            if not tasks_soon:
                continue
            standing = self._book.assess(room.worker, ready.key, until)
            if standing is not Standing.DENIED:
                is_sure = standing is not Standing.UNASKED
                chance = 1 if is_sure else allowed_share
                yield Offer(
                    room,
                    standing,
                    tasks_now * chance,
                    tasks_soon * chance,
                )


def _choose_soon(
    offers: list[Offer], held: list[Offer], chosen: list[Offer], needed: int
) -> list[Offer]:
    """Return workers to name besides the chosen ones, that will have room."""
    counted = [*held, *chosen]
    if sum(offer.tasks_now for offer in counted) >= needed:
        return []
    rest = [offer for offer in offers if offer not in chosen]
    rest.sort(
        key=lambda offer: (
            offer.standing is Standing.UNASKED,
            offer.room.first_end,
        )
    )
    return _take(
        rest,
        needed - sum(offer.tasks_soon for offer in counted),
        lambda offer: offer.tasks_soon,
    )


def _claim(held: list[Offer], ready: ReadyStep) -> None:
    needed = ready.step_state.count_waiting()
    ranked = sorted(held, key=lambda offer: _rank_now(offer, ready.step))
    for offer in ranked:
        tasks = min(needed, int(offer.tasks_now or offer.tasks_soon))
        offer.room.claim(ready.step, tasks)
        needed -= tasks


def _subtract(room: Demand, claimed: Demand) -> Demand:
    return Demand(
        room.cpu_millicores - claimed.cpu_millicores,
        room.memory_mb - claimed.memory_mb,
        room.gpus - claimed.gpus,
    )


def _take(
    offers: Iterable[Offer], needed: float, count: Callable[[Offer], float]
) -> list[Offer]:
    taken: list[Offer] = []
    for offer in offers:
        if needed <= 0:
            break
        if count(offer):
            taken.append(offer)
            needed -= count(offer)
    return taken


def _rank_now(offer: Offer, step: Step) -> tuple[bool, bool, int]:
    """Return the order in which placement prefers the workers."""
    return (
        offer.standing is Standing.UNASKED,
        not offer.worker.entry.has_local_data(step),
        offer.worker.free_cpu,
    )


def _count_fitting(step: Step, room: Demand, most: int) -> int:
    demand = step.demand
    cpu_millicores = 0 if step.scavenges else demand.cpu_millicores
    for needed, free in (
        (cpu_millicores, room.cpu_millicores),
        (demand.memory_mb, room.memory_mb),
        (demand.gpus, room.gpus),
    ):
        if needed:
            most = min(most, free // needed)
    return max(most, 0)

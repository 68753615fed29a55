"""Chooses the workers to keep free for a step that waits for room.

Each worker that can hold a task of the step has room for it now or when enough
of its attempts have ended.  The plan takes the soonest of these times for the
waiting tasks.  Other tasks may run on a worker of the plan if they end before
it is needed, or if they fit beside the tasks that it is kept for.
"""

from collections import Counter
from collections.abc import Iterable

from tarragonlb.scheduling.forecast import EndForecast
from tarragonlb.scheduling.job import Demand, Step
from tarragonlb.scheduling.placement import is_eligible
from tarragonlb.scheduling.readystep import ReadyStep
from tarragonlb.scheduling.worker import WorkerState

NOTHING = Demand()


class Hold:
    """A worker that is kept for tasks that start there from ``start_at`` on.

    ``capacity`` is that of the worker when it was chosen.  ``has_refused``
    means that a task was kept off since the last round.
    """

    __slots__ = (
        '_fingerprint',
        '_free',
        '_needed',
        '_needed_from',
        '_spare',
        'capacity',
        'has_refused',
        'start_at',
    )

    def __init__(
        self,
        worker: WorkerState,
        start_at: float,
        needed_from: float,
        needed: Demand,
    ) -> None:
        """Keep ``needed`` in all, the whole of it from ``needed_from`` on."""
        self.start_at = start_at
        self.capacity = worker.entry.capacity
        self.has_refused = False
        self._needed = needed
        self._needed_from = needed_from
        self._fingerprint = (0, 0, 0)
        self._free = NOTHING
        self._spare = NOTHING

    def refresh(self, worker: WorkerState, forecast: EndForecast) -> None:
        """Compute what may run beside the kept tasks, if the worker changed."""
        fingerprint = (
            len(worker.attached),
            worker.last_end_number,
            worker.free_cpu,
        )
        if fingerprint == self._fingerprint:
            return
        self._fingerprint = fingerprint
        self._free = _get_free(worker)
        self._spare = _add(self._free, self._needed, -1)
        for at, freed in forecast.list_ends(worker):
            if at <= self._needed_from:
                self._spare = _add(self._spare, freed, 1)

    def has_room_beside(self, worker: WorkerState, step: Step) -> bool:
        """Return whether a task fits beside the tasks it is kept for.

        What was started in this round counts as beside them.
        """
        demand, free, spare = step.demand, self._free, self._spare
        cpu_millicores = 0 if step.scavenges else demand.cpu_millicores
        taken_cpu = free.cpu_millicores - worker.free_cpu
        taken_mb = free.memory_mb - worker.free_memory
        taken_gpus = free.gpus - worker.free_gpus
        return (
            cpu_millicores + taken_cpu <= spare.cpu_millicores
            and demand.memory_mb + taken_mb <= spare.memory_mb
            and demand.gpus + taken_gpus <= spare.gpus
        )


def plan_holds(
    ready: ReadyStep,
    workers: Iterable[WorkerState],
    forecast: EndForecast,
    latest_start: float,
    max_workers: int,
) -> dict[str, Hold]:
    """Return the workers to keep for the waiting tasks of a step, by id.

    Empty if no worker will have room by ``latest_start``, or too few for the
    tasks of a gang.
    """
    rooms = [
        _Room(worker, ready, forecast, latest_start)
        for worker in workers
        if can_ever_hold(worker, ready)
        and not (worker.failures or worker.suspects)
    ]
    slots = [(at, room) for room in rooms for at in room.starts]
    slots.sort(key=_get_time)
    count = ready.step_state.count_waiting()
    is_gang = ready.step.is_gang
    if not slots or (is_gang and len(slots) < count):
        return {}
    chosen: dict[_Room, float] = {}
    for start_at, room in slots[:count]:
        if is_gang:
            chosen[room] = slots[count - 1][0]
        elif len(chosen) < max_workers:
            chosen.setdefault(room, start_at)
    used = Counter(room for _, room in slots[:count])
    return {
        room.worker.entry.worker_id: room.hold(start_at, used[room])
        for room, start_at in chosen.items()
    }


def can_ever_hold(worker: WorkerState, ready: ReadyStep) -> bool:
    """Return whether an empty worker would have room for a task of a step."""
    demand, capacity = ready.step.demand, worker.entry.capacity
    return (
        demand.cpu_millicores <= capacity.cpu_millicores
        and demand.memory_mb <= capacity.memory_mb
        and demand.gpus <= capacity.gpus
        and is_eligible(worker, ready.step, ready.key)
    )


class _Room:
    """When a worker has room for one, two and more tasks of a step."""

    __slots__ = ('_demand', '_forecast', 'starts', 'worker')

    def __init__(
        self,
        worker: WorkerState,
        ready: ReadyStep,
        forecast: EndForecast,
        latest_start: float,
    ) -> None:
        self.worker = worker
        self._forecast = forecast
        self._demand = ready.step.demand
        self.starts: list[float] = []
        count = ready.step_state.count_waiting()
        limit = ready.step.max_per_worker
        if limit:
            count = min(count, limit - worker.count_step_tasks(ready.key))
        free = _get_free(worker)
        for at, freed in ((forecast.now, NOTHING), *forecast.list_ends(worker)):
            if at > latest_start:
                break
            free = _add(free, freed, 1)
            while len(self.starts) < count and _covers(free, self._demand):
                free = _add(free, self._demand, -1)
                self.starts.append(at)

    def hold(self, start_at: float, count: int) -> Hold:
        """Return what is kept for ``count`` tasks from ``start_at`` on."""
        demand = self._demand
        needed = Demand(
            demand.cpu_millicores * count,
            demand.memory_mb * count,
            demand.gpus * count,
        )
        needed_from = max(start_at, self.starts[count - 1])
        hold = Hold(self.worker, start_at, needed_from, needed)
        hold.refresh(self.worker, self._forecast)
        return hold


def _get_free(worker: WorkerState) -> Demand:
    return Demand(worker.free_cpu, worker.free_memory, worker.free_gpus)


def _add(total: Demand, part: Demand, sign: int) -> Demand:
    return Demand(
        total.cpu_millicores + sign * part.cpu_millicores,
        total.memory_mb + sign * part.memory_mb,
        total.gpus + sign * part.gpus,
    )


def _covers(free: Demand, demand: Demand) -> bool:
    return (
        free.cpu_millicores >= demand.cpu_millicores
        and free.memory_mb >= demand.memory_mb
        and free.gpus >= demand.gpus
    )


def _get_time(slot: tuple[float, _Room]) -> float:
    return slot[0]

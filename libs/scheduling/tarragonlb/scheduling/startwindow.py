"""Limits how many tasks are placed whose start orders are not answered yet.

Placing a task takes an owner microseconds, starting it a call to a worker.  An
owner with little processor time could place all waiting tasks at once and would
then send their orders for tens of seconds.  Meanwhile the room of the workers
would be taken by tasks that do not run, more urgent tasks would wait behind all
of them, and a successor would have to bar each attempt before starting it anew.

So only as many tasks are placed as are soon started.  As long as orders are
answered within a target, more of them are allowed, and once they take longer,
fewer are.

>>> window = StartWindow(partition, is_bounded=True)   # doctest: +SKIP
>>> window.begin_round()                               # doctest: +SKIP
>>> window.allows(1, is_gang=False)                    # doctest: +SKIP
True
"""

from collections.abc import Iterable

from tarragonlb.scheduling.job import TaskKey
from tarragonlb.scheduling.orders import OrderResult, StartOrder
from tarragonlb.scheduling.partitionstate import PartitionState
from tarragonlb.scheduling.task import TaskPhase

INITIAL_STARTS = 64
DECREASE_FACTOR = 0.7
# With the starts on workers that do not answer, so many times the size of the
# window may be pending: an overloaded owner takes its own delay for silence.
MAX_PENDING_FACTOR = 4


class _PendingStart:
    """A placed task whose order is not answered.

    ``queued_at`` is when its order was queued for its worker, None while the
    placement is being stored.
    """

    __slots__ = ('queued_at', 'worker_id')

    def __init__(self, worker_id: str) -> None:
        self.worker_id = worker_id
        self.queued_at: float | None = None


class StartWindow:
    """The starts of one owner that are under way, and how many may be.

    ``size`` is the number that is allowed.  A worker that leaves orders
    unanswered uses no processor time, so its starts do not count, as far as
    there are few of them.
    """

    __slots__ = (
        '_counted',
        '_is_bounded',
        '_limited_pools',
        '_lowered_at',
        '_partition',
        '_pending',
        '_unresponsive',
        'size',
    )

    def __init__(self, partition: PartitionState, *, is_bounded: bool) -> None:
        """Start without orders under way; unless ``is_bounded``, allow all."""
        self._is_bounded = is_bounded
        settings = partition.settings
        self.size = min(INITIAL_STARTS, settings.max_pending_starts)
        self._partition = partition
        self._pending: dict[tuple[TaskKey, int], _PendingStart] = {}
        self._counted = 0
        self._limited_pools: set[str] = set()
        self._lowered_at = 0.0
        self._unresponsive: set[str] = set()

    def begin_round(self) -> None:
        """Forget starts that were answered, or whose attempts are over."""
        if not self._is_bounded:
            return
        self._pending = {
            attempt: start
            for attempt, start in self._pending.items()
            if self._is_pending(attempt, start)
        }
        self._unresponsive.intersection_update(
            start.worker_id for start in self._pending.values()
        )
        self._counted = sum(map(self._counts, self._pending.values()))

    def allows(self, count: int, *, is_gang: bool) -> bool:
        """Return whether ``count`` tasks may be placed now.

        A gang that is larger than the window is placed while nothing else is.
        """
        if not self._is_bounded:
            return True
        max_pending = MAX_PENDING_FACTOR * self.size
        if is_gang and not self._counted:
            return len(self._pending) < max_pending
        if len(self._pending) + count > max_pending:
            return False
        return self._counted + count <= self.size

    def count_pending(self) -> int:
        """Return how many placed tasks have no answered start order."""
        return len(self._pending)

    def note_placed(self, starts: Iterable[StartOrder]) -> None:
        """Count tasks that were placed in this round."""
        if not self._is_bounded:
            return
        for start in starts:
            pending = _PendingStart(start.worker_id)
            self._pending[start.key, start.attempt] = pending
            self._counted += 1

    def note_limited(self, pools: Iterable[str]) -> None:
        """Note that tasks of these pools may wait only for the window."""
        self._limited_pools.update(pools)

    def note_queued(self, starts: Iterable[StartOrder], now: float) -> None:
        """Note that the placements are stored and the orders queued."""
        for start in starts:
            pending = self._pending.get((start.key, start.attempt))
            if pending is not None:
                pending.queued_at = now

    def note_answer(
        self, order: StartOrder, result: OrderResult, now: float
    ) -> None:
        """Note the result of a start order.

        Pools that wait for the window are looked at again once half of it is
        free, so that a round places several tasks.
        """
        pending = self._pending.pop((order.key, order.attempt), None)
        if result is OrderResult.UNANSWERED:
            self._unresponsive.add(order.worker_id)
        elif result is OrderResult.DONE:
            self._unresponsive.discard(order.worker_id)
        if pending is None:
            return
        self._counted = max(self._counted - 1, 0)
        if result is OrderResult.DONE and pending.queued_at is not None:
            self._adapt(pending.queued_at, now)
        if self._limited_pools and self._counted * 2 <= self.size:
            self._partition.changed_pools.update(self._limited_pools)
            self._limited_pools.clear()

    def _adapt(self, queued_at: float, now: float) -> None:
        settings = self._partition.settings
        if now - queued_at <= settings.start_target_seconds:
            if self._limited_pools:
                raised = self.size + 1
                self.size = min(raised, settings.max_pending_starts)
        elif queued_at >= self._lowered_at:
            lowered = int(self.size * DECREASE_FACTOR)
            self.size = max(lowered, settings.min_pending_starts)
            self._lowered_at = now

    def _is_pending(
        self, attempt: tuple[TaskKey, int], start: _PendingStart
    ) -> bool:
        task = self._partition.find_attempt(*attempt, start.worker_id)
        if task is None or task.phase is not TaskPhase.PLACED:
            return False
        return task.settled_at is None

    def _counts(self, start: _PendingStart) -> bool:
        if start.worker_id in self._unresponsive:
            return False
        worker = self._partition.workers.get(start.worker_id)
        return worker is not None and not worker.is_silent

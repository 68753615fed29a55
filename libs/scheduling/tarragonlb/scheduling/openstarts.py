"""Starts of a task that a later incarnation of their worker may execute.

A start order without an answer may be executed seconds later.  What a worker
has been told since, by a higher fencing token or a stop order, binds only its
present incarnation: one that begins under the same id knows nothing of before
and takes the order.  So a task with such a start stays with that worker, where
attempt numbers, tokens and reports tell its attempts apart.  Elsewhere it may
start only once the order can't be executed any more.

>>> starts = NO_OPEN_STARTS.add(OpenStart(1, 'w1', until=12.0))
>>> starts.allow('w1'), starts.allow('w2')
(True, False)
>>> starts = starts.add(OpenStart(1, 'w1', 16.0, orders=MAX_OPEN_ORDERS))
>>> starts.allow('w1'), starts.until
(False, 16.0)
"""

from dataclasses import dataclass, replace

# After so many orders without an answer no more are sent, and the worker loses
# the task once the last of them is over.
MAX_OPEN_ORDERS = 4


@dataclass(frozen=True, slots=True)
class OpenStart:
    """The start of an attempt that a worker may execute until ``until``.

    That is in seconds on the monotonic clock.  ``orders`` is how many of the
    orders to start it had no answer.
    """

    attempt: int
    worker_id: str
    until: float
    orders: int = 1


@dataclass(frozen=True, slots=True)
class OpenStarts:
    """The open starts of one task.

    They are over together.  A report that lists an attempt does not tell which
    of the orders to start it was executed, so it closes none of them.

    ``repeated`` is the attempt that the next order repeats, 0 if none.  If the
    order before it is executed as well, the attempt still runs only once.
    """

    starts: tuple[OpenStart, ...] = ()
    repeated: int = 0

    @property
    def is_empty(self) -> bool:
        """Return whether there is none."""
        return not self.starts

    @property
    def until(self) -> float:
        """Return when the last one is over, 0 if there is none."""
        return max((start.until for start in self.starts), default=0.0)

    def add(self, start: OpenStart) -> 'OpenStarts':
        """Return them with one more, which may repeat a known attempt."""
        known = self.find(start.attempt, start.worker_id)
        if known is not None:
            start = OpenStart(
                start.attempt,
                start.worker_id,
                max(start.until, known.until),
                start.orders + known.orders,
            )
        others = tuple(other for other in self.starts if other is not known)
        return OpenStarts((*others, start))

    def repeat(self, attempt: int) -> 'OpenStarts':
        """Return them with the attempt that the next order repeats."""
        return replace(self, repeated=attempt) if self.starts else self

    def choose_attempt(self, last: int) -> int:
        """Return the number of the next attempt after the ``last`` one."""
        return last if last and last == self.repeated else last + 1

    def find(self, attempt: int, worker_id: str) -> OpenStart | None:
        """Return the open start of an attempt on a worker, None if none is."""
        for start in self.starts:
            if (start.attempt, start.worker_id) == (attempt, worker_id):
                return start
        return None

    def extend(
        self, attempt: int, worker_id: str, until: float
    ) -> 'OpenStarts':
        """Return them after the answer to an open order failed to come."""
        known = self.find(attempt, worker_id)
        if known is None:
            return self
        others = tuple(other for other in self.starts if other is not known)
        later = replace(known, until=max(until, known.until))
        return OpenStarts((*others, later), self.repeated)

    def drop(self, attempt: int, worker_id: str) -> 'OpenStarts':
        """Return them after an open order was answered after all."""
        known = self.find(attempt, worker_id)
        if known is None:
            return self
        left = tuple(other for other in self.starts if other is not known)
        if known.orders > 1:
            left = (*left, replace(known, orders=known.orders - 1))
        return OpenStarts(left, self.repeated) if left else NO_OPEN_STARTS

    def drop_worker(self, worker_id: str) -> 'OpenStarts':
        """Return them without those on a worker that is over for good."""
        left = tuple(
            other for other in self.starts if other.worker_id != worker_id
        )
        return OpenStarts(left, self.repeated) if left else NO_OPEN_STARTS

    def allow(self, worker_id: str) -> bool:
        """Return whether the task may be placed on a worker now."""
        if not self.starts:
            return True
        if sum(start.orders for start in self.starts) >= MAX_OPEN_ORDERS:
            return False
        return all(start.worker_id == worker_id for start in self.starts)


NO_OPEN_STARTS = OpenStarts()

"""Tells tasks that crash their workers from tasks that only share them.

A worker that crashes reports nothing: each attempt on it may be the cause.
One crash says little, as workers also crash by themselves.  So a task that was
there is started again, apart from other suspects if there is room.  After its
second crash a task is a strong suspect.  It is then started alone, and its
worker gets no other task for a while.  If that worker crashes too, nothing else
on it can be the cause.

How strongly a crash points to a task is measured in points, and a task with
enough of them is given up: after two crashes at the best, after four if it
never was alone.  A permanent task sees more workers crash by chance, and giving
it up costs more, so it needs more points.

>>> first = CrashHistory().add(1, SHARED_POINTS)
>>> first.needs_isolation, first.is_culprit(is_permanent=False)
(False, False)
>>> first.add(2, ALONE_AT_START_POINTS).is_culprit(is_permanent=False)
True
>>> second = first.add(2, SHARED_POINTS)
>>> second.needs_isolation, second.is_culprit(is_permanent=False)
(True, False)
>>> third = second.add(3, ALONE_POINTS)
>>> third.is_culprit(is_permanent=False), third.is_culprit(is_permanent=True)
(True, False)
"""

from dataclasses import dataclass

MIN_CRASHES_TO_ISOLATE = 2
MIN_CRASHES_TO_GIVE_UP = 2
POINTS_TO_GIVE_UP = 4
POINTS_TO_GIVE_UP_PERMANENT = 6
# Enough whatever the points are.
MAX_CRASHES = 5
# Other jobs had attempts on the worker.
SHARED_POINTS = 1
ALONE_POINTS = 2
# Alone, and the worker never listed the attempt as running.
ALONE_AT_START_POINTS = 3
# A suspect that has run for this long does not crash workers by its start.
PROBATION_SECONDS = 3.0
# A strong suspect waits this long for an empty worker.
ISOLATION_WAIT_SECONDS = 2.0


@dataclass(frozen=True, slots=True)
class CrashHistory:
    """The attempts of a task during which their worker crashed.

    ``points`` measure how strongly the crashes point to the task.
    """

    attempts: frozenset[int] = frozenset()
    points: int = 0

    def add(self, attempt: int, points: int) -> 'CrashHistory':
        """Return the history with one more crash; known ones count once."""
        if attempt in self.attempts:
            return self
        return CrashHistory(self.attempts | {attempt}, self.points + points)

    @property
    def is_empty(self) -> bool:
        """Return whether no worker crashed."""
        return not self.attempts

    @property
    def needs_isolation(self) -> bool:
        """Return whether the task should have a worker to itself."""
        return len(self.attempts) >= MIN_CRASHES_TO_ISOLATE

    def is_culprit(self, *, is_permanent: bool) -> bool:
        """Return whether the task is to be given up."""
        count = len(self.attempts)
        if count < MIN_CRASHES_TO_GIVE_UP:
            return False
        needed = POINTS_TO_GIVE_UP
        if is_permanent:
            needed = POINTS_TO_GIVE_UP_PERMANENT
        return count >= MAX_CRASHES or self.points >= needed


NO_CRASHES = CrashHistory()


def rate_crash(*, is_alone: bool, was_seen: bool, was_started: bool) -> int:
    """Return how strongly a crash points to an attempt on the worker.

    ``is_alone`` means that no other job had an attempt there, ``was_seen`` that
    the worker listed the attempt as running before.  Without ``was_started``
    the start order got no answer: the worker may have crashed before.
    """
    if not is_alone:
        return SHARED_POINTS if was_started else 0
    return ALONE_POINTS if was_seen else ALONE_AT_START_POINTS

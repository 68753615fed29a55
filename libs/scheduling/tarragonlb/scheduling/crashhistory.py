"""Tells tasks that crash their workers from tasks that only share them.

A worker that crashes reports nothing: each attempt on it may be the cause, and
workers also crash by themselves.  To close a job as failed can't be taken back,
so crashes count against a task only as far as nothing else explains them:

- A crash counts if the worker had confirmed the start of the attempt.  It is
  *confirmed* once it is known which workers went at the same time: what takes
  away a share of the pool is as likely to take the task's worker.
- After two crashes a task is a strong suspect.  It pauses, and is then tried
  alone on a worker.  A crash with no other job on the worker is a *trial* that
  the task has failed; one that it shared may be due to another task.
- After some crashes and trials there is a *case* against a task.  The chance
  that it caused no crash is computed from how often workers of the pool go
  without it.  The task is given up once that chance is small enough; if it is
  not, the task is tried again after a longer pause.

Pauses grow with every crash, slowly if chance explains them.  So a task that
crashes its workers harms few of them, whether or not it is given up.

>>> first = CrashHistory().count(1).confirm(ConfirmedCrash(1, 2.0))
>>> second = first.count(2).confirm(ConfirmedCrash(2, 0.5, is_alone=True))
>>> second.needs_isolation, second.has_case(is_permanent=False)
(True, False)
>>> third = second.count(3).confirm(ConfirmedCrash(3, 0.5, is_alone=True))
>>> third.has_case(is_permanent=False), third.has_case(is_permanent=True)
(True, False)
>>> round(third.compute_chance(losses_per_second=0.01), 6)
5.8e-05
"""

import math
from collections.abc import Iterator, Sequence
from dataclasses import dataclass

MIN_CRASHES_TO_ISOLATE = 2
# One of them must be a trial, for a permanent task two.
MIN_CRASHES_TO_GIVE_UP = 3
MIN_CRASHES_TO_GIVE_UP_PERMANENT = 4
MIN_TRIALS_TO_GIVE_UP_PERMANENT = 2
MAX_CHANCE_TO_GIVE_UP = 1e-3
# A permanent task lives long enough to see workers crash by chance.
MAX_CHANCE_TO_GIVE_UP_PERMANENT = 1e-5
# Above this, chance explains the crashes well enough for a short pause.
MIN_CHANCE_TO_EXPLAIN = 1e-3
# The chance that another task has caused a crash that it shared.
SHARED_CHANCE = 0.2
# Assumed of an attempt that another owner started.
UNKNOWN_ATTEMPT_SECONDS = 2.0
# Older ones are no longer told apart.
MAX_CONFIRMED = 10
# So many crashes that do not count make a pause longer.
MAX_EXCUSED = 1
# A suspect that has run for this long does not crash workers by its start.
PROBATION_SECONDS = 3.0
# A strong suspect waits this long for an empty worker after its pause: after
# two crashes, and after more.
ISOLATION_WAIT_SECONDS = 2.0
LONG_ISOLATION_WAIT_SECONDS = 4.0
# Pauses after one crash, two and so on; the last one is repeated.
SHORT_PAUSES_SECONDS = (0.0, 1.0, 2.0, 8.0, 45.0)
LONG_PAUSES_SECONDS = (0.0, 2.0, 4.0, 8.0, 120.0)


@dataclass(frozen=True, slots=True)
class ConfirmedCrash:
    """A crash under an attempt, of which all is known that will be.

    The worker was gone within so many ``seconds`` of the start.  ``is_alone``
    means that no other job had an attempt there.  ``share`` is the part of the
    pool that went with the worker, 0 if it went alone.  ``losses_per_second``
    is how often workers went by then, 0 if none did: that it is quiet later, or
    for the next owner, doesn't count against the task.
    """

    attempt: int
    seconds: float
    is_alone: bool = False
    share: float = 0.0
    losses_per_second: float = 0.0

    def compute_chance(self, losses_per_second: float) -> tuple[float, bool]:
        """Return the chance that the task did not cause the crash.

        Also whether it was measured by how soon the worker went.
        """
        least = self.share if self.is_alone else max(self.share, SHARED_CHANCE)
        rate = max(losses_per_second, self.losses_per_second)
        by_itself = min(rate * self.seconds, 1)
        return max(by_itself, least), by_itself > least


@dataclass(frozen=True, slots=True)
class CrashHistory:
    """The attempts of a task during which their worker crashed.

    ``attempts`` are those that count.  ``excused`` are those whose start was
    not confirmed: they may never have run.
    """

    attempts: frozenset[int] = frozenset()
    confirmed: tuple[ConfirmedCrash, ...] = ()
    excused: frozenset[int] = frozenset()

    def count(self, attempt: int) -> 'CrashHistory':
        """Return the history with one more crash that counts."""
        return CrashHistory(
            self.attempts | {attempt}, self.confirmed, self.excused
        )

    def confirm(self, crash: ConfirmedCrash) -> 'CrashHistory':
        """Return the history with a counted crash that is confirmed."""
        confirmed = (*self.confirmed, crash)[-MAX_CONFIRMED:]
        return CrashHistory(self.attempts, confirmed, self.excused)

    def excuse(self, attempt: int) -> 'CrashHistory':
        """Return the history with a crash that does not count."""
        return CrashHistory(
            self.attempts, self.confirmed, self.excused | {attempt}
        )

    def knows(self, attempt: int) -> bool:
        """Return whether the crash under an attempt has been taken note of."""
        return attempt in self.attempts or attempt in self.excused

    @property
    def is_empty(self) -> bool:
        """Return whether no worker crashed."""
        return not self.count_all()

    @property
    def needs_isolation(self) -> bool:
        """Return whether the task should have a worker to itself."""
        return self.count_all() >= MIN_CRASHES_TO_ISOLATE

    @property
    def isolation_wait_seconds(self) -> float:
        """Return for how long the task waits for an empty worker."""
        if self.count_all() > MIN_CRASHES_TO_ISOLATE:
            return LONG_ISOLATION_WAIT_SECONDS
        return ISOLATION_WAIT_SECONDS

    def count_all(self) -> int:
        """Count all crashes, also those that are no evidence."""
        return len(self.attempts) + len(self.excused)

    def count_trials(self) -> int:
        """Count the crashes under which the task was alone."""
        return sum(crash.is_alone for crash in self.confirmed)

    def has_case(self, *, is_permanent: bool) -> bool:
        """Return whether the task may be given up if chance is ruled out."""
        crashes, trials = len(self.attempts), self.count_trials()
        if is_permanent:
            return (
                crashes >= MIN_CRASHES_TO_GIVE_UP_PERMANENT
                and trials >= MIN_TRIALS_TO_GIVE_UP_PERMANENT
            )
        return crashes >= MIN_CRASHES_TO_GIVE_UP and trials > 0

    def compute_chance(self, losses_per_second: float) -> float:
        """Return the chance that the task caused none of its crashes.

        ``losses_per_second`` is how often a worker goes without the task.
        """
        chances = [
            crash.compute_chance(losses_per_second)
            for crash in self._list_counted()
        ]
        constants = math.prod(
            chance for chance, is_measured in chances if not is_measured
        )
        measured = [chance for chance, is_measured in chances if is_measured]
        return constants * _combine(measured)

    def compute_pause(self, losses_per_second: float) -> float:
        """Return for how many seconds after its last crash the task waits.

        ``losses_per_second`` is 0 if no worker went without the task.
        """
        pauses = LONG_PAUSES_SECONDS
        is_noisy = losses_per_second > 0
        if is_noisy and self._is_explained(losses_per_second):
            pauses = SHORT_PAUSES_SECONDS
        crashes = len(self.attempts) + min(len(self.excused), MAX_EXCUSED)
        return pauses[min(max(crashes - 1, 0), len(pauses) - 1)]

    def _is_explained(self, losses_per_second: float) -> bool:
        return self.compute_chance(losses_per_second) > MIN_CHANCE_TO_EXPLAIN

    def _list_counted(self) -> Iterator[ConfirmedCrash]:
        """Yield the crashes that count, also those that were never confirmed.

        The term of their owner has ended before.
        """
        yield from self.confirmed
        known = {crash.attempt for crash in self.confirmed}
        for attempt in self.attempts - known:
            yield ConfirmedCrash(attempt, UNKNOWN_ATTEMPT_SECONDS)


NO_CRASHES = CrashHistory()


def get_max_chance(*, is_permanent: bool) -> float:
    """Return the chance below which a task with a case is given up."""
    if is_permanent:
        return MAX_CHANCE_TO_GIVE_UP_PERMANENT
    return MAX_CHANCE_TO_GIVE_UP


def _combine(chances: Sequence[float]) -> float:
    """Return the chance of all events by Fisher's method.

    Each of ``chances`` is that of an event as early as the one seen.
    """
    product = math.prod(chances)
    if not (chances and product):
        return product
    exponent = -math.log(product)
    return product * sum(
        exponent**count / math.factorial(count) for count in range(len(chances))
    )

"""Retry budget: retries are limited to a share of the first attempts.

Retries must not multiply the load when every attempt fails.  Each first attempt
adds a fraction of a retry to the budget, up to a small maximum.
"""

RETRY_SHARE = 0.1
MAX_RESERVE = 10.0


class RetryBudget:
    """The retries that one process may still make."""

    __slots__ = ('_reserve',)

    def __init__(self) -> None:
        """Start with a full reserve."""
        self._reserve = MAX_RESERVE

    def earn(self) -> None:
        """Record a first attempt."""
        self._reserve = min(MAX_RESERVE, self._reserve + RETRY_SHARE)

    def has_reserve(self) -> bool:
        """Return whether a retry is allowed."""
        return self._reserve >= 1

    def spend(self) -> bool:
        """Take one retry from the reserve; return whether there was one."""
        if not self.has_reserve():
            return False
        self._reserve -= 1
        return True

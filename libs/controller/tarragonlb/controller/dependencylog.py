"""Says once that something is away, and once that it is back.

A call that is repeated ten times a second would fill the log with the same
line.  What happened in between is in the line that ends the loss.
"""

from tarragonlb.telemetry.log import Log

LOG = Log('dependency')


class DependencyLog:
    """One thing that is called again and again."""

    __slots__ = ('_failures', '_lost_at', '_name', '_reason')

    def __init__(self, name: str) -> None:
        """Begin as if it was there."""
        self._name = name
        self._lost_at: float | None = None
        self._failures = 0
        self._reason = ''

    def record_failure(self, reason: str, now: float) -> None:
        """Note that a call at ``now`` seconds failed."""
        self._failures += 1
        self._reason = reason
        if self._lost_at is None:
            self._lost_at = now
            LOG.say('Lost.', dependency=self._name, reason=reason)

    def record_success(self, now: float) -> None:
        """Note that a call was answered."""
        if self._lost_at is None:
            return
        LOG.say(
            'Regained.',
            dependency=self._name,
            seconds=round(now - self._lost_at, 3),
            failures=self._failures,
            last_reason=self._reason,
        )
        self._lost_at = None
        self._failures = 0

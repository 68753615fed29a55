"""Logs when a dependency becomes unavailable and when it recovers.

Calls to a dependency are retried up to ten times a second; a line for each
failure would flood the log.  The line about the recovery sums the outage up.
"""

from tarragonlb.telemetry.log import Log

LOG = Log('dependency')


class DependencyLog:
    """Logs the outages of one dependency."""

    __slots__ = ('_failures', '_last_reason', '_name', '_unavailable_since')

    def __init__(self, name: str) -> None:
        """Assume that the dependency is available."""
        self._name = name
        self._unavailable_since: float | None = None
        self._failures = 0
        self._last_reason = ''

    def record_failure(self, reason: str, now: float) -> None:
        """Record that a call failed at ``now`` seconds."""
        self._failures += 1
        self._last_reason = reason
        if self._unavailable_since is None:
            self._unavailable_since = now
            LOG.emit(
                'Dependency unavailable.', dependency=self._name, reason=reason
            )

    def record_success(self, now: float) -> None:
        """Record that a call succeeded at ``now`` seconds."""
        if self._unavailable_since is None:
            return
        LOG.emit(
            'Dependency available again.',
            dependency=self._name,
            seconds=round(now - self._unavailable_since, 3),
            failures=self._failures,
            last_reason=self._last_reason,
        )
        self._unavailable_since = None
        self._failures = 0

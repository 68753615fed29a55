"""Decides when a worker is polled again, by the load of the daemon.

A poll is answered at the next end of a task, so a pool on which many tasks end
is polled as often as its owner allows.  All sessions of a daemon share a budget
of polls per second.  While it is not used up, a worker is polled again after a
short pause; beyond that the pauses grow, up to the delay with which an end may
be reported.  A worker whose lease has little left is not kept waiting.
"""

from tarragonlb.controller.settings import ControllerSettings


class PollBudget:
    """Spreads the polls of a daemon over time.

    >>> budget.plan(now=10.0, lease_seconds=3.0)  # doctest: +SKIP
    10.015
    """

    __slots__ = ('_free_at', '_interval_seconds', '_settings')

    def __init__(self, settings: ControllerSettings) -> None:
        """Start with an unused budget."""
        self._settings = settings
        # One thread uses no more than a core.
        cores = min(settings.processor_cores, 1)
        self._interval_seconds = settings.poll_processor_seconds / (
            settings.poll_processor_share * cores
        )
        # When the polls planned so far are paid for.
        self._free_at = 0.0

    def plan(self, now: float, lease_seconds: float) -> float:
        """Return when to poll a worker that has just replied.

        ``lease_seconds`` is what is left of the lease of its tasks.
        """
        settings = self._settings
        latest = now + settings.max_poll_pause_seconds
        paid_at = max(self._free_at, now)
        self._free_at = min(paid_at + self._interval_seconds, latest)
        earliest = now + settings.poll_pause_seconds
        if lease_seconds < settings.urgent_lease_seconds:
            return earliest
        return min(max(paid_at, earliest), latest)

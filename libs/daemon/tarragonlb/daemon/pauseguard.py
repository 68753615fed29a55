"""Keeps a process that was paused from routing by stale data.

While a process is paused, endpoints may drain and reboot.  The guard detects a
pause by a late tick.  After a pause, requests wait until the VM list was read
again.  If the platform can't be reached, they proceed with the old list after
``REFRESH_TIMEOUT_SECONDS``.
"""

import math
from collections.abc import Callable

import trio

from tarragonlb.daemon.clock import read_monotonic
from tarragonlb.daemon.fleetwatcher import FleetWatcher
from tarragonlb.telemetry.log import Log

TICK_SECONDS = 0.25
MIN_PAUSE_SECONDS = 1.5
REFRESH_TIMEOUT_SECONDS = 2


class PauseGuard:
    """Holds requests back after a pause; ``update`` applies a new VM list."""

    __slots__ = (
        '_emit',
        '_fleet_watcher',
        '_resumed_at',
        '_ticked_at',
        '_update',
    )

    def __init__(
        self, fleet_watcher: FleetWatcher, update: Callable[[float], None]
    ) -> None:
        """Create a guard that has seen no pause."""
        self._ticked_at = math.inf
        self._resumed_at = -math.inf
        self._update = update
        self._fleet_watcher = fleet_watcher
        self._emit = Log('pause').emit

    async def run(self) -> None:
        """Tick every ``TICK_SECONDS`` until cancelled."""
        while True:
            self.tick(read_monotonic())
            await trio.sleep(TICK_SECONDS)

    def tick(self, now: float) -> None:
        """Record that the process runs, and detect a pause since last time."""
        if now - self._ticked_at > MIN_PAUSE_SECONDS:
            self._emit('The process was paused.', seconds=now - self._ticked_at)
            self._resumed_at = now
        self._ticked_at = now

    async def wait_until_fresh(self) -> None:
        """Wait until the VM list was read after the last pause, if any."""
        self.tick(read_monotonic())
        resumed_at = self._resumed_at
        if resumed_at == -math.inf:
            return
        with trio.move_on_after(REFRESH_TIMEOUT_SECONDS):
            await self._fleet_watcher.wait_until_read(resumed_at)
        self._update(read_monotonic())
        if self._resumed_at == resumed_at:
            self._resumed_at = -math.inf

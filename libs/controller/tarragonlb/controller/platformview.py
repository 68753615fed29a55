"""What this process knows of the platform, and who wants to hear of changes.

Feeds replace whole values here; nobody else writes.
"""

import trio

from tarragonlb.controller.ports import Configuration
from tarragonlb.scheduling.fleetstate import FleetState
from tarragonlb.scheduling.wave import Wave
from tarragonlb.scheduling.worker import Worker


class PlatformView:
    """The newest configuration, workers, waves and maintenance board."""

    __slots__ = (
        '_changed',
        'configuration',
        'fleet_state',
        'last_contact_at',
        'waves',
        'workers',
    )

    def __init__(self) -> None:
        """Begin knowing nothing."""
        self.configuration: Configuration | None = None
        self.workers: dict[str, Worker] = {}
        self.waves: dict[int, Wave] = {}
        self.fleet_state = FleetState()
        self.last_contact_at: float | None = None
        self._changed = trio.Event()

    def compute_contact_age(self, now: float) -> float:
        """Return how long ago the store was heard of, in seconds.

        ``now`` is read from the lease clock.  The answer is 0 where nothing is
        known: before the first call and while the process stops.
        """
        return 0 if self.last_contact_at is None else now - self.last_contact_at

    def notify(self) -> None:
        """Wake everyone who waits for a change."""
        self._changed.set()
        self._changed = trio.Event()

    async def wait_for_change(self) -> None:
        """Return at the next change."""
        await self._changed.wait()

"""The platform's state as this process knows it, with change notification.

Only feeds write here; they replace whole values.
"""

import math
from collections.abc import Sequence

import trio

from tarragonlb.controller.events import Event, ViewChanged
from tarragonlb.controller.ports import Configuration
from tarragonlb.controller.settings import ControllerSettings
from tarragonlb.scheduling.addresshistory import AddressHistory
from tarragonlb.scheduling.fleetstate import ANY_PARTITION, FleetState
from tarragonlb.scheduling.routehistory import RouteHistory
from tarragonlb.scheduling.wave import Wave
from tarragonlb.scheduling.worker import Worker


class PlatformView:
    """The latest configuration, workers, waves and fleet state."""

    __slots__ = (
        '_changed',
        '_owns',
        'address_history',
        'configuration',
        'configuration_read_at',
        'fleet_state',
        'last_read_at',
        'renewed_at',
        'route_history',
        'wave_read_at',
        'waves',
        'workers',
        'workers_read_at',
    )

    def __init__(self, pool_partitions: Sequence[int] = ANY_PARTITION) -> None:
        """Start without any information.

        Pools may be assigned to ``pool_partitions``.
        """
        self.configuration: Configuration | None = None
        self.route_history = RouteHistory()
        # When the last read that returned all of the operators' records, or
        # none, was sent, on the boot-time clock.
        self.configuration_read_at: float | None = None
        self.workers: dict[str, Worker] = {}
        self.address_history = AddressHistory()
        self.waves: dict[int, Wave] = {}
        # When this process first read each wave, on the monotonic clock.
        self.wave_read_at: dict[int, float] = {}
        self.fleet_state = FleetState(pool_partitions)
        # When the last successful read of the directory of workers was sent, on
        # the boot-time clock.
        self.workers_read_at: float | None = None
        # When the last successful read of the fleet partition was sent, and
        # the last renewal of each owned partition, on the boot-time clock.
        self.last_read_at: float | None = None
        self.renewed_at: dict[int, float] = {}
        self._changed = trio.Event()
        self._owns = trio.Event()

    def apply_configuration(self, configuration: Configuration) -> None:
        """Replace the configuration by a later one."""
        # First, since a configuration of the same version is not applied again.
        self.route_history.apply(configuration.queues.by_name.values())
        self.configuration = configuration

    def replace_fleet_state(self, fleet_state: FleetState) -> bool:
        """Show a state that was read anew; return whether it is another one."""
        if fleet_state is self.fleet_state:
            return False
        self.fleet_state = fleet_state
        self.notify()
        return True

    def note_renewal(self, partition: int, sent_at: float) -> None:
        """Note that an owned partition was renewed by a call of ``sent_at``."""
        self.renewed_at[partition] = sent_at
        self._owns.set()

    def note_loss(self, partition: int) -> None:
        """Note that a partition is no longer owned."""
        self.renewed_at.pop(partition, None)
        if not self.renewed_at and self._owns.is_set():
            self._owns = trio.Event()

    async def wait_for_ownership(self) -> None:
        """Wait until this process owns a partition."""
        await self._owns.wait()

    def compute_contact_age(self, now: float) -> float:
        """Return the time since the last contact with the store in seconds.

        ``now`` is read from the boot-time clock.  The result is 0 before the
        first read.  An owner that can read but not renew has lost contact.
        """
        if self.last_read_at is None:
            return 0
        return now - min((self.last_read_at, *self.renewed_at.values()))

    def compute_configuration_age(self, now: float) -> float:
        """Return how long ago the configuration was known to be the newest.

        ``now`` is read from the boot-time clock.  The result is in seconds, and
        infinite before the first read.
        """
        read_at = self.configuration_read_at
        return math.inf if read_at is None else now - read_at

    def find_partition(self, pool: str) -> int | None:
        """Return the partition of a pool's jobs, None if not yet assigned."""
        return self.fleet_state.partitions.get(pool)

    def add_wave(self, wave: Wave, now: float) -> None:
        """Add or replace a wave that was read at ``now`` seconds."""
        self.waves[wave.number] = wave
        self.wave_read_at.setdefault(wave.number, now)

    def notify(self) -> None:
        """Wake all tasks that wait for a change."""
        self._changed.set()
        self._changed = trio.Event()

    async def wait_for_change(self) -> None:
        """Wait for the next change."""
        await self._changed.wait()

    async def forward_changes(
        self, inbox: trio.MemorySendChannel[Event]
    ) -> None:
        """Send an event after each change, until cancelled.

        The receiver may act on an event before the sender goes on, so what
        changes from the sending on has an event of its own.
        """
        changed = self._changed
        while True:
            await changed.wait()
            changed = self._changed
            await inbox.send(ViewChanged())


class DirectoryGate:
    """Keeps a new owner from placing tasks by an old directory of workers.

    A daemon that owns nothing reads the directory seldom.  What it knows when
    it becomes an owner may be seconds old: a worker may have shrunk, or be
    leaving.  So the first tasks wait for a read that began in this term.  A
    directory that can't be read does not stop the pool for long.
    """

    __slots__ = ('_began_at', '_settings', '_view', 'is_open')

    def __init__(
        self, view: PlatformView, settings: ControllerSettings, now: float
    ) -> None:
        """Start a term at ``now`` seconds on the boot-time clock."""
        self._view = view
        self._settings = settings
        self._began_at = now
        self.is_open = False

    def try_open(self, now: float) -> None:
        """Allow tasks to be placed if it is time; ``now`` as at the start.

        The caller then applies the directory.
        """
        read_at = self._view.workers_read_at
        is_read = read_at is not None and read_at >= self._began_at
        waited = now - self._began_at
        self.is_open = (
            is_read or waited >= self._settings.max_directory_wait_seconds
        )

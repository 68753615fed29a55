"""The state that the fold builds.

Everything in it follows from the records up to ``offset`` and from nothing
else: no clock, no address, no random number.  Entries are immutable and are
replaced whole; the mappings belong to the fold, readers only look.
"""

from tarragonlb.capacity.table import JobTable, TeamTable, VmTable
from tarragonlb.model.entry import (
    ClaimEntry,
    PoolMark,
    SettingEntry,
    TermEntry,
    WaveEntry,
)
from tarragonlb.settings.schema import FleetSettings, PoolSettings


class State:
    """All shared state at one offset."""

    __slots__ = (
        'claims',
        'digest',
        'fleet',
        'history',
        'jobs',
        'keys',
        'marks',
        'offset',
        'pools',
        'seen',
        'settings',
        'settings_offset',
        'teams',
        'terms',
        'vms',
        'waves',
    )

    def __init__(self) -> None:
        """Start before the first record of the log."""
        self.offset = 0
        self.digest = b''
        self.seen: dict[str, int] = {}
        self.settings: dict[str, SettingEntry] = {}
        self.history: dict[str, tuple[SettingEntry, ...]] = {}
        self.settings_offset = 0
        self.fleet = FleetSettings()
        self.pools: dict[str, PoolSettings] = {}
        self.teams = TeamTable()
        self.vms = VmTable()
        self.marks: dict[str, PoolMark] = {}
        self.jobs = JobTable()
        self.keys: dict[tuple[str, str], str] = {}
        self.claims: dict[tuple[str, str], ClaimEntry] = {}
        self.waves: dict[str, WaveEntry] = {}
        self.terms: dict[str, TermEntry] = {}

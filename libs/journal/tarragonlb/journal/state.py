"""The state that the fold builds.

Everything in it follows from the records up to ``offset`` and from nothing
else: no clock, no address, no random number.  Entries are immutable and are
replaced whole; the mappings belong to the fold, readers only look.
"""

from tarragonlb.model.burn import BurnEntry
from tarragonlb.model.entry import (
    ClaimEntry,
    JobEntry,
    SettingEntry,
    TermEntry,
    VmEntry,
    WaveEntry,
)
from tarragonlb.settings.schema import FleetSettings, PoolSettings, TeamSettings


class State:
    """All shared state at one offset."""

    __slots__ = (
        'burn',
        'claims',
        'digest',
        'fleet',
        'history',
        'jobs',
        'keys',
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
        self.teams: dict[str, TeamSettings] = {}
        self.vms: dict[str, VmEntry] = {}
        self.jobs: dict[str, JobEntry] = {}
        self.keys: dict[tuple[str, str], str] = {}
        self.claims: dict[tuple[str, str], ClaimEntry] = {}
        self.waves: dict[str, WaveEntry] = {}
        self.terms: dict[str, TermEntry] = {}
        self.burn: dict[str, BurnEntry] = {}

"""The shared state that the fold builds.

The state depends only on the records up to ``offset``: not on a clock, an
address or a random number.  Entries are immutable and are replaced as a whole.
Only the fold modifies the mappings; all other code only reads them.

The annotations of ``State`` are the schema of a snapshot: each mapping is a
table of it, and a new field is included as soon as it is annotated here.
"""

from collections.abc import Mapping
from typing import Any

from tarragonlb.capacity.table import (
    ChangeTable,
    JobTable,
    TeamTable,
    VmTable,
)
from tarragonlb.model.burn import BurnEntry
from tarragonlb.model.entry import (
    ClaimEntry,
    PoolMark,
    SettingEntry,
    TermEntry,
    WaveEntry,
)
from tarragonlb.model.invariant import ensure
from tarragonlb.model.stream import StreamEntry
from tarragonlb.settings.schema import FleetSettings, PoolSettings


class State:
    """The shared state at one offset."""

    __slots__ = (
        'burn',
        'claims',
        'digest',
        'ended',
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
        'stream',
        'teams',
        'terms',
        'vms',
        'waves',
    )

    offset: int
    digest: bytes
    seen: dict[str, int]
    settings: dict[str, SettingEntry]
    history: dict[str, tuple[SettingEntry, ...]]
    settings_offset: int
    fleet: FleetSettings
    pools: dict[str, PoolSettings]
    teams: TeamTable
    vms: VmTable
    marks: dict[str, PoolMark]
    jobs: JobTable
    ended: dict[str, int]
    keys: dict[tuple[str, str], str]
    claims: dict[tuple[str, str], ClaimEntry]
    waves: dict[str, WaveEntry]
    terms: dict[str, TermEntry]
    burn: dict[str, BurnEntry]
    stream: StreamEntry

    def __init__(self) -> None:
        """Start before the first record of the log."""
        self.offset = 0
        self.digest = b''
        self.seen = {}
        self.settings = {}
        self.history = {}
        self.settings_offset = 0
        self.fleet = FleetSettings()
        self.pools = {}
        self.teams = TeamTable()
        self.vms = VmTable()
        self.marks = {}
        self.jobs = JobTable()
        self.ended = {}
        self.keys = {}
        self.claims = {}
        self.waves = {}
        self.terms = {}
        self.burn = {}
        self.stream = StreamEntry()

    def copy_fields(self) -> dict[str, Any]:
        """Return all fields by name, with copies of the mappings.

        The entries are not copied, as they are immutable.  So the copy keeps
        the state at this offset while the fold continues.
        """
        fields = {name: getattr(self, name) for name in self.__slots__}
        return {
            name: dict(field) if isinstance(field, Mapping) else field
            for name, field in fields.items()
        }

    def copy_from(self, later: 'State') -> None:
        """Replace all fields by those of a state at a later offset."""
        ensure(
            later.offset >= self.offset,
            'the offset of the state never decreases',
            self.offset,
            later.offset,
        )
        for name, field in later.copy_fields().items():
            current = getattr(self, name)
            if isinstance(current, ChangeTable):
                current.replace(field)
            else:
                setattr(self, name, field)

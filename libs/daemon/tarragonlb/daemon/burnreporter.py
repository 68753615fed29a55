"""Commits the request counts of this entry VM to the log periodically.

A summary that was not confirmed is sent again as the same record, so it is
counted once.  While the log is unavailable the counts stay in memory; they are
lost only if this process ends before it can commit them.
"""

from collections.abc import Iterator

import trio

from tarragonlb.daemon.clock import read_wall
from tarragonlb.daemon.journal import Journal
from tarragonlb.journal.codec import encode_record
from tarragonlb.journal.state import State
from tarragonlb.model.burn import BurnReported
from tarragonlb.model.entry import VmEntry
from tarragonlb.model.errors import CommitUnknownError, JournalError
from tarragonlb.settings.startup import DaemonSettings
from tarragonlb.telemetry.log import Log
from tarragonlb.telemetry.meter import (
    SECONDS_PER_MINUTE,
    BurnMeter,
    choose_report_interval,
)

SAMPLE_INTERVAL_SECONDS = 5
FLUSH_TIMEOUT_SECONDS = 2
SHORT_ID_LENGTH = 8


class BurnReporter:
    """Commits the burn summaries of one entry VM."""

    __slots__ = (
        '_emit',
        '_entry',
        '_entry_count',
        '_journal',
        '_meter',
        '_next_report',
        '_period_start',
        '_settings_offset',
    )

    def __init__(
        self, settings: DaemonSettings, journal: Journal, meter: BurnMeter
    ) -> None:
        """Report the counts of ``meter`` for the entry VM of the settings."""
        self._entry = settings.name
        self._entry_count = len(settings.peers) + 1
        self._journal = journal
        self._meter = meter
        self._emit = Log('burn').emit
        self._period_start = _read_minute()
        self._next_report = self._period_start + 1
        self._settings_offset = 0

    async def run(self) -> None:
        """Sample causes and commit summaries until cancelled."""
        while True:
            await trio.sleep(SAMPLE_INTERVAL_SECONDS)
            self.record_causes()
            minute = _read_minute()
            if minute >= self._next_report:
                size = await self.report()
                self._next_report = minute + choose_report_interval(
                    size, self._entry_count
                )
                self._period_start = minute

    async def flush(self) -> None:
        """Commit the remaining counts before the process stops."""
        with trio.move_on_after(FLUSH_TIMEOUT_SECONDS):
            await self.report()

    async def report(self) -> int:
        """Commit one summary and return its size in bytes."""
        self.record_causes()
        counts = self._meter.collect_and_reset()
        self._settings_offset = self._journal.state.settings_offset
        if not counts:
            return 0
        record = BurnReported(
            head=self._journal.make_head(),
            entry=self._entry,
            minute=self._period_start,
            counts=counts,
        )
        await self._commit(record)
        return len(encode_record(record))

    def record_causes(self) -> None:
        """Add the current possible causes of services that had requests."""
        state = self._journal.state
        for service in self._meter.list_services():
            causes = list_causes(state, service, self._settings_offset)
            self._meter.add_causes(service, causes)

    async def _commit(self, record: BurnReported) -> None:
        while True:
            try:
                await self._journal.commit(record)
            except CommitUnknownError:
                self._emit(
                    'The burn summary is not confirmed, committing it again.'
                )
            except JournalError as error:
                self._emit(
                    'Committing the burn summary failed.',
                    reason=str(error),
                )
                return
            else:
                return


def list_causes(
    state: State, service: str, settings_offset: int
) -> Iterator[str]:
    """Yield descriptions of what may have made requests of a service bad.

    These are unavailable VMs of its pool, and settings that came into force
    after ``settings_offset``.
    """
    team, _, name = service.partition('/')
    settings = state.teams.get(team)
    found = settings.services.get(name) if settings else None
    if found is None:
        return
    for vm in state.vms.values():
        if vm.pool == found.pool and vm.charge:
            yield _describe_charge(vm)
    for path in ('/fleet', f'/pools/{found.pool}', f'/teams/{team}'):
        entry = state.settings.get(path)
        if entry and entry.offset > settings_offset:
            yield f'{path} version {entry.version} set by {entry.author}'


def _describe_charge(vm: VmEntry) -> str:
    if vm.charge is None:
        return ''
    if vm.charge.wave_id:
        return f'wave {vm.charge.wave_id[:SHORT_ID_LENGTH]} on pool {vm.pool}'
    return f'{vm.charge.reason.value} of VM {vm.vm_id}'


def _read_minute() -> int:
    return int(read_wall() // SECONDS_PER_MINUTE)

"""The planner task: claims the term, decides, executes the decisions.

At most one daemon plans at a time, to avoid duplicate work.  Safety doesn't
depend on that: a record of an older term is rejected, and the platform refuses
an action on a VM that was restarted since the decision.
"""

import trio

from tarragonlb.capacity import action
from tarragonlb.capacity.planner import Planner
from tarragonlb.daemon.clock import read_monotonic, read_wall
from tarragonlb.daemon.fleetwatcher import FleetWatcher
from tarragonlb.daemon.journal import Journal
from tarragonlb.journal.plannerview import PLANNER_SCOPE, make_view
from tarragonlb.model.entry import TermEntry
from tarragonlb.model.errors import JournalError, PlatformError
from tarragonlb.model.record import Record, TermTaken
from tarragonlb.model.recordhead import HeadFactory
from tarragonlb.platform.fleet import Fleet, TaskOrder
from tarragonlb.telemetry.log import Log

ROUND_SECONDS = 0.5
TERM_SECONDS = 6
RENEW_SECONDS = 2
FRESH_SECONDS = 2


class TermTimer:
    """Measures on the local clock how long a term was not renewed."""

    __slots__ = ('_entry', '_seen_at')

    def __init__(self) -> None:
        """Create a timer that has seen no term."""
        self._entry: TermEntry | None = None
        self._seen_at = float('-inf')

    def is_claim_due(
        self, entry: TermEntry | None, member: str, now: float
    ) -> bool:
        """Return whether ``member`` should claim or renew the term now."""
        if entry != self._entry:
            self._entry = entry
            self._seen_at = now
        if entry is None:
            return True
        is_holder = entry.holder == member
        limit = RENEW_SECONDS if is_holder else TERM_SECONDS
        return now - self._seen_at >= limit


class PlannerTask:
    """Runs planning rounds while this daemon holds the term."""

    __slots__ = (
        '_emit',
        '_fleet',
        '_fleet_watcher',
        '_head_factory',
        '_journal',
        '_member',
        '_planner',
        '_term_timer',
    )

    def __init__(
        self,
        journal: Journal,
        fleet_watcher: FleetWatcher,
        fleet: Fleet,
        head_factory: HeadFactory,
        member: str,
    ) -> None:
        """Plan as the member ``member``."""
        self._journal = journal
        self._fleet_watcher = fleet_watcher
        self._fleet = fleet
        self._head_factory = head_factory
        self._planner = Planner(head_factory)
        self._member = member
        self._term_timer = TermTimer()
        self._emit = Log('planner').emit

    async def run(self) -> None:
        """Run a planning round every ``ROUND_SECONDS`` until cancelled."""
        await self._journal.wait_until_caught_up()
        while True:
            now = read_monotonic()
            await self._claim_term(now)
            if self._can_decide(now):
                await self._execute_all(self._decide())
            await trio.sleep(ROUND_SECONDS)

    async def _claim_term(self, now: float) -> None:
        entry = self._journal.state.terms.get(PLANNER_SCOPE)
        if not self._term_timer.is_claim_due(entry, self._member, now):
            return
        record = TermTaken(
            head=self._journal.make_head(),
            scope=PLANNER_SCOPE,
            expected_number=entry.number if entry else 0,
            holder=self._member,
        )
        await self._commit(record)

    def _can_decide(self, now: float) -> bool:
        term = self._journal.state.terms.get(PLANNER_SCOPE)
        if term is None or term.holder != self._member:
            return False
        oldest = min(self._journal.last_read, self._fleet_watcher.last_read)
        return now - oldest < FRESH_SECONDS + TERM_SECONDS

    def _decide(self) -> list[action.Action]:
        view = make_view(self._journal.state, self._fleet_watcher)
        try:
            return self._planner.decide(view, read_monotonic(), read_wall())
        except Exception:
            # What it remembers may be wrong; a new one starts without memory.
            self._planner = Planner(self._head_factory)
            raise

    async def _execute_all(self, actions: list[action.Action]) -> None:
        async with trio.open_nursery() as nursery:
            for step in actions:
                nursery.start_soon(self._execute, step)

    async def _execute(self, step: action.Action) -> None:
        if isinstance(step, action.Commit):
            await self._commit(step.record)
            return
        try:
            await self._call_platform(step)
        except PlatformError as error:
            self._emit(
                'An action on the platform failed.',
                act=repr(step),
                error=str(error),
            )

    async def _commit(self, record: Record) -> None:
        try:
            await self._journal.commit(record)
        except JournalError as error:
            self._emit(
                'Committing a record failed.',
                record=repr(record),
                reason=str(error),
            )

    async def _call_platform(self, step: action.Action) -> None:
        match step:
            case action.DrainVm(vm_id, boot):
                await self._fleet.drain(vm_id, boot)
            case action.RebootVm(vm_id, boot):
                await self._fleet.reboot(vm_id, boot)
            case action.MoveVm(vm_id, boot, pool):
                await self._fleet.move(vm_id, boot, pool)
            case action.StopTask(vm_id, boot, task_id):
                await self._fleet.stop_task(vm_id, boot, task_id)
            case action.StartTask():
                await self._fleet.start_task(
                    TaskOrder(
                        vm_id=step.vm_id,
                        boot=step.boot,
                        task_id=step.task_id,
                        payload=step.payload,
                        lease_seconds=step.lease_seconds,
                    )
                )

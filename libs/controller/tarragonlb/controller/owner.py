"""The owner of one partition, for one term.

It fences the former owner, reads what is stored, and then makes rounds: events
of its links and feeds go into the scheduler, decisions come out, what they
change is stored, and only then are starts sent.  While a round is being stored
events are still taken in, so that leases go on when the store does not answer.
"""

from collections.abc import Callable

import trio

from tarragonlb.controller import events
from tarragonlb.controller.clock import read_moment
from tarragonlb.controller.decisionlog import DecisionLog
from tarragonlb.controller.handover import HandOver
from tarragonlb.controller.link import WorkerLink
from tarragonlb.controller.loadshow import LoadShow
from tarragonlb.controller.membership import Holding
from tarragonlb.controller.partition import PartitionFeed
from tarragonlb.controller.ports import Clock, Store, Workers
from tarragonlb.controller.settings import ControllerSettings
from tarragonlb.controller.storage import RoundStorage
from tarragonlb.controller.view import View
from tarragonlb.scheduling.orders import (
    OrderResult,
    PaceOrder,
    SchedulingDecision,
    StartOrder,
    StopOrder,
)
from tarragonlb.scheduling.placement import PackNearData
from tarragonlb.scheduling.records import RecordError
from tarragonlb.scheduling.scheduler import Scheduler
from tarragonlb.telemetry.fleetmetrics import FLEET_METER, ROUND_SECONDS
from tarragonlb.telemetry.log import Log

LOG = Log('owner')
INBOX_SIZE = 1000


class TermEndedError(Exception):
    """The term of this owner is over."""


class PoolOwner:
    """Gives all orders to the workers of one partition's pools."""

    __slots__ = (
        '_clock',
        '_decisions',
        '_feed',
        '_hand_over',
        '_holding',
        '_inbox',
        '_is_storing',
        '_lease_seconds',
        '_links',
        '_loads',
        '_next_round_at',
        '_nursery',
        '_receive',
        '_scheduler',
        '_settings',
        '_storage',
        '_view',
        '_workers',
    )

    def __init__(
        self,
        holding: Holding,
        feed: PartitionFeed,
        store: Store,
        workers: Workers,
        view: View,
        settings: ControllerSettings,
        clock: Clock,
    ) -> None:
        """Own the partition of ``holding``."""
        self._holding = holding
        self._feed = feed
        self._workers = workers
        self._view = view
        self._settings = settings
        self._clock = clock
        self._storage = RoundStorage(holding, store, feed, settings)
        self._hand_over = HandOver(store, settings)
        self._loads = LoadShow(store)
        self._inbox, self._receive = trio.open_memory_channel[events.Event](
            INBOX_SIZE
        )
        self._links: dict[str, WorkerLink] = {}
        self._decisions = DecisionLog(holding)
        self._is_storing = False
        self._next_round_at = 0.0
        self._scheduler = Scheduler(
            settings.scheduling, PackNearData(), clock.read_steady()
        )

    async def run(self, lease_seconds: Callable[[], float]) -> None:
        """Own the partition until the term ends.

        ``lease_seconds`` says for how long leases may be granted now, 0 once
        the place in the group may be gone.
        """
        self._lease_seconds = lease_seconds
        # Subscribed before anything is read, so that no change is missed.
        send, changes = trio.open_memory_channel[list[str]](INBOX_SIZE)
        self._feed.subscribe(send)
        try:
            async with trio.open_nursery() as nursery:
                self._nursery = nursery
                await self._hold_term(changes)
        except* TermEndedError as group:
            reasons = [str(error) for error in group.exceptions]
            LOG.say(
                'A term ended.',
                reasons=reasons,
                partition=self._holding.partition,
                term=self._holding.term,
            )
        finally:
            self._feed.unsubscribe()

    async def _hold_term(
        self, changes: trio.MemoryReceiveChannel[list[str]]
    ) -> None:
        reason = await self._storage.fence()
        if reason:
            raise TermEndedError(reason)
        self._begin()
        self._nursery.start_soon(self._forward_jobs, changes)
        self._nursery.start_soon(self._forward_view)
        await self._make_rounds()

    def _begin(self) -> None:
        now = self._clock.read_steady()
        pool = self._scheduler.state
        self._update_view()
        for entry in self._feed.ledger.list_jobs():
            self._take_job(entry.job_id, now)
        LOG.say(
            'A term began.',
            jobs=len(pool.jobs),
            workers=len(pool.workers),
            partition=self._holding.partition,
            term=self._holding.term,
        )

    async def _forward_jobs(
        self, changes: trio.MemoryReceiveChannel[list[str]]
    ) -> None:
        async for job_ids in changes:
            await self._inbox.send(events.JobsChanged(job_ids))

    async def _forward_view(self) -> None:
        while True:
            await self._view.wait_for_change()
            await self._inbox.send(events.ViewChanged())

    async def _make_rounds(self) -> None:
        settings = self._settings
        while True:
            now = self._clock.read_steady()
            pause = max(self._next_round_at - now, 0)
            with trio.move_on_after(pause):
                self._apply(await self._receive.receive())
                is_early = now + settings.round_seconds < self._next_round_at
                if is_early and not self._is_storing:
                    self._next_round_at = now + settings.round_seconds
            self._drain_inbox()
            if self._clock.read_steady() >= self._next_round_at:
                self._make_round()

    def _drain_inbox(self) -> None:
        while True:
            try:
                event = self._receive.receive_nowait()
            except trio.WouldBlock:
                return
            self._apply(event)

    def _make_round(self) -> None:
        now = self._clock.read_steady()
        self._next_round_at = now + self._settings.idle_round_seconds
        if self._is_storing:
            return
        decided = self._scheduler.decide(read_moment(self._clock))
        took = self._clock.read_steady() - now
        FLEET_METER.record(ROUND_SECONDS, took)
        self._decisions.log_notes(self._scheduler.state.released_attempts)
        self._decisions.log_stops(decided.stops)
        for stop in decided.stops:
            self._give(stop)
        for pace in decided.paces:
            self._give(pace)
        self._hand_over_empty()
        for record in self._loads.list_changed(self._scheduler.state, now):
            self._nursery.start_soon(self._loads.announce, record)
        if decided.jobs or decided.removed:
            self._is_storing = True
            self._nursery.start_soon(self._store, decided)
        else:
            self._finish_round(decided)

    async def _store(self, decided: SchedulingDecision) -> None:
        reason = await self._storage.store(decided)
        if reason:
            raise TermEndedError(reason)
        await self._inbox.send(events.RoundStored(decided))

    def _finish_round(self, decided: SchedulingDecision) -> None:
        self._is_storing = False
        for worker_id, (born, number) in decided.end_acks.items():
            link = self._links.get(worker_id)
            if link is not None:
                link.allow_forgetting(born, number)
        if decided.starts:
            self._decisions.log_starts(decided, self._scheduler.state.workers)
        for start in decided.starts:
            self._give(start)
        if self._scheduler.state.changed_jobs:
            self._next_round_at = self._clock.read_steady()

    def _give(self, order: StartOrder | StopOrder | PaceOrder) -> None:
        link = self._links.get(order.worker_id)
        if link is None or not link.give(order):
            self._apply(events.Answered(order, OrderResult.REFUSED))

    def _apply(self, event: events.Event) -> None:
        if isinstance(event, events.TermEnded):
            raise TermEndedError(event.reason)
        now = self._clock.read_steady()
        reconciler = self._scheduler.reconciler
        match event:
            case events.Reported():
                self._decisions.log_ends(
                    event.report, self._scheduler.state.workers
                )
                reconciler.apply_report(event.report)
            case events.JobsChanged():
                for job_id in event.job_ids:
                    self._take_job(job_id, now)
            case events.Answered():
                self._apply_answer(event, now)
            case events.RoundStored():
                self._finish_round(event.round)
            case events.ViewChanged():
                self._update_view()
            case events.Silent():
                reconciler.note_silence(event.worker_id, event.lease_until)
            case events.LifeEnded():
                reconciler.note_worker_replaced(event.worker_id)

    def _apply_answer(self, event: events.Answered, now: float) -> None:
        order_tracker = self._scheduler.order_tracker
        order, result = event.order, event.result
        if isinstance(order, StartOrder):
            order_tracker.apply_start_result(order, result, now)
        elif isinstance(order, PaceOrder):
            if result is not OrderResult.DONE:
                self._scheduler.pacer.note_refused(order)
        else:
            order_tracker.apply_stop_result(order, result, now)

    def _take_job(self, job_id: str, now: float) -> None:
        entry = self._feed.ledger.find(job_id)
        if entry is None:
            return
        pool = self._scheduler.state
        if job_id not in pool.jobs:
            try:
                pool.add_job(entry.build_state(read_moment(self._clock)))
            except RecordError as error:
                LOG.say('A job was ignored.', job=job_id, reason=str(error))
                return
        if entry.is_cancelled:
            pool.cancel_job(job_id, now)

    def _update_view(self) -> None:
        view = self._view
        pool = self._scheduler.state
        if view.configuration is not None:
            pool.queues = view.configuration.queues.by_name
        mine = [
            worker
            for worker in view.workers.values()
            if self._settings.find_partition(worker.pool)
            == self._holding.partition
        ]
        pool.update_workers(mine)
        closing = view.board.drain_requests_by_worker
        for worker_id, state in pool.workers.items():
            state.is_drain_requested = worker_id in closing
        self._update_links()

    def _update_links(self) -> None:
        workers = self._scheduler.state.workers
        for worker_id in tuple(self._links):
            if worker_id not in workers:
                self._links.pop(worker_id).scope.cancel()
        for worker_id, state in workers.items():
            link = self._links.get(worker_id)
            if link is None and state.entry.address:
                link = WorkerLink(
                    state.entry,
                    self._holding.term,
                    self._workers,
                    self._settings,
                    self._clock,
                )
                self._links[worker_id] = link
                self._nursery.start_soon(
                    link.run,
                    self._inbox,
                    self._lease_seconds,
                    self._scheduler.is_still_wanted,
                )
            elif link is not None:
                link.worker = state.entry

    def _hand_over_empty(self) -> None:
        workers = self._scheduler.state.workers
        for closing in self._hand_over.list_new(self._view.board, workers):
            self._nursery.start_soon(self._hand_over.announce, closing)

"""The owner of one partition's pools, for one term.

The owner fences its predecessor, reads the stored records and then runs
scheduling rounds: events of worker sessions and feeds go into the scheduler,
the changes that it decides on are stored, and only then are start orders sent.
Events are also handled while a decision is being stored, so that leases are
extended even if the store does not answer.
"""

import math
from collections.abc import Callable
from functools import partial

import trio

from tarragonlb.controller import events
from tarragonlb.controller.clock import read_moment
from tarragonlb.controller.decisionlog import DecisionLog
from tarragonlb.controller.decisionstorage import DecisionStorage
from tarragonlb.controller.drainreporter import DrainReporter
from tarragonlb.controller.jobforwarder import JobForwarder, build_state
from tarragonlb.controller.leasehandover import LeaseHandover
from tarragonlb.controller.loadpublisher import LoadPublisher
from tarragonlb.controller.membership import OwnedPartition
from tarragonlb.controller.ordergate import WorkerAccess
from tarragonlb.controller.ownerreport import OwnerReport, TermProgress
from tarragonlb.controller.partition import PartitionFeed
from tarragonlb.controller.partitionquota import PartitionQuota
from tarragonlb.controller.platformview import DirectoryGate, PlatformView
from tarragonlb.controller.ports import Clock, Store
from tarragonlb.controller.settings import ControllerSettings
from tarragonlb.controller.termlog import TermLog
from tarragonlb.controller.vmwatch import VmWatch
from tarragonlb.controller.workersessions import WorkerSessions
from tarragonlb.scheduling.orders import (
    OrderResult,
    PaceOrder,
    SchedulingDecision,
    StartOrder,
    StopOrder,
)
from tarragonlb.telemetry.fleetmetrics import FLEET_METER, ROUND_SECONDS

INBOX_SIZE = 1000
NO_LONGER_OWNER = 'the partition is released, or its owner failed'


class TermEndedError(Exception):
    """The term of this owner has ended; the message says why."""


class PoolOwner:
    """Schedules the jobs of one partition on the workers of its pools."""

    __slots__ = (
        '_advice_caller',
        '_clock',
        '_decision_log',
        '_directory_gate',
        '_drain_reporter',
        '_feed',
        '_forwarder',
        '_inbox',
        '_inbox_receiver',
        '_lease_handover',
        '_lease_seconds',
        '_load_publisher',
        '_next_round_at',
        '_nursery',
        '_owned',
        '_quota',
        '_report',
        '_scheduler',
        '_sessions',
        '_settings',
        '_storage',
        '_storing_since',
        '_term_log',
        '_view',
        '_workers',
    )

    def __init__(
        self,
        owned: OwnedPartition,
        feed: PartitionFeed,
        store: Store,
        workers: WorkerAccess,
        view: PlatformView,
        settings: ControllerSettings,
        clock: Clock,
    ) -> None:
        """Own the partition ``owned`` for its term."""
        self._quota = PartitionQuota(owned, feed.quota_feed, store, settings)
        self._owned = owned
        self._feed = feed
        self._workers = workers
        self._view = view
        self._settings = settings
        self._clock = clock
        self._storage = DecisionStorage(owned, store, feed, settings)
        self._forwarder = JobForwarder(feed, store, view, settings, clock)
        self._drain_reporter = DrainReporter(store, settings, clock)
        self._load_publisher = LoadPublisher(owned, store, view, settings)
        self._inbox, self._inbox_receiver = trio.open_memory_channel[
            events.Event
        ](INBOX_SIZE)
        self._term_log = TermLog(owned, feed)
        self._directory_gate = DirectoryGate(
            view, settings, clock.read_boottime()
        )
        self._report = OwnerReport(owned, clock.read_monotonic())
        self._storing_since: float | None = None
        self._next_round_at = 0.0
        self._advice_caller = workers.create_advice_caller(owned, clock)
        self._scheduler = self._quota.build_scheduler(
            clock.read_monotonic(), self._advice_caller.filters
        )
        self._decision_log = DecisionLog(owned, self._scheduler.state)
        self._lease_handover = LeaseHandover(
            self._scheduler, self._storage, self._decision_log
        )
        self._sessions = WorkerSessions(owned.term, workers, settings, clock)

    async def run(self, lease_seconds: Callable[[], float]) -> None:
        """Own the partition until the term ends.

        ``lease_seconds`` returns how long leases may be granted now, 0 once
        the membership in the group may have expired.
        """
        self._lease_seconds = lease_seconds
        # Subscribe before reading anything, so that no change is missed.
        subscriber, changes = trio.open_memory_channel[list[str]](math.inf)
        self._feed.subscribe(subscriber)
        reasons: list[str] = []
        try:
            async with trio.open_nursery() as nursery:
                self._nursery = nursery
                await self._run_term(changes)
        except* TermEndedError as group:
            reasons = [str(error) for error in group.exceptions]
        finally:
            await self._end_term(reasons)

    async def _end_term(self, reasons: list[str]) -> None:
        """Leave the partition; ``reasons`` are why the term has ended early."""
        self._feed.unsubscribe()
        self._term_log.log_end(
            self._scheduler.state, reasons or [NO_LONGER_OWNER]
        )
        if not reasons:
            await self._lease_handover.store_last_bounds(
                self._inbox_receiver, self._clock.read_monotonic()
            )

    async def _run_term(
        self, changes: trio.MemoryReceiveChannel[list[str]]
    ) -> None:
        self._nursery.start_soon(self._term_log.log_reading)
        reason = await self._storage.fence()
        if reason:
            raise TermEndedError(reason)
        self._load_state()
        self._nursery.start_soon(self._forward_job_changes, changes)
        self._nursery.start_soon(self._view.forward_changes, self._inbox)
        self._nursery.start_soon(self._quota.run, self._inbox)
        self._nursery.start_soon(self._forwarder.run)
        vm_watch = VmWatch(self._workers.vms, self._settings, self._clock)
        self._nursery.start_soon(
            vm_watch.run,
            self._inbox,
            lambda: bool(self._scheduler.state.list_unreachable()),
        )
        try:
            await self._run_rounds()
        finally:
            self._decision_log.log_rest(self._clock.read_monotonic())
            self._report.close()

    def _load_state(self) -> None:
        now = self._clock.read_monotonic()
        partition_state = self._scheduler.state
        partition_state.inherit_bounds(self._feed.lease_bounds.bounds)
        self._apply_view()
        for records in self._feed.job_index.list_jobs():
            self._update_job(records.job_id, now)
        self._term_log.log_start(partition_state)

    async def _forward_job_changes(
        self, changes: trio.MemoryReceiveChannel[list[str]]
    ) -> None:
        async for job_ids in changes:
            await self._inbox.send(events.JobsChanged(job_ids))
        raise TermEndedError('the records of the partition are read anew')

    async def _run_rounds(self) -> None:
        min_interval = self._settings.min_round_interval_seconds
        self._next_round_at = self._clock.read_monotonic()
        while True:
            now = self._clock.read_monotonic()
            wait_seconds = max(self._next_round_at - now, 0)
            with trio.move_on_after(wait_seconds):
                self._handle_event(await self._inbox_receiver.receive())
                is_early = now + min_interval < self._next_round_at
                if is_early and self._storing_since is None:
                    self._next_round_at = now + min_interval
            self._handle_queued_events()
            if self._clock.read_monotonic() >= self._next_round_at:
                self._run_round()
            self._report.emit_if_due(
                self._scheduler.state,
                TermProgress(
                    queued_events=(
                        self._inbox_receiver.statistics().current_buffer_used
                    ),
                    start_window=self._scheduler.start_window,
                    storing_since=self._storing_since,
                    may_place=self._directory_gate.is_open,
                    wait_reasons=self._scheduler.wait_reasons,
                ),
                self._clock.read_monotonic(),
            )

    def _handle_queued_events(self) -> None:
        while True:
            try:
                event = self._inbox_receiver.receive_nowait()
            except trio.WouldBlock:
                return
            self._handle_event(event)

    def _run_round(self) -> None:
        now = self._clock.read_monotonic()
        delay = now - self._next_round_at
        self._next_round_at = now + self._settings.max_round_interval_seconds
        if self._storing_since is not None:
            return
        self._decision_log.log_collected(now)
        decision = self._decide()
        elapsed = self._clock.read_monotonic() - now
        FLEET_METER.record(ROUND_SECONDS, elapsed)
        self._report.note_round(delay, elapsed)
        self._decision_log.log_released(now)
        self._decision_log.log_stops(decision.stops, now)
        for stop in decision.stops:
            self._enqueue_order(stop)
        for pace in decision.paces:
            self._enqueue_order(pace)
        self._start_reports(now)
        self._decision_log.log_bounds(decision.bound_changes)
        if decision.has_records or self._storage.must_clean_up(now):
            self._storing_since = now
            self._nursery.start_soon(self._store_decision, decision, now)
        else:
            self._finish_round(decision)

    def _start_reports(self, now: float) -> None:
        state = self._scheduler.state
        self._drain_reporter.start_reports(
            self._nursery, self._view.fleet_state, state.workers
        )
        self._load_publisher.start_reports(self._nursery, state, self._clock)
        self._quota.start_reports(self._nursery, state, now)

    def _decide(self) -> SchedulingDecision:
        boottime = self._clock.read_boottime()
        self._quota.begin_round(
            self._scheduler.state, self._clock.read_monotonic()
        )
        contact_age = self._view.compute_contact_age(boottime)
        if not self._directory_gate.is_open:
            self._directory_gate.try_open(boottime)
            self._apply_view()
        decision = self._scheduler.decide(
            read_moment(self._clock),
            is_store_suspect=contact_age > self._settings.store_suspect_seconds,
            may_place=self._directory_gate.is_open,
        )
        self._advice_caller.start_calls(
            self._nursery, self._inbox, self._scheduler.state
        )
        return decision

    async def _store_decision(
        self, decision: SchedulingDecision, now: float
    ) -> None:
        reason = await self._storage.store(decision, now)
        if reason:
            raise TermEndedError(reason)
        await self._inbox.send(events.DecisionStored(decision))

    def _finish_round(self, decision: SchedulingDecision) -> None:
        self._storing_since = None
        now = self._clock.read_monotonic()
        self._scheduler.note_stored(decision, now)
        self._sessions.acknowledge_ends(decision.end_acks)
        if decision.starts:
            self._decision_log.log_starts(decision, now)
        for start in decision.starts:
            self._enqueue_order(start)
        if self._scheduler.state.changed_jobs:
            self._next_round_at = now

    def _enqueue_order(self, order: StartOrder | StopOrder | PaceOrder) -> None:
        if not self._sessions.enqueue(order):
            self._handle_event(
                events.OrderAnswered(order, OrderResult.WITHHELD)
            )

    def _handle_event(self, event: events.Event) -> None:
        if isinstance(event, events.TermEnded):
            raise TermEndedError(event.reason)
        now = self._clock.read_monotonic()
        match event:
            case events.JobsChanged():
                for job_id in event.job_ids:
                    self._update_job(job_id, now)
            case events.OrderAnswered():
                self._scheduler.apply_order_result(
                    event.order, event.result, now, event.token
                )
                self._advice_caller.note_result(event.order, event.result)
            case events.AdviceAnswered():
                self._advice_caller.apply_answer(event, self._scheduler.state)
            case events.DecisionStored():
                self._finish_round(event.decision)
            case events.ViewChanged():
                self._apply_view()
            case events.SharesChanged():
                self._quota.apply_changes(event.tenants, self._scheduler.state)
            case _:
                self._handle_worker_event(event)

    def _handle_worker_event(self, event: events.Event) -> None:
        reconciler = self._scheduler.reconciler
        match event:
            case events.ReportReceived():
                self._decision_log.collect_ends(event.report)
                reconciler.apply_report(event.report)
            case events.WorkerSilent():
                reconciler.note_silence(
                    event.worker_id,
                    event.lease_until,
                    self._clock.read_monotonic(),
                    event.unread_lease_until,
                )
            case events.WorkerReplaced():
                reconciler.note_worker_replaced(
                    event.worker_id, self._clock.read_monotonic()
                )
            case events.VmsListed():
                reconciler.apply_vm_listing(event.listing)

    def _update_job(self, job_id: str, now: float) -> None:
        partition_state = self._scheduler.state
        is_known = job_id in partition_state.jobs
        records = self._forwarder.find_own(job_id, is_known=is_known)
        if records is None:
            return
        if not is_known:
            state = build_state(records, read_moment(self._clock))
            if state is None:
                return
            partition_state.add_job(state)
        if records.is_cancelled:
            partition_state.cancel_job(job_id, now)

    def _apply_view(self) -> None:
        view = self._view
        partition_state = self._scheduler.state
        if view.configuration is not None:
            partition_state.queues = view.configuration.queues.by_name
            partition_state.tenants = view.configuration.tenants
        partition_workers = [
            worker
            for worker in view.workers.values()
            if view.find_partition(worker.pool) == self._owned.partition
        ]
        partition_state.update_workers(partition_workers)
        partition_state.evidence.replaced_workers = (
            view.address_history.replaced
        )
        partition_state.apply_drain_requests(
            view.fleet_state.drain_requests_by_worker
        )
        self._sessions.update(
            partition_state.workers,
            self._nursery,
            self._inbox,
            partial(
                self._lease_handover.limit_leases,
                lease_seconds=self._lease_seconds,
            ),
            self._scheduler.is_still_wanted,
        )

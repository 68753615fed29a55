"""Runs a trial: a maintenance wave, clients and an operator under one fault.

A trial collects the evidence for all promises in one run; the checks run on
that evidence afterwards.  All waits poll for a condition with a generous
timeout.
"""

import functools
import signal
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path

from tarragonlb.standin.apiclient import ApiClient, poll
from tarragonlb.standin.cluster import OPERATOR_TOKEN, Cluster, make_fleet
from tarragonlb.standin.endpointapp import EndpointEvent
from tarragonlb.standin.faultinjection import FaultInjection
from tarragonlb.standin.installation import (
    POOL,
    STATUS_OK,
    TEAM_PATH,
    TEAM_TOKEN,
    WAIT_TIMEOUT_SECONDS,
    Documents,
    Installation,
)
from tarragonlb.standin.loadgenerator import LoadGenerator, RequestRecord
from tarragonlb.standin.observer import Observer
from tarragonlb.standin.race import race_operators
from tarragonlb.standin.violation import PlatformReport

POOL_VM_COUNT = 6
ACTIVATION_SECONDS = 18
LONG_REQUEST_SECONDS = 5
HELD_SECONDS = 6
FIRST_DRAINS = 2
JOB_COUNT = 2
# Jobs whose first attempt coincides with the fault.
LATE_JOB_COUNT = 1
JOB_SECONDS = 8
STOPPING_REQUEST_SECONDS = 2
STATUS_CONFLICT = 409


@dataclass(slots=True)
class Evidence:
    """Everything that a trial recorded.

    ``jobs`` maps job ids to phases, and ``exit_code`` is that of the daemon
    that was asked to stop.
    """

    requests: list[RequestRecord] = field(default_factory=list)
    events: list[EndpointEvent] = field(default_factory=list)
    versions: dict[str, list[int]] = field(default_factory=dict)
    vm_pools: set[tuple[tuple[str, str], ...]] = field(default_factory=set)
    race_winners: list[int] = field(default_factory=list)
    report: PlatformReport = PlatformReport((), {}, (), (), ())
    jobs: dict[str, str] = field(default_factory=dict)
    exit_code: int = -1
    change_active: bool = False
    wave_finished: bool = False


class Trial:
    """Runs an installation while one fault is injected."""

    __slots__ = (
        '_change_accepted',
        '_cluster',
        '_fault_injection',
        '_evidence',
        '_load_generator',
        '_observer',
        '_documents',
        '_installation',
        '_races',
        '_wave_id',
    )

    def __init__(
        self,
        folder: Path,
        fault_injection: FaultInjection,
        documents: Documents,
        *,
        races: bool,
    ) -> None:
        """Prepare the installation; ``races`` lets two operators race."""
        self._cluster = Cluster(folder, make_fleet({POOL: POOL_VM_COUNT}))
        self._installation = Installation(self._cluster)
        self._fault_injection = fault_injection
        self._documents = documents
        self._races = races
        addresses = self._cluster.addresses
        self._load_generator = LoadGenerator(addresses, TEAM_TOKEN)
        self._observer = Observer(addresses, OPERATOR_TOKEN, TEAM_PATH)
        self._evidence = Evidence()
        self._change_accepted = threading.Event()
        self._wave_id = ''

    def run(self) -> Evidence:
        """Run the trial and return its evidence."""
        try:
            self._run_steps()
        finally:
            self._cluster.stop()
        return self._evidence

    def _run_steps(self) -> None:
        self._installation.start(self._documents)
        self._observer.start()
        self._load_generator.start()
        for index, entry in enumerate(self._cluster.addresses):
            self._load_generator.start_long_request(
                entry, LONG_REQUEST_SECONDS, f'long-{index}'
            )
        victim, survivor, stopped = self._assign_roles()
        self._submit_jobs(survivor, JOB_COUNT)
        self._start_wave(survivor)
        self._wait_for_attempts(survivor)
        self._inject_fault(victim, survivor, stopped)
        self._wait_for_results(survivor)
        self._load_generator.stop()
        self._observer.stop()
        self._collect_evidence()

    def _assign_roles(self) -> tuple[str, str, str]:
        victim = self._installation.find_planner()
        survivor, stopped = (
            entry for entry in self._cluster.addresses if entry != victim
        )
        return victim, survivor, stopped

    def _submit_jobs(self, survivor: str, count: int) -> None:
        client = self._installation.make_team_client(survivor)
        job = {
            'kind': 'index',
            'pool': POOL,
            'payload': f'seconds={JOB_SECONDS}',
        }
        for _ in range(count):
            accepted = client.post('/v1/jobs', job)
            self._evidence.jobs[accepted.fields['job_id']] = 'queued'

    def _wait_for_attempts(self, survivor: str) -> None:
        # With a fault before the first attempt a job may end as unknown without
        # one, and nothing would show that attempts are counted.
        poll(self._have_jobs_begun, WAIT_TIMEOUT_SECONDS)
        self._submit_jobs(survivor, LATE_JOB_COUNT)

    def _have_jobs_begun(self) -> bool:
        return self._installation.count_attempts() >= JOB_COUNT

    def _start_wave(self, survivor: str) -> None:
        self._start_held_requests()
        self._wave_id = self._installation.start_wave(survivor)
        for entry in self._cluster.addresses:
            has_unavailable = functools.partial(
                self._installation.list_unavailable, entry
            )
            poll(has_unavailable, WAIT_TIMEOUT_SECONDS)
        poll(self._has_drained, WAIT_TIMEOUT_SECONDS)

    def _has_drained(self) -> bool:
        return self._installation.count_drains() >= FIRST_DRAINS

    def _start_held_requests(self) -> None:
        for vm in self._cluster.fleet.vms[:FIRST_DRAINS]:
            client = ApiClient(vm.address or '', TEAM_TOKEN)
            path = f'/call/hold?mark=hold-{vm.vm_id}&seconds={HELD_SECONDS}'
            thread = threading.Thread(
                target=client.get, args=(path,), daemon=True
            )
            thread.start()

    def _inject_fault(self, victim: str, survivor: str, stopped: str) -> None:
        self._fault_injection.inject(self._cluster, victim)
        repair_at = time.monotonic() + self._fault_injection.duration_seconds
        publisher = threading.Thread(target=self._publish, args=(survivor,))
        publisher.start()
        if self._races:
            racers = (
                self._installation.make_operator_client(victim),
                self._installation.make_operator_client(survivor),
            )
            document = self._documents.pool
            self._evidence.race_winners = race_operators(racers, POOL, document)
        self._stop_gracefully(stopped)
        time.sleep(max(repair_at - time.monotonic(), 0))
        self._fault_injection.repair(self._cluster, victim)
        self._cluster.start_daemon(stopped)
        for entry in self._cluster.addresses:
            self._cluster.wait_until_ready(entry)
        publisher.join()

    def _stop_gracefully(self, stopped: str) -> None:
        self._load_generator.start_long_request(
            stopped, STOPPING_REQUEST_SECONDS, 'stopping'
        )
        time.sleep(STOPPING_REQUEST_SECONDS / 4)
        self._cluster.send_signal(stopped, signal.SIGTERM)
        self._evidence.exit_code = self._cluster.wait_for_exit(stopped)

    def _publish(self, survivor: str) -> None:
        operator = self._installation.make_operator_client(survivor)
        document = b'%s\n' % self._documents.team
        deadline = time.monotonic() + WAIT_TIMEOUT_SECONDS
        while time.monotonic() < deadline:
            response = operator.put(TEAM_PATH, document, {'if-match': '1'})
            if response.status in {STATUS_OK, STATUS_CONFLICT}:
                self._change_accepted.set()
                return

    def _wait_for_results(self, survivor: str) -> None:
        evidence = self._evidence
        is_active = functools.partial(self._observer.has_version, 2)
        evidence.change_active = _is_true_within(is_active, ACTIVATION_SECONDS)
        is_finished = functools.partial(
            _is_finished,
            self._installation.make_operator_client(survivor),
            self._wave_id,
        )
        evidence.wave_finished = _is_true_within(
            is_finished, WAIT_TIMEOUT_SECONDS
        )
        have_ended = functools.partial(self._have_jobs_ended, survivor)
        _is_true_within(have_ended, WAIT_TIMEOUT_SECONDS)

    def _have_jobs_ended(self, survivor: str) -> bool:
        operator = self._installation.make_operator_client(survivor)
        for job_id in self._evidence.jobs:
            response = operator.get(f'/v1/jobs/{job_id}')
            phase = response.fields.get('phase', 'lost')
            self._evidence.jobs[job_id] = phase
        return not {'queued', 'started'}.intersection(
            self._evidence.jobs.values()
        )

    def _collect_evidence(self) -> None:
        evidence = self._evidence
        evidence.change_active = (
            evidence.change_active and self._change_accepted.is_set()
        )
        evidence.requests = self._load_generator.records
        evidence.versions = self._observer.versions
        evidence.vm_pools = self._observer.vm_pools
        evidence.events = self._cluster.read_events()
        evidence.report = self._cluster.read_report()


def _is_finished(operator: ApiClient, wave_id: str) -> bool:
    response = operator.get(f'/v1/waves/{wave_id}')
    return bool(response.fields['status'] == 'finished')


def _is_true_within(check: Callable[[], bool], seconds: float) -> bool:
    try:
        return poll(check, seconds)
    except TimeoutError:
        return False

"""A trial: a maintenance wave, callers and an operator, under one fault.

It gathers evidence of every promise at once; the checks are made on that
evidence afterwards.  All waits poll for an event with a generous limit.
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
from tarragonlb.standin.disturbance import Disturbance
from tarragonlb.standin.endpointapp import EndpointEvent
from tarragonlb.standin.installation import (
    PATIENCE_SECONDS,
    POOL,
    STATUS_OK,
    TEAM_PATH,
    TEAM_TOKEN,
    Documents,
    Installation,
)
from tarragonlb.standin.load import Load, Try
from tarragonlb.standin.observer import Observer
from tarragonlb.standin.race import race_operators
from tarragonlb.standin.violation import Report

POOL_VMS = 6
FORCE_SECONDS = 18
LONG_SECONDS = 5
HOLD_SECONDS = 6
DRAINED_FIRST = 2
JOBS = 2
JOB_SECONDS = 8
STOP_SECONDS = 2
STATUS_CONFLICT = 409


@dataclass(slots=True)
class Evidence:
    """What was seen in a trial."""

    tries: list[Try] = field(default_factory=list)
    events: list[EndpointEvent] = field(default_factory=list)
    versions: dict[str, list[int]] = field(default_factory=dict)
    pools: set[tuple[tuple[str, str], ...]] = field(default_factory=set)
    race_winners: list[int] = field(default_factory=list)
    report: Report = Report((), {}, (), (), ())
    jobs: dict[str, str] = field(default_factory=dict)
    stop_code: int = -1
    in_force: bool = False
    wave_finished: bool = False


class Trial:
    """Runs one installation through one disturbance."""

    __slots__ = (
        '_accepted',
        '_cluster',
        '_disturbance',
        '_evidence',
        '_load',
        '_observer',
        '_documents',
        '_installation',
        '_races',
        '_wave',
    )

    def __init__(
        self,
        folder: Path,
        disturbance: Disturbance,
        documents: Documents,
        *,
        races: bool,
    ) -> None:
        """Prepare processes below a folder; operators may race."""
        self._cluster = Cluster(folder, make_fleet({POOL: POOL_VMS}))
        self._installation = Installation(self._cluster)
        self._disturbance = disturbance
        self._documents = documents
        self._races = races
        addresses = self._cluster.addresses
        self._load = Load(addresses, TEAM_TOKEN)
        self._observer = Observer(addresses, OPERATOR_TOKEN, TEAM_PATH)
        self._evidence = Evidence()
        self._accepted = threading.Event()
        self._wave = ''

    def run(self) -> Evidence:
        """Run the trial and return what was seen."""
        try:
            self._run()
        finally:
            self._cluster.stop()
        return self._evidence

    def _run(self) -> None:
        self._installation.start(self._documents)
        self._observer.start()
        self._load.start()
        for index, entry in enumerate(self._cluster.addresses):
            self._load.start_long(entry, LONG_SECONDS, f'long-{index}')
        victim, keeper, spare = self._list_roles()
        self._submit_jobs(keeper)
        self._start_wave(keeper)
        self._disturb(victim, keeper, spare)
        self._settle(keeper)
        self._load.stop()
        self._observer.stop()
        self._collect()

    def _list_roles(self) -> tuple[str, str, str]:
        victim = self._installation.find_planner()
        keeper, spare = (
            entry for entry in self._cluster.addresses if entry != victim
        )
        return victim, keeper, spare

    def _submit_jobs(self, keeper: str) -> None:
        caller = self._installation.find_team(keeper)
        order = {
            'kind': 'index',
            'pool': POOL,
            'payload': f'seconds={JOB_SECONDS}',
        }
        for _ in range(JOBS):
            accepted = caller.post('/v1/jobs', order)
            self._evidence.jobs[accepted.fields['job_id']] = 'queued'

    def _start_wave(self, keeper: str) -> None:
        self._hold_endpoints()
        self._wave = self._installation.start_wave(keeper)
        for entry in self._cluster.addresses:
            seen = functools.partial(self._installation.list_away, entry)
            poll(seen, PATIENCE_SECONDS)
        poll(self._has_drained, PATIENCE_SECONDS)

    def _has_drained(self) -> bool:
        return self._installation.count_drains() >= DRAINED_FIRST

    def _hold_endpoints(self) -> None:
        for vm in self._cluster.fleet.vms[:DRAINED_FIRST]:
            caller = ApiClient(vm.address or '', TEAM_TOKEN)
            path = f'/call/hold?mark=hold-{vm.vm_id}&seconds={HOLD_SECONDS}'
            holding = threading.Thread(
                target=caller.get, args=(path,), daemon=True
            )
            holding.start()

    def _disturb(self, victim: str, keeper: str, spare: str) -> None:
        self._disturbance.begin(self._cluster, victim)
        ends_at = time.monotonic() + self._disturbance.hold_seconds
        publishing = threading.Thread(target=self._publish, args=(keeper,))
        publishing.start()
        if self._races:
            racers = (
                self._installation.find_operator(victim),
                self._installation.find_operator(keeper),
            )
            text = self._documents.pool
            self._evidence.race_winners = race_operators(racers, POOL, text)
        self._stop_spare(spare)
        time.sleep(max(ends_at - time.monotonic(), 0))
        self._disturbance.end(self._cluster, victim)
        self._cluster.start_daemon(spare)
        for entry in self._cluster.addresses:
            self._cluster.wait_ready(entry)
        publishing.join()

    def _stop_spare(self, spare: str) -> None:
        self._load.start_long(spare, STOP_SECONDS, 'stopping')
        time.sleep(STOP_SECONDS / 4)
        self._cluster.send_signal(spare, signal.SIGTERM)
        self._evidence.stop_code = self._cluster.wait_for_exit(spare)

    def _publish(self, keeper: str) -> None:
        operator = self._installation.find_operator(keeper)
        text = b'%s\n' % self._documents.team
        limit = time.monotonic() + PATIENCE_SECONDS
        while time.monotonic() < limit:
            answer = operator.put(TEAM_PATH, text, {'if-match': '1'})
            if answer.status in {STATUS_OK, STATUS_CONFLICT}:
                self._accepted.set()
                return

    def _settle(self, keeper: str) -> None:
        evidence = self._evidence
        in_force = functools.partial(self._observer.has_version, 2)
        evidence.in_force = _happens(in_force, FORCE_SECONDS)
        finished = functools.partial(
            _is_finished, self._installation.find_operator(keeper), self._wave
        )
        evidence.wave_finished = _happens(finished, PATIENCE_SECONDS)
        ended = functools.partial(self._have_jobs_ended, keeper)
        _happens(ended, PATIENCE_SECONDS)

    def _have_jobs_ended(self, keeper: str) -> bool:
        operator = self._installation.find_operator(keeper)
        for job_id in self._evidence.jobs:
            answer = operator.get(f'/v1/jobs/{job_id}')
            phase = answer.fields.get('phase', 'lost')
            self._evidence.jobs[job_id] = phase
        return not {'queued', 'started'}.intersection(
            self._evidence.jobs.values()
        )

    def _collect(self) -> None:
        evidence = self._evidence
        evidence.in_force = evidence.in_force and self._accepted.is_set()
        evidence.tries = self._load.tries
        evidence.versions = self._observer.versions
        evidence.pools = self._observer.pools
        evidence.events = self._cluster.read_events()
        evidence.report = self._cluster.read_report()


def _is_finished(operator: ApiClient, wave_id: str) -> bool:
    answer = operator.get(f'/v1/waves/{wave_id}')
    return bool(answer.fields['status'] == 'finished')


def _happens(check: Callable[[], bool], seconds: float) -> bool:
    try:
        return poll(check, seconds)
    except TimeoutError:
        return False

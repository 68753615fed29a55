"""Simulates pools whose peaks come in turn and that share a fleet of VMs.

The schedulers, the load reports and the rebalancer are real; directory, drain
requests and moves take as long as between daemons.  Nothing is lost: this
simulation shows who is served at a peak, not what survives faults.
"""

import itertools
import math
import random
from collections import Counter
from dataclasses import dataclass, field

from tarragonlb.scheduling.demand import MIN_WORKERS, measure_load
from tarragonlb.scheduling.fleetrecords import (
    DrainRequest,
    build_drain_record,
    build_drained_record,
    build_load_record,
    build_reopen_record,
)
from tarragonlb.scheduling.fleetstate import FleetState
from tarragonlb.scheduling.job import Demand, Job, JobSpec, Moment, Step
from tarragonlb.scheduling.jobstate import JobOutcome, JobState
from tarragonlb.scheduling.orders import OrderResult
from tarragonlb.scheduling.placement import PackNearData
from tarragonlb.scheduling.policies import SchedulingPolicies
from tarragonlb.scheduling.queue import Queue
from tarragonlb.scheduling.rebalancing import PoolRebalancer
from tarragonlb.scheduling.records import KeyedRecord
from tarragonlb.scheduling.scheduler import Scheduler
from tarragonlb.scheduling.settings import SchedulingSettings
from tarragonlb.scheduling.wave import Vm, VmStatus
from tarragonlb.scheduling.worker import (
    EndedAttempt,
    RunningAttempt,
    Worker,
    WorkerReport,
)

TICK_SECONDS = 0.05
DIRECTORY_SECONDS = 0.25
FLEET_ROUND_SECONDS = 0.35
MOVE_SECONDS = 1.5
STANDBY_POOL = 'standby'
STRETCH = 1.6
OBJECTIVE_SECONDS = 0.6
# A late job is worth something up to this multiple of its objective.
LATE_FACTOR = 3.0
LATE_SHARE = 0.07
SETTINGS = SchedulingSettings(max_lease_seconds=6.0, maintenance_seconds=2.0)


@dataclass
class JobResult:
    pool: str
    submitted_at: float
    objective_seconds: float
    ended_at: float = math.inf

    @property
    def earned(self):
        """The share of its worth that the job earned."""
        duration = self.ended_at - self.submitted_at
        if duration <= self.objective_seconds:
            return 1
        is_late = duration <= LATE_FACTOR * self.objective_seconds
        return LATE_SHARE if is_late else 0


@dataclass
class SimulatedWorker:
    runs: dict = field(default_factory=dict)
    ended: list = field(default_factory=list)
    numbers: object = field(default_factory=lambda: itertools.count(1))


@dataclass
class PoolTraffic:
    """Jobs a second at the peak, and the shape of the jobs."""

    peak_rate: float
    steps: tuple[int, ...]
    width: int
    task_seconds: float
    millicores: int
    vm_cores: int = 16


class SimulatedPool:
    def __init__(self, name, traffic, policies):
        self.name = name
        self.traffic = traffic
        self.scheduler = Scheduler(SETTINGS, policies, 0.0)
        self.scheduler.state.queues = {
            name: Queue(
                name=name,
                host='h',
                path_prefix=f'/{name}/',
                pool=name,
                max_attempts=2,
                stretch=STRETCH,
                objective_seconds=OBJECTIVE_SECONDS,
            )
        }
        self.reported_drains = set()


class PeakSimulation:
    def __init__(self, seed, vm_count, traffic, peak_seconds, standby_delay=0):
        self.seed = seed
        self.random = random.Random(seed)
        self.now = 0.0
        self.ticks = 0
        self.peak_seconds = peak_seconds
        self.pools = {
            name: SimulatedPool(name, shape, self.build_policies())
            for name, shape in traffic.items()
        }
        self.workers = {}
        self.vms = {}
        self.fleet_state = FleetState()
        self.rebalancer = PoolRebalancer(standby_delay)
        self.offsets = itertools.count()
        self.drain_numbers = itertools.count(1)
        self.worker_numbers = itertools.count(1)
        self.arrivals = {}
        self.durations = {}
        self.results = {}
        self.move_count = 0
        self.pool_seconds = 0.0
        self.idle_since = {}
        self.longest_idle = 0.0
        self._create_vms(vm_count)

    def _create_vms(self, count):
        """Give each pool its minimum; the other VMs are in standby."""
        pools = [name for name in self.pools for _ in range(MIN_WORKERS)]
        for number in range(count):
            pool = pools[number] if number < len(pools) else STANDBY_POOL
            self._add_vm(f'm{number}', pool, VmStatus.UP)

    def _add_vm(self, vm_id, pool, status):
        worker_id = ''
        if pool != STANDBY_POOL and status is VmStatus.UP:
            worker_id = f'w{next(self.worker_numbers)}'
            self.workers[worker_id] = SimulatedWorker()
        self.vms[vm_id] = Vm(
            vm_id=vm_id, pool=pool, status=status, worker_id=worker_id
        )

    # Traffic.

    def run(self, seconds):
        while self.now < seconds:
            self.step()

    def compute_rate(self, index, pool):
        turn = (self.now / self.peak_seconds) % len(self.pools)
        distance = turn - index
        if not 0 <= distance < 1:
            return pool.traffic.peak_rate / 80
        return pool.traffic.peak_rate * math.sin(math.pi * distance)

    def _submit_jobs(self):
        for index, pool in enumerate(self.pools.values()):
            expected = self.compute_rate(index, pool) * TICK_SECONDS
            while self.random.random() < expected / (1 + expected):
                self._submit(pool)

    def _submit(self, pool):
        traffic = pool.traffic
        steps, chain = [], 0.0
        job_id = f'{len(self.results):016x}'
        for number in range(self.random.choice(traffic.steps)):
            width = max(1, round(self._vary(traffic.width, 0.6)))
            millicores = round(self._vary(traffic.millicores, 0.45))
            seconds = [
                self._vary(traffic.task_seconds, 0.27) for _ in range(width)
            ]
            for position, task_seconds in enumerate(seconds):
                self.durations[job_id, number, position] = task_seconds
            chain += max(seconds)
            steps.append(
                Step(
                    width=width,
                    demand=Demand(millicores, 1000, 0),
                    estimate_seconds=sum(seconds) / width,
                    prerequisites=(number - 1,) if number else (),
                )
            )
        job = Job(
            job_id=job_id,
            queue=pool.name,
            pool=pool.name,
            spec=JobSpec(payload='x', steps=tuple(steps)),
        )
        self.results[job_id] = JobResult(
            pool.name, self.now, STRETCH * chain + OBJECTIVE_SECONDS
        )
        if self.admits(pool, job):
            pool.scheduler.state.add_job(JobState(job, Moment(self.now)))

    def admits(self, pool, job):
        return True

    def build_policies(self):
        return SchedulingPolicies(placement=PackNearData())

    def _vary(self, mean, spread):
        factor = self.random.lognormvariate(-spread * spread / 2, spread)
        return mean * min(factor, 2.5)

    # Time.

    def step(self):
        self.now += TICK_SECONDS
        self.ticks += 1
        self._submit_jobs()
        if self._is_turn(DIRECTORY_SECONDS):
            self._read_directory()
        for pool in self.pools.values():
            self._report(pool)
            self._schedule(pool)
        if self._is_turn(FLEET_ROUND_SECONDS):
            self._rebalance()
        self._count()

    def _is_turn(self, seconds):
        return self.ticks % round(seconds / TICK_SECONDS) == 0

    def _count(self):
        used = [vm for vm in self.vms.values() if vm.pool != STANDBY_POOL]
        self.pool_seconds += len(used) * TICK_SECONDS
        idle = set()
        lacking = {name for name in self.pools if self._count_spare(name) < 0}
        for name, pool in self.pools.items():
            if lacking - {name} and self._count_spare(name) > 0:
                idle |= {
                    worker_id
                    for worker_id, worker in (
                        pool.scheduler.state.workers.items()
                    )
                    if worker.is_usable() and not worker.attached
                }
        self.idle_since = {
            worker_id: self.idle_since.get(worker_id, self.now)
            for worker_id in idle
        }
        begun = min(self.idle_since.values(), default=self.now)
        self.longest_idle = max(self.longest_idle, self.now - begun)

    def _count_spare(self, name):
        """Count a pool's VMs beyond those wanted; negative if it lacks some.

        VMs on their way to the pool count, those being drained do not.
        """
        load = self.fleet_state.loads.get(name)
        if load is None:
            return 0
        requests = self.fleet_state.drain_requests_by_worker
        vms = [
            vm
            for vm in self.vms.values()
            if vm.pool == name and vm.worker_id not in requests
        ]
        return len(vms) - load.wanted_workers

    def _read_directory(self):
        requests = self.fleet_state.drain_requests_by_worker
        for pool in self.pools.values():
            state = pool.scheduler.state
            state.update_workers(
                Worker(
                    worker_id=vm.worker_id,
                    pool=pool.name,
                    address='x:1',
                    capacity=Demand(pool.traffic.vm_cores * 1000, 65536, 0),
                )
                for vm in self.vms.values()
                if vm.pool == pool.name and vm.status is VmStatus.UP
            )
            for worker_id, worker in state.workers.items():
                worker.is_drain_requested = worker_id in requests
            load = measure_load(state, pool.name)
            if load is not None:
                self._publish(build_load_record(pool.name, load))

    def _report(self, pool):
        reconciler = pool.scheduler.reconciler
        for worker_id in tuple(pool.scheduler.state.workers):
            worker = self.workers.get(worker_id)
            if worker is None:
                reconciler.note_silence(worker_id, self.now, self.now)
                continue
            ended = []
            for key, (attempt, ends_at) in tuple(worker.runs.items()):
                if ends_at <= self.now:
                    worker.runs.pop(key)
                    ended.append(
                        EndedAttempt(
                            next(worker.numbers), key, attempt, 'done', ''
                        )
                    )
            if ended or self._is_turn(DIRECTORY_SECONDS):
                self._apply_report(reconciler, worker_id, worker, ended)
        for job_id, job_state in pool.scheduler.state.jobs.items():
            result = self.results[job_id]
            is_over = job_state.outcome is not JobOutcome.OPEN
            if is_over and result.ended_at == math.inf:
                result.ended_at = self.now

    def _apply_report(self, reconciler, worker_id, worker, ended):
        running = tuple(
            RunningAttempt(key, attempt, '', int(self.now * 10), 0)
            for key, (attempt, _) in worker.runs.items()
        )
        reconciler.apply_report(
            WorkerReport(
                worker_id=worker_id,
                requested_at=self.now,
                received_at=self.now,
                incarnation=1,
                running=running,
                ended=tuple(ended),
            )
        )

    def _schedule(self, pool):
        decision = pool.scheduler.decide(Moment(self.now))
        for order in decision.starts:
            key = order.key
            seconds = self.durations[key.job_id, key.step, key.position]
            worker = self.workers[order.worker_id]
            worker.runs[key] = (order.attempt, self.now + seconds)
            pool.scheduler.order_tracker.apply_start_result(
                order, OrderResult.DONE, self.now
            )
        requests = self.fleet_state.drain_requests_by_worker
        for worker_id, worker in pool.scheduler.state.workers.items():
            request = requests.get(worker_id)
            if (
                request is not None
                and worker.is_drain_requested
                and not worker.attached
                and request not in pool.reported_drains
            ):
                pool.reported_drains.add(request)
                self._publish(build_drained_record(request))

    # Fleet.

    def _rebalance(self):
        decision = self.rebalancer.decide(
            self.vms.values(),
            self.fleet_state,
            frozenset((STANDBY_POOL,)),
            frozenset(),
            frozenset(),
            self.now,
        )
        for vm in decision.drain:
            number = next(self.drain_numbers)
            self._publish(
                build_drain_record(
                    DrainRequest(vm.vm_id, vm.worker_id, 0, number)
                )
            )
        for vm in decision.reopen:
            self._publish(build_reopen_record(vm.vm_id))
        for move in decision.moves:
            self.rebalancer.note_move_ordered(move.vm, self.now)
            self._begin_move(move)
        for vm_id, ends_at in tuple(self.arrivals.items()):
            if self.now >= ends_at:
                self.arrivals.pop(vm_id)
                self._add_vm(vm_id, self.vms[vm_id].pool, VmStatus.UP)

    def _begin_move(self, move):
        self.move_count += 1
        self.workers.pop(move.vm.worker_id, None)
        self._add_vm(move.vm.vm_id, move.pool, VmStatus.MOVING)
        self.arrivals[move.vm.vm_id] = self.now + MOVE_SECONDS

    def _publish(self, record):
        stored = KeyedRecord(record.key, record.value, next(self.offsets))
        self.fleet_state.apply([stored], self.now)

    # Queries.

    def compute_earned_share(self, until):
        """Return the share of the worth of jobs submitted until then."""
        owed, earned = Counter(), Counter()
        for result in self.results.values():
            if result.submitted_at <= until:
                owed[result.pool] += 1
                earned[result.pool] += result.earned
        return {pool: earned[pool] / owed[pool] for pool in owed}

"""Simulates one pool with jobs of several tenants, in virtual time.

Tasks start when they are placed, and end after their time without a fault, so
that only the order of the steps makes a difference.
"""

import heapq
import random
from collections import Counter

from tarragonlb.scheduling.job import Demand, Job, JobSpec, Moment, Step
from tarragonlb.scheduling.jobstate import JobState
from tarragonlb.scheduling.placement import PackNearData
from tarragonlb.scheduling.policies import SchedulingPolicies
from tarragonlb.scheduling.queue import Queue
from tarragonlb.scheduling.readystep import list_ready_steps
from tarragonlb.scheduling.scheduler import Scheduler
from tarragonlb.scheduling.settings import SchedulingSettings
from tarragonlb.scheduling.tenant import Tenant, TenantTable
from tarragonlb.scheduling.worker import Worker, WorkerReport

TICK_SECONDS = 0.02
EPOCH_MS = 1_700_000_000_000.0
WORKER_CORES = 16
TASK_SECONDS = 0.64
TASK_MILLICORES = 1500
WIDTH = 8
SETTINGS = SchedulingSettings(
    max_lease_seconds=6, maintenance_seconds=3, stall_timeout_seconds=1000
)


def build_job(job_id, tenant, at, steps):
    return Job(
        job_id=job_id,
        queue='q',
        pool='p',
        spec=JobSpec(payload='', steps=steps),
        handed_in_ms=EPOCH_MS + at * 1000,
        tenant=tenant,
    )


def build_steps(count, seconds=TASK_SECONDS, width=WIDTH, cpu=TASK_MILLICORES):
    return tuple(
        Step(
            width=width,
            # A worker has 2 MB for each millicore, so CPU is dominant.
            demand=Demand(cpu, cpu // 5, 0),
            estimate_seconds=seconds,
            prerequisites=(number - 1,) if number else (),
        )
        for number in range(count)
    )


def build_scheduler(order, weights, workers=32, objective_seconds=0.6):
    scheduler = Scheduler(
        SETTINGS, SchedulingPolicies(placement=PackNearData(), order=order), 0.0
    )
    state = scheduler.state
    queue = Queue(
        name='q',
        host='h',
        path_prefix='/',
        pool='p',
        stretch=1.6,
        objective_seconds=objective_seconds,
    )
    state.queues = {'q': queue}
    state.tenants = TenantTable(
        Tenant(name=name, weight=weight) for name, weight in weights.items()
    )
    names = [f'w{number}' for number in range(workers)]
    capacity = Demand(WORKER_CORES * 1000, 32000, 0)
    state.update_workers(
        Worker(worker_id=name, pool='p', capacity=capacity) for name in names
    )
    for name in names:
        scheduler.reconciler.apply_report(
            WorkerReport(
                worker_id=name, requested_at=0, received_at=0, incarnation=1
            )
        )
    return scheduler


def build_stream(seed, weights, seconds, load, flood=None):
    """Return (time, tenant, steps) of Poisson streams, by time.

    ``load`` is the share of a pool of 32 workers, divided by weight.  ``flood``
    is a tenant and its factor from second 4 to second 10, whose extra jobs come
    from a generator of their own, so that all others stay the same.
    """
    job_seconds = 1.5 * WIDTH * TASK_SECONDS * TASK_MILLICORES / 1000
    rate = load * 32 * WORKER_CORES / job_seconds
    jobs = []
    for name, weight in weights.items():
        own_rate = rate * weight / sum(weights.values())
        jobs += _draw(f'{seed}-{name}', name, own_rate, 0, seconds)
    if flood is not None:
        name, factor = flood
        extra = rate * weights[name] / sum(weights.values()) * (factor - 1)
        jobs += _draw(f'{seed}-flood', name, extra, 4, 10)
    return sorted(jobs)


def _draw(seed, name, rate, begin, end):
    source = random.Random(seed)
    jobs = []
    at = begin + source.expovariate(rate)
    while at < end:
        jobs.append((at, name, source.choice((1, 2))))
        at += source.expovariate(rate)
    return jobs


def list_ready(scheduler, now):
    state = scheduler.state
    return [
        ready
        for job_state in state.open_jobs.values()
        for ready in list_ready_steps(job_state, state.queues['q'], now)
    ]


class ShareSimulation:
    def __init__(self, scheduler, tick_seconds=TICK_SECONDS):
        self.scheduler = scheduler
        self.tick_seconds = tick_seconds
        self.now = 0.0
        self.running = []
        self.first_starts = {}
        self.submitted = {}
        self.core_seconds = Counter()
        self.waiting = Counter()

    def submit(self, job_id, tenant, steps):
        job = build_job(job_id, tenant, self.now, steps)
        self.submitted[job_id] = (tenant, self.now)
        self.waiting[tenant] += sum(step.width for step in steps)
        self.scheduler.state.add_job(JobState(job, self.moment))

    @property
    def moment(self):
        return Moment(self.now, EPOCH_MS + self.now * 1000)

    def run_round(self):
        state = self.scheduler.state
        while self.running and self.running[0][0] <= self.now:
            state.finish(heapq.heappop(self.running)[1], self.now)
        decision = self.scheduler.decide(self.moment)
        self.scheduler.note_stored(decision, self.now)
        for start in decision.starts:
            self.first_starts.setdefault(start.key.job_id, self.now)
            self.waiting[self.submitted[start.key.job_id][0]] -= 1
            ends_at = self.now + state.find_step(start.key).estimate_seconds
            heapq.heappush(self.running, (ends_at, start.key))
        for worker in state.workers.values():
            for key, attachment in worker.attached.items():
                cores = attachment.demand.cpu_millicores / 1000
                tenant = state.jobs[key.job_id].job.tenant
                self.core_seconds[tenant] += cores * self.tick_seconds
        self.now += self.tick_seconds

    def play(self, stream, seconds):
        queue = [
            (at, f'j{number}', tenant, steps)
            for number, (at, tenant, steps) in enumerate(stream)
        ]
        queue.reverse()
        while self.now < seconds:
            while queue and queue[-1][0] <= self.now:
                _, job_id, tenant, steps = queue.pop()
                self.submit(job_id, tenant, build_steps(steps))
            self.run_round()

    def list_waits(self, tenants, begin, end, without=()):
        """Return the waits for the first start of jobs submitted in a span."""
        return sorted(
            self.first_starts.get(job_id, self.now) - at
            for job_id, (tenant, at) in self.submitted.items()
            if tenant in tenants and begin <= at < end and job_id not in without
        )

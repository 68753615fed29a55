"""Simulates workers whose tasks progress at different speeds, or not at all.

The owner is a real scheduler on virtual time, and neither calls nor orders are
lost.
"""

from collections import Counter
from dataclasses import dataclass, field, replace

from tarragonlb.scheduling.job import Demand, Job, JobSpec, Moment, Step
from tarragonlb.scheduling.jobindex import JobIndex
from tarragonlb.scheduling.orders import OrderResult
from tarragonlb.scheduling.placement import PackNearData
from tarragonlb.scheduling.policies import SchedulingPolicies
from tarragonlb.scheduling.progress import build_progress_record
from tarragonlb.scheduling.queue import Queue
from tarragonlb.scheduling.records import (
    KeyedRecord,
    build_submission_record,
)
from tarragonlb.scheduling.scheduler import Scheduler
from tarragonlb.scheduling.settings import SchedulingSettings
from tarragonlb.scheduling.worker import (
    EndedAttempt,
    RunningAttempt,
    Worker,
    WorkerReport,
)

TICK_SECONDS = 0.1
REPORT_SECONDS = 0.5
STOP_SECONDS = 0.2
WORKER_CPU = 4000
QUEUE = Queue(
    name='q',
    host='h',
    path_prefix='/q/',
    pool='p',
    priority=0,
    max_attempts=3,
    stretch=1.5,
    objective_seconds=0.6,
)


@dataclass
class SimulatedRun:
    """An attempt on a worker; ``worked`` are seconds of work done."""

    attempt: int
    step: Step
    seconds: float
    worked: float = 0.0
    starts_at: float = 0.0
    stops_at: float = float('inf')
    is_stuck: bool = False

    def build_checkpoint(self):
        return str(self.worked) if self.step.saves_checkpoints else ''


@dataclass
class SimulatedWorker:
    """A worker; ``speed`` is 0 where all attempts stand still."""

    worker_id: str
    speed: float = 1.0
    digits: int = 0
    runs: dict = field(default_factory=dict)
    ended: list = field(default_factory=list)
    end_count: int = 0
    is_report_late: bool = False
    ready_share: float = 1.0

    @property
    def entry(self):
        return Worker(
            worker_id=self.worker_id,
            pool='p',
            address='x:1',
            capacity=Demand(WORKER_CPU, 64000, 0),
        )

    def advance(self, now):
        used = sum(
            run.step.demand.cpu_millicores
            for run in self.runs.values()
            if not run.step.scavenges
        )
        for key, run in tuple(self.runs.items()):
            is_starved = run.step.scavenges and used >= WORKER_CPU
            if now >= run.starts_at and not (run.is_stuck or is_starved):
                run.worked += TICK_SECONDS * self.speed
            if run.worked >= run.seconds and not run.step.is_permanent:
                self.end(key, 'done')
            elif now >= run.stops_at:
                self.end(key, 'stopped')

    def end(self, key, outcome):
        run = self.runs.pop(key)
        self.end_count += 1
        self.ended.append(
            EndedAttempt(
                self.end_count,
                key,
                run.attempt,
                outcome,
                run.build_checkpoint(),
            )
        )

    def build_report(self, now):
        ended, self.ended = tuple(self.ended), []
        return WorkerReport(
            worker_id=self.worker_id,
            requested_at=now,
            received_at=now,
            incarnation=1,
            running=tuple(
                RunningAttempt(
                    key,
                    run.attempt,
                    run.build_checkpoint(),
                    self.measure_percent(run),
                    0,
                )
                for key, run in self.runs.items()
            ),
            ended=ended,
        )

    def measure_percent(self, run):
        percent = min(100 * run.worked / run.seconds, 100)
        if run.step.is_permanent:
            percent *= self.ready_share
        return round(percent, self.digits) if self.digits else int(percent)


class StallSimulation:
    """One pool with its owner, its workers and its jobs."""

    def __init__(self, names, digits=0, **settings):
        self.settings = SchedulingSettings(
            max_lease_seconds=6, maintenance_seconds=2, **settings
        )
        self.restore_seconds = settings.get('resume_seconds', 0)
        self.now = 0.0
        self.ticks = 0
        self.workers = {
            name: SimulatedWorker(name, digits=digits) for name in names
        }
        self.job_index = JobIndex()
        self.offset = 0
        self.seconds = {}
        self.stuck_jobs = set()
        self.starts = Counter()
        self.starts_on = Counter()
        self.blamed = set()
        self.term = 0
        self.take_over()

    def take_over(self):
        self.term += 1
        policies = SchedulingPolicies(placement=PackNearData())
        self.scheduler = Scheduler(self.settings, policies, self.now)
        state = self.scheduler.state
        state.queues = {'q': QUEUE}
        state.update_workers(one.entry for one in self.workers.values())
        for entry in self.job_index.list_jobs():
            state.add_job(entry.build_state(Moment(self.now)))

    def submit(self, name, step, seconds, is_stuck=False):
        job = Job(
            job_id=name,
            queue='q',
            pool='p',
            spec=JobSpec(payload='x', steps=(step,), max_attempts=3),
        )
        self.seconds[name] = seconds
        if is_stuck:
            self.stuck_jobs.add(name)
        self.append(build_submission_record(job))
        entry = self.job_index.find(name)
        self.scheduler.state.add_job(entry.build_state(Moment(self.now)))

    def append(self, record):
        stored = KeyedRecord(record.key, record.value, self.offset)
        self.job_index.apply([stored])
        self.offset += 1

    def run(self, seconds, is_owner_paused=False):
        for _ in range(round(seconds / TICK_SECONDS)):
            self.tick(is_owner_paused)

    def tick(self, is_owner_paused=False):
        self.ticks += 1
        self.now = self.ticks * TICK_SECONDS
        if not is_owner_paused:
            # Before the reports, as after a pause of the owner.
            self.decide()
        for worker in self.workers.values():
            worker.advance(self.now)
        if is_owner_paused or self.ticks % round(REPORT_SECONDS / TICK_SECONDS):
            return
        for worker in self.workers.values():
            if worker.is_report_late:
                continue
            self.scheduler.reconciler.apply_report(
                worker.build_report(self.now)
            )

    def delay_report(self, name, seconds):
        """Have a worker's next report arrive late, and no other before."""
        worker = self.workers[name]
        report = worker.build_report(self.now)
        worker.is_report_late = True
        self.run(seconds)
        worker.is_report_late = False
        self.scheduler.reconciler.apply_report(
            replace(report, received_at=self.now)
        )

    def decide(self):
        decision = self.scheduler.decide(Moment(self.now))
        for job in decision.jobs:
            self.append(build_progress_record(job, self.term, self.now))
        self.scheduler.note_stored(decision, self.now)
        for start in decision.starts:
            self.start(start)
        for stop in decision.stops:
            run = self.workers[stop.worker_id].runs.get(stop.key)
            if run is not None and run.attempt == stop.attempt:
                run.stops_at = min(run.stops_at, self.now + STOP_SECONDS)
            self.scheduler.apply_order_result(stop, OrderResult.DONE, self.now)
        self.blamed.update(
            name
            for name, worker in self.scheduler.state.workers.items()
            if worker.failures
        )

    def start(self, order):
        key = order.key
        self.starts[key.job_id, key.position] += 1
        self.starts_on[order.worker_id] += 1
        wait = self.restore_seconds if order.checkpoint else 0
        self.workers[order.worker_id].runs[key] = SimulatedRun(
            order.attempt,
            self.scheduler.state.find_step(key),
            self.seconds[key.job_id],
            worked=float(order.checkpoint or 0),
            starts_at=self.now + wait,
            is_stuck=key.job_id in self.stuck_jobs,
        )
        self.scheduler.apply_order_result(order, OrderResult.DONE, self.now)

    def list_starts(self, name):
        return [
            count
            for (job_id, _), count in self.starts.items()
            if job_id == name
        ]

    def describe(self, name):
        return self.job_index.find(name).describe()

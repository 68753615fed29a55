"""Measures job delays during a maintenance wave with a rack failure.

The planner runs against the fakes of ``libs/capacity/features`` in virtual
time, with two rounds a second and readings that are one round old.  The load on
a pool of 4-core VMs is five times its mean for ten seconds, then a twentieth
of it for fifty seconds.  A wave runs from the start, and a rack fails after two
minutes.
"""

import importlib
import random
import sys
from dataclasses import dataclass
from pathlib import Path
from typing import Any

FEATURES = Path(__file__).parent.parent / 'libs' / 'capacity' / 'features'
ROUND_SECONDS = 0.5
LOAD_SECONDS = 600
TOTAL_SECONDS = 900
BURST_SECONDS = 10
CYCLE_SECONDS = 60
BURST_FACTOR = 5
IDLE_FACTOR = 0.05
RACK_FAILURE_SECONDS = 120
URGENT_SHARE = 0.3
URGENT_RUN_SECONDS = 3.0
PATIENT_RUN_SECONDS = 12.0
PATIENT_DEADLINE_SECONDS = 300.0
JOBS_PER_SECOND_PER_VM = 0.15
PERCENTILE = 0.99


@dataclass(frozen=True, slots=True, kw_only=True)
class JobsFigure:
    """Start delays of urgent jobs in seconds, and patient jobs done in time."""

    case: str
    jobs: int
    urgent_start_p50: float
    urgent_start_p99: float
    patient_in_time_percent: float
    vms_maintained: int


class JobsRun:
    """One run; ``started`` and ``ended`` map job ids to times in seconds."""

    def __init__(self, vms: int) -> None:
        """Create a pool of ``vms`` VMs, two per rack."""
        sys.path.insert(0, str(FEATURES))
        fakes: Any = importlib.import_module('world')
        fakes.POOL_VMS = vms
        self.task_phase: Any = importlib.import_module(
            'tarragonlb.model.fleet'
        ).TaskPhase
        self.world = fakes.World(1)
        self.daemon = self.world.daemons[0]
        self.vms = vms
        self.rng = random.Random(1)
        self.submitted: dict[str, float] = {}
        self.started: dict[str, float] = {}
        self.ended: dict[str, float] = {}
        self.urgent: set[str] = set()

    def run(self) -> None:
        """Run the load, the wave and the failure, then wait for all jobs."""
        world = self.world
        world.take_term(self.daemon)
        world.run_rounds(self.daemon, 2)
        world.plan_wave('a', 1)
        for step in range(int(TOTAL_SECONDS / ROUND_SECONDS)):
            now = step * ROUND_SECONDS
            if now < LOAD_SECONDS:
                self.submit_jobs(now)
            if now == RACK_FAILURE_SECONDS:
                world.crash_rack(0)
            lag = min(len(world.platform.changes), 1)
            world.catch_up(self.daemon, 0, lag)
            world.decide(self.daemon)
            world.carry_out_all()
            self.update_jobs(now)
            world.platform.pass_time(ROUND_SECONDS)

    def submit_jobs(self, now: float) -> None:
        """Submit the jobs of one round."""
        burst = now % CYCLE_SECONDS < BURST_SECONDS
        factor = BURST_FACTOR if burst else IDLE_FACTOR
        mean = JOBS_PER_SECOND_PER_VM * self.vms * ROUND_SECONDS * factor
        count = int(mean) + (self.rng.random() < mean - int(mean))
        for _ in range(count):
            urgent = self.rng.random() < URGENT_SHARE
            self.world.submit(
                'a',
                1,
                idempotent=True,
                urgent=urgent,
                deadline_seconds=PATIENT_DEADLINE_SECONDS,
            )
            job_id = f'job-{self.world.jobs}'
            self.submitted[job_id] = now
            if urgent:
                self.urgent.add(job_id)

    def update_jobs(self, now: float) -> None:
        """Record job starts, and end the tasks whose run time is over."""
        for task in self.world.platform.list_running():
            job_id = task.task_id.rpartition('.')[0]
            self.started.setdefault(job_id, now)
            urgent = job_id in self.urgent
            seconds = URGENT_RUN_SECONDS if urgent else PATIENT_RUN_SECONDS
            since = self.world.platform.since[task.task_id]
            if self.world.platform.now - since >= seconds:
                phase = self.task_phase.SUCCEEDED
                self.world.platform.end_task(task, phase)
                self.ended[job_id] = now


def measure_jobs(case: str, vms: int) -> JobsFigure:
    """Run the simulation once and return its figures."""
    run = JobsRun(vms)
    run.run()
    waits = sorted(
        run.started.get(job_id, TOTAL_SECONDS) - run.submitted[job_id]
        for job_id in run.urgent
    )
    patient = [one for one in run.submitted if one not in run.urgent]
    in_time = [
        one
        for one in patient
        if run.ended.get(one, TOTAL_SECONDS) - run.submitted[one]
        <= PATIENT_DEADLINE_SECONDS
    ]
    waves = list(run.world.truth.waves.values())
    return JobsFigure(
        case=case,
        jobs=len(run.submitted),
        urgent_start_p50=waits[len(waits) // 2],
        urgent_start_p99=waits[int(len(waits) * PERCENTILE)],
        patient_in_time_percent=100 * len(in_time) / len(patient),
        vms_maintained=len(waves[0].done),
    )

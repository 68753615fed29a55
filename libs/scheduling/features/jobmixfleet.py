"""A simulated fleet whose jobs have planned durations and outcomes."""

import dataclasses
import random
from collections import Counter

from fleetsimulation import FleetSimulation, make_step
from simulatedowner import QUEUE

from tarragonlb.scheduling.orders import OrderResult

SHORT_SECONDS = 0.5
LONG_SECONDS = 60.0
# An hour, so that jobs are neither late nor deferred.
OBJECTIVE_SECONDS = 3600.0


@dataclasses.dataclass(frozen=True)
class JobPlan:
    """How long the tasks of a job run, and whether they fail."""

    seconds: float
    fails: bool


class JobMixFleet(FleetSimulation):
    """Plays sound and hopeless jobs on a network that loses nothing."""

    def __init__(self, workers, max_attempts):
        super().__init__(seed=1, workers=workers, is_reliable=True)
        self.plans = {}
        self.submitted_at = {}
        self.started_at = {}
        self.draws = random.Random(1)
        self.failures = Counter()
        self.refused_jobs = set()
        self.refusing_workers = set()
        self.refusals = 0
        queue = dataclasses.replace(
            QUEUE,
            max_attempts=max_attempts,
            objective_seconds=OBJECTIVE_SECONDS,
        )
        self.owner.scheduler.state.queues = {'q': queue}

    def submit_planned(self, plan, **more):
        job_id = self.submit([make_step(**more)])
        self.plans[job_id] = plan
        self.submitted_at[job_id] = self.now
        return job_id

    def submit_sound(self, width=1, seconds=SHORT_SECONDS, **more):
        return self.submit_planned(JobPlan(seconds, False), width=width, **more)

    def submit_hopeless(self, width=1, seconds=0.2):
        return self.submit_planned(JobPlan(seconds, True), width=width)

    def list_given_up(self):
        """Return the sound jobs that were closed as failed."""
        return [
            job_id
            for job_id, plan in self.plans.items()
            if not plan.fails and self.describe(job_id) == 'failed'
        ]

    def find_longest_wait(self):
        """Return the longest time from a submission to the first start."""
        return max(
            self.started_at.get(job_id, self.now) - submitted_at
            for job_id, submitted_at in self.submitted_at.items()
            if job_id not in self.refused_jobs
        )

    def find_on_probation(self):
        return [
            worker_id
            for worker_id, worker in self.owner.scheduler.state.workers.items()
            if worker.failures
        ]

    def _record_ends(self):
        for worker_id, _, outcome in self.log:
            self.failures[worker_id] += outcome == 'failed'
        super()._record_ends()

    def _start(self, owner, worker, order, until):
        key = order.key
        if (
            key.job_id in self.refused_jobs
            or worker.worker_id in self.refusing_workers
        ):
            self.refusals += 1
            return OrderResult.REFUSED
        plan = self.plans[key.job_id]
        step = self.specs[key.job_id].steps[key.step]
        result = worker.start(
            order,
            step,
            plan.seconds,
            'failed' if plan.fails else 'done',
            owner.term,
            until,
            self.now,
        )
        if result is OrderResult.DONE:
            self._check_start(worker, order, step)
            self.started_at.setdefault(key.job_id, self.now)
        return result

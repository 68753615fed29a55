from behave import given, then, when

from tarragonlb.scheduling.job import Job, JobSpec, Moment, Step
from tarragonlb.scheduling.jobstate import JobState
from tarragonlb.scheduling.partitionstate import PartitionState
from tarragonlb.scheduling.settings import SchedulingSettings
from tarragonlb.scheduling.stopping import StopPlanner
from tarragonlb.scheduling.task import FULL_PERCENT, TaskPhase
from tarragonlb.scheduling.worker import Demand, Worker

SETTINGS = SchedulingSettings(max_lease_seconds=6.0, maintenance_seconds=2.0)
STEP = Step(width=2, is_permanent=True, disruption_budget=1)
NAMES = ('requested', 'announced', 'other')


def build_worker(name, is_draining):
    capacity = Demand(4000, 8000, 0)
    return Worker(
        worker_id=name, pool='p', capacity=capacity, is_draining=is_draining
    )


@given('a permanent step of two tasks, of which one may be unavailable')
def build_step(context):
    state = context.partition = PartitionState(SETTINGS, 0.0)
    state.update_workers(build_worker(name, False) for name in NAMES)
    spec = JobSpec(payload='', steps=(STEP,))
    job_state = JobState(
        Job(job_id='a', queue='q', pool='p', spec=spec), Moment(0.0)
    )
    job_state.add_occurrence()
    context.tasks = job_state.occurrences[0][0].tasks
    for worker_id, task in zip(NAMES, context.tasks, strict=False):
        task.place(worker_id, 1, 1, 0.0)
        task.update_progress(FULL_PERCENT, '', 0.0)
        state.workers[worker_id].last_report_at = 0.0
    state.workers['other'].last_report_at = 0.0
    state.add_job(job_state)


@when(
    'one worker is to be drained and another one announces its own draining '
    'in the same round'
)
def drain_both(context):
    state = context.partition
    state.update_workers(
        build_worker(name, name == 'announced') for name in NAMES
    )
    state.apply_drain_requests({'requested'})
    StopPlanner(state, {}).evict_permanent_tasks()


@then('only the task on the worker that announced it is stopped')
def check_stopped(context):
    phases = [task.phase for task in context.tasks]
    assert phases == [TaskPhase.RUNNING, TaskPhase.STOPPING], phases

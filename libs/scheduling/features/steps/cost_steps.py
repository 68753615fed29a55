import sys
from dataclasses import replace
from pathlib import Path

from behave import step, then, when

sys.path.insert(0, str(Path(__file__).parent.parent))

from replay import build_look_ahead  # noqa: E402

from tarragonlb.scheduling.job import Demand, Job, JobSpec, Moment, Step
from tarragonlb.scheduling.jobstate import JobState
from tarragonlb.scheduling.orders import OrderResult
from tarragonlb.scheduling.placement import PackNearData
from tarragonlb.scheduling.policies import SchedulingPolicies
from tarragonlb.scheduling.queue import Queue
from tarragonlb.scheduling.scheduler import Scheduler
from tarragonlb.scheduling.settings import SchedulingSettings
from tarragonlb.scheduling.worker import Worker, WorkerReport

FIRST_ROUND_AT = 1.0
ROUND_SECONDS = 0.02
STEPS = (
    Step(width=12, demand=Demand(3600, 2256, 0), estimate_seconds=1),
    Step(
        width=4,
        demand=Demand(1000, 1000, 0),
        estimate_seconds=0.5,
        prerequisites=(0,),
    ),
)
# Waits for room, so that workers are kept for it.
GANG = Step(
    width=12, demand=Demand(12000, 2000, 0), estimate_seconds=9, is_gang=True
)


def build_pool(workers, jobs, policies=None, gangs=0):
    scheduler = Scheduler(
        SchedulingSettings(max_lease_seconds=6, maintenance_seconds=3),
        policies or SchedulingPolicies(placement=PackNearData()),
        0.0,
    )
    state = scheduler.state
    state.queues = {'q': Queue(name='q', host='h', path_prefix='/', pool='p')}
    names = [f'w{number}' for number in range(workers)]
    state.update_workers(
        Worker(
            worker_id=name,
            pool='p',
            address='a',
            capacity=Demand(16000, 64000, 0),
        )
        for name in names
    )
    for name in names:
        scheduler.reconciler.apply_report(
            WorkerReport(
                worker_id=name, requested_at=0, received_at=0, incarnation=1
            )
        )
    for number in range(jobs):
        spec = JobSpec(payload='', steps=STEPS)
        job = Job(job_id=f'j{number}', queue='q', pool='p', spec=spec)
        state.add_job(JobState(job, Moment(0.0)))
    for number in range(gangs):
        spec = JobSpec(payload='', steps=(GANG,))
        job = Job(job_id=f'g{number}', queue='q', pool='p', spec=spec)
        state.add_job(JobState(job, Moment(0.0)))
    return scheduler


def count_calls(scheduler, rounds, is_changing=False):
    """Return the calls of functions, those written in C included."""
    calls = 0

    def count(frame, event, argument):
        nonlocal calls
        calls += event in {'call', 'c_call'}

    sys.setprofile(count)
    try:
        for number in range(rounds):
            # Otherwise most rounds look at no pool.
            if is_changing:
                scheduler.state.changed_pools.add('p')
            scheduler.decide(
                Moment(FIRST_ROUND_AT + (number + 1) * ROUND_SECONDS)
            )
    finally:
        sys.setprofile(None)
    return calls


@step('an empty pool of {workers:d} workers with {jobs:d} jobs')
def build_empty(context, workers, jobs):
    if not hasattr(context, 'pools'):
        context.pools = []
    context.pools.append(build_pool(workers, jobs))


@step('the same pool with placement that looks ahead')
def build_looking_ahead(context):
    policies = build_look_ahead(gangs=True, wide=True, fits_by_end=True)
    context.pools = [
        build_pool(40, 400, gangs=40),
        build_pool(40, 400, policies, gangs=40),
    ]
    for pool in context.pools:
        # Jobs that are not late, so that workers are kept for them.
        queue = replace(pool.state.queues['q'], objective_seconds=30)
        pool.state.queues = {'q': queue}
        for order in pool.decide(Moment(FIRST_ROUND_AT)).starts:
            pool.order_tracker.apply_start_result(
                order, OrderResult.DONE, FIRST_ROUND_AT
            )
    context.rounds_mark_changes = True


@step('a full pool of {workers:d} workers with {jobs:d} jobs')
def build_full(context, workers, jobs):
    build_empty(context, workers, jobs)
    placed = context.pools[-1].decide(Moment(FIRST_ROUND_AT)).starts
    assert len(placed) == 4 * workers, len(placed)


@when('{rounds:d} rounds run in each pool')
def run_rounds(context, rounds):
    is_changing = hasattr(context, 'rounds_mark_changes')
    context.calls = [
        count_calls(pool, rounds, is_changing) for pool in context.pools
    ]


@then(
    'those of the second pool make at most {most:g} times the calls of the '
    'first'
)
def compare_calls(context, most):
    first, second = context.calls
    context.ratio = second / first
    assert second <= most * first, (first, second, second / first)

from behave import then
from hypothesis import given as given_examples
from hypothesis import seed, settings
from hypothesis import strategies as st

from tarragonlb.scheduling.durations import DurationEstimates
from tarragonlb.scheduling.forecast import EndForecast
from tarragonlb.scheduling.job import (
    Demand,
    Job,
    JobSpec,
    Moment,
    Step,
    TaskKey,
)
from tarragonlb.scheduling.jobstate import JobState
from tarragonlb.scheduling.lookahead import LookAheadPlacement
from tarragonlb.scheduling.partitionstate import PartitionState
from tarragonlb.scheduling.placement import PackNearData, is_first_choice
from tarragonlb.scheduling.settings import SchedulingSettings
from tarragonlb.scheduling.task import TaskState
from tarragonlb.scheduling.worker import Worker, WorkerState

SETTINGS = SchedulingSettings(max_lease_seconds=6, maintenance_seconds=3)


def make_worker(number, free_cores, free_gb, **more):
    entry = Worker(
        worker_id=f'w{number}',
        pool='p',
        capacity=Demand(16000, 32000, 0),
        labels=frozenset(['r1'] if number % 2 else []),
    )
    worker = WorkerState(entry, 0.0)
    worker.free_cpu = free_cores * 1000
    worker.free_memory = free_gb * 1000
    worker.probation.failures = more.get('failures', 0)
    return worker


def build_forecast(now):
    forecast = EndForecast(DurationEstimates())
    state = PartitionState(SETTINGS, 0.0)
    job = Job(
        job_id='j', queue='q', pool='p', spec=JobSpec(payload='', steps=())
    )
    state.jobs['j'] = JobState(job, Moment(0.0))
    forecast.begin_round(state, now)
    return forecast


@then(
    'for any workers best fit agrees with packing on first choices, suspects '
    'and permanent tasks'
)
def check_agreement(context):
    free = st.tuples(st.integers(4, 16), st.integers(4, 32), st.booleans())

    @seed(1)
    @settings(max_examples=150, deadline=None, database=None)
    @given_examples(
        st.lists(free, max_size=8),
        st.sets(st.integers(0, 7)),
        st.booleans(),
        st.booleans(),
        st.booleans(),
    )
    def check(frees, avoided, has_data, is_permanent, is_suspect):
        step = Step(
            width=1,
            demand=Demand(4000, 4000, 0),
            data_rack='r1' if has_data else '',
            is_permanent=is_permanent,
        )
        task = TaskState()
        task.avoided = {f'w{number}' for number in avoided}
        if is_suspect:
            task.crashes = task.crashes.add(1, 1)
        workers = sorted(
            (
                make_worker(number, cores, gb, failures=has_failed)
                for number, (cores, gb, has_failed) in enumerate(frees)
            ),
            key=lambda worker: worker.free_cpu,
        )
        packed = PackNearData().choose(step, task, iter(workers))
        placement = LookAheadPlacement(build_forecast(1.0))
        chosen = placement.choose(step, task, iter(workers))
        if packed is None or is_permanent or is_suspect:
            assert chosen is packed
        elif is_first_choice(packed, step, task):
            assert is_first_choice(chosen, step, task)
        else:
            assert chosen is packed

    check()


@then('of a worker with {first} and one with {second} the {better} is taken')
def check_fit(context, first, second, better):
    workers = []
    for number, text in enumerate((first, second)):
        cores, gb, end_at = map(int, text.split(', '))
        worker = make_worker(number, cores + 1, gb + 1)
        task = TaskState()
        task.place(worker.entry.worker_id, 1, 1, 0.0)
        worker.attach(
            TaskKey('j', 0, 0, number),
            task,
            Step(
                width=1, demand=Demand(1000, 1000, 0), estimate_seconds=end_at
            ),
        )
        workers.append(worker)
    step = Step(width=1, demand=Demand(1000, 1000, 0), estimate_seconds=1)
    placement = LookAheadPlacement(build_forecast(0.0))
    chosen = placement.choose(step, TaskState(), iter(workers))
    assert chosen is workers[better == 'second']

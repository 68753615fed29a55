import re

from behave import given, step, then, when

from tarragonlb.scheduling.demand import measure_load
from tarragonlb.scheduling.job import Demand, Job, JobSpec, Moment, Step
from tarragonlb.scheduling.jobstate import JobState
from tarragonlb.scheduling.orders import OrderResult
from tarragonlb.scheduling.placement import PackNearData
from tarragonlb.scheduling.policies import SchedulingPolicies
from tarragonlb.scheduling.queue import Queue
from tarragonlb.scheduling.scheduler import Scheduler
from tarragonlb.scheduling.settings import SchedulingSettings
from tarragonlb.scheduling.worker import (
    EndedAttempt,
    RunningAttempt,
    Worker,
    WorkerReport,
)

POLICIES = SchedulingPolicies(placement=PackNearData())
SETTINGS = SchedulingSettings(
    max_lease_seconds=6.0,
    maintenance_seconds=2.0,
)
MAX_ATTEMPTS = 2
QUEUES = {
    name: Queue(
        name=name,
        host='h',
        path_prefix=f'/{name}/',
        pool='p',
        priority=priority,
        max_attempts=MAX_ATTEMPTS,
        stretch=1.5,
        objective_seconds=0.6,
    )
    for name, priority in (('urgent', 0), ('timely', 0), ('patient', 1))
}
STEP = re.compile(
    r'(?P<width>\d+)x(?P<cpu>\d+)(?: after (?P<after>\d+))?'
    r'(?P<permanent> permanent)?(?: at most (?P<most>\d+))?(?P<gang> gang)?'
    r'(?: budget (?P<budget>\d+))?(?: target (?P<target>\d+))?'
    r'(?P<scavenges> scavenges)?(?P<copies> copies)?'
    r'(?: lasting (?P<seconds>[\d.]+))?'
)


def read_step(text):
    found = STEP.fullmatch(text)
    assert found, text
    budget = found['budget']
    return Step(
        width=int(found['width']),
        demand=Demand(int(found['cpu']), 100, 0),
        prerequisites=(int(found['after']),) if found['after'] else (),
        is_permanent=bool(found['permanent']),
        max_per_worker=int(found['most'] or 0),
        is_gang=bool(found['gang']),
        disruption_budget=int(budget) if budget else None,
        latency_target_ms=int(found['target'] or 0),
        scavenges=bool(found['scavenges']),
        allows_copies=bool(found['copies']),
        estimate_seconds=float(found['seconds'] or 0),
    )


def report(context, worker_id, tail_ms=0, ended=(), incarnation=1):
    context.now += 0.01
    attached = context.scheduler.state.workers[worker_id].attached
    ended_keys = {end.key for end in ended}
    context.scheduler.reconciler.apply_report(
        WorkerReport(
            worker_id=worker_id,
            requested_at=context.now,
            received_at=context.now,
            incarnation=incarnation,
            running=tuple(
                RunningAttempt(key, attachment.attempt, '', 100, tail_ms)
                for key, attachment in attached.items()
                if key not in ended_keys
            ),
            ended=tuple(ended),
        )
    )


def add_worker(context, name, millicores):
    context.directory[name] = Worker(
        worker_id=name,
        pool='p',
        address='x:1',
        capacity=Demand(millicores, 64000, 0),
    )
    context.scheduler.state.update_workers(context.directory.values())
    report(context, name)


@given('workers "{names}" with {millicores:d} millicores')
def start_scheduler(context, names, millicores):
    context.now = 0.0
    context.directory = {}
    context.end_count = 0
    context.scheduler = Scheduler(SETTINGS, POLICIES, 0.0)
    context.scheduler.state.queues = QUEUES
    for name in names.split():
        add_worker(context, name, millicores)


@given('no workers')
def start_without_workers(context):
    start_scheduler(context, '', 0)


@then('the pool publishes no load')
def check_no_load(context):
    assert measure_load(context.scheduler.state, 'p') is None


@when('worker "{name}" joins with {millicores:d} millicores')
def add_worker_later(context, name, millicores):
    add_worker(context, name, millicores)


def add_job(context, queue, steps, **times):
    state = context.scheduler.state
    job = Job(
        job_id=f'{len(state.jobs):016x}',
        queue=queue,
        pool='p',
        spec=JobSpec(
            payload='x',
            steps=tuple(read_step(text) for text in steps.split(', ')),
            **{'max_attempts': MAX_ATTEMPTS, **times},
        ),
    )
    state.add_job(JobState(job, Moment(context.now)))
    if not times:
        state.jobs[job.job_id].add_due_occurrences(0)


@given('a job with steps "{steps}"')
@when('a job with steps "{steps}" arrives')
def add_patient_job(context, steps):
    add_job(context, 'patient', steps)


@given('a job of queue "{queue}" with steps "{steps}"')
@when('a job of queue "{queue}" arrives with steps "{steps}"')
def add_queue_job(context, queue, steps):
    add_job(context, queue, steps)


@given(
    'a job due at {due:d} ms, every {interval:d} ms, {times:d} times, '
    'with steps "{steps}"'
)
def add_scheduled_job(context, due, interval, times, steps):
    add_job(
        context,
        'patient',
        steps,
        first_due_ms=due,
        interval_ms=interval,
        repetitions=times,
    )


@when('{seconds:d} seconds go by')
def let_time_pass(context, seconds):
    context.now += seconds
    for name in context.directory:
        report(context, name)


@then('the only job to start is number {number:d}')
def check_started_job(context, number):
    started = [start.key.job_id for start in context.round.starts]
    assert started == [f'{number:016x}'], started


@when('a scheduling round runs')
def run_round(context):
    context.now += 0.1
    context.round = context.scheduler.decide(
        Moment(context.now, context.now * 1000)
    )


@when('a scheduling round runs at {seconds:g} s')
def run_round_at(context, seconds):
    context.now = seconds
    context.round = context.scheduler.decide(Moment(seconds, seconds * 1000))


def confirm_starts(context):
    for order in context.round.starts:
        context.scheduler.order_tracker.apply_start_result(
            order, OrderResult.DONE, context.now
        )


@when('all running tasks end "{outcome}"')
def end_all(context, outcome):
    confirm_starts(context)
    for name, worker in context.scheduler.state.workers.items():
        report_ends(context, name, tuple(worker.attached), outcome)


@when('one running task ends "{outcome}"')
def end_one(context, outcome):
    confirm_starts(context)
    for name, worker in context.scheduler.state.workers.items():
        if worker.attached:
            report_ends(context, name, tuple(worker.attached)[:1], outcome)
            return


@when('all tasks that are not permanent end "{outcome}"')
def end_all_other(context, outcome):
    confirm_starts(context)
    for name, worker in context.scheduler.state.workers.items():
        keys = [
            key
            for key, attachment in worker.attached.items()
            if not attachment.is_permanent
        ]
        report_ends(context, name, keys, outcome)


@when('{count:d} jobs of queue "{queue}" arrive with steps "{steps}"')
def add_jobs(context, count, queue, steps):
    for _ in range(count):
        add_job(context, queue, steps)


@when('{seconds:g} seconds go by, with a round every 0.1 seconds')
def run_rounds(context, seconds):
    context.started = 0
    end_at = context.now + seconds
    while context.now < end_at:
        run_round(context)
        context.started += len(context.round.starts)
        for name in context.directory:
            report(context, name)


@then('tasks have started')
def check_some_started(context):
    assert context.started


def report_ends(context, name, keys, outcome):
    ends = []
    worker = context.scheduler.state.workers[name]
    for key in keys:
        context.end_count += 1
        attempt = worker.attached[key].attempt
        ends.append(EndedAttempt(context.end_count, key, attempt, outcome, ''))
    report(context, name, ended=ends)


@when('the workers refuse the starts')
def refuse_starts(context):
    for order in context.round.starts:
        context.scheduler.order_tracker.apply_start_result(
            order, OrderResult.REFUSED, context.now
        )


@when('the worker "{name}" becomes silent')
def make_silent(context, name):
    context.scheduler.reconciler.note_silence(
        name, context.now + 4, context.now
    )


@when('the directory entry of worker "{name}" expires and comes back')
def expire_entry(context, name):
    entry = context.directory.pop(name)
    context.scheduler.state.update_workers(context.directory.values())
    context.directory[name] = entry
    context.scheduler.state.update_workers(context.directory.values())
    context.expired = name


@when('worker "{name}" is born anew')
def restart_worker(context, name):
    report(context, name, incarnation=2)


@when('its next report does not list the attempt')
def report_without_attempt(context):
    report(context, context.expired)


@when('the permanent tasks are serving')
def report_serving(context):
    confirm_starts(context)
    for name in context.directory:
        report(context, name)


@when('their worker is to be drained')
def request_drain(context):
    for worker in context.scheduler.state.workers.values():
        worker.is_drain_requested = bool(worker.attached)


@when('a tail latency of {tail_ms:d} ms is reported')
def report_tail_latency(context, tail_ms):
    confirm_starts(context)
    for name in context.directory:
        report(context, name, tail_ms)


@then('{count:d} tasks start')
def check_starts(context, count):
    assert len(context.round.starts) == count, context.round.starts


@then('nothing has to be stored')
def check_nothing_stored(context):
    assert not context.round.jobs, context.round.jobs


@then('{count:d} attempts are stopped')
def check_stops(context, count):
    assert len(context.round.stops) == count, context.round.stops


@then('only tasks of queue "{queue}" start')
def check_queue(context, queue):
    jobs = context.scheduler.state.jobs
    queues = {jobs[o.key.job_id].job.queue for o in context.round.starts}
    assert queues == {queue}, queues


@then('no task starts on "{name}"')
def check_no_start_on(context, name):
    used = {order.worker_id for order in context.round.starts}
    assert name not in used, context.round.starts


@then('only permanent tasks start')
def check_only_permanent(context):
    state = context.scheduler.state
    kinds = [state.find_step(o.key).is_permanent for o in context.round.starts]
    assert kinds and all(kinds), context.round.starts


@then('every worker has {count:d} tasks')
def check_tasks_per_worker(context, count):
    workers = context.scheduler.state.workers.values()
    assert all(len(worker.attached) == count for worker in workers)


@then('all starts have attempt {attempt:d}')
def check_attempts(context, attempt):
    assert {o.attempt for o in context.round.starts} == {attempt}


@then('the scavenger is paced to {percent:d} percent')
def check_pace(context, percent):
    assert [o.percent for o in context.round.paces] == [percent]


@step('the pool wants {wanted:d} workers, with a minimum of {minimum:d}')
def check_load(context, wanted, minimum):
    load = measure_load(context.scheduler.state, 'p')
    assert (load.wanted_workers, load.min_workers) == (wanted, minimum), load


@then('{count:d} workers have no task')
def check_free(context, count):
    workers = context.scheduler.state.workers.values()
    free = [worker for worker in workers if not worker.attached]
    assert len(free) == count, len(free)


@then('{count:d} workers can be drained')
def check_candidates(context, count):
    load = measure_load(context.scheduler.state, 'p')
    assert len(load.drain_candidates) == count, load

import re

from behave import given, step, then, when

from tarragonlb.scheduling.demand import measure_load
from tarragonlb.scheduling.job import Demand, Job, JobSpec, Moment, Step
from tarragonlb.scheduling.jobstate import JobState
from tarragonlb.scheduling.orders import OrderResult
from tarragonlb.scheduling.placement import PackNearData
from tarragonlb.scheduling.queue import Queue
from tarragonlb.scheduling.scheduler import Scheduler
from tarragonlb.scheduling.settings import SchedulingSettings
from tarragonlb.scheduling.worker import (
    EndedAttempt,
    RunningAttempt,
    Worker,
    WorkerReport,
)

SETTINGS = SchedulingSettings(
    max_lease_seconds=6.0,
    maintenance_seconds=2.0,
)
QUEUES = {
    name: Queue(
        name=name,
        host='h',
        path_prefix=f'/{name}/',
        pool='p',
        priority=priority,
        max_attempts=2,
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


def report(context, worker_id, tails=0, ended=()):
    context.now += 0.01
    attached = context.scheduler.state.workers[worker_id].attached
    over = {end.key for end in ended}
    context.scheduler.reconciler.apply_report(
        WorkerReport(
            worker_id=worker_id,
            requested_at=context.now,
            received_at=context.now,
            incarnation=1,
            running=tuple(
                RunningAttempt(key, held.attempt, '', 100, tails)
                for key, held in attached.items()
                if key not in over
            ),
            ended=tuple(ended),
        )
    )


def join(context, name, millicores):
    context.listed[name] = Worker(
        worker_id=name,
        pool='p',
        address='x:1',
        capacity=Demand(millicores, 64000, 0),
    )
    context.scheduler.state.update_workers(context.listed.values())
    report(context, name)


@given('workers "{names}" with {millicores:d} millicores')
def open_scheduler(context, names, millicores):
    context.now = 0.0
    context.listed = {}
    context.numbers = 0
    context.scheduler = Scheduler(SETTINGS, PackNearData(), 0.0)
    context.scheduler.state.queues = QUEUES
    for name in names.split():
        join(context, name, millicores)


@when('worker "{name}" joins with {millicores:d} millicores')
def join_later(context, name, millicores):
    join(context, name, millicores)


def add_job(context, queue, steps, **times):
    pool = context.scheduler.state
    job = Job(
        job_id=f'{len(pool.jobs):016x}',
        queue=queue,
        pool='p',
        spec=JobSpec(
            payload='x',
            steps=tuple(read_step(text) for text in steps.split(', ')),
            **times,
        ),
    )
    pool.add_job(JobState(job, Moment(context.now)))
    if not times:
        pool.jobs[job.job_id].open_due_occurrences(0)


@given('a job with steps "{steps}"')
@when('a job with steps "{steps}" arrives')
def add_patient(context, steps):
    add_job(context, 'patient', steps)


@given('a job of queue "{queue}" with steps "{steps}"')
@when('a job of queue "{queue}" arrives with steps "{steps}"')
def add_to_queue(context, queue, steps):
    add_job(context, queue, steps)


@given(
    'a job due at {due:d} ms, every {interval:d} ms, {times:d} times, '
    'with steps "{steps}"'
)
def add_scheduled(context, due, interval, times, steps):
    add_job(
        context,
        'patient',
        steps,
        first_due_ms=due,
        interval_ms=interval,
        repetitions=times,
    )


@when('{seconds:d} seconds go by')
def let_time_go(context, seconds):
    context.now += seconds
    for name in context.listed:
        report(context, name)


@then('the job that starts is number {number:d}')
def check_job(context, number):
    started = [start.key.job_id for start in context.round.starts]
    assert started == [f'{number:016x}'], started


@when('a round is decided')
def decide(context):
    context.now += 0.1
    context.round = context.scheduler.decide(
        Moment(context.now, context.now * 1000)
    )


@when('a round is decided at {seconds:g} s')
def decide_at(context, seconds):
    context.now = seconds
    context.round = context.scheduler.decide(Moment(seconds, seconds * 1000))


def settle_starts(context):
    for order in context.round.starts:
        context.scheduler.order_tracker.apply_start_result(
            order, OrderResult.DONE, context.now
        )


@when('all running tasks end "{how}"')
def end_all(context, how):
    settle_starts(context)
    for name, worker in context.scheduler.state.workers.items():
        end(context, name, tuple(worker.attached), how)


@when('one running task ends "{how}"')
def end_one(context, how):
    settle_starts(context)
    for name, worker in context.scheduler.state.workers.items():
        if worker.attached:
            end(context, name, tuple(worker.attached)[:1], how)
            return


@when('all tasks that are not permanent end "{how}"')
def end_all_batch(context, how):
    settle_starts(context)
    for name, worker in context.scheduler.state.workers.items():
        keys = [
            key
            for key, attachment in worker.attached.items()
            if not attachment.is_permanent
        ]
        end(context, name, keys, how)


@when('{count:d} jobs of queue "{queue}" arrive with steps "{steps}"')
def add_many(context, count, queue, steps):
    for _ in range(count):
        add_job(context, queue, steps)


@when('{seconds:g} seconds go by, a round every 0.1 seconds')
def make_rounds(context, seconds):
    context.started = 0
    end_at = context.now + seconds
    while context.now < end_at:
        decide(context)
        context.started += len(context.round.starts)
        for name in context.listed:
            report(context, name)


@then('tasks have started')
def check_some_started(context):
    assert context.started


def end(context, name, keys, how):
    ends = []
    worker = context.scheduler.state.workers[name]
    for key in keys:
        context.numbers += 1
        attempt = worker.attached[key].attempt
        ends.append(EndedAttempt(context.numbers, key, attempt, how, ''))
    report(context, name, ended=ends)


@when('the starts are refused')
def refuse(context):
    for order in context.round.starts:
        context.scheduler.order_tracker.apply_start_result(
            order, OrderResult.REFUSED, context.now
        )


@when('the worker "{name}" falls silent')
def fall_silent(context, name):
    context.scheduler.reconciler.note_silence(name, context.now + 4)


@when('the entry of worker "{name}" lapses and comes back')
def lapse(context, name):
    entry = context.listed.pop(name)
    context.scheduler.state.update_workers(context.listed.values())
    context.listed[name] = entry
    context.scheduler.state.update_workers(context.listed.values())
    context.lapsed = name


@when('it is heard of again, without the attempt')
def hear_again(context):
    report(context, context.lapsed)


@when('the permanent tasks are at work')
def work(context):
    settle_starts(context)
    for name in context.listed:
        report(context, name)


@when('the worker that has them is closing')
def close(context):
    for worker in context.scheduler.state.workers.values():
        worker.is_drain_requested = bool(worker.attached)


@when('tails of {tails:d} ms are reported')
def report_tails(context, tails):
    settle_starts(context)
    for name in context.listed:
        report(context, name, tails)


@then('{count:d} tasks start')
def check_starts(context, count):
    assert len(context.round.starts) == count, context.round.starts


@then('nothing has to be stored')
def check_no_change(context):
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
def check_not_on(context, name):
    used = {order.worker_id for order in context.round.starts}
    assert name not in used, context.round.starts


@then('only permanent tasks start')
def check_permanent(context):
    pool = context.scheduler.state
    kinds = [pool.find_step(o.key).is_permanent for o in context.round.starts]
    assert kinds and all(kinds), context.round.starts


@then('every worker has {count:d} tasks')
def check_spread(context, count):
    workers = context.scheduler.state.workers.values()
    assert all(len(worker.attached) == count for worker in workers)


@then('all starts have attempt {attempt:d}')
def check_attempts(context, attempt):
    assert {o.attempt for o in context.round.starts} == {attempt}


@then('the scavenger is paced to {percent:d} percent')
def check_pace(context, percent):
    assert [o.percent for o in context.round.paces] == [percent]


@step('the pool wants {wanted:d} workers, with a floor of {floor:d}')
def check_load(context, wanted, floor):
    load = measure_load(context.scheduler.state, 'p')
    assert (load.wanted_workers, load.floor) == (wanted, floor), load


@then('{count:d} workers have no task')
def check_free(context, count):
    workers = context.scheduler.state.workers.values()
    free = [worker for worker in workers if not worker.attached]
    assert len(free) == count, len(free)

import sys
from dataclasses import replace
from pathlib import Path

from behave import given, step, then, when

sys.path.insert(0, str(Path(__file__).parent.parent))

from replay import (  # noqa: E402
    POLICIES,
    JobStream,
    Replay,
    Shape,
    build_look_ahead,
)

from tarragonlb.scheduling.job import (  # noqa: E402
    Demand,
    Job,
    JobSpec,
    Moment,
    Step,
)
from tarragonlb.scheduling.jobstate import JobState  # noqa: E402
from tarragonlb.scheduling.orders import OrderResult  # noqa: E402
from tarragonlb.scheduling.queue import Queue  # noqa: E402
from tarragonlb.scheduling.scheduler import Scheduler  # noqa: E402
from tarragonlb.scheduling.settings import SchedulingSettings  # noqa: E402
from tarragonlb.scheduling.worker import (  # noqa: E402
    EndedAttempt,
    RunningAttempt,
    Worker,
    WorkerReport,
)

SETTINGS = SchedulingSettings(
    max_lease_seconds=6, maintenance_seconds=3, stall_timeout_seconds=60
)
ROUND_SECONDS = 0.1


class Pool:
    """A scheduler whose workers end each task after its real seconds."""

    def __init__(self):
        self.now = 0.0
        self.scheduler = Scheduler(
            SETTINGS, build_look_ahead(gangs=True), self.now
        )
        self.state = self.scheduler.state
        self.state.queues = {
            f'q{priority}': Queue(
                name=f'q{priority}',
                host='h',
                path_prefix='/',
                pool='p',
                priority=priority,
                stretch=1,
                objective_seconds=3,
            )
            for priority in (0, 1)
        }
        self.entries = {}
        self.silent = set()
        self.runs = {}
        self.seconds = {}
        self.started_at = {}
        self.end_count = 0
        self.changes = []

    def add_worker(self, cores):
        worker_id = f'w{len(self.entries)}'
        self.entries[worker_id] = Worker(
            worker_id=worker_id,
            pool='p',
            address='a',
            capacity=Demand(int(cores * 1000), 64000, 0),
        )
        self.update()
        return worker_id

    def update(self):
        self.state.update_workers(self.entries.values())

    def submit(self, job_id, width, cores, seconds, priority=1, **more):
        step = Step(
            width=width,
            demand=Demand(int(cores * 1000), 100, 0),
            estimate_seconds=seconds,
            **more,
        )
        self.seconds[job_id] = seconds
        job = Job(
            job_id=job_id,
            queue=f'q{priority}',
            pool='p',
            spec=JobSpec(payload='', steps=(step,)),
        )
        self.state.add_job(JobState(job, Moment(self.now)))

    def round(self):
        for worker_id in self.entries:
            if worker_id not in self.silent:
                self._report(worker_id)
        self.state.changed_pools.add('p')
        for order in self.scheduler.decide(Moment(self.now)).starts:
            self.runs[order.key] = (order, self.now)
            self.started_at.setdefault(order.key.job_id, self.now)
            self.scheduler.order_tracker.apply_start_result(
                order, OrderResult.DONE, self.now
            )
        self.changes += [
            (self.now, change) for change in self.state.look_ahead.changes
        ]
        self.state.look_ahead.changes.clear()

    def run_until(self, end):
        while self.now < end - 0.01:
            self.now = round(self.now + ROUND_SECONDS, 6)
            self.round()

    def _report(self, worker_id):
        running, ended = [], []
        for key, (order, began_at) in tuple(self.runs.items()):
            if order.worker_id != worker_id:
                continue
            if self.now >= began_at + self.seconds[key.job_id] - 0.001:
                self.runs.pop(key)
                self.end_count += 1
                ended.append(
                    EndedAttempt(self.end_count, key, order.attempt, 'done', '')
                )
            else:
                running.append(RunningAttempt(key, order.attempt, '', 0, 0))
        self.scheduler.reconciler.apply_report(
            WorkerReport(
                worker_id=worker_id,
                requested_at=self.now,
                received_at=self.now,
                incarnation=1,
                running=tuple(running),
                ended=tuple(ended),
            )
        )


@given(
    '{count:d} workers of {cores:d} cores, each with a task of {used:d} cores '
    'that takes {seconds:g} s'
)
def start_pool(context, count, cores, used, seconds):
    context.pool = Pool()
    for number in range(count):
        context.pool.add_worker(cores)
        context.pool.submit(f'filler{number}', 1, used, seconds)
    context.pool.round()
    assert len(context.pool.runs) == count


@given(
    'a gang of {width:d} tasks of {cores:d} cores that has waited since '
    '{since:g} s'
)
def submit_gang(context, width, cores, since):
    pool = context.pool
    pool.run_until(since)
    pool.submit(f'gang{cores}', width, cores, 2, is_gang=True)
    pool.run_until(0.4)
    assert pool.changes[0][1].event.value == 'made', pool.changes


@given(
    '{count:d} more workers of {cores:d} cores whose probation rules them out'
)
def add_failing(context, count, cores):
    for _ in range(count):
        worker_id = context.pool.add_worker(cores)
        worker = context.pool.state.workers[worker_id]
        context.pool._report(worker_id)
        worker.probation.note_failure(99.0)


@when(
    'a task of {cores:d} cores that takes {seconds:g} s with priority '
    '{priority:d} comes at {at:g} s'
)
def submit_small(context, cores, seconds, priority, at):
    submit_kind(context, 'plain', cores, seconds, priority, at)


@when(
    'a {kind} task of {cores:d} cores that takes {seconds:g} s with priority '
    '{priority:d} comes at {at:g} s'
)
def submit_kind(context, kind, cores, seconds, priority, at):
    pool = context.pool
    pool.run_until(at - ROUND_SECONDS)
    is_permanent = kind == 'permanent'
    pool.submit('small', 1, cores, seconds, priority, is_permanent=is_permanent)
    pool.run_until(at)


@then('the small task is {result}')
def check_small(context, result):
    assert ('small' in context.pool.started_at) == (result == 'placed')


@then('the gang starts at {at:g} s')
def check_gang(context, at):
    context.pool.run_until(at + 1)
    started_at = context.pool.started_at.get('gang9')
    assert started_at is not None, context.pool.changes
    assert started_at <= at + 0.01, started_at
    assert context.pool.changes[-1][1].event.value == 'kept'


@when('it happens at {at:g} s that {cause}')
def end_reservation(context, at, cause):
    pool = context.pool
    pool.run_until(at)
    entry = pool.entries['w0']
    if cause == 'the gang is cancelled':
        pool.state.cancel_job('gang9', pool.now)
    elif cause == 'worker w0 drains':
        pool.entries['w0'] = replace(entry, is_draining=True)
    elif cause == 'worker w0 falls silent':
        pool.silent.add('w0')
        pool.scheduler.reconciler.note_silence('w0', pool.now + 3)
    elif cause == 'worker w0 shrinks to 8 cores':
        pool.entries['w0'] = replace(entry, capacity=Demand(8000, 64000, 0))
    else:
        pool.submit('urgent', 2, 9, 2, priority=0, is_gang=True)
    pool.update()
    pool.run_until(at + 0.3)


@then('the reservation was {event} because "{reason}"')
def check_end(context, event, reason):
    change = context.pool.changes[1][1]
    found = (change.event.value, change.reason.value)
    assert found == (event, reason), context.pool.changes


@when('the running tasks take {seconds:g} s, and rounds go on until {end:g} s')
def run_late(context, seconds, end):
    pool = context.pool
    pool.seconds |= {'filler0': seconds, 'filler1': seconds}
    pool.submit('small', 1, 2, 9)
    pool.run_until(end)


@then('no worker was held for over {seconds:g} s')
def check_held(context, seconds):
    assert max(one.held_seconds for _, one in context.pool.changes) <= seconds
    assert 'small' in context.pool.started_at


@then('the gang got no other reservation within {seconds:g} s')
def check_blocked(context, seconds):
    times = [
        at
        for at, change in context.pool.changes
        if change.event.value in {'made', 'wrong'}
    ]
    assert len(times) < 3 or times[2] - times[1] >= seconds, times


@then('only {count:d} reservation was made')
def check_made(context, count):
    context.pool.state.cancel_job('gang9', context.pool.now)
    context.pool.run_until(3)
    events = [change.event.value for _, change in context.pool.changes]
    assert events.count('made') == count, events


@when('streams of load {load:g} are replayed with seeds 1 and 2')
def replay_streams(context, load):
    context.found = {
        name: [
            Replay(JobStream(Shape(load), number), POLICIES[name]).run_all()
            for number in (1, 2)
        ]
        for name in ('today', 'gangs')
    }


def total(context, name, measure):
    return sum(one.measure()[measure] for one in context.found[name])


@then("the 99th percentile of gangs' waits is below that of today")
def check_gang_waits(context):
    today = total(context, 'today', 'gang p99')
    assert total(context, 'gangs', 'gang p99') < today


@step('the median wait of small jobs is raised by no more than a tenth')
def check_small_waits(context):
    today = total(context, 'today', 'small p50')
    assert total(context, 'gangs', 'small p50') <= 1.1 * today


@then('as many jobs are done in time as today')
def check_throughput(context):
    done = {name: total(context, name, 'done') for name in ('today', 'gangs')}
    assert done['gangs'] >= done['today'], done

import sys
from pathlib import Path

from behave import given, then, when

sys.path.insert(0, str(Path(__file__).parent.parent))

from admissionsimulation import AdmissionSimulation  # noqa: E402
from peaksimulation import PoolTraffic  # noqa: E402

from tarragonlb.scheduling.fleetstate import FleetState  # noqa: E402
from tarragonlb.scheduling.hopelessjobs import (  # noqa: E402
    choose_retry_after,
    find_rejection,
)
from tarragonlb.scheduling.job import Demand, Job, JobSpec, Step  # noqa: E402
from tarragonlb.scheduling.jobbacklog import JobBacklog  # noqa: E402
from tarragonlb.scheduling.poolbacklog import PoolBacklog  # noqa: E402
from tarragonlb.scheduling.queue import Queue  # noqa: E402
from tarragonlb.scheduling.records import KeyedRecord  # noqa: E402
from tarragonlb.scheduling.tenant import Tenant, TenantTable  # noqa: E402
from tarragonlb.scheduling.waitforecast import (  # noqa: E402
    PoolWaits,
    WaitForecast,
)
from tarragonlb.scheduling.waitrecords import (  # noqa: E402
    StoredWaits,
    build_wait_record,
)

TRAFFIC = PoolTraffic(
    peak_rate=46, width=8, steps=(1, 2, 2), task_seconds=1.0, millicores=1500
)
SETTLE_SECONDS = 5.0
# Jobs of the peak are deferred for 20 s, and then go before new ones.
DEFERRAL_SECONDS = 21.0


def build_queue(priority=0):
    return Queue(
        name=f'q{priority}',
        host='h',
        path_prefix='/',
        pool='p',
        priority=priority,
        stretch=1.6,
        objective_seconds=0.6,
    )


def build_job(kind='short', width=8):
    step = Step(
        width=width,
        demand=Demand(1000, 1, 0),
        estimate_seconds=1.0,
        is_permanent=kind == 'permanent',
    )
    spec = JobSpec(
        payload='', steps=(step,), repetitions=2 if kind == 'scheduled' else 0
    )
    return Job(job_id='0' * 16, queue='q0', pool='p', spec=spec)


def build_backlog(*jobs, is_full=True, capacity=10):
    return PoolBacklog(jobs=jobs, capacity=capacity, is_full=is_full)


def forecast_full(jobs, queues, tenants=()):
    forecast = WaitForecast()
    for now in (0.0, 3.0):
        waits = forecast.forecast(
            build_backlog(*jobs), queues, TenantTable(tenants), now
        )
    return waits


@given('a pool with up to {count:d} VMs, with seed {seed:d}')
def begin(context, count, seed):
    context.simulation = AdmissionSimulation(seed, count, TRAFFIC, True)


@when('a peak of 10 s is played with admission')
def play(context):
    context.simulation.run(15 + SETTLE_SECONDS)


@then('no job is rejected')
def check_none_rejected(context):
    simulation = context.simulation
    assert simulation.count_in_time() > 400, simulation.count_in_time()
    assert not simulation.rejections, len(simulation.rejections)


@when('a peak of 10 s is played with admission and without')
def play_both(context):
    context.played = []
    for is_enforced in (True, False):
        simulation = AdmissionSimulation(
            context.simulation.seed,
            len(context.simulation.vms),
            TRAFFIC,
            is_enforced,
        )
        simulation.run(15 + DEFERRAL_SECONDS)
        context.played.append(simulation)


@then('as many jobs are in time, and a larger part of the accepted ones')
def check_gain(context):
    admitting, plain = context.played
    in_time = admitting.count_in_time()
    assert in_time >= plain.count_in_time(), in_time
    accepted = len(admitting.results) - len(admitting.rejections)
    assert admitting.rejections
    before = plain.count_in_time() / len(plain.results)
    assert in_time / accepted > before, (in_time, accepted, before)


@then('no rejected job would have been worth anything')
def check_worthless(context):
    plain = context.played[1]
    earned = [plain.results[job_id].earned for job_id in plain.rejections]
    assert earned, 'nothing was rejected'
    assert not any(earned), earned


@given('a pool of 10 cores that is full for 3 s')
def begin_full(context):
    context.jobs = []


@given(
    'jobs with {urgent:d} core seconds of priority 0, {on_time:d} on time and '
    '{deferred:d} deferred of priority 1'
)
def add_jobs(context, urgent, on_time, deferred):
    context.jobs = [
        JobBacklog(0, '', 0, urgent, False, True),
        JobBacklog(1, '', 0, on_time, False, False, 1.0),
        JobBacklog(1, '', 0, deferred, True, False, 1.0),
        # It must start after any new job, and so does not delay it.
        JobBacklog(1, '', 0, 1000, False, False, 9.0),
    ]


@then(
    'a queue of priority 1 waits {low:g} s and one of priority 0 waits '
    '{high:g} s'
)
def check_waits(context, low, high):
    waits = forecast_full(context.jobs, [build_queue(0), build_queue(1)])
    assert waits.queues == {'q1': low, 'q0': high}, waits


@then('a pool has waits only after 2 s in which it was full and did not grow')
def check_settling(context):
    job = JobBacklog(0, '', 0, 100, False, True)
    forecast = WaitForecast()
    found = []
    for now, is_full, capacity in (
        (0.0, True, 10),
        (1.9, True, 10),
        (2.0, True, 10),
        (2.2, False, 10),
        (2.4, True, 10),
        (4.4, True, 10),
        (4.6, True, 20),
        (6.6, True, 20),
    ):
        backlog = build_backlog(job, is_full=is_full, capacity=capacity)
        waits = forecast.forecast(backlog, [build_queue()], TenantTable(), now)
        found.append(waits.queues.get('q0', 0))
    assert found == [0, 0, 10, 0, 0, 10, 0, 5], found


@given(
    'tenant "{one}" with {much:d} core seconds on time and tenant "{other}" '
    'with {little:d}, of equal weight'
)
def add_tenants(context, one, much, other, little):
    context.tenants = [Tenant(name=one), Tenant(name=other)]
    context.jobs = [
        JobBacklog(0, one, 0, much, False, False),
        JobBacklog(0, other, 0, little, False, False),
    ]


@then(
    'tenant "{one}" waits {wait:g} s, and tenant "{other}" as long as the queue'
)
def check_tenants(context, one, wait, other):
    waits = forecast_full(context.jobs, [build_queue()], context.tenants)
    assert waits.tenants == {('q0', one): wait}, waits
    assert waits.queues == {'q0': 0}, waits


@given('waits of {wait:g} s, with {free:d} millicores free')
def set_waits(context, wait, free):
    context.waits = PoolWaits(
        {'q0': wait}, clears_in=wait, rate=10, free=Demand(free, 64, 0)
    )


@when('a {kind} job with a chain of 1 s and an objective of 2.2 s is submitted')
def submit(context, kind):
    context.rejection = find_rejection(
        build_job(kind), build_queue(), context.waits, lambda: 0.5
    )


@then('the submission is {outcome}')
def check_outcome(context, outcome):
    assert (context.rejection is not None) == (outcome == 'rejected')


LONG_WAITS = PoolWaits({'q0': 10}, clears_in=10, rate=100)


def choose(job, share, waits=LONG_WAITS):
    return choose_retry_after(job, waits, waits.clears_in, share)


@then(
    '100 clients come back at {count:d} or more different seconds, the first '
    'after {first:d} s'
)
def check_spread(context, count, first):
    times = {choose(build_job(), number / 100) for number in range(100)}
    assert len(times) >= count, times
    assert min(times) >= first, times


@then('a job of 100 times the work comes back later')
def check_larger(context):
    assert choose(build_job(width=800), 0.5) > choose(build_job(), 0.5)


@then('no client is told less than 1 s')
def check_least(context):
    assert choose(build_job(), 0, PoolWaits()) == 1


class Reader:
    def __init__(self):
        self.state = FleetState()
        self.offset = 0

    def read(self, now, waits=LONG_WAITS, term=2):
        record = build_wait_record('p', StoredWaits(term, waits))
        self.offset += 1
        stored = KeyedRecord(record.key, record.value, self.offset)
        self.state.apply([stored], now)
        assert not self.state.errors, self.state.errors

    def find(self, now):
        return self.state.waits.find('p', now)


@then('a figure read once does not count')
def check_once(context):
    reader = context.reader = Reader()
    reader.read(0.0)
    # Several records of one read may all be old.
    reader.read(0.0)
    assert reader.find(0.0) is None


@then('one that is read again within a second counts for a second')
def check_again(context):
    context.reader.read(0.5)
    assert context.reader.find(1.5) == LONG_WAITS
    assert context.reader.find(1.6) is None


@then('after 2 s without a read the next one does not count')
def check_outage(context):
    context.reader.read(2.5)
    assert context.reader.find(2.5) is None
    context.reader.read(3.0)
    assert context.reader.find(3.0) == LONG_WAITS


@then("a clearing record ends it, and a former owner's record does not count")
def check_cleared(context):
    reader = context.reader
    reader.read(3.2, waits=None, term=3)
    assert reader.find(3.2) is None
    reader.read(3.4)
    reader.read(3.6)
    assert reader.find(3.6) is None

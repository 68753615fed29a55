"""Steps for odd records of jobs, lease bounds and caps."""

import itertools
import sys
from dataclasses import replace
from pathlib import Path

import cbor2
import msgspec
from behave import given, then
from hypothesis import given as for_all
from hypothesis import strategies as st

sys.path.insert(0, str(Path(__file__).parent.parent))
from oddvalues import (  # noqa: E402
    SETTINGS,
    change_row,
    draw_mostly,
    encode_odd,
)

from tarragonlb.scheduling.demand import measure_load  # noqa: E402
from tarragonlb.scheduling.fairshare import FairShareOrder  # noqa: E402
from tarragonlb.scheduling.fleetrecords import (  # noqa: E402
    build_load_record,
)
from tarragonlb.scheduling.fleetstate import FleetState  # noqa: E402
from tarragonlb.scheduling.job import (  # noqa: E402
    Demand,
    Job,
    JobSpec,
    Moment,
    Step,
)
from tarragonlb.scheduling.jobindex import JobIndex  # noqa: E402
from tarragonlb.scheduling.jobstate import (  # noqa: E402
    MAX_OPEN_OCCURRENCES,
    JobState,
)
from tarragonlb.scheduling.leasebound import (  # noqa: E402
    BoundChanges,
    LeaseBoundIndex,
    build_bound_records,
)
from tarragonlb.scheduling.orders import OrderResult  # noqa: E402
from tarragonlb.scheduling.placement import (  # noqa: E402
    FirstFit,
    PackNearData,
)
from tarragonlb.scheduling.policies import SchedulingPolicies  # noqa: E402
from tarragonlb.scheduling.progress import (  # noqa: E402
    Progress,
    TaskRow,
    build_progress_record,
)
from tarragonlb.scheduling.queue import Queue  # noqa: E402
from tarragonlb.scheduling.quotaindex import QuotaIndex  # noqa: E402
from tarragonlb.scheduling.quotaledger import QuotaLedger  # noqa: E402
from tarragonlb.scheduling.quotarecords import (  # noqa: E402
    Grant,
    PartitionShare,
    QuotaReport,
    build_grant_record,
    build_report_record,
    build_term_record,
)
from tarragonlb.scheduling.records import (  # noqa: E402
    KeyedRecord,
    RecordError,
    build_submission_record,
)
from tarragonlb.scheduling.scheduler import Scheduler  # noqa: E402
from tarragonlb.scheduling.settings import SchedulingSettings  # noqa: E402
from tarragonlb.scheduling.submissionrate import (  # noqa: E402
    SubmissionRates,
)
from tarragonlb.scheduling.tenant import Tenant, TenantTable  # noqa: E402
from tarragonlb.scheduling.tenantstatistics import (  # noqa: E402
    measure_tenants,
)
from tarragonlb.scheduling.worker import (  # noqa: E402
    EndedAttempt,
    Worker,
    WorkerReport,
)

SOUND_ID = 'a' * 16
ODD_ID = 'b' * 16
SOUND_OFFSET = 77
WALL_MS = 1.7e12
# The place of the rows of tasks in a progress record.
TASKS = Progress.__struct_fields__.index('tasks')
SETTINGS_OF_OWNER = SchedulingSettings(
    max_lease_seconds=6.0, maintenance_seconds=2.0
)
STEPS = (
    Step(width=1, demand=Demand(500, 10, 0), estimate_seconds=1),
    Step(
        width=2,
        demand=Demand(500, 10, 1),
        prerequisites=(0,),
        disruption_budget=1,
        max_per_worker=1,
    ),
)
# Has room for the sound job beside all open occurrences of the odd one, as a
# number may be odd, but valid: of occurrences that are due, or of tasks.
WORKER = Worker(
    worker_id='w0',
    pool='p',
    address='x:1',
    capacity=Demand(
        cpu_millicores=10_000 * MAX_OPEN_OCCURRENCES,
        memory_mb=1000 * MAX_OPEN_OCCURRENCES,
        gpus=100 * MAX_OPEN_OCCURRENCES,
    ),
)
# What owners use, without tenants and with them.
POLICIES = (
    lambda: SchedulingPolicies(placement=FirstFit()),
    lambda: SchedulingPolicies(
        placement=PackNearData(),
        order=FairShareOrder(),
        bounds_pending_starts=True,
    ),
)


def build_job(job_id):
    return Job(
        job_id=job_id,
        queue='q',
        pool='p',
        spec=JobSpec(
            payload='x',
            steps=STEPS,
            first_due_ms=1_600_000_000_000,
            interval_ms=1000,
            repetitions=2,
        ),
        handed_in_ms=WALL_MS,
        tenant='t',
    )


def build_progress(job):
    state = JobState(job, Moment(0.0, WALL_MS))
    state.add_occurrence()
    for _, task in state.list_tasks():
        task.place('w0', 1, 1, 0.0)
        task.failed_attempts.add(1)
    return build_progress_record(state, 7, 0)


def load_row(record):
    return cbor2.loads(record.value)


@st.composite
def draw_submission(draw):
    job = build_job(ODD_ID)
    row = load_row(build_submission_record(job))
    # With the fields that a record leaves out, as they have their defaults.
    spec = cbor2.loads(cbor2.dumps(msgspec.to_builtins(job.spec)))
    for _ in range(draw(st.sampled_from((1, 1, 1, 2, 3)))):
        spec = draw(change_row(spec))
    return cbor2.dumps([*row[:2], cbor2.dumps(spec), *row[3:]])


def draw_records():
    """Return a strategy of the records of one job, one or more of them odd."""
    job = build_job(ODD_ID)
    submission = build_submission_record(job)
    progress = build_progress(job)
    odd_submissions = draw_mostly(
        draw_submission(), encode_odd(load_row(submission))
    )
    odd_progresses = encode_odd(load_row(progress))
    cancellations = st.one_of(st.just(b''), st.binary(max_size=3))
    return st.one_of(
        build_records(
            odd_submissions,
            st.sampled_from((b'', progress.value)),
            st.just(b''),
        ),
        build_records(st.just(submission.value), odd_progresses, st.just(b'')),
        build_records(odd_submissions, odd_progresses, cancellations),
    )


def build_records(submissions, progresses, cancellations):
    return st.builds(
        lambda *values: [
            KeyedRecord(ODD_ID + kind, value, 0)
            for kind, value in zip('jpc', values, strict=True)
        ],
        submissions,
        progresses,
        cancellations,
    )


@given('the records of a job, and odd ones about other jobs')
def make_records(context):
    context.records = draw_records()


@then("the partition's jobs are counted, shown and scheduled, that job too")
def check_jobs(context):
    sound = replace(
        build_job(SOUND_ID), spec=JobSpec(payload='x', steps=STEPS[:1])
    )

    # No odd value is the offset of the sound job's submission.
    marks = encode_odd([5])

    @SETTINGS
    @for_all(context.records, marks, st.sampled_from(POLICIES))
    def check(records, mark, build_policies):
        index = JobIndex()
        index.apply(records)
        accepted = build_submission_record(sound)
        index.apply(
            [
                KeyedRecord(accepted.key, accepted.value, SOUND_OFFSET),
                KeyedRecord(f'{SOUND_ID}f', mark, SOUND_OFFSET + 1),
            ]
        )
        assert index.count_pending()['q'] >= 1
        for job in index.list_jobs():
            job.describe()
            job.belongs_to('t', 'q')
        schedule(index, build_policies())

    check()


def check_load(load):
    """The fleet's owner can read how many workers the pool needs."""
    fleet_state = FleetState()
    fleet_state.apply([replace_offset(build_load_record('p', load))], 1.0)
    assert fleet_state.loads.get('p') == load, load


def schedule(index, policies):
    scheduler = Scheduler(SETTINGS_OF_OWNER, policies, now=0.0)
    state = scheduler.state
    state.tenants = TenantTable([Tenant(name='t')])
    rates = SubmissionRates()
    state.queues = {'q': Queue(name='q', host='h', path_prefix='/', pool='p')}
    state.update_workers([WORKER])
    for job in index.list_jobs():
        try:
            state.add_job(job.build_state(Moment(0.0, WALL_MS)))
        except RecordError:
            continue
        if job.is_cancelled:
            state.cancel_job(job.job_id, 0.0)
    started = set()
    ended = ()
    numbers = itertools.count(1)
    for tenth in range(1, 100):
        now = tenth / 10
        scheduler.reconciler.apply_report(
            WorkerReport(
                worker_id='w0',
                requested_at=now,
                received_at=now,
                incarnation=1,
                ended=ended,
            )
        )
        decision = scheduler.decide(Moment(now, WALL_MS + 1000 * now))
        measure_tenants(state, rates)
        check_load(measure_load(state, 'p'))
        for job_state in decision.jobs:
            build_progress_record(job_state, 1, now)
        scheduler.note_stored(decision, now)
        for order in (*decision.starts, *decision.stops):
            scheduler.apply_order_result(order, OrderResult.DONE, now)
        ended = tuple(
            EndedAttempt(next(numbers), order.key, order.attempt, 'done', '')
            for order in decision.starts
        )
        started.update(order.key.job_id for order in decision.starts)
    assert SOUND_ID in started, started


@given('{jobs:d} jobs of {width:d} tasks that demand {millicores:d} millicores')
def add_large_jobs(context, jobs, width, millicores):
    scheduler = Scheduler(
        SETTINGS_OF_OWNER, SchedulingPolicies(placement=FirstFit()), now=0.0
    )
    context.partition = scheduler.state
    context.partition.update_workers(
        [replace(WORKER, capacity=Demand(16_000, 64_000, 0))]
    )
    step = Step(width=width, demand=Demand(millicores, 1, 0))
    for number in range(jobs):
        job = replace(
            build_job(f'{number:016x}'),
            spec=JobSpec(payload='x', steps=(step,)),
        )
        state = JobState(job, Moment(0.0, WALL_MS))
        state.add_occurrence()
        context.partition.add_job(state)


@then("the fleet's owner can read how many workers their pool needs")
def check_need(context):
    check_load(measure_load(context.partition, 'p'))


@given('the stored progress of a task, where {name} is {value}')
def change_progress(context, name, value):
    job = build_job(ODD_ID)
    rows = load_row(build_progress(job))
    row = rows[TASKS][0]
    place = TaskRow.__struct_fields__.index(name)
    number = int(value)
    row[place] = [number] if isinstance(row[place], list) else number
    context.index = JobIndex()
    context.index.apply(
        [
            build_submission_record(job),
            KeyedRecord(f'{ODD_ID}p', cbor2.dumps(rows), 0),
        ]
    )


@then('no owner schedules its job')
def check_not_restored(context):
    try:
        context.index.find(ODD_ID).build_state(Moment(0.0, WALL_MS))
    except RecordError:
        return
    raise AssertionError('the job was restored')


@given('records on a lease bound and on the cap of a tenant')
def list_bound_records(context):
    context.bound = build_bound_records(BoundChanges({'w1': 3.0}, ()), 7)[0]
    share = PartitionShare((1, 1, 1, 0), (2, 1, 1, 0), 1)
    context.quota = (
        build_term_record(1, 7),
        build_grant_record(Grant('t', 4, (9, 9, 9, 0), {1: share})),
        build_report_record(QuotaReport('t', 1, 7, 1, 4, (1, 0, 0, 0))),
    )


@then('each is in force among any odd ones')
def check_bounds(context):
    values = encode_odd(load_row(context.bound), *map(load_row, context.quota))
    keys = st.sampled_from(
        (
            'w2l',
            'l',
            'grant/u',
            'report/1/u',
            'report/x/u',
            'term/1/6',
            'term/1/' + '9' * 500,
            'term/x',
            'grant/',
            'odd',
        )
    )

    @SETTINGS
    @for_all(st.lists(st.tuples(keys, values), min_size=1, max_size=4))
    def check(rows):
        odd = [KeyedRecord(key, value, 0) for key, value in rows]
        bounds = LeaseBoundIndex()
        bounds.apply([*odd, replace_offset(context.bound)], 1.0)
        assert bounds.bounds['w1'].remaining_seconds == 3.0
        for bound in bounds.bounds.values():
            assert bound.remaining_seconds >= 0
        index = QuotaIndex()
        index.apply([*odd, *map(replace_offset, context.quota)])
        assert index.terms[1] == 7
        assert index.grants['t'].number == 4
        assert index.reports[1, 't'].occupied == (1, 0, 0, 0)
        QuotaLedger(index)

    check()


def replace_offset(record):
    return KeyedRecord(record.key, record.value, 1)

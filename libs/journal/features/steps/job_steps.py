"""Steps for jobs in the fold."""

from unittest import mock

from behave import given, then, when

from tarragonlb.journal import jobfold
from tarragonlb.journal.codec import encode_record
from tarragonlb.journal.fold import apply_blob
from tarragonlb.journal.state import State
from tarragonlb.model.job import JobsCancelled, JobSubmitted
from tarragonlb.model.recordhead import HeadFactory


@given('a fold that keeps {count:d} ended jobs')
def limit_ended_jobs(context, count):
    patch = mock.patch.object(jobfold, 'MAX_ENDED_JOBS', count)
    patch.start()
    context.add_cleanup(patch.stop)
    context.state = State()
    context.head_factory = HeadFactory('test', '1')


@when(
    '{count:d} jobs are submitted with keys '
    'and the first {ended:d} are cancelled'
)
def submit_and_cancel(context, count, ended):
    for index in range(1, count + 1):
        job = JobSubmitted(
            head=context.head_factory.make_head(0, 0),
            job_id=str(index),
            team='archive',
            kind='index',
            pool='p',
            cores=1,
            memory_gb=1,
            payload='',
            urgent=False,
            idempotent=True,
            deadline_seconds=60,
            declared_seconds=1,
            key=f'key-{index}',
        )
        fold(context, job)
    for index in range(1, ended + 1):
        cancelled = JobsCancelled(
            head=context.head_factory.make_head(0, 0),
            team='archive',
            job_ids=(str(index),),
        )
        fold(context, cancelled)


def fold(context, record):
    offset = context.state.offset + 1
    assert apply_blob(context.state, offset, encode_record(record)).accepted


@then('the jobs "{names}" exist and each has its key')
def check_jobs(context, names):
    expected = names.split(', ')
    assert list(context.state.jobs) == expected
    keys = {key: name for (_, key), name in context.state.keys.items()}
    assert keys == {f'key-{name}': name for name in expected}


@then('the key of job 1 is free again')
def check_key_unused(context):
    assert ('archive', 'key-1') not in context.state.keys

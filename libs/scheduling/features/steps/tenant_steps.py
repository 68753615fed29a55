from dataclasses import replace

from behave import then, when

from tarragonlb.scheduling.job import Job, JobSpec, Moment, Step
from tarragonlb.scheduling.jobindex import JobIndex
from tarragonlb.scheduling.records import (
    KeyedRecord,
    build_submission_record,
    decode_value,
)

JOB = Job(
    job_id='a1',
    queue='q',
    pool='p',
    spec=JobSpec(payload='', steps=(Step(width=1),)),
    handed_in_ms=5,
)


@when('a job of no tenant and one of tenant "{name}" are stored')
def store_jobs(context, name):
    jobs = (JOB, replace(JOB, job_id='a2', tenant=name))
    context.records = [build_submission_record(job) for job in jobs]


@then('the first record has no field more than before there were tenants')
def check_fields(context):
    queue, pool, _, handed_in_ms = decode_value(context.records[0].value)
    assert (queue, pool, handed_in_ms) == ('q', 'p', 5)


@then('the second job, read back, belongs to tenant "{name}"')
def check_tenant(context, name):
    index = JobIndex()
    index.apply(
        KeyedRecord(record.key, record.value, offset)
        for offset, record in enumerate(context.records)
    )
    state = index.find('a2').build_state(Moment(0.0))
    assert state.job.tenant == name

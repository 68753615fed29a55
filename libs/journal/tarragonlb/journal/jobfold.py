"""Rules for jobs.

No accepted job is lost, and each has at most one attempt that may be running.
"""

from dataclasses import replace
from types import MappingProxyType

from tarragonlb.journal.rule import Reason, Rule, check_term
from tarragonlb.journal.state import State
from tarragonlb.model.entry import JobEntry, JobPhase
from tarragonlb.model.job import (
    JobEnded,
    JobOutcome,
    JobsCancelled,
    JobSetAside,
    JobStarted,
    JobSubmitted,
)

MAX_FAILURES = 5
MAX_ENDED_JOBS = 10_000
PRUNABLE_PHASES = frozenset(
    (JobPhase.SUCCEEDED, JobPhase.FAILED, JobPhase.CANCELLED)
)


def submit_job(
    state: State, record: JobSubmitted, offset: int
) -> Reason | None:
    """Queue a job, unless the team has used its idempotency key before."""
    key = (record.team, record.key)
    existing_id = state.keys.get(key)
    if record.key and existing_id:
        return f'key {record.key} is that of job {existing_id}'
    if record.job_id in state.jobs:
        return f'job {record.job_id} already exists'
    if record.key:
        state.keys[key] = record.job_id
    state.jobs[record.job_id] = JobEntry(
        spec=record, phase=JobPhase.QUEUED, offset=offset
    )
    return None


def start_job(state: State, record: JobStarted, offset: int) -> Reason | None:
    """Start the next attempt of a queued job on a VM of its pool."""
    job = state.jobs.get(record.job_id)
    if job is None or job.phase is not JobPhase.QUEUED:
        return f'job {record.job_id} is not queued'
    if record.attempt != job.attempt + 1:
        return f'job {record.job_id} is at attempt {job.attempt}'
    vm = state.vms.get(record.vm_id)
    if vm is None or vm.pool != job.spec.pool or vm.charge:
        return f'{record.vm_id} is not available in pool {job.spec.pool}'
    if record.boot < vm.boot:
        return f'{record.vm_id} has reached boot count {vm.boot} since'
    rejection = check_term(state, 'planner', record.term)
    if rejection:
        return rejection
    state.jobs[record.job_id] = replace(
        job,
        phase=JobPhase.STARTED,
        attempt=record.attempt,
        vm_id=record.vm_id,
        boot=record.boot,
    )
    return None


def end_job(state: State, record: JobEnded, offset: int) -> Reason | None:
    """End an attempt that was running, or that was prevented from starting.

    A job that may run again is queued.  A job that may have run and must not
    run twice gets the phase ``UNKNOWN``, for an operator to resolve.
    """
    job = state.jobs.get(record.job_id)
    if job is None or job.phase is not JobPhase.STARTED:
        return f'job {record.job_id} is not running'
    if record.attempt != job.attempt:
        return f'job {record.job_id} is at attempt {job.attempt}'
    lost = record.outcome is JobOutcome.LOST
    if lost and record.boot <= job.boot and not record.gone:
        return f'{job.vm_id} has not been restarted since attempt {job.attempt}'
    failed = lost or record.outcome is JobOutcome.FAILED
    job = replace(job, failures=job.failures + failed, output=record.output)
    _store_job(
        state, replace(job, phase=_choose_phase(job, record.outcome)), offset
    )
    return None


def set_job_aside(
    state: State, record: JobSetAside, offset: int
) -> Reason | None:
    """Set aside a queued job that can't run, and store the reason."""
    job = state.jobs.get(record.job_id)
    if job is None or job.phase is not JobPhase.QUEUED:
        return f'job {record.job_id} is not queued'
    state.jobs[record.job_id] = replace(
        job, phase=JobPhase.SET_ASIDE, output=record.reason
    )
    return None


def cancel_jobs(
    state: State, record: JobsCancelled, offset: int
) -> Reason | None:
    """Cancel queued jobs at once and mark running ones as cancelled."""
    jobs = [
        state.jobs[job_id]
        for job_id in record.job_ids
        if job_id in state.jobs and state.jobs[job_id].spec.team == record.team
    ]
    for job in jobs:
        _store_job(state, _cancel(job), offset)
    return None if jobs else f'team {record.team} has none of these jobs'


def _store_job(state: State, job: JobEntry, offset: int) -> None:
    """Store a job; drop the one that ended first if too many have ended."""
    job_id = job.spec.job_id
    state.jobs[job_id] = job
    if job.phase not in PRUNABLE_PHASES or job_id in state.ended:
        return
    state.ended[job_id] = offset
    if len(state.ended) > MAX_ENDED_JOBS:
        oldest = next(iter(state.ended))
        state.ended.pop(oldest)
        spec = state.jobs[oldest].spec
        state.keys.pop((spec.team, spec.key), None)
        state.jobs.remove(oldest)


def _cancel(job: JobEntry) -> JobEntry:
    if job.phase is JobPhase.QUEUED:
        return replace(job, phase=JobPhase.CANCELLED)
    if job.phase is JobPhase.STARTED:
        return replace(job, cancelled=True)
    return job


def _choose_phase(job: JobEntry, outcome: JobOutcome) -> JobPhase:
    if outcome is JobOutcome.SUCCEEDED:
        return JobPhase.SUCCEEDED
    if job.cancelled:
        return JobPhase.CANCELLED
    if outcome is JobOutcome.NOT_BEGUN:
        return JobPhase.QUEUED
    if job.spec.idempotent and job.failures < MAX_FAILURES:
        return JobPhase.QUEUED
    return JobPhase.FAILED if _has_failed(job, outcome) else JobPhase.UNKNOWN


def _has_failed(job: JobEntry, outcome: JobOutcome) -> bool:
    return job.spec.idempotent or outcome is JobOutcome.FAILED


RULES: MappingProxyType[type, Rule] = MappingProxyType(
    {
        JobSubmitted: submit_job,
        JobStarted: start_job,
        JobEnded: end_job,
        JobSetAside: set_job_aside,
        JobsCancelled: cancel_jobs,
    }
)

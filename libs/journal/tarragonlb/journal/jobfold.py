"""Rules for jobs: none lost, and at most one attempt that may be live."""

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
FORGETTABLE = frozenset(
    (JobPhase.SUCCEEDED, JobPhase.FAILED, JobPhase.CANCELLED)
)


def submit_job(state: State, entry: JobSubmitted, offset: int) -> Reason | None:
    """Queue a job; the same key of the same team names the same job."""
    key = (entry.team, entry.key)
    twin = state.keys.get(key)
    if entry.key and twin:
        return f'key {entry.key} names job {twin}'
    if entry.job_id in state.jobs:
        return f'job {entry.job_id} is known already'
    if entry.key:
        state.keys[key] = entry.job_id
    state.jobs[entry.job_id] = JobEntry(
        spec=entry, phase=JobPhase.QUEUED, offset=offset
    )
    return None


def start_job(state: State, entry: JobStarted, offset: int) -> Reason | None:
    """Start the next attempt of a queued job on a VM of its pool."""
    job = state.jobs.get(entry.job_id)
    if job is None or job.phase is not JobPhase.QUEUED:
        return f'job {entry.job_id} is not queued'
    if entry.attempt != job.attempt + 1:
        return f'job {entry.job_id} is at attempt {job.attempt}'
    vm = state.vms.get(entry.vm_id)
    if vm is None or vm.pool != job.spec.pool or vm.charge:
        return f'{entry.vm_id} is not available in pool {job.spec.pool}'
    if entry.boot < vm.boot:
        return f'{entry.vm_id} has been seen at boot {vm.boot} since'
    refusal = check_term(state, 'planner', entry.term)
    if refusal:
        return refusal
    state.jobs[entry.job_id] = replace(
        job,
        phase=JobPhase.STARTED,
        attempt=entry.attempt,
        vm_id=entry.vm_id,
        boot=entry.boot,
    )
    return None


def end_job(state: State, entry: JobEnded, offset: int) -> Reason | None:
    """End the attempt that is running, or that was kept from running.

    A job that may run again is queued; one that may have run and must not run
    twice is shown to the operator as unknown.
    """
    job = state.jobs.get(entry.job_id)
    if job is None or job.phase is not JobPhase.STARTED:
        return f'job {entry.job_id} is not running'
    if entry.attempt != job.attempt:
        return f'job {entry.job_id} is at attempt {job.attempt}'
    lost = entry.outcome is JobOutcome.LOST
    if lost and entry.boot <= job.boot and not entry.gone:
        return f'{job.vm_id} was not restarted since attempt {job.attempt}'
    failed = lost or entry.outcome is JobOutcome.FAILED
    job = replace(job, failures=job.failures + failed, output=entry.output)
    _put(state, replace(job, phase=_choose_phase(job, entry.outcome)), offset)
    return None


def set_job_aside(
    state: State, entry: JobSetAside, offset: int
) -> Reason | None:
    """Show a job that can't go on to the operator, with the reason."""
    job = state.jobs.get(entry.job_id)
    if job is None or job.phase is not JobPhase.QUEUED:
        return f'job {entry.job_id} is not queued'
    state.jobs[entry.job_id] = replace(
        job, phase=JobPhase.SET_ASIDE, output=entry.reason
    )
    return None


def cancel_jobs(
    state: State, entry: JobsCancelled, offset: int
) -> Reason | None:
    """Cancel the queued ones at once and mark the running ones."""
    jobs = [
        state.jobs[job_id]
        for job_id in entry.job_ids
        if job_id in state.jobs and state.jobs[job_id].spec.team == entry.team
    ]
    for job in jobs:
        _put(state, _cancel(job), offset)
    return None if jobs else f'team {entry.team} has none of these jobs'


def _put(state: State, job: JobEntry, offset: int) -> None:
    """Put a job, and forget the one that ended first if there are too many."""
    job_id = job.spec.job_id
    state.jobs[job_id] = job
    if job.phase not in FORGETTABLE or job_id in state.ended:
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

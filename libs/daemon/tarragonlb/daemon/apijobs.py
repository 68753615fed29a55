"""Handlers that submit, list, show and cancel jobs."""

import uuid
from dataclasses import dataclass
from typing import Annotated

from msgspec import Meta
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from tarragonlb.daemon.apibase import (
    ApiHandlers,
    make_json_response,
    make_not_found_error,
    read_json,
)
from tarragonlb.model.entry import JobEntry
from tarragonlb.model.errors import RecordRejectedError, RefusedError
from tarragonlb.model.job import JobsCancelled, JobSubmitted
from tarragonlb.model.verdict import Verdict

STATUS_ACCEPTED = 202
STATUS_BAD_REQUEST = 400
MAX_CANCELLED_AT_ONCE = 10_000


@dataclass(frozen=True, slots=True, kw_only=True)
class JobRequest:
    """Request body that submits a job; times are in seconds."""

    kind: Annotated[str, Meta(min_length=1, max_length=64)]
    pool: Annotated[str, Meta(min_length=1, max_length=64)]
    cores: Annotated[int, Meta(ge=1)] = 1
    memory_gb: Annotated[int, Meta(ge=0)] = 0
    payload: Annotated[str, Meta(max_length=65_536)] = ''
    urgent: bool = False
    idempotent: bool = False
    deadline_seconds: Annotated[float, Meta(gt=0)] = 86_400
    declared_seconds: Annotated[float, Meta(ge=0)] = 60


@dataclass(frozen=True, slots=True, kw_only=True)
class CancelRequest:
    """Request body that cancels many jobs."""

    job_ids: Annotated[tuple[str, ...], Meta(max_length=MAX_CANCELLED_AT_ONCE)]


@dataclass(frozen=True, slots=True, kw_only=True)
class JobAnswer:
    """Response body that describes a job to its team."""

    job_id: str
    team: str
    kind: str
    pool: str
    phase: str
    attempt: int
    vm_id: str
    output: str
    entry: str


class JobApi(ApiHandlers):
    """Handlers for jobs."""

    __slots__ = ()

    def list_routes(self) -> list[Route]:
        """Return the routes of these handlers."""
        return [
            Route('/v1/jobs', self.submit, methods=['POST']),
            Route('/v1/jobs', self.list_all, methods=['GET']),
            Route('/v1/jobs/cancel', self.cancel, methods=['POST']),
            Route('/v1/jobs/{job_id}', self.show, methods=['GET']),
        ]

    async def submit(self, request: Request) -> Response:
        """Submit a job; respond once its record was read back."""
        identity = self.admit(request)
        body = await read_json(request, JobRequest)
        self._check_pool(body)
        key = request.headers.get('idempotency-key', '')
        record = JobSubmitted(
            head=self.journal.make_head(identity.name),
            job_id=uuid.uuid4().hex,
            team=identity.name,
            kind=body.kind,
            pool=body.pool,
            cores=body.cores,
            memory_gb=body.memory_gb,
            payload=body.payload,
            urgent=body.urgent,
            idempotent=body.idempotent,
            deadline_seconds=body.deadline_seconds,
            declared_seconds=body.declared_seconds,
            key=key,
        )
        try:
            await self.journal.commit(record)
        except RecordRejectedError:
            job_id = self.journal.state.keys.get((identity.name, key))
            if not key or job_id is None:
                raise
        else:
            job_id = record.job_id
        job = self.journal.state.jobs[job_id]
        return make_json_response(self._describe(job), STATUS_ACCEPTED)

    async def show(self, request: Request) -> Response:
        """Return one job of the team."""
        identity = self.admit(request)
        job_id = request.path_params['job_id']
        job = self.journal.state.jobs.get(job_id)
        if job is None:
            raise make_not_found_error(f'job {job_id}')
        identity.require_team(job.spec.team)
        return make_json_response(self._describe(job))

    async def list_all(self, request: Request) -> Response:
        """Return all jobs that the sender may see."""
        identity = self.admit(request)
        jobs = [
            self._describe(job)
            for job in self.journal.state.jobs.values()
            if identity.team in {'', job.spec.team}
        ]
        return make_json_response(jobs)

    async def cancel(self, request: Request) -> Response:
        """Cancel many jobs of the team with one record."""
        identity = self.admit(request)
        body = await read_json(request, CancelRequest)
        record = JobsCancelled(
            head=self.journal.make_head(identity.name),
            team=identity.name,
            job_ids=body.job_ids,
        )
        await self.journal.commit(record)
        jobs = self.journal.state.jobs
        return make_json_response(
            [
                self._describe(jobs[job_id])
                for job_id in body.job_ids
                if job_id in jobs and jobs[job_id].spec.team == identity.name
            ]
        )

    def _check_pool(self, body: JobRequest) -> None:
        pools = self.journal.state.vms.list_pools()
        if body.pool not in pools:
            known = ', '.join(pools) or 'none yet'
            raise RefusedError(
                f'pool: "{body.pool}" does not exist, known pools: {known}',
                verdict=Verdict.NOT_RUN,
                status=STATUS_BAD_REQUEST,
            )

    def _describe(self, job: JobEntry) -> JobAnswer:
        return JobAnswer(
            job_id=job.spec.job_id,
            team=job.spec.team,
            kind=job.spec.kind,
            pool=job.spec.pool,
            phase=job.phase.value,
            attempt=job.attempt,
            vm_id=job.vm_id,
            output=job.output,
            entry=self.entry,
        )

"""Handlers for VMs, pools, waves and the status of this entry VM."""

import uuid
from dataclasses import dataclass
from typing import Annotated

from msgspec import Meta
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from tarragonlb.capacity.forecast import (
    SECONDS_PER_HOUR,
    WaveForecast,
    estimate_wave_cost,
    forecast_wave,
    list_vms_by_rack,
)
from tarragonlb.capacity.poolplan import plan_pools
from tarragonlb.daemon.apibase import (
    ApiHandlers,
    make_json_response,
    make_not_found_error,
    read_json,
)
from tarragonlb.daemon.clock import read_wall
from tarragonlb.journal.plannerview import make_view
from tarragonlb.journal.vmfold import count_charged, find_budget
from tarragonlb.model.entry import PassedVm
from tarragonlb.model.wave import WavePlanned, WaveStatus, WaveSteered
from tarragonlb.settings.schema import PoolSettings


@dataclass(frozen=True, slots=True, kw_only=True)
class WaveRequest:
    """Request body that starts a wave over all VMs of a pool."""

    pool: str
    at_once: Annotated[int, Meta(ge=1)] | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class SteerRequest:
    """Request body that changes the status of a wave."""

    status: WaveStatus


@dataclass(frozen=True, slots=True, kw_only=True)
class PoolAnswer:
    """Response body that describes a pool to an operator."""

    pool: str
    vms: int
    unavailable: int
    budget: int | None


@dataclass(frozen=True, slots=True, kw_only=True)
class StatusAnswer:
    """Response body with the state of this entry VM and its log offset."""

    entry: str
    offset: int
    digest: str
    planner: str
    vms: int
    jobs: int
    waves: int


@dataclass(frozen=True, slots=True, kw_only=True)
class WaveAnswer:
    """Response body that describes a wave to an operator."""

    wave_id: str
    pool: str
    status: WaveStatus
    version: int
    at_once: int
    done: tuple[str, ...]
    passed: tuple[PassedVm, ...]
    forecast: WaveForecast


class FleetApi(ApiHandlers):
    """Handlers for VMs, pools and waves."""

    __slots__ = ()

    def list_routes(self) -> list[Route]:
        """Return the routes of these handlers."""
        return [
            Route('/v1/status', self.show_status),
            Route('/v1/vms', self.list_vms),
            Route('/v1/pools', self.list_pools),
            Route('/v1/waves', self.create_wave, methods=['POST']),
            Route('/v1/pools/plan', self.plan_pools),
            Route('/v1/waves/plan', self.estimate_wave, methods=['POST']),
            Route('/v1/waves', self.list_waves, methods=['GET']),
            Route('/v1/waves/{wave_id}', self.show_wave, methods=['GET']),
            Route('/v1/waves/{wave_id}', self.set_wave_status, methods=['PUT']),
        ]

    async def show_status(self, request: Request) -> Response:
        """Return the status of this entry VM."""
        self.admit(request)
        state = self.journal.state
        term = state.terms.get('planner')
        status = StatusAnswer(
            entry=self.entry,
            offset=state.offset,
            digest=state.digest.hex(),
            planner=term.holder if term else '',
            vms=len(state.vms),
            jobs=len(state.jobs),
            waves=len(state.waves),
        )
        return make_json_response(status)

    async def list_vms(self, request: Request) -> Response:
        """Return all VMs with their pools and charges."""
        self.admit(request).require_operator()
        return make_json_response(list(self.journal.state.vms.values()))

    async def list_pools(self, request: Request) -> Response:
        """Return all pools with their sizes and budgets."""
        self.admit(request).require_operator()
        state = self.journal.state
        pools = [
            PoolAnswer(
                pool=name,
                vms=state.vms.count_pool_vms(name),
                unavailable=count_charged(state, name),
                budget=find_budget(state, name),
            )
            for name in state.vms.list_pools()
        ]
        return make_json_response(pools)

    async def plan_pools(self, request: Request) -> Response:
        """Return the cheapest capacity plan for all pools and its cost."""
        self.admit(request).require_operator()
        view = make_view(self.journal.state, self.fleet_watcher)
        return make_json_response(plan_pools(view))

    async def estimate_wave(self, request: Request) -> Response:
        """Estimate the cost of a wave without starting it."""
        self.admit(request).require_operator()
        body = await read_json(request, WaveRequest)
        view = make_view(self.journal.state, self.fleet_watcher)
        if not view.vms.count_pool_vms(body.pool):
            raise make_not_found_error(f'pool {body.pool}')
        at_once = body.at_once or view.find_pool_settings(body.pool).at_once
        return make_json_response(estimate_wave_cost(view, body.pool, at_once))

    async def create_wave(self, request: Request) -> Response:
        """Start a wave over all VMs of a pool."""
        identity = self.admit(request)
        identity.require_operator()
        body = await read_json(request, WaveRequest)
        state = self.journal.state
        vm_ids = list_vms_by_rack(
            make_view(state, self.fleet_watcher), body.pool
        )
        if not vm_ids:
            raise make_not_found_error(f'pool {body.pool}')
        settings = state.pools.get(body.pool, PoolSettings())
        record = WavePlanned(
            head=self.journal.make_head(identity.name),
            wave_id=uuid.uuid4().hex,
            pool=body.pool,
            vm_ids=tuple(vm_ids),
            at_once=body.at_once or settings.at_once,
            promised_seconds=settings.wave_hours * SECONDS_PER_HOUR,
        )
        await self.journal.commit(record)
        return make_json_response(state.waves[record.wave_id])

    async def list_waves(self, request: Request) -> Response:
        """Return all waves."""
        self.admit(request).require_operator()
        return make_json_response(list(self.journal.state.waves.values()))

    async def show_wave(self, request: Request) -> Response:
        """Return one wave with its forecast."""
        self.admit(request).require_operator()
        wave_id = request.path_params['wave_id']
        wave = self.journal.state.waves.get(wave_id)
        if wave is None:
            raise make_not_found_error(f'wave {wave_id}')
        view = make_view(self.journal.state, self.fleet_watcher)
        answer = WaveAnswer(
            wave_id=wave_id,
            pool=wave.pool,
            status=wave.status,
            version=wave.version,
            at_once=wave.at_once,
            done=wave.done,
            passed=wave.passed,
            forecast=forecast_wave(view, wave, read_wall()),
        )
        return make_json_response(answer)

    async def set_wave_status(self, request: Request) -> Response:
        """Pause, resume or abort a wave."""
        identity = self.admit(request)
        identity.require_operator()
        body = await read_json(request, SteerRequest)
        wave_id = request.path_params['wave_id']
        wave = self.journal.state.waves.get(wave_id)
        if wave is None:
            raise make_not_found_error(f'wave {wave_id}')
        record = WaveSteered(
            head=self.journal.make_head(identity.name),
            wave_id=wave_id,
            expected_version=wave.version,
            status=body.status,
        )
        await self.journal.commit(record)
        return make_json_response(self.journal.state.waves[wave_id])

"""Handlers for the error budget burn report and for metrics."""

import trio
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from tarragonlb.daemon.access import Identity
from tarragonlb.daemon.apibase import ApiHandlers, make_json_response
from tarragonlb.daemon.clock import read_wall
from tarragonlb.model.burn import BurnEntry
from tarragonlb.settings.schema import ServiceSettings
from tarragonlb.telemetry.burnreport import (
    SECONDS_PER_MINUTE,
    ServiceReport,
    report_service,
)
from tarragonlb.telemetry.metrics import read_metrics


class BurnApi(ApiHandlers):
    """Handlers for service-level objectives and metrics."""

    __slots__ = ()

    def list_routes(self) -> list[Route]:
        """Return the routes of these handlers."""
        return [
            Route('/v1/burn', self.show_burn, methods=['GET']),
            Route('/metrics', self.show_metrics, methods=['GET']),
        ]

    async def show_burn(self, request: Request) -> Response:
        """Return the burn report of all services that have an objective."""
        identity = self.admit(request)
        now_minute = int(read_wall() // SECONDS_PER_MINUTE)
        return make_json_response(await self._report(identity, now_minute))

    async def show_metrics(self, request: Request) -> Response:
        """Return the metrics of this process as OTLP JSON."""
        self.admit(request).require_operator()
        return Response(read_metrics(), media_type='application/json')

    async def _report(
        self, identity: Identity, now_minute: int
    ) -> list[ServiceReport]:
        state = self.journal.state
        reports = []
        for name, settings in self._list_services(identity):
            await trio.lowlevel.checkpoint()
            entry = state.burn.get(name, BurnEntry(service=name))
            if settings.objective:
                reports.append(
                    report_service(entry, settings.objective, now_minute)
                )
        return reports

    def _list_services(
        self, identity: Identity
    ) -> list[tuple[str, ServiceSettings]]:
        return [
            (f'{team}/{name}', service)
            for team, settings in sorted(self.journal.state.teams.items())
            for name, service in sorted(settings.services.items())
            if identity.team in {'', team}
        ]

"""Platform stand-in as an HTTP application with CBOR bodies."""

import functools
from collections.abc import Awaitable, Callable
from dataclasses import replace
from typing import Any, TypeAlias

import cbor2
import msgspec
import trio
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from tarragonlb.model.errors import (
    PlatformError,
    PlatformUnavailableError,
    RecordsExpiredError,
)
from tarragonlb.model.fleet import VmReading
from tarragonlb.standin.brokenresponse import DroppedResponse
from tarragonlb.standin.fault import FaultSwitch, PlatformFaults
from tarragonlb.standin.fleetactions import EMPTY_RESULT, FleetActions
from tarragonlb.standin.fleetstore import FleetStore
from tarragonlb.standin.logstore import LogStore

STATUS_GONE = 410
STATUS_REFUSED = 409
STATUS_UNAVAILABLE = 503
POLL_INTERVAL_SECONDS = 0.1
CONTROL_PATHS = frozenset(('/faults', '/violations'))
READ_PATHS = frozenset(('/log/read', '/fleet/read'))

Handler: TypeAlias = Callable[[Any, float], Awaitable[object]]


class PlatformStandin:
    """Serves the platform's API and advances its VMs and tasks over time."""

    __slots__ = ('_actions', '_log', '_switch')

    def __init__(
        self, vms: list[VmReading], retention_records: int, lag_seconds: float
    ) -> None:
        """Start with VMs, the retention of the log, and the lag of the list."""
        self._switch = FaultSwitch(PlatformFaults())
        self._log = LogStore(retention_records)
        self._actions = FleetActions(FleetStore(vms, lag_seconds), self._switch)

    def make_application(self) -> Starlette:
        """Return the ASGI application of the platform."""
        handlers: tuple[tuple[str, Handler], ...] = (
            ('/log/append', self._append),
            ('/log/read', self._read_log),
            ('/fleet/read', self._read_fleet),
            ('/fleet/drain', self._actions.drain),
            ('/fleet/reboot', self._actions.reboot),
            ('/fleet/move', self._actions.move),
            ('/fleet/start_task', self._actions.start_task),
            ('/fleet/stop_task', self._actions.stop_task),
            ('/faults', self._set_faults),
            ('/violations', self._get_violations),
        )
        return Starlette(
            routes=[
                Route(
                    path,
                    functools.partial(self._handle_request, path, handler),
                    methods=['POST'],
                )
                for path, handler in handlers
            ]
        )

    async def run(self) -> None:
        """Advance VMs and tasks until cancelled."""
        while True:
            await trio.sleep(POLL_INTERVAL_SECONDS)
            await self._actions.advance(trio.current_time())

    async def _handle_request(
        self, path: str, handler: Handler, request: Request
    ) -> Response:
        body = cbor2.loads(await request.body())
        if path in CONTROL_PATHS:
            return await _run_handler(handler, body)
        host = request.scope['server'][0]
        if self._is_cut_off(host):
            return await self._drop_response(host)
        if self._is_down(path):
            return Response(status_code=STATUS_UNAVAILABLE)
        await trio.sleep(self._switch.faults.slow_seconds)
        if path == '/fleet/read':
            body['host'] = host
        response = await _run_handler(handler, body)
        if self._is_cut_off(host):
            return await self._drop_response(host)
        remaining = self._switch.faults.lose_answers
        if remaining and path not in READ_PATHS:
            reduced = replace(self._switch.faults, lose_answers=remaining - 1)
            self._switch.replace_faults(reduced)
            return DroppedResponse()
        return response

    def _is_cut_off(self, host: str) -> bool:
        return host in self._switch.faults.cut_hosts

    async def _drop_response(self, host: str) -> Response:
        while self._is_cut_off(host):
            await self._switch.wait_for_change()
        return DroppedResponse()

    def _is_down(self, path: str) -> bool:
        if path.startswith('/log'):
            return self._switch.faults.log_down
        if self._switch.faults.acts_down and path not in READ_PATHS:
            return True
        return path.startswith('/fleet') and self._switch.faults.fleet_down

    async def _append(self, body: Any, now: float) -> object:
        self._log.append(body)
        return EMPTY_RESULT

    async def _read_log(self, body: Any, now: float) -> object:
        return await self._log.read(body['after'], body['wait_seconds'])

    async def _read_fleet(self, body: Any, now: float) -> object:
        deadline = now + body['wait_seconds']
        reading = self._actions.fleet.read(body['after'], now)
        while (
            reading.number == body['after'] and trio.current_time() < deadline
        ):
            await trio.sleep(POLL_INTERVAL_SECONDS)
            now = trio.current_time()
            reading = self._actions.fleet.read(body['after'], now)
        vms = tuple(_replace_host(vm, body['host']) for vm in reading.vms)
        return msgspec.to_builtins(replace(reading, vms=vms))

    async def _set_faults(self, body: Any, now: float) -> object:
        self._switch.replace_faults(msgspec.convert(body, PlatformFaults))
        return EMPTY_RESULT

    async def _get_violations(self, body: Any, now: float) -> object:
        return msgspec.to_builtins(
            self._actions.violation_recorder.make_report()
        )


async def _run_handler(handler: Handler, body: Any) -> Response:
    try:
        result = await handler(body, trio.current_time())
    except RecordsExpiredError as error:
        return Response(cbor2.dumps(error.oldest), status_code=STATUS_GONE)
    except PlatformUnavailableError:
        return Response(status_code=STATUS_UNAVAILABLE)
    except PlatformError as error:
        return Response(str(error), status_code=STATUS_REFUSED)
    return Response(cbor2.dumps(result))


def _replace_host(vm: VmReading, host: str) -> VmReading:
    if not vm.address:
        return vm
    port = vm.address.partition(':')[2]
    return replace(vm, address=f'{host}:{port}')

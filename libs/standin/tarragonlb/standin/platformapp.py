"""The platform stand-in as an HTTP application with CBOR bodies."""

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
from tarragonlb.standin.fault import Faults, FaultSwitch
from tarragonlb.standin.fleetacts import NOTHING, FleetActs
from tarragonlb.standin.fleetstore import FleetStore
from tarragonlb.standin.logstore import LogStore
from tarragonlb.standin.lost import LostAnswer

STATUS_GONE = 410
STATUS_REFUSED = 409
STATUS_UNAVAILABLE = 503
STEP_SECONDS = 0.1
CONTROL_PATHS = frozenset(('/faults', '/violations'))
READ_PATHS = frozenset(('/log/read', '/fleet/read'))

Act: TypeAlias = Callable[[Any, float], Awaitable[object]]


class PlatformStandin:
    """Answers calls, and lets time pass for VMs and tasks."""

    __slots__ = ('_acts', '_log', '_switch')

    def __init__(
        self, vms: list[VmReading], retention: int, lag: float
    ) -> None:
        """Start with a fleet, a log retention, and a lag in seconds."""
        self._switch = FaultSwitch(Faults())
        self._log = LogStore(retention)
        self._acts = FleetActs(FleetStore(vms, lag), self._switch)

    def make_application(self) -> Starlette:
        """Return the application to serve."""
        acts: tuple[tuple[str, Act], ...] = (
            ('/log/append', self._append),
            ('/log/read', self._read_log),
            ('/fleet/read', self._read_fleet),
            ('/fleet/drain', self._acts.drain),
            ('/fleet/reboot', self._acts.reboot),
            ('/fleet/move', self._acts.move),
            ('/fleet/start_task', self._acts.start_task),
            ('/fleet/stop_task', self._acts.stop_task),
            ('/faults', self._turn_faults),
            ('/violations', self._show_violations),
        )
        return Starlette(
            routes=[
                Route(
                    path,
                    functools.partial(self._answer, path, act),
                    methods=['POST'],
                )
                for path, act in acts
            ]
        )

    async def run(self) -> None:
        """Let VMs and tasks move on until cancelled."""
        while True:
            await trio.sleep(STEP_SECONDS)
            await self._acts.move_on(trio.current_time())

    async def _answer(self, path: str, act: Act, request: Request) -> Response:
        body = cbor2.loads(await request.body())
        if path in CONTROL_PATHS:
            return await _perform(act, body)
        host = request.scope['server'][0]
        if self._is_cut(host):
            return await self._lose(host)
        if self._is_down(path):
            return Response(status_code=STATUS_UNAVAILABLE)
        await trio.sleep(self._switch.faults.slow_seconds)
        if path == '/fleet/read':
            body['host'] = host
        response = await _perform(act, body)
        if self._is_cut(host):
            return await self._lose(host)
        left = self._switch.faults.lose_answers
        if left and path not in READ_PATHS:
            fewer = replace(self._switch.faults, lose_answers=left - 1)
            self._switch.turn(fewer)
            return LostAnswer()
        return response

    def _is_cut(self, host: str) -> bool:
        return host in self._switch.faults.cut_hosts

    async def _lose(self, host: str) -> Response:
        while self._is_cut(host):
            await self._switch.wait()
        return LostAnswer()

    def _is_down(self, path: str) -> bool:
        if path.startswith('/log'):
            return self._switch.faults.log_down
        return path.startswith('/fleet') and self._switch.faults.fleet_down

    async def _append(self, body: Any, now: float) -> object:
        self._log.append(body)
        return NOTHING

    async def _read_log(self, body: Any, now: float) -> object:
        return await self._log.read(body['after'], body['wait_seconds'])

    async def _read_fleet(self, body: Any, now: float) -> object:
        until = now + body['wait_seconds']
        reading = self._acts.fleet.read(body['after'], now)
        while reading.number == body['after'] and trio.current_time() < until:
            await trio.sleep(STEP_SECONDS)
            now = trio.current_time()
            reading = self._acts.fleet.read(body['after'], now)
        vms = tuple(_localize(vm, body['host']) for vm in reading.vms)
        return msgspec.to_builtins(replace(reading, vms=vms))

    async def _turn_faults(self, body: Any, now: float) -> object:
        self._switch.turn(msgspec.convert(body, Faults))
        return NOTHING

    async def _show_violations(self, body: Any, now: float) -> object:
        vms = self._acts.fleet.vms.values()
        boots = {vm.vm_id: vm.boot for vm in vms}
        return msgspec.to_builtins(self._acts.referee.make_report(boots))


async def _perform(act: Act, body: Any) -> Response:
    try:
        answer = await act(body, trio.current_time())
    except RecordsExpiredError as error:
        return Response(cbor2.dumps(error.oldest), status_code=STATUS_GONE)
    except PlatformUnavailableError:
        return Response(status_code=STATUS_UNAVAILABLE)
    except PlatformError as error:
        return Response(str(error), status_code=STATUS_REFUSED)
    return Response(cbor2.dumps(answer))


def _localize(vm: VmReading, host: str) -> VmReading:
    if not vm.address:
        return vm
    port = vm.address.partition(':')[2]
    return replace(vm, address=f'{host}:{port}')

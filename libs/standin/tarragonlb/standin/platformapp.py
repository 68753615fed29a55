"""The platform stand-in as an HTTP application with CBOR bodies."""

import functools
from collections.abc import Awaitable, Callable
from dataclasses import replace
from typing import Any, TypeAlias

import cbor2
import httpcore
import msgspec
import trio
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from tarragonlb.model.errors import PlatformError, RecordsExpiredError
from tarragonlb.model.fleet import VmPhase, VmReading
from tarragonlb.standin.fault import Faults
from tarragonlb.standin.fleetstore import FleetStore, Task
from tarragonlb.standin.logstore import LogStore

STATUS_GONE = 410
STATUS_REFUSED = 409
STATUS_UNAVAILABLE = 503
REBOOT_SECONDS = 1.0
STEP_SECONDS = 0.1
DEFAULT_TASK_SECONDS = 0.2

NOTHING: tuple[()] = ()

Act: TypeAlias = Callable[[Any, float], Awaitable[object]]


class PlatformStandin:
    """Answers calls, and lets time pass for VMs and tasks."""

    __slots__ = ('_connections', '_faults', '_fleet', '_log', '_rebooting')

    def __init__(
        self, vms: list[VmReading], retention: int, lag: float
    ) -> None:
        """Start with a fleet, a log retention, and a lag in seconds."""
        self._faults = Faults()
        self._log = LogStore(retention)
        self._fleet = FleetStore(vms, lag)
        self._rebooting: dict[str, float] = {}
        self._connections = httpcore.AsyncConnectionPool()

    def make_application(self) -> Starlette:
        """Return the application to serve."""
        acts: tuple[tuple[str, Act], ...] = (
            ('/log/append', self._append),
            ('/log/read', self._read_log),
            ('/fleet/read', self._read_fleet),
            ('/fleet/drain', self._drain),
            ('/fleet/reboot', self._reboot),
            ('/fleet/move', self._move),
            ('/fleet/start_task', self._start_task),
            ('/fleet/stop_task', self._stop_task),
            ('/faults', self._set_faults),
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
            now = trio.current_time()
            self._fleet.end_tasks(now)
            for vm in list(self._fleet.vms.values()):
                await self._move_on(vm, now)

    async def _answer(self, path: str, act: Act, request: Request) -> Response:
        body = cbor2.loads(await request.body())
        if path == '/faults':
            return await _perform(act, body)
        if self._is_down(path):
            return Response(status_code=STATUS_UNAVAILABLE)
        await trio.sleep(self._faults.slow_seconds)
        response = await _perform(act, body)
        if self._faults.lose_answers:
            left = self._faults.lose_answers - 1
            self._faults = replace(self._faults, lose_answers=left)
            raise ConnectionError('the answer is lost on purpose')
        return response

    def _is_down(self, path: str) -> bool:
        if path.startswith('/log'):
            return self._faults.log_down
        return path.startswith('/fleet') and self._faults.fleet_down

    async def _append(self, body: Any, now: float) -> object:
        self._log.append(body)
        return NOTHING

    async def _read_log(self, body: Any, now: float) -> object:
        return await self._log.read(body['after'], body['wait_seconds'])

    async def _read_fleet(self, body: Any, now: float) -> object:
        return msgspec.to_builtins(self._fleet.read(body['after'], now))

    async def _drain(self, body: Any, now: float) -> object:
        vm = self._fleet.find_vm(body['vm_id'], body['boot'])
        if vm.phase is VmPhase.LIVE:
            self._fleet.set_phase(vm.vm_id, VmPhase.DRAINING, now)
        return NOTHING

    async def _reboot(self, body: Any, now: float) -> object:
        vm = self._fleet.find_vm(body['vm_id'], body['boot'])
        if vm.phase is not VmPhase.DRAINED:
            raise PlatformError(f'{vm.vm_id} is {vm.phase}')
        if vm.address:
            await _call_endpoint(self._connections, vm, '/reboot')
        self._rebooting[vm.vm_id] = now + REBOOT_SECONDS
        gone = replace(vm, phase=VmPhase.REBOOTING, boot=vm.boot + 1)
        self._fleet.put_vm(gone, now)
        return NOTHING

    async def _move(self, body: Any, now: float) -> object:
        await self._reboot(body, now)
        vm = self._fleet.vms[body['vm_id']]
        self._fleet.put_vm(replace(vm, pool=body['pool']), now)
        return NOTHING

    async def _start_task(self, body: Any, now: float) -> object:
        vm = self._fleet.find_vm(body['vm_id'], body['boot'])
        seconds, succeeds = _read_payload(body['payload'])
        task = Task(
            vm_id=vm.vm_id,
            output=f'{body["task_id"]} on {vm.vm_id}',
            succeeds=succeeds,
            ends_at=now + seconds,
            lease_ends_at=now + body['lease_seconds'],
        )
        self._fleet.start_task(body['task_id'], task, now)
        return NOTHING

    async def _stop_task(self, body: Any, now: float) -> object:
        self._fleet.find_vm(body['vm_id'], body['boot'])
        self._fleet.stop_task(body['vm_id'], body['task_id'], now)
        return NOTHING

    async def _set_faults(self, body: Any, now: float) -> object:
        self._faults = msgspec.convert(body, Faults)
        return NOTHING

    async def _move_on(self, vm: VmReading, now: float) -> None:
        if vm.phase is VmPhase.DRAINING and not await self._is_busy(vm):
            self._fleet.set_phase(vm.vm_id, VmPhase.DRAINED, now)
        back_at = self._rebooting.get(vm.vm_id)
        if back_at and back_at <= now:
            self._rebooting.pop(vm.vm_id)
            self._fleet.set_phase(vm.vm_id, VmPhase.LIVE, now)

    async def _is_busy(self, vm: VmReading) -> bool:
        if self._fleet.is_busy(vm.vm_id):
            return True
        if not vm.address:
            return False
        return await _call_endpoint(self._connections, vm, '/active') > 0


async def _call_endpoint(
    connections: httpcore.AsyncConnectionPool, vm: VmReading, path: str
) -> int:
    response = await connections.request('POST', f'http://{vm.address}{path}')
    return int(response.content)


async def _perform(act: Act, body: Any) -> Response:
    try:
        answer = await act(body, trio.current_time())
    except RecordsExpiredError as error:
        return Response(cbor2.dumps(error.oldest), status_code=STATUS_GONE)
    except PlatformError as error:
        return Response(str(error), status_code=STATUS_REFUSED)
    return Response(cbor2.dumps(answer))


def _read_payload(payload: str) -> tuple[float, bool]:
    words = dict(word.split('=', 1) for word in payload.split() if '=' in word)
    seconds = float(words.get('seconds', DEFAULT_TASK_SECONDS))
    return seconds, words.get('fail', 'no') != 'yes'

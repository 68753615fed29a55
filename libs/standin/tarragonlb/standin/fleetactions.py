"""Actions of the platform on VMs and tasks, and their progress over time.

A reboot raises the boot count before it calls the endpoint, so that a second
reboot for the same boot count is refused in the meantime.
"""

from dataclasses import replace
from typing import Any

import httpcore

from tarragonlb.model.errors import PlatformError, PlatformUnavailableError
from tarragonlb.model.fleet import VmPhase, VmReading
from tarragonlb.standin.fault import FaultSwitch, PlatformFaults
from tarragonlb.standin.fleetstore import FleetStore, Task
from tarragonlb.standin.violation import ViolationRecorder

REBOOT_SECONDS = 1.0
DEFAULT_TASK_SECONDS = 0.2

EMPTY_RESULT: tuple[()] = ()


class FleetActions:
    """Carries out the actions that the planner requests."""

    __slots__ = (
        '_connections',
        '_rebooting',
        '_switch',
        'fleet',
        'violation_recorder',
    )

    def __init__(
        self, fleet: FleetStore, switch: FaultSwitch[PlatformFaults]
    ) -> None:
        """Apply actions to the VMs and tasks of ``fleet``."""
        self._connections = httpcore.AsyncConnectionPool()
        self._rebooting: dict[str, float] = {}
        self._switch = switch
        self.fleet = fleet
        self.violation_recorder = ViolationRecorder()

    async def advance(self, now: float) -> None:
        """End tasks that are due and update the phases of all VMs."""
        self.fleet.end_tasks(now)
        for vm in list(self.fleet.vms.values()):
            await self._advance_vm(vm, now)

    async def drain(self, body: Any, now: float) -> object:
        """Start to drain a live VM."""
        vm = self._find_reachable_vm(body)
        if vm.phase is VmPhase.LIVE:
            self._record_drain(vm)
            self.fleet.set_phase(vm.vm_id, VmPhase.DRAINING, now)
        return EMPTY_RESULT

    async def reboot(self, body: Any, now: float) -> object:
        """Restart a drained VM."""
        vm = self._find_reachable_vm(body)
        if vm.phase is not VmPhase.DRAINED:
            raise PlatformError(f'{vm.vm_id} is {vm.phase}')
        self._rebooting[vm.vm_id] = now + REBOOT_SECONDS
        rebooted = replace(vm, phase=VmPhase.REBOOTING, boot=vm.boot + 1)
        self.fleet.put_vm(rebooted, now)
        interrupted = 0
        if vm.address:
            interrupted = await _call_endpoint(self._connections, vm, '/reboot')
        self.violation_recorder.record_reboot(
            vm.vm_id, interrupted, self.fleet.is_busy(vm.vm_id)
        )
        return EMPTY_RESULT

    async def move(self, body: Any, now: float) -> object:
        """Restart a drained VM and move it to another pool."""
        await self.reboot(body, now)
        vm = self.fleet.vms[body['vm_id']]
        self.fleet.put_vm(replace(vm, pool=body['pool']), now)
        return EMPTY_RESULT

    async def start_task(self, body: Any, now: float) -> object:
        """Start a task, or renew its lease."""
        vm = self._find_reachable_vm(body)
        seconds, succeeds = _read_payload(body['payload'])
        task = Task(
            vm_id=vm.vm_id,
            output=f'{body["task_id"]} on {vm.vm_id}',
            succeeds=succeeds,
            ends_at=now + seconds,
            lease_ends_at=now + body['lease_seconds'],
        )
        running = frozenset(self.fleet.tasks)
        if self.fleet.start_task(body['task_id'], task, now):
            self.violation_recorder.record_task(body['task_id'], running)
        return EMPTY_RESULT

    async def stop_task(self, body: Any, now: float) -> object:
        """Stop a task, or prevent it from ever starting."""
        self._find_reachable_vm(body)
        self.fleet.stop_task(body['vm_id'], body['task_id'], now)
        return EMPTY_RESULT

    def _record_drain(self, vm: VmReading) -> None:
        pool_vms = frozenset(
            other.vm_id
            for other in self.fleet.vms.values()
            if other.pool == vm.pool
        )
        self.violation_recorder.record_drain(vm.pool, pool_vms, vm.vm_id)

    def _find_reachable_vm(self, body: Any) -> VmReading:
        vm = self.fleet.find_vm(body['vm_id'], body['boot'])
        if vm.rack in self._switch.faults.gone_racks:
            raise PlatformUnavailableError(f'{vm.vm_id} is unreachable')
        return vm

    async def _advance_vm(self, vm: VmReading, now: float) -> None:
        if vm.rack in self._switch.faults.gone_racks:
            self._mark_gone(vm, now)
            return
        if vm.phase is VmPhase.GONE:
            self._mark_live(vm.vm_id, now)
        if vm.phase is VmPhase.DRAINING and not await self._is_busy(vm):
            self.fleet.set_phase(vm.vm_id, VmPhase.DRAINED, now)
        live_at = self._rebooting.get(vm.vm_id)
        if live_at and live_at <= now:
            self._rebooting.pop(vm.vm_id)
            self._mark_live(vm.vm_id, now)

    def _mark_gone(self, vm: VmReading, now: float) -> None:
        if vm.phase is VmPhase.LIVE:
            self.violation_recorder.record_failure(vm.vm_id)
            self.fleet.set_phase(vm.vm_id, VmPhase.GONE, now)

    def _mark_live(self, vm_id: str, now: float) -> None:
        self.violation_recorder.record_live(vm_id)
        self.fleet.set_phase(vm_id, VmPhase.LIVE, now)

    async def _is_busy(self, vm: VmReading) -> bool:
        if self.fleet.is_busy(vm.vm_id):
            return True
        if not vm.address:
            return False
        return await _call_endpoint(self._connections, vm, '/active') > 0


async def _call_endpoint(
    connections: httpcore.AsyncConnectionPool, vm: VmReading, path: str
) -> int:
    response = await connections.request('POST', f'http://{vm.address}{path}')
    return int(response.content)


def _read_payload(payload: str) -> tuple[float, bool]:
    fields = dict(
        field.split('=', 1) for field in payload.split() if '=' in field
    )
    seconds = float(fields.get('seconds', DEFAULT_TASK_SECONDS))
    return seconds, fields.get('fail', 'no') != 'yes'

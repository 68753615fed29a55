"""Acts of the platform on VMs and tasks, and what time does to them.

A reboot raises the boot count before the endpoint is told of it, so that a
second reboot for the same boot count is refused meanwhile.
"""

import time
from dataclasses import replace
from typing import Any

import httpcore

from tarragonlb.model.errors import PlatformError, PlatformUnavailableError
from tarragonlb.model.fleet import VmPhase, VmReading
from tarragonlb.standin.fault import Faults, FaultSwitch
from tarragonlb.standin.fleetstore import FleetStore, Task
from tarragonlb.standin.violation import DrainNote, Referee

REBOOT_SECONDS = 1.0
DEFAULT_TASK_SECONDS = 0.2

NOTHING: tuple[()] = ()


class FleetActs:
    """Carries out the acts that callers ask for."""

    __slots__ = ('_connections', '_rebooting', '_switch', 'fleet', 'referee')

    def __init__(self, fleet: FleetStore, switch: FaultSwitch[Faults]) -> None:
        """Act on the VMs of a store."""
        self._connections = httpcore.AsyncConnectionPool()
        self._rebooting: dict[str, float] = {}
        self._switch = switch
        self.fleet = fleet
        self.referee = Referee()

    async def move_on(self, now: float) -> None:
        """Let tasks end, and VMs drain, come back, or be lost from sight."""
        self.fleet.end_tasks(now)
        for vm in list(self.fleet.vms.values()):
            await self._move_on(vm, now)

    async def drain(self, body: Any, now: float) -> object:
        """Drain a VM."""
        vm = self._reach_vm(body)
        if vm.phase is VmPhase.LIVE:
            self._note_drain(vm)
            self.fleet.set_phase(vm.vm_id, VmPhase.DRAINING, now)
        return NOTHING

    async def reboot(self, body: Any, now: float) -> object:
        """Restart a drained VM."""
        vm = self._reach_vm(body)
        if vm.phase is not VmPhase.DRAINED:
            raise PlatformError(f'{vm.vm_id} is {vm.phase}')
        self._rebooting[vm.vm_id] = now + REBOOT_SECONDS
        gone = replace(vm, phase=VmPhase.REBOOTING, boot=vm.boot + 1)
        self.fleet.put_vm(gone, now)
        cut = 0
        if vm.address:
            cut = await _call_endpoint(self._connections, vm, '/reboot')
        self.referee.note_reboot(vm.vm_id, cut, self.fleet.is_busy(vm.vm_id))
        return NOTHING

    async def move(self, body: Any, now: float) -> object:
        """Restart a drained VM in another pool."""
        await self.reboot(body, now)
        vm = self.fleet.vms[body['vm_id']]
        self.fleet.put_vm(replace(vm, pool=body['pool']), now)
        return NOTHING

    async def start_task(self, body: Any, now: float) -> object:
        """Start a task, or renew its lease."""
        vm = self._reach_vm(body)
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
            self.referee.note_task(body['task_id'], running)
        return NOTHING

    async def stop_task(self, body: Any, now: float) -> object:
        """Stop a task, or keep it from starting."""
        self._reach_vm(body)
        self.fleet.stop_task(body['vm_id'], body['task_id'], now)
        return NOTHING

    def _note_drain(self, vm: VmReading) -> None:
        drain = DrainNote(vm.vm_id, vm.address, vm.boot, time.monotonic())
        members = frozenset(
            one.vm_id for one in self.fleet.vms.values() if one.pool == vm.pool
        )
        self.referee.note_drain(vm.pool, members, drain)

    def _reach_vm(self, body: Any) -> VmReading:
        vm = self.fleet.find_vm(body['vm_id'], body['boot'])
        if vm.rack in self._switch.faults.gone_racks:
            raise PlatformUnavailableError(f'{vm.vm_id} is not reached')
        return vm

    async def _move_on(self, vm: VmReading, now: float) -> None:
        if vm.rack in self._switch.faults.gone_racks:
            self._lose_sight(vm, now)
            return
        if vm.phase is VmPhase.GONE:
            self._bring_back(vm.vm_id, now)
        if vm.phase is VmPhase.DRAINING and not await self._is_busy(vm):
            self.fleet.set_phase(vm.vm_id, VmPhase.DRAINED, now)
        back_at = self._rebooting.get(vm.vm_id)
        if back_at and back_at <= now:
            self._rebooting.pop(vm.vm_id)
            self._bring_back(vm.vm_id, now)

    def _lose_sight(self, vm: VmReading, now: float) -> None:
        if vm.phase is VmPhase.LIVE:
            self.referee.note_failure(vm.vm_id)
            self.fleet.set_phase(vm.vm_id, VmPhase.GONE, now)

    def _bring_back(self, vm_id: str, now: float) -> None:
        self.referee.note_live(vm_id)
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
    words = dict(word.split('=', 1) for word in payload.split() if '=' in word)
    seconds = float(words.get('seconds', DEFAULT_TASK_SECONDS))
    return seconds, words.get('fail', 'no') != 'yes'

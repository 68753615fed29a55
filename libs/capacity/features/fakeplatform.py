"""A fake platform that checks invariants itself.

Its operations are refused or take effect like those of the real platform.  An
operation that would violate an invariant fails when it takes effect, whoever
sent it.
"""

from dataclasses import replace

from tarragonlb.capacity import action
from tarragonlb.model.errors import PlatformError
from tarragonlb.model.fleet import TaskPhase, TaskReading, VmPhase, VmReading
from tarragonlb.model.invariant import ensure

LEASE_TICKS = 30


class FakePlatform:
    """VMs and tasks; readers see ``changes`` with a delay."""

    def __init__(self, oracle):
        self.oracle = oracle
        self.now = 0
        self.vms = {}
        self.tasks = {}
        self.leases = {}
        self.since = {}
        self.changes = []
        self.start_counts = {}
        self.succeeded = set()

    def put_vm(self, vm):
        self.vms[vm.vm_id] = vm
        self.changes.append(vm)

    def put_task(self, task):
        self.tasks[task.task_id] = task
        self.changes.append(task)

    def set_phase(self, vm_id, phase):
        self.put_vm(replace(self.vms[vm_id], phase=phase))

    def list_running(self, vm_id=None):
        return [
            task
            for task in self.tasks.values()
            if task.phase is TaskPhase.RUNNING and vm_id in {None, task.vm_id}
        ]

    def perform(self, command):
        if isinstance(command, action.DrainVm):
            self.drain(command)
        elif isinstance(command, action.RebootVm):
            self.reboot(command)
        elif isinstance(command, action.MoveVm):
            self.move(command)
        elif isinstance(command, action.StartTask):
            self.start_task(command)
        elif isinstance(command, action.StopTask):
            self.stop_task(command)

    def find_vm(self, command):
        vm = self.vms.get(command.vm_id)
        if vm is None or vm.boot != command.boot or vm.phase is VmPhase.GONE:
            raise PlatformError(f'{command.vm_id} has no boot {command.boot}')
        return vm

    def drain(self, command):
        vm = self.find_vm(command)
        if vm.phase is VmPhase.LIVE:
            ensure(
                self.oracle.is_charged(vm.vm_id), 'a drained VM is charged', vm
            )
            self.set_phase(vm.vm_id, VmPhase.DRAINING)

    def reboot(self, command):
        vm = self.find_vm(command)
        if vm.phase is not VmPhase.DRAINED:
            raise PlatformError(f'{vm.vm_id} is {vm.phase}')
        ensure(self.oracle.is_charged(vm.vm_id), 'a rebooted VM is charged', vm)
        ensure(
            not self.list_running(vm.vm_id), 'a reboot interrupts no job', vm
        )
        self.put_vm(replace(vm, phase=VmPhase.REBOOTING, boot=vm.boot + 1))

    def move(self, command):
        vm = self.find_vm(command)
        self.reboot(command)
        self.put_vm(replace(self.vms[vm.vm_id], pool=command.pool))

    def start_task(self, command):
        vm = self.find_vm(command)
        self.leases[command.task_id] = self.now + LEASE_TICKS
        if command.task_id in self.tasks:
            return
        if vm.phase not in {VmPhase.LIVE, VmPhase.DRAINING}:
            raise PlatformError(f'{vm.vm_id} is {vm.phase}')
        job_id = command.task_id.rpartition('.')[0]
        live = [
            task.task_id
            for task in self.list_running()
            if task.task_id.rpartition('.')[0] == job_id
        ]
        ensure(not live, 'a job has at most one live attempt', command, live)
        start_count = self.start_counts.get(job_id, 0) + 1
        self.start_counts[job_id] = start_count
        self.since[command.task_id] = self.now
        self.oracle.check_start_count(job_id, start_count)
        self.put_task(
            TaskReading(
                task_id=command.task_id, vm_id=vm.vm_id, phase=TaskPhase.RUNNING
            )
        )

    def stop_task(self, command):
        vm = self.find_vm(command)
        task = self.tasks.get(command.task_id)
        if task is None:
            barred_task = TaskReading(
                task_id=command.task_id,
                vm_id=vm.vm_id,
                phase=TaskPhase.STOPPED,
                began=False,
            )
            self.put_task(barred_task)
        elif task.phase is TaskPhase.RUNNING:
            self.put_task(replace(task, phase=TaskPhase.STOPPED))

    def end_task(self, task, phase):
        if phase is TaskPhase.SUCCEEDED:
            self.succeeded.add(task.task_id)
        self.put_task(replace(task, phase=phase))

    def pass_time(self, ticks):
        self.now += ticks
        for task in self.list_running():
            if self.leases[task.task_id] <= self.now:
                self.put_task(replace(task, phase=TaskPhase.STOPPED))
        for vm in list(self.vms.values()):
            if vm.phase is VmPhase.REBOOTING:
                self.set_phase(vm.vm_id, VmPhase.LIVE)
            if vm.phase is VmPhase.DRAINING and not self.list_running(vm.vm_id):
                self.set_phase(vm.vm_id, VmPhase.DRAINED)

    def crash(self, vm_id, phase):
        vm = self.vms[vm_id]
        if vm.phase is VmPhase.GONE:
            return
        for task in self.list_running(vm_id):
            # A crashed worker reports nothing: its last reading stays listed.
            self.tasks[task.task_id] = replace(task, phase=TaskPhase.STOPPED)
        self.put_vm(replace(vm, phase=phase, boot=vm.boot + 1))

    def add_vm(self, vm_id, pool, rack):
        self.put_vm(
            VmReading(
                vm_id=vm_id,
                pool=pool,
                zone=f'zone-{rack}',
                rack=rack,
                phase=VmPhase.LIVE,
                boot=1,
                cores=4,
                memory_gb=8,
            )
        )

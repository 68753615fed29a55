"""A small platform that is its own witness.

Acts are refused or take effect as the real platform's would.  Each act that
would break a promise fails at the moment it takes effect, whoever sent it.
"""

from dataclasses import replace

from tarragonlb.capacity import action
from tarragonlb.model.errors import PlatformError
from tarragonlb.model.fleet import TaskPhase, TaskReading, VmPhase, VmReading
from tarragonlb.model.invariant import ensure

LEASE_TICKS = 30


class FakePlatform:
    """VMs and tasks; ``changes`` is the list that readers see with a lag."""

    def __init__(self, judge):
        self.judge = judge
        self.now = 0
        self.vms = {}
        self.tasks = {}
        self.leases = {}
        self.since = {}
        self.changes = []
        self.begun = {}
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

    def perform(self, step):
        if isinstance(step, action.DrainVm):
            self.drain(step)
        elif isinstance(step, action.RebootVm):
            self.reboot(step)
        elif isinstance(step, action.MoveVm):
            self.move(step)
        elif isinstance(step, action.StartTask):
            self.start_task(step)
        elif isinstance(step, action.StopTask):
            self.stop_task(step)

    def find(self, step):
        vm = self.vms.get(step.vm_id)
        if vm is None or vm.boot != step.boot or vm.phase is VmPhase.GONE:
            raise PlatformError(f'{step.vm_id} has no boot {step.boot}')
        return vm

    def drain(self, step):
        vm = self.find(step)
        if vm.phase is VmPhase.LIVE:
            ensure(self.judge.is_charged(vm.vm_id), 'drained uncharged', vm)
            self.set_phase(vm.vm_id, VmPhase.DRAINING)

    def reboot(self, step):
        vm = self.find(step)
        if vm.phase is not VmPhase.DRAINED:
            raise PlatformError(f'{vm.vm_id} is {vm.phase}')
        ensure(self.judge.is_charged(vm.vm_id), 'rebooted uncharged', vm)
        ensure(not self.list_running(vm.vm_id), 'a reboot cuts no job', vm)
        self.put_vm(replace(vm, phase=VmPhase.REBOOTING, boot=vm.boot + 1))

    def move(self, step):
        vm = self.find(step)
        self.reboot(step)
        self.put_vm(replace(self.vms[vm.vm_id], pool=step.pool))

    def start_task(self, step):
        vm = self.find(step)
        self.leases[step.task_id] = self.now + LEASE_TICKS
        if step.task_id in self.tasks:
            return
        if vm.phase not in {VmPhase.LIVE, VmPhase.DRAINING}:
            raise PlatformError(f'{vm.vm_id} is {vm.phase}')
        job_id = step.task_id.rpartition('.')[0]
        live = [
            task.task_id
            for task in self.list_running()
            if task.task_id.rpartition('.')[0] == job_id
        ]
        ensure(not live, 'one live attempt of a job', step, live)
        count = self.begun.get(job_id, 0) + 1
        self.begun[job_id] = count
        self.since[step.task_id] = self.now
        self.judge.check_begun(job_id, count)
        self.put_task(
            TaskReading(
                task_id=step.task_id, vm_id=vm.vm_id, phase=TaskPhase.RUNNING
            )
        )

    def stop_task(self, step):
        vm = self.find(step)
        task = self.tasks.get(step.task_id)
        if task is None:
            fence = TaskReading(
                task_id=step.task_id,
                vm_id=vm.vm_id,
                phase=TaskPhase.STOPPED,
                began=False,
            )
            self.put_task(fence)
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
            # A worker that died reports nothing: the list keeps its last word.
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

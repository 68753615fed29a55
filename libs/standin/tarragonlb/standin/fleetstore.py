"""VMs and tasks in memory, and the lagging list that the platform publishes.

Every change gets a number and becomes visible to readers after the lag.  Only
the latest visible change of each VM and task is kept, and only the most
recent ``MAX_ENDED_TASKS`` ended tasks.  ``find_vm`` checks the boot count that
an action is meant for.
"""

from collections import OrderedDict, deque
from dataclasses import dataclass, replace

from tarragonlb.model.errors import PlatformError
from tarragonlb.model.fleet import (
    FleetReading,
    TaskPhase,
    TaskReading,
    VmPhase,
    VmReading,
)

MAX_ENDED_TASKS = 10_000


@dataclass(slots=True)
class Task:
    """A running task, with the end of its work and of its lease."""

    vm_id: str
    output: str
    succeeds: bool
    ends_at: float
    lease_ends_at: float


@dataclass(frozen=True, slots=True)
class Change:
    """A change of the list, with its number and time."""

    number: int
    changed_at: float
    subject: VmReading | TaskReading


class FleetStore:
    """Stores the VMs and tasks; all times are on the clock of ``now``."""

    __slots__ = (
        '_ended_tasks',
        '_lag_seconds',
        '_number',
        '_pending',
        '_visible',
        'tasks',
        'vms',
    )

    def __init__(self, vms: list[VmReading], lag_seconds: float) -> None:
        """Start with ``vms`` visible in the list."""
        self._lag_seconds = lag_seconds
        self._number = 0
        self._pending: deque[Change] = deque()
        self._visible: dict[str, Change] = {}
        self._ended_tasks: OrderedDict[str, None] = OrderedDict()
        self.vms: dict[str, VmReading] = {}
        self.tasks: dict[str, Task] = {}
        for vm in vms:
            self.put_vm(vm, -lag_seconds)

    def read(self, after: int, now: float) -> FleetReading:
        """Return the visible changes with a number above ``after``."""
        self._publish_changes(now)
        visible = [
            change for change in self._visible.values() if change.number > after
        ]
        number = max((change.number for change in visible), default=after)
        subjects = [change.subject for change in visible]
        return FleetReading(
            number=number,
            vms=tuple(
                subject
                for subject in subjects
                if isinstance(subject, VmReading)
            ),
            tasks=tuple(
                subject
                for subject in subjects
                if isinstance(subject, TaskReading)
            ),
        )

    def put_vm(self, vm: VmReading, now: float) -> None:
        """Add or replace a VM and append the change to the list."""
        self.vms[vm.vm_id] = vm
        self._append_change(vm, now)

    def set_phase(self, vm_id: str, phase: VmPhase, now: float) -> None:
        """Change the phase of a VM."""
        self.put_vm(replace(self.vms[vm_id], phase=phase), now)

    def find_vm(self, vm_id: str, boot: int) -> VmReading:
        """Return a VM.

        Raise ``PlatformError`` if it is unknown or has another boot count.
        """
        vm = self.vms.get(vm_id)
        if vm is None or vm.boot != boot:
            raise PlatformError(
                f'{vm_id} is unknown or has another boot count than {boot}'
            )
        return vm

    def is_busy(self, vm_id: str) -> bool:
        """Return whether a task is running on a VM."""
        return any(task.vm_id == vm_id for task in self.tasks.values())

    def start_task(self, task_id: str, task: Task, now: float) -> bool:
        """Start a task once; starting a running task renews its lease.

        Return whether the task began.  A task that has ended or was
        prevented does not start.
        """
        running = self.tasks.get(task_id)
        if running:
            running.lease_ends_at = task.lease_ends_at
            return False
        if task_id in self._ended_tasks:
            return False
        self.tasks[task_id] = task
        self._append_task_change(task_id, task, TaskPhase.RUNNING, now)
        return True

    def stop_task(self, vm_id: str, task_id: str, now: float) -> None:
        """Stop a task, or prevent an unknown one from ever starting."""
        task = self.tasks.pop(task_id, None)
        if task is None and task_id in self._ended_tasks:
            return
        if task is None:
            self._ended_tasks[task_id] = None
            self._append_change(_make_prevented_reading(vm_id, task_id), now)
        else:
            self._append_task_change(task_id, task, TaskPhase.STOPPED, now)

    def end_tasks(self, now: float) -> None:
        """End the tasks whose work is done or whose lease has expired."""
        for task_id, task in list(self.tasks.items()):
            if task.ends_at <= now:
                success = TaskPhase.SUCCEEDED
                phase = success if task.succeeds else TaskPhase.FAILED
                self._append_task_change(task_id, task, phase, now)
                self.tasks.pop(task_id)
            elif task.lease_ends_at <= now:
                self._append_task_change(task_id, task, TaskPhase.STOPPED, now)
                self.tasks.pop(task_id)

    def _append_task_change(
        self, task_id: str, task: Task, phase: TaskPhase, now: float
    ) -> None:
        ended = phase in {TaskPhase.SUCCEEDED, TaskPhase.FAILED}
        reading = TaskReading(
            task_id=task_id,
            vm_id=task.vm_id,
            phase=phase,
            output=task.output if ended else '',
        )
        if phase is not TaskPhase.RUNNING:
            self._ended_tasks[task_id] = None
        self._append_change(reading, now)

    def _append_change(
        self, subject: VmReading | TaskReading, now: float
    ) -> None:
        self._number += 1
        self._pending.append(Change(self._number, now, subject))

    def _publish_changes(self, now: float) -> None:
        while (
            self._pending
            and self._pending[0].changed_at + self._lag_seconds <= now
        ):
            change = self._pending.popleft()
            self._visible[_make_key(change.subject)] = change
        while len(self._ended_tasks) > MAX_ENDED_TASKS:
            task_id, _ = self._ended_tasks.popitem(last=False)
            self._visible.pop(f'task {task_id}', None)


def _make_key(subject: VmReading | TaskReading) -> str:
    if isinstance(subject, VmReading):
        return f'vm {subject.vm_id}'
    return f'task {subject.task_id}'


def _make_prevented_reading(vm_id: str, task_id: str) -> TaskReading:
    """Return the reading of a task that was prevented from starting."""
    return TaskReading(
        task_id=task_id, vm_id=vm_id, phase=TaskPhase.STOPPED, began=False
    )

"""Workers: their directory entries, their state and their reports.

The used capacity of a worker covers every attempt that may run there, including
those that have only been placed or are being stopped.  A worker with an
orphaned attempt gets no tasks at all.
"""

from collections import Counter
from dataclasses import dataclass, field

from tarragonlb.scheduling.job import Demand, Step, TaskKey
from tarragonlb.scheduling.leaseends import LeaseEnds
from tarragonlb.scheduling.probation import Probation
from tarragonlb.scheduling.startbackoff import StartBackoff
from tarragonlb.scheduling.task import StopReason, TaskState
from tarragonlb.scheduling.workerloss import LostAttempt


@dataclass(frozen=True, slots=True, kw_only=True)
class Worker:
    """The directory entry of a worker: one incarnation of a VM in a pool."""

    worker_id: str
    pool: str
    address: str = ''
    zone: str = ''
    is_draining: bool = False
    labels: frozenset[str] = frozenset()
    capacity: Demand = field(default_factory=Demand)

    def has_local_data(self, step: Step) -> bool:
        """Return whether the step's data is on the worker's rack."""
        return not step.data_rack or step.data_rack in self.labels

    def has_required_label(self, step: Step) -> bool:
        """Return whether the worker has the label that a step requires."""
        return not step.required_label or step.required_label in self.labels


@dataclass(frozen=True, slots=True)
class Attachment:
    """An attempt of ``task`` that occupies capacity of a worker."""

    attempt: int
    demand: Demand
    step_key: tuple[str, int, int]
    step: Step
    task: TaskState

    @property
    def is_permanent(self) -> bool:
        """Return whether the attempt is of a permanent task."""
        return self.step.is_permanent


class OrphanedAttempt:
    """An attempt to which no task refers, but which may run or start here.

    While a worker has one, its free capacity is unknown and it gets no tasks.
    ``was_listed`` means that a report listed the attempt: once a report no
    longer does, it is over.  One that was never listed must be barred first.
    ``was_started`` means that its worker confirmed the start.
    """

    __slots__ = (
        'attempt',
        'barred_at',
        'stop_sent_at',
        'was_listed',
        'was_started',
    )
    stop_reason = StopReason.UNWANTED

    def __init__(self, attempt: int, *, was_started: bool = False) -> None:
        """Start with an attempt that no report has listed."""
        self.attempt = attempt
        self.was_started = was_started
        self.barred_at: float | None = None
        self.stop_sent_at: float | None = None
        self.was_listed = False

    def is_over(self, requested_at: float) -> bool:
        """Return whether a report that does not list it proves that it is over.

        The report was requested at ``requested_at`` seconds.
        """
        is_barred = self.barred_at is not None and requested_at > self.barred_at
        return self.was_listed or is_barred


class WorkerState:
    """The state of a worker; times are seconds on the monotonic clock.

    ``suspects`` are the attached tasks that were on workers that crashed.
    ``silent_since`` is when it was found to answer no more, if it is silent.
    ``doubtful`` are attempts whose leases ran out at ``doubtful_since``, while
    it is not known whether the worker crashed.  ``is_leaving`` means that the
    worker announced its end when it last reported or since.  ``must_report`` is
    true from when the worker may have ended until it reports again: it was
    lost, or a drain request was withdrawn, which also happens when the VM has
    been taken away.  ``lease_ends`` are when all leases on it have run out.
    """

    __slots__ = (
        '_permanent_count',
        '_start_backoff',
        '_step_counts',
        'attached',
        'doubtful',
        'doubtful_since',
        'entry',
        'free_cpu',
        'free_gpus',
        'free_memory',
        'incarnation',
        'is_drain_requested',
        'is_leaving',
        'is_listed',
        'is_silent',
        'last_end_number',
        'last_report_at',
        'lease_ends',
        'must_report',
        'orphans',
        'probation',
        'silent_since',
        'suspects',
    )

    def __init__(self, worker: Worker, lease_until: float) -> None:
        """Start with a worker that has not answered yet.

        At ``lease_until`` all attempts that a former owner may have started
        there are certainly over.
        """
        self.entry = worker
        self.attached: dict[TaskKey, Attachment] = {}
        self._step_counts: Counter[tuple[str, int, int]] = Counter()
        self._permanent_count = 0
        self.orphans: dict[TaskKey, OrphanedAttempt] = {}
        self.suspects: dict[TaskKey, TaskState] = {}
        self.doubtful: tuple[LostAttempt, ...] = ()
        self.doubtful_since = 0.0
        self.is_leaving = worker.is_draining
        self.incarnation: int | None = None
        self.last_report_at: float | None = None
        self.is_listed = True
        self.is_silent = False
        self.silent_since = 0.0
        self.is_drain_requested = False
        self.must_report = False
        self.lease_ends = LeaseEnds(lease_until)
        self.probation = Probation()
        self._start_backoff = StartBackoff()
        self.last_end_number = 0
        self.free_cpu = worker.capacity.cpu_millicores
        self.free_memory = worker.capacity.memory_mb
        self.free_gpus = worker.capacity.gpus

    def update(self, worker: Worker) -> None:
        """Apply a changed directory entry."""
        before = self.entry.capacity
        after = worker.capacity
        self.free_cpu += after.cpu_millicores - before.cpu_millicores
        self.free_memory += after.memory_mb - before.memory_mb
        self.free_gpus += after.gpus - before.gpus
        self.entry = worker
        self.is_listed = True
        self.is_leaving = self.is_leaving or worker.is_draining

    def attach(self, key: TaskKey, task: TaskState, step: Step) -> None:
        """Occupy capacity for the present attempt of a task."""
        demand = step.demand
        if step.scavenges:
            demand = Demand(0, demand.memory_mb, demand.gpus)
        step_key = (key.job_id, key.occurrence, key.step)
        self.attached[key] = Attachment(
            task.attempt, demand, step_key, step, task
        )
        self._step_counts[step_key] += 1
        self._permanent_count += step.is_permanent
        if not task.crashes.is_empty:
            self.suspects[key] = task
        self._occupy(demand, 1)

    def detach(self, key: TaskKey) -> None:
        """Free the capacity of an attempt that is over."""
        attachment = self.attached.pop(key, None)
        self.suspects.pop(key, None)
        if attachment is not None:
            self._step_counts[attachment.step_key] -= 1
            if not self._step_counts[attachment.step_key]:
                self._step_counts.pop(attachment.step_key)
            self._permanent_count -= attachment.step.is_permanent
            self._occupy(attachment.demand, -1)

    def can_fit(self, step: Step) -> bool:
        """Return whether one more task of the step fits."""
        demand = step.demand
        if demand.memory_mb > self.free_memory or demand.gpus > self.free_gpus:
            return False
        return step.scavenges or demand.cpu_millicores <= self.free_cpu

    def is_overfilled(self, step: Step) -> bool:
        """Return whether the attached attempts exceed a resource of the step.

        That happens when the capacity shrinks.
        """
        return (
            self.free_memory < 0
            or (step.demand.gpus > 0 and self.free_gpus < 0)
            or (not step.scavenges and self.free_cpu < 0)
        )

    def count_step_tasks(self, step_key: tuple[str, int, int]) -> int:
        """Count the attached tasks of one occurrence of a step."""
        return self._step_counts.get(step_key, 0)

    def count_permanent(self) -> int:
        """Count the attached permanent tasks."""
        return self._permanent_count

    def is_kept_by_suspect(self, now: float) -> bool:
        """Return whether an attached suspect must be alone."""
        return any(task.keeps_worker(now) for task in self.suspects.values())

    def is_usable(self) -> bool:
        """Return whether tasks may be placed here, apart from free capacity."""
        if (
            self.entry.is_draining
            or self.is_drain_requested
            or self.must_report
            or not self.is_listed
        ):
            return False
        return self.last_report_at is not None and not (
            self.is_silent or self.orphans
        )

    @property
    def failures(self) -> int:
        """Return how often tasks failed in a row by the worker's fault."""
        return self.probation.failures

    @property
    def has_refused(self) -> bool:
        """Return whether it has accepted no start since it refused one."""
        return bool(self._start_backoff.refusals)

    def is_backing_off(self, now: float) -> bool:
        """Return whether it gets no start yet, as it refused one."""
        return self._start_backoff.is_waiting(now)

    def note_start_refused(self, now: float, backoff_seconds: float) -> None:
        """Start nothing here for a while, longer with each refusal in a row."""
        self._start_backoff.note_refusal(now, backoff_seconds)

    def note_start_accepted(self, now: float) -> None:
        """End the backoff after refused starts."""
        self._start_backoff.note_start(now)

    def has_accepted_start(self, since: float) -> bool:
        """Return whether a start was accepted after ``since`` seconds."""
        accepted_at = self._start_backoff.accepted_at
        return accepted_at is not None and accepted_at > since

    def can_accept_on_probation(self, now: float, *, is_retry: bool) -> bool:
        """Return whether the probation, if any, allows one more task."""
        if not self.probation.failures:
            return True
        tasks = (
            attachment.task
            for attachment in self.attached.values()
            if not attachment.is_permanent
        )
        return self.probation.allows(tasks, now, is_retry=is_retry)

    def _occupy(self, demand: Demand, sign: int) -> None:
        self.free_cpu -= sign * demand.cpu_millicores
        self.free_memory -= sign * demand.memory_mb
        self.free_gpus -= sign * demand.gpus


@dataclass(frozen=True, slots=True)
class RunningAttempt:
    """A running attempt in a worker's report.

    ``percent`` is the progress, or the readiness of a permanent task.
    ``gauge`` is the tail latency in milliseconds of a serving task, and the
    millicores in use by any other.
    """

    key: TaskKey
    attempt: int
    checkpoint: str
    percent: float
    gauge: int


@dataclass(frozen=True, slots=True)
class EndedAttempt:
    """An ended attempt in a worker's report.

    ``number`` is the sequence number of the end in the worker's incarnation.
    """

    number: int
    key: TaskKey
    attempt: int
    outcome: str
    checkpoint: str


@dataclass(frozen=True, slots=True, kw_only=True)
class WorkerReport:
    """A worker's report of its attempts.

    ``requested_at`` is when the report was requested; its content is not older
    than that.  Only a complete one proves that what it does not list is over.
    The worker carries out no order under a lower fencing token than ``token``
    any more.
    """

    worker_id: str
    requested_at: float
    received_at: float
    incarnation: int
    running: tuple[RunningAttempt, ...] = ()
    ended: tuple[EndedAttempt, ...] = field(default=())
    is_complete: bool = True
    token: int = 0

"""What the tasks need from a platform, as abstract interfaces.

An adapter implements them.  None of them decides anything, and none raises for
what the platform or the network may do: every result is a value.
"""

import abc
import enum
from dataclasses import dataclass
from typing import Protocol

from tarragonlb.controller.results import (
    AppendResult,
    JoinResult,
    NotDone,
    ReadResult,
)
from tarragonlb.scheduling.orders import (
    OrderResult,
    PaceOrder,
    StartOrder,
    StopOrder,
)
from tarragonlb.scheduling.queue import QueueTable
from tarragonlb.scheduling.records import KeyedRecord
from tarragonlb.scheduling.wave import Vm, Wave
from tarragonlb.scheduling.worker import Worker, WorkerReport


class Topic(enum.Enum):
    """The topics that the controller reads or writes."""

    JOBS = 'jobs'
    OPERATORS = 'operators'
    WORKERS = 'workers'


@dataclass(frozen=True, slots=True)
class AppendKey:
    """The exclusive writer of a partition: its term and the append's number.

    An append repeated under the same number is stored once.
    """

    term: int
    sequence: int


@dataclass(frozen=True, slots=True)
class Configuration:
    """The newest configuration of the operators."""

    version: int
    queues: QueueTable
    max_body_bytes: int
    standby_pools: frozenset[str] = frozenset()


class Store(abc.ABC):
    """The platform's store, which keeps the newest record of each key."""

    __slots__ = ()

    @abc.abstractmethod
    async def append(
        self,
        partition: int,
        records: tuple[KeyedRecord, ...],
        append_key: AppendKey | None,
    ) -> AppendResult:
        """Append records of jobs, all or none."""

    @abc.abstractmethod
    async def fence(self, partition: int, term: int) -> AppendResult:
        """Make ``term`` the only one that may write as an owner."""

    @abc.abstractmethod
    async def read(
        self, topic: Topic, partition: int, offset: int, wait_seconds: float
    ) -> ReadResult:
        """Read records from an offset on, waiting for the first one."""

    @abc.abstractmethod
    async def read_newest(self, topic: Topic, partition: int) -> ReadResult:
        """Read the newest record of each key."""

    @abc.abstractmethod
    async def join(
        self, member: str, ttl_seconds: float, generation: int
    ) -> JoinResult:
        """Join the group of owners, or stay in it."""

    @abc.abstractmethod
    async def leave(self, member: str) -> None:
        """Give all partitions back."""

    @abc.abstractmethod
    async def publish_wave_status(
        self, wave: int, *, is_complete: bool
    ) -> AppendResult:
        """Tell the operators how a wave stands."""


class DocumentDecoder(abc.ABC):
    """Decodes what operators and workers write into the store."""

    __slots__ = ()

    @abc.abstractmethod
    def decode_operator_record(
        self, record: KeyedRecord
    ) -> Configuration | Wave | None:
        """Return what an operator's record says, None if it can't be read."""

    @abc.abstractmethod
    def decode_worker_record(self, record: KeyedRecord) -> Worker | None:
        """Return a worker's entry, None if it names no worker to use."""


@dataclass(frozen=True, slots=True, kw_only=True)
class StatusRequest:
    """A request for what runs on a worker, which also extends leases.

    ``lease_until_ms`` is a time on the worker's clock; None extends nothing.
    Ends up to ``seen_end`` may be forgotten.  The answer waits for an end, at
    most ``wait_seconds``.
    """

    worker: Worker
    term: int
    acknowledged_end: int
    lease_until_ms: int | None
    wait_seconds: float


@dataclass(frozen=True, slots=True)
class StatusReply:
    """A worker's report, with its clock in milliseconds."""

    report: WorkerReport
    clock_ms: int


class WorkerApi(abc.ABC):
    """Orders to workers.  ``lease_until_ms`` is on the worker's clock."""

    __slots__ = ()

    @abc.abstractmethod
    async def poll_status(
        self, request: StatusRequest
    ) -> StatusReply | OrderResult:
        """Ask what runs and what has ended."""

    @abc.abstractmethod
    async def start(
        self, worker: Worker, order: StartOrder, term: int, lease_until_ms: int
    ) -> OrderResult:
        """Start an attempt."""

    @abc.abstractmethod
    async def stop(
        self, worker: Worker, order: StopOrder, term: int
    ) -> OrderResult:
        """Stop an attempt, or bar it."""

    @abc.abstractmethod
    async def pace(
        self, worker: Worker, order: PaceOrder, term: int
    ) -> OrderResult:
        """Change the pace of an attempt."""


class VmApi(abc.ABC):
    """The platform's list of VMs, and what can be asked for them."""

    __slots__ = ()

    @abc.abstractmethod
    async def list_vms(self) -> tuple[Vm, ...] | NotDone:
        """Return all VMs."""

    @abc.abstractmethod
    async def maintain(
        self, vm: Vm, wave: int, holder: str, term: int
    ) -> OrderResult:
        """Have a VM maintained now; REFUSED if it is busy or not listed."""

    @abc.abstractmethod
    async def move(
        self, vm: Vm, pool: str, holder: str, term: int
    ) -> OrderResult:
        """Move a VM to another pool now."""


class Clock(Protocol):
    """The clocks of a process, in seconds."""

    def read_steady(self) -> float:
        """Return seconds that stand still while the VM is suspended."""

    def read_boottime(self) -> float:
        """Return seconds that also count while the VM is suspended."""

    def read_wall(self) -> float:
        """Return seconds since 1970, without short jumps."""

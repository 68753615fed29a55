"""Pool owners, fleet owners and the records between them, in virtual time.

Owners can be frozen, cut off, and followed by others while they go on; their
records can be lost, or be stored late and out of order.
"""

import math
from dataclasses import dataclass, field
from types import SimpleNamespace

from tarragonlb.scheduling import amounts
from tarragonlb.scheduling.job import Demand, Job, JobSpec, Step, TaskKey
from tarragonlb.scheduling.quotaindex import QuotaIndex
from tarragonlb.scheduling.quotaledger import QuotaLedger
from tarragonlb.scheduling.quotalimit import QuotaLimit
from tarragonlb.scheduling.quotarecords import (
    build_grant_record,
    build_report_record,
    build_term_record,
)
from tarragonlb.scheduling.quotareporter import QuotaReporter
from tarragonlb.scheduling.records import KeyedRecord
from tarragonlb.scheduling.tenant import Tenant, TenantTable
from tarragonlb.scheduling.tenantusage import TenantUsage

ROUND_SECONDS = 0.05
# For this long after a configuration the former caps count.
CONFIG_SECONDS = 3.0
# Time after which an owner repeats the record that its term has begun.
MARK_SECONDS = 3.0


@dataclass
class Task:
    """A task of a step of its own; ``ends_at`` is None until it starts."""

    tenant: str
    size: int
    seconds: float
    number: int
    ends_at: float | None = None
    is_done: bool = False
    ready: SimpleNamespace = field(init=False)

    def __post_init__(self):
        step = Step(width=1, demand=Demand(self.size, 0, 0))
        spec = JobSpec(payload='', steps=(step,))
        job = Job(
            job_id=f'j{self.number}',
            queue='q',
            pool='p',
            spec=spec,
            tenant=self.tenant,
        )
        self.ready = SimpleNamespace(
            job_state=SimpleNamespace(job=job),
            step=step,
            step_state=SimpleNamespace(
                count_waiting=lambda: int(self.ends_at is None)
            ),
            key=(job.job_id, 0, 0),
        )
        self.key = TaskKey(job.job_id, 0, 0, 0)


class Reader:
    """A daemon's knowledge: records read so far, and the configuration."""

    def __init__(self, world):
        self.world = world
        self.index = QuotaIndex()
        self.offset = 0
        self.tenants = world.tenants
        self.is_frozen = False
        self.is_cut = False
        # It reads no configuration, but all else.
        self.is_outdated = False
        # Until then new records do not arrive, although others are sent.
        self.blind_until = 0.0

    def read(self):
        """Return the tenants with new records."""
        if self.world.now < self.blind_until:
            return set()
        if not self.offset:
            newest = {record.key: record for record in self.world.log}
            self.world.snapshots += 1
            self.offset = len(self.world.log)
            return self.index.apply_snapshot(newest.values())
        records = self.world.log[self.offset :]
        self.offset = len(self.world.log)
        return self.index.apply(records)


class Owner(Reader):
    """The owner of a partition for one term."""

    def __init__(self, world, partition, term):
        super().__init__(world)
        self.partition, self.term = partition, term
        self.limit = QuotaLimit(partition, self.index)
        self.reporter = QuotaReporter(self.limit, term)
        self.state = SimpleNamespace(
            usage=TenantUsage(),
            tenants=self.tenants,
            changed_pools=set(),
            open_jobs=world.open_jobs[partition],
        )
        self.running = []
        for task in world.tasks[partition]:
            # What is stored counts, whether it has ended or not.
            if task.ends_at is not None and not task.is_done:
                self._attach(task)
        self.mark_at = 0.0

    def _attach(self, task):
        self.state.usage.add('w', task.key, task.ready.job_state.job)
        self.running.append(task)

    def run_round(self, now):
        if self.is_frozen or self.is_cut:
            return
        world = self.world
        if not self.limit.is_open and now >= self.mark_at:
            self.mark_at = now + MARK_SECONDS
            world.send([build_term_record(self.partition, self.term)])
        changed = self.read()
        if not self.limit.is_open:
            key = f'term/{self.partition}/{self.term}'
            if any(record.key == key for record in world.log[: self.offset]):
                self.limit.is_open = True
                self.reporter.note_grants(self.index.grants)
        self.reporter.note_grants(changed)
        self.state.tenants = self.tenants
        self.limit.begin_round(self.state, now)
        is_former = world.epochs[self.partition] != self.term
        for task in tuple(self.running):
            if now >= task.ends_at:
                self.running.remove(task)
                self.state.usage.remove('w', task.key)
                if not is_former:
                    task.is_done = True
                    self.state.open_jobs.pop(task.key.job_id)
        for task in world.tasks[self.partition]:
            is_waiting = task.ends_at is None and now >= world.begins_at
            if is_waiting and self.limit.allows(task.ready, 1, self.state):
                if is_former:
                    # The append with the placement is refused.
                    world.owners.remove(self)
                    return
                world.start(task, now)
                self._attach(task)
        for report in self.reporter.decide(self.state, now):
            world.reports += 1
            world.send([build_report_record(report)])


class FleetOwner(Reader):
    """The owner of the grants for one term."""

    def __init__(self, world, term):
        super().__init__(world)
        self.term = term
        self.read()
        self.ledger = QuotaLedger(self.index)

    def run_round(self, now):
        if self.is_frozen or self.is_cut:
            return
        if self.world.fleet_epoch != self.term:
            # The next append is refused, whatever was decided.
            self.world.fleet_owners.remove(self)
            return
        self.ledger.note_records(self.read())
        grants = self.ledger.decide(self.tenants, self.world.partitions, now)
        for grant in grants:
            self.world.grants += 1
            self.world.check_grant(grant)
            self.world.append([build_grant_record(grant)])
        self.ledger.note_records(self.read())


class World:
    """The store, the owners, the tasks and what really runs."""

    def __init__(self, partitions, caps):
        self.now = 0.0
        self.begins_at = 0.0
        self.log = []
        self.in_flight = []
        self.partitions = tuple(range(1, partitions + 1))
        self.tasks = {partition: [] for partition in self.partitions}
        self.open_jobs = {partition: {} for partition in self.partitions}
        self.epochs = dict.fromkeys(self.partitions, 0)
        self.fleet_epoch = 0
        self.grants = self.reports = self.starts = self.count = 0
        self.snapshots = 0
        self.delay = lambda: 0
        self.caps = [(0.0, dict(caps))]
        self.tenants = build_table(caps)
        self.owners = []
        self.fleet_owners = []
        for partition in self.partitions:
            self.take_over(partition)
        self.replace_fleet_owner()

    def take_over(self, partition):
        self.epochs[partition] += 1
        owner = Owner(self, partition, self.epochs[partition])
        self.owners.append(owner)

    def replace_fleet_owner(self):
        self.fleet_epoch += 1
        self.fleet_owners.append(FleetOwner(self, self.fleet_epoch))

    def add_task(self, partition, tenant, size, seconds=1.0):
        self.count += 1
        task = Task(tenant, size, seconds, self.count)
        self.tasks[partition].append(task)
        self.open_jobs[partition][task.key.job_id] = task
        return task

    def set_caps(self, caps):
        self.caps.append((self.now, dict(caps)))
        self.tenants = build_table(caps)

    def append(self, records):
        for record in records:
            self.log.append(
                KeyedRecord(record.key, record.value, len(self.log))
            )

    def send(self, records):
        """Store records after a delay; None loses them."""
        delay = self.delay()
        if delay is not None:
            self.in_flight.append((self.now + delay, records))

    def step(self):
        self.now += ROUND_SECONDS
        due = [item for item in self.in_flight if item[0] <= self.now]
        self.in_flight = [i for i in self.in_flight if i[0] > self.now]
        for _, records in due:
            self.append(records)
        for daemon in (*self.owners, *self.fleet_owners):
            if not (daemon.is_frozen or daemon.is_outdated):
                daemon.tenants = self.tenants
            daemon.run_round(self.now)

    def run(self, seconds):
        for _ in range(round(seconds / ROUND_SECONDS)):
            self.step()

    def measure(self, tenant):
        return sum(
            task.size
            for tasks in self.tasks.values()
            for task in tasks
            if task.tenant == tenant
            and task.ends_at is not None
            and task.ends_at > self.now
        )

    def find_highest_cap(self, tenant):
        since = self.now - CONFIG_SECONDS
        in_force = [
            caps
            for (_, caps), (until, _) in zip(
                self.caps, (*self.caps[1:], (self.now + 1, None)), strict=True
            )
            if until >= since
        ]
        # A cap of 0 is no limit; a tenant that is not listed has no room.
        return max(
            (caps[tenant] or math.inf) if tenant in caps else 0
            for caps in in_force
        )

    def start(self, task, now):
        assert task.ends_at is None
        self.starts += 1
        task.ends_at = now + task.seconds
        cap = self.find_highest_cap(task.tenant)
        largest = max(
            other.size
            for tasks in self.tasks.values()
            for other in tasks
            if other.tenant == task.tenant
        )
        running = self.measure(task.tenant)
        assert running <= cap + max(largest - cap, 0), (
            running,
            cap,
            task.tenant,
        )

    def check_grant(self, grant):
        """Check that no grant raises what is reserved above the cap."""
        known = self.fleet_owners[-1].index.grants.get(grant.tenant)
        before = {} if known is None else known.shares
        for partition, row in grant.shares.items():
            was = before.get(partition)
            if was is None or amounts.covers(was.share, row.share):
                continue
            if known is not None and known.cap != grant.cap:
                continue
            others = sum(
                other.reserved[0]
                for number, other in grant.shares.items()
                if number != partition
            )
            assert row.share[0] + others <= grant.cap[0], (grant, known)

    def count_waiting(self):
        return sum(
            task.ends_at is None
            for tasks in self.tasks.values()
            for task in tasks
        )


def build_table(caps):
    return TenantTable(
        Tenant(name=name, cap=Demand(cap, 0, 0)) for name, cap in caps.items()
    )

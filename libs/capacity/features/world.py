"""A simulated world: several planners on one log and one platform.

Planners may fold records and read changes with any delay, and their actions may
be executed at any later time, twice or never.  ``settle`` stops all faults and
checks that everything that was accepted ends.
"""

from fakeplatform import FakePlatform

from tarragonlb.capacity import action
from tarragonlb.capacity.planner import Planner
from tarragonlb.capacity.table import ChangeTable
from tarragonlb.journal.codec import encode_record
from tarragonlb.journal.fold import apply_blob
from tarragonlb.journal.plannerview import make_view
from tarragonlb.journal.state import State
from tarragonlb.model.entry import JobPhase
from tarragonlb.model.errors import PlatformError
from tarragonlb.model.fleet import TaskPhase, VmPhase, VmReading
from tarragonlb.model.invariant import ensure
from tarragonlb.model.job import JobsCancelled, JobSubmitted
from tarragonlb.model.ownership import ChargeReason, VmCharged
from tarragonlb.model.record import SettingPublished, TermTaken
from tarragonlb.model.recordhead import HeadFactory
from tarragonlb.model.wave import WavePlanned, WaveStatus, WaveSteered

POOLS = ('a', 'b')
POOL_VMS = 4
SETTLE_ROUNDS = 200
OPEN = frozenset((JobPhase.QUEUED, JobPhase.STARTED))


class Daemon:
    """One planner with the state that it has folded and read."""

    def __init__(self, name):
        self.name = name
        self.state = State()
        self.vms = ChangeTable()
        self.tasks = ChangeTable()
        self.number = 0
        self.head_factory = HeadFactory(name, '1')
        self.planner = Planner(self.head_factory)

    def fold(self, blobs, until):
        for offset in range(self.state.offset + 1, until + 1):
            apply_blob(self.state, offset, blobs[offset - 1])

    def read(self, changes, until):
        for reading in changes[self.number : until]:
            if isinstance(reading, VmReading):
                self.vms[reading.vm_id] = reading
            else:
                self.tasks[reading.task_id] = reading
        self.number = max(self.number, until)

    def decide(self, now):
        state = self.state
        term = state.terms.get('planner')
        if term is None or term.holder != self.name:
            return []
        return self.planner.decide(self.view(), now, now)

    def view(self):
        return make_view(self.state, self)


class World:
    """The simulated world; each method is one step."""

    def __init__(self, budget):
        self.truth = State()
        self.blobs = []
        self.platform = FakePlatform(self)
        self.head_factory = HeadFactory('world', '1')
        self.daemons = [Daemon(f'planner-{index}') for index in range(2)]
        self.outbox = []
        self.cancelled = set()
        self.replaced = set()
        self.jobs = 0
        self.moves = 0
        self.last_number = 0
        self.publish(budget)
        for index in range(POOL_VMS * len(POOLS)):
            self.add_vm(POOLS[index // POOL_VMS], f'rack-{index // 2}')

    def make_head(self):
        return self.head_factory.make_head(self.truth.offset, self.platform.now)

    def append(self, record):
        charged = self.count_charged(record)
        blob = encode_record(record)
        self.blobs.append(blob)
        outcome = apply_blob(self.truth, len(self.blobs), blob)
        if outcome.accepted and charged is not None:
            pool = self.truth.vms[record.vm_id].pool
            limits = self.list_limits(pool)
            self.moves += record.reason is ChargeReason.MOVE
            ensure(
                charged < min(limits), 'the budget holds', pool, charged, limits
            )
        return outcome

    def count_charged(self, record):
        is_planned = (
            isinstance(record, VmCharged)
            and record.reason is not ChargeReason.FAILURE
        )
        if not is_planned or record.vm_id not in self.truth.vms:
            return None
        pool = self.truth.vms[record.vm_id].pool
        vms = self.truth.vms.values()
        return sum(1 for vm in vms if vm.pool == pool and vm.charge)

    def list_limits(self, pool):
        return [
            budget.max_unavailable
            for team in self.truth.teams.values()
            for budget in team.budgets
            if budget.pool == pool
        ]

    def is_charged(self, vm_id):
        entry = self.truth.vms.get(vm_id)
        return entry is not None and entry.charge is not None

    def check_start_count(self, job_id, count):
        spec = self.truth.jobs[job_id].spec
        ensure(
            spec.idempotent or count == 1,
            'a job that is not idempotent starts once',
            job_id,
            count,
        )

    def publish(self, budget):
        entry = self.truth.settings.get('/teams/team')
        lines = '\n'.join(
            f'  - pool: {pool}\n    max_unavailable: {budget}' for pool in POOLS
        )
        record = SettingPublished(
            head=self.make_head(),
            path='/teams/team',
            text=f'budgets:\n{lines}\n',
            source='world',
            expected_version=entry.version if entry else 0,
        )
        ensure(self.append(record).accepted, 'published', record)

    def publish_fleet(self):
        """Use short waiting times, so that moves follow each other quickly."""
        record = SettingPublished(
            head=self.make_head(),
            path='/fleet',
            text='move_after_seconds: 2\nreturn_after_seconds: 4\n',
            source='world',
            expected_version=0,
        )
        ensure(self.append(record).accepted, 'published', record)

    def publish_pool(self, pool, text):
        entry = self.truth.settings.get(f'/pools/{pool}')
        record = SettingPublished(
            head=self.make_head(),
            path=f'/pools/{pool}',
            text=text,
            source='world',
            expected_version=entry.version if entry else 0,
        )
        ensure(self.append(record).accepted, 'published', record)

    def add_vm(self, pool, rack):
        self.last_number += 1
        self.platform.add_vm(f'vm-{self.last_number}', pool, rack)

    def submit(
        self,
        pool,
        cores,
        *,
        idempotent,
        urgent,
        team='team',
        deadline_seconds=1e6,
    ):
        self.jobs += 1
        record = JobSubmitted(
            head=self.make_head(),
            job_id=f'job-{self.jobs}',
            team=team,
            kind='kind',
            pool=pool,
            cores=cores,
            memory_gb=1,
            payload='',
            urgent=urgent,
            idempotent=idempotent,
            deadline_seconds=deadline_seconds,
            declared_seconds=1,
        )
        ensure(self.append(record).accepted, 'submitted', record)

    def cancel(self, number):
        job_id = f'job-{number}'
        self.cancelled.add(job_id)
        self.append(
            JobsCancelled(head=self.make_head(), team='team', job_ids=(job_id,))
        )

    def plan_wave(self, pool, at_once):
        vms = self.truth.vms.values()
        vm_ids = tuple(vm.vm_id for vm in vms if vm.pool == pool)
        if vm_ids:
            self.last_number += 1
            record = WavePlanned(
                head=self.make_head(),
                wave_id=f'wave-{self.last_number}',
                pool=pool,
                vm_ids=vm_ids,
                at_once=at_once,
            )
            self.append(record)

    def steer_waves(self, status):
        for wave in list(self.truth.waves.values()):
            record = WaveSteered(
                head=self.make_head(),
                wave_id=wave.wave_id,
                expected_version=wave.version,
                status=status,
            )
            self.append(record)

    def take_term(self, daemon):
        term = self.truth.terms.get('planner')
        record = TermTaken(
            head=self.make_head(),
            scope='planner',
            expected_number=term.number if term else 0,
            holder=daemon.name,
        )
        self.append(record)

    def catch_up(self, daemon, blobs_behind=0, changes_behind=0):
        daemon.fold(self.blobs, len(self.blobs) - blobs_behind)
        changes = self.platform.changes
        daemon.read(changes, len(changes) - changes_behind)

    def decide(self, daemon):
        self.outbox.extend(daemon.decide(self.platform.now))

    def run_rounds(self, daemon, rounds):
        """Let a planner see all changes and execute its actions at once.

        Older actions stay in the outbox.
        """
        delayed = self.outbox
        self.outbox = []
        for _ in range(rounds):
            self.catch_up(daemon)
            self.decide(daemon)
            self.carry_out_all()
            self.platform.pass_time(1)
        self.outbox = delayed

    def carry_out(self, index, *, keep):
        command = self.outbox[index]
        if not keep:
            self.outbox.pop(index)
        if isinstance(command, action.Commit):
            self.append(command.record)
            return
        try:
            self.platform.perform(command)
        except PlatformError:
            return

    def carry_out_all(self):
        while self.outbox:
            self.carry_out(0, keep=False)

    def end_task(self, index, phase):
        running = self.platform.list_running()
        if running:
            self.platform.end_task(running[index % len(running)], phase)

    def crash(self, index, phase):
        vm_ids = list(self.platform.vms)
        self.platform.crash(vm_ids[index % len(vm_ids)], phase)

    def crash_rack(self, index):
        for vm in list(self.platform.vms.values()):
            if vm.rack == f'rack-{index}':
                self.platform.crash(vm.vm_id, VmPhase.REBOOTING)

    def replace_gone(self):
        for vm in list(self.platform.vms.values()):
            if vm.phase is VmPhase.GONE and vm.vm_id not in self.replaced:
                self.replaced.add(vm.vm_id)
                self.add_vm(vm.pool, 'rack-9')

    def check(self):
        for number in range(1, self.jobs + 1):
            job = self.truth.jobs.get(f'job-{number}')
            ensure(job is not None, 'no accepted job is lost', number)
            task_id = f'job-{number}.{job.attempt}'
            if job.phase is JobPhase.SUCCEEDED:
                done = task_id in self.platform.succeeded
                ensure(done, 'a job that succeeded has run', job)
            if job.phase is JobPhase.CANCELLED:
                ensure(
                    job.spec.job_id in self.cancelled,
                    'only a cancelled job has that phase',
                    job,
                )
        for daemon in self.daemons:
            if daemon.state.offset == self.truth.offset:
                same = daemon.state.digest == self.truth.digest
                ensure(same, 'digests are equal', daemon.name)

    def settle(self):
        """Stop all faults and check that everything ends."""
        self.carry_out_all()
        self.publish(2)
        self.steer_waves(WaveStatus.RUNNING)
        daemon = self.daemons[0]
        self.take_term(daemon)
        for _ in range(SETTLE_ROUNDS):
            self.replace_gone()
            self.catch_up(daemon)
            self.decide(daemon)
            self.carry_out_all()
            if self.platform.now % 2:
                self.end_task(0, TaskPhase.SUCCEEDED)
            self.platform.pass_time(1)
            self.check()
            if self.is_settled():
                self.check_pools()
                return
        ensure(False, 'all jobs, charges and waves end', *self.list_open())

    def check_pools(self):
        """Check that the platform and the folded state agree on every pool."""
        for vm in self.platform.vms.values():
            entry = self.truth.vms.get(vm.vm_id)
            if vm.phase is not VmPhase.GONE:
                same = entry is not None and entry.pool == vm.pool
                ensure(same, 'the entry of a VM has the listed pool', vm, entry)

    def list_open(self):
        jobs = [job for job in self.truth.jobs.values() if job.phase in OPEN]
        vms = [vm for vm in self.truth.vms.values() if vm.charge]
        waves = [
            wave
            for wave in self.truth.waves.values()
            if wave.status in {WaveStatus.RUNNING, WaveStatus.PAUSED}
        ]
        return [*jobs, *vms, *waves]

    def is_settled(self):
        alive = {
            vm.vm_id
            for vm in self.platform.vms.values()
            if vm.phase is not VmPhase.GONE
        }
        return not self.list_open() and alive <= set(self.truth.vms)

"""Random runs of many replicas over one log in memory that has faults."""

import contextlib
from unittest import mock

import hypothesis
from hypothesis import stateful, strategies

from tarragonlb.journal import fold, snapshot
from tarragonlb.journal.fold import apply_blob
from tarragonlb.journal.log import LogEntry
from tarragonlb.journal.replica import Replica
from tarragonlb.journal.snapshot import SnapshotEncoder
from tarragonlb.journal.snapshotter import Snapshotter, make_snapshot_records
from tarragonlb.journal.state import State
from tarragonlb.model.record import SettingPublished, TermTaken
from tarragonlb.model.recordhead import HeadFactory
from tarragonlb.model.snapshot import SnapshotOpened

MEMBERS = ('a1', 'a2', 'b1', 'b2')
PATHS = ('/fleet', '/pools/p', '/teams/t')
EXCHANGES = 12
SNAPSHOT_RECORDS = 10
RARELY = strategies.sampled_from((False, False, False, True))
TEXTS = ('{}', 'x: [', '')

SMALL_LIMITS = (
    (snapshot, 'CHUNK_BYTES', 400),
    (fold, 'SEEN_WINDOW_RECORDS', 64),
)


class FakeLog:
    """A log in memory; records before ``oldest`` have expired.

    It folds all records into ``reference``, and keeps the digest and the
    content digest of the state at each offset.
    """

    def __init__(self, version=fold.CURRENT_VERSION):
        self.version = version
        self.entries = []
        self.oldest = 1
        self.late = []
        self.reference = State()
        self.digests = {0: b''}
        self.contents = {0: SnapshotEncoder(self.reference).digest_content()}
        self.accepted = {}

    def append(self, blobs):
        for blob in blobs:
            offset = len(self.entries) + 1
            self.entries.append(LogEntry(offset, blob))
            outcome = apply_blob(self.reference, offset, blob, self.version)
            self.digests[offset] = self.reference.digest
            self.contents[offset] = SnapshotEncoder(
                self.reference
            ).digest_content()
            if outcome.accepted:
                first = self.accepted.setdefault(outcome.record_id, offset)
                assert first == offset, f'{outcome.record_id} counted twice'

    def read(self, after, count):
        return self.entries[after : after + count]


class Member:
    """One entry VM; a kill replaces its process by a new one."""

    def __init__(self, name, version=fold.CURRENT_VERSION):
        self.name = name
        self.version = version
        self.starts = 0
        self.shown = 0
        self.disconnected = False
        self.start()

    def start(self):
        self.starts += 1
        self.head_factory = HeadFactory(self.name, str(self.starts))
        self.replica = Replica(self.version)
        self.snapshotter = Snapshotter(self.name)
        self.opened = None
        self.chunks = iter(())

    def make_head(self):
        return self.head_factory.make_head(self.replica.state.offset, 0)

    def settle(self, pending, log):
        """Check the outcome that the writer gets against the reference."""
        accepted_at = log.accepted.get(pending.record_id)
        if pending.outcome_unknown:
            return
        if pending.outcome.accepted:
            assert accepted_at == pending.outcome.offset, (
                'acknowledged and lost'
            )
        else:
            assert accepted_at is None, 'refused and counted all the same'
        if not pending.outcome.accepted:
            return
        if isinstance(pending.record, SnapshotOpened):
            self.chunks = make_snapshot_records(
                self.replica, pending.record, self.make_head
            )
        self.write_chunk()

    def write_chunk(self):
        record = next(self.chunks, None)
        if record:
            self.replica.submit(record)


class ReplicaMachine(stateful.RuleBasedStateMachine):
    """Runs the members in random order; the invariants are at the end."""

    names = strategies.sampled_from(MEMBERS)

    newest = fold.CURRENT_VERSION
    oldest = fold.CURRENT_VERSION

    def __init__(self):
        super().__init__()
        self.log = FakeLog(self.newest)
        self.members = {name: Member(name, self.oldest) for name in MEMBERS}
        self.down = False
        self.now = 0

    def get_member(self, name):
        member = self.members[name]
        return member, not member.replica.halted

    @stateful.rule(
        name=names,
        path=strategies.sampled_from(PATHS),
        text=strategies.sampled_from(TEXTS),
        stale=strategies.integers(0, 1),
    )
    def publish(self, name, path, text, stale):
        member, running = self.get_member(name)
        entry = member.replica.state.settings.get(path)
        version = entry.version if entry else 0
        if running:
            member.replica.submit(
                SettingPublished(
                    head=member.make_head(),
                    path=path,
                    text=text,
                    source=name,
                    expected_version=max(version - stale, 0),
                )
            )

    @stateful.rule(name=names)
    def take_term(self, name):
        member, running = self.get_member(name)
        entry = member.replica.state.terms.get('planner')
        if running:
            member.replica.submit(
                TermTaken(
                    head=member.make_head(),
                    scope='planner',
                    expected_number=entry.number if entry else 0,
                    holder=name,
                )
            )

    @stateful.rule(
        name=names,
        fate=strategies.sampled_from(
            ('done', 'done', 'lost', 'refused', 'late', 'doubled')
        ),
    )
    def write(self, name, fate):
        member, _ = self.get_member(name)
        outbox = member.replica.outbox
        batch = outbox.take_batch()
        blobs = [pending.blob for pending in batch]
        if self.down or member.disconnected or fate == 'refused':
            outbox.requeue(batch)
        elif fate == 'late':
            self.log.late.append(blobs)
            outbox.requeue(batch)
        else:
            self.log.append(blobs * (2 if fate == 'doubled' else 1))
            if fate == 'lost':
                outbox.requeue(batch)

    @stateful.rule()
    def let_late_append_arrive(self):
        if self.log.late:
            self.log.append(self.log.late.pop(0))

    @stateful.rule(name=names, count=strategies.sampled_from((3, 200, 200)))
    def read(self, name, count):
        member, running = self.get_member(name)
        if not running or self.down or member.disconnected:
            return
        replica = member.replica
        if replica.read_after + 1 < self.log.oldest:
            replica.start_snapshot_search(self.log.oldest)
        entries = self.log.read(replica.read_after, count)
        for pending in replica.receive_entries(entries):
            member.settle(pending, self.log)

    @stateful.rule(name=names, certain=RARELY)
    def kill(self, name, certain):
        if certain:
            self.members[name].start()

    @stateful.rule(zone=strategies.sampled_from('ab'), off=RARELY)
    def cut_zone(self, zone, off):
        for member in self.members.values():
            if member.name[0] == zone:
                member.disconnected = off

    @stateful.rule(down=RARELY)
    def switch_outage(self, down):
        self.down = down

    @stateful.rule(name=names, whole=strategies.booleans())
    def write_snapshot(self, name, whole):
        """Open a snapshot; finish it at once or leave that to later steps."""
        if whole:
            self.exchange(name)
        self.open_snapshot(name)
        if whole:
            self.exchange(name)
            self.expire_records()

    def open_snapshot(self, name):
        member, running = self.get_member(name)
        if not running or member.replica.searching:
            return
        opened = member.replica.state.stream.snapshot.opened
        if member.replica.state.offset - opened < SNAPSHOT_RECORDS:
            return
        member.replica.submit(
            SnapshotOpened(head=member.make_head(), expected_opened=opened)
        )

    @stateful.rule(name=names)
    def exchange(self, name):
        member = self.members[name]
        if member.disconnected or self.down:
            return
        for _ in range(EXCHANGES):
            self.write(name, 'done')
            self.read(name, 200)

    @stateful.rule()
    def expire_records(self):
        """Expire the records before the newest complete snapshot."""
        latest = self.log.reference.stream.snapshot
        if latest.closed:
            self.log.oldest = max(self.log.oldest, latest.opened)

    @stateful.invariant()
    def check_agreement(self):
        """Replicas at equal offsets have equal digests and contents."""
        for member in self.members.values():
            state = member.replica.state
            behind = member.version.level < self.log.reference.stream.level
            assert behind or not member.replica.halted, member.replica.halted
            digest = self.log.digests[state.offset]
            assert state.digest == digest, 'digests are not equal'
            content = SnapshotEncoder(state).digest_content()
            expected = self.log.contents[state.offset]
            assert content == expected, 'contents are not equal'

    @stateful.invariant()
    def check_offsets(self):
        """The offset that a member shows never decreases, even at restarts."""
        for member in self.members.values():
            replica = member.replica
            if replica.caught_up:
                assert replica.state.offset >= member.shown, 'offset fell'
                member.shown = replica.state.offset

    def teardown(self):
        """End all faults; all replicas then reach the state of the log."""
        self.down = False
        for late in self.log.late:
            self.log.append(late)
        for member in self.members.values():
            member.disconnected = False
            self.exchange(member.name)
        for member in self.members.values():
            self.read(member.name, 10_000)
            self.read(member.name, 10_000)
            if member.replica.halted:
                continue
            digest = member.replica.state.digest
            assert digest == self.log.reference.digest, 'digests are not equal'
        self.check_agreement()


def run_machine(examples, steps, seed=0, machine=ReplicaMachine):
    """Run a machine with limits so small that the runs exceed them."""
    machine = hypothesis.seed(seed)(machine) if seed else machine
    settings = hypothesis.settings(
        max_examples=examples,
        stateful_step_count=steps,
        derandomize=not seed,
        deadline=None,
        database=None,
        phases=(hypothesis.Phase.generate,),
        suppress_health_check=list(hypothesis.HealthCheck),
    )
    with contextlib.ExitStack() as stack:
        for module, name, limit in SMALL_LIMITS:
            stack.enter_context(mock.patch.object(module, name, limit))
        stateful.run_state_machine_as_test(machine, settings=settings)

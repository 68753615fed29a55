"""Random runs of two versions of the daemon over the same faulty log."""

import dataclasses

from hypothesis import stateful, strategies
from replica_world import MEMBERS, RARELY, ReplicaMachine

from tarragonlb.journal.fold import CURRENT_VERSION
from tarragonlb.model.errors import JournalError
from tarragonlb.model.member import LevelRaised, MemberAnnounced, MemberRetired
from tarragonlb.model.record import Record


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class NoteWritten(Record):
    """A kind of record that only the newer version knows."""

    text: str


def write_note(state, record, offset):
    state.keys['note', record.text] = str(offset)


NEWER = dataclasses.replace(
    CURRENT_VERSION,
    level=CURRENT_VERSION.level + 1,
    kinds={**CURRENT_VERSION.kinds, 'NoteWritten': NoteWritten},
    rules={**CURRENT_VERSION.rules, NoteWritten: write_note},
    levels={NoteWritten: CURRENT_VERSION.level + 1},
)


class MixedMachine(ReplicaMachine):
    """Upgrades and downgrades members at any moment."""

    newest = NEWER
    names = strategies.sampled_from(MEMBERS)

    def submit(self, name, kind, **fields):
        member, running = self.get_member(name)
        if not running:
            return
        try:
            member.replica.submit(kind(head=member.make_head(), **fields))
        except JournalError:
            assert kind is NoteWritten

    @stateful.rule(
        name=names, version=strategies.sampled_from((NEWER, CURRENT_VERSION))
    )
    def replace_process(self, name, version):
        member = self.members[name]
        member.version = version
        member.start()

    @stateful.rule(name=names)
    def upgrade_and_announce(self, name):
        self.replace_process(name, NEWER)
        self.exchange(name)
        self.announce(name)
        self.exchange(name)

    @stateful.rule(name=names)
    def announce(self, name):
        member = self.members[name]
        self.submit(
            name,
            MemberAnnounced,
            member=name,
            incarnation=str(member.starts),
            level=member.version.level,
        )

    @stateful.rule(name=names, other=names, certain=RARELY)
    def retire(self, name, other, certain):
        members = self.members[name].replica.state.stream.members
        if certain and other in members:
            self.submit(
                name,
                MemberRetired,
                member=other,
                announced=members[other].announced,
            )

    @stateful.rule(name=names)
    def raise_level(self, name):
        self.submit(
            name,
            LevelRaised,
            expected_level=CURRENT_VERSION.level,
            level=NEWER.level,
        )

    @stateful.rule(name=names)
    def write_note(self, name):
        if self.members[name].version is NEWER:
            self.submit(name, NoteWritten, text=name)

    @stateful.invariant()
    def check_level(self):
        """All registered members can fold the level in force."""
        stream = self.log.reference.stream
        for entry in stream.members.values():
            assert entry.level >= stream.level, 'a member fell behind'

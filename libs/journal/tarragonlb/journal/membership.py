"""Says what a member writes about itself and about the others.

A member announces itself, and again at times, since nobody else can say that it
runs.  One that was not heard for long is retired by whoever notices first.  If
it was only paused it announces itself again when it wakes; a paused member that
missed a raise of the level halts at the first record that it can't fold.
"""

from collections.abc import Callable

from tarragonlb.journal.replica import Replica
from tarragonlb.journal.spread import choose_wait
from tarragonlb.journal.state import State
from tarragonlb.model.member import (
    LevelRaised,
    MemberAnnounced,
    MemberEntry,
    MemberRetired,
)
from tarragonlb.model.record import Head, Record

ANNOUNCE_SECONDS = 600
RETIRE_SECONDS = 2000


class Membership:
    """Watches the members in one replica for the process ``member``."""

    __slots__ = ('_heard', '_incarnation', '_member', '_wanted_since')

    def __init__(self, member: str, incarnation: str) -> None:
        """Start without having heard of anyone."""
        self._member = member
        self._incarnation = incarnation
        self._heard: dict[str, tuple[MemberEntry, float]] = {}
        self._wanted_since: float | None = None

    def plan(
        self, replica: Replica, now: float, sign: Callable[[], Head]
    ) -> Record | None:
        """Return the next record that this member should write, if any.

        ``now`` is in seconds of the monotonic clock.
        """
        state = replica.state
        self._hear(state, now)
        if self._must_announce(state, now):
            return MemberAnnounced(
                head=sign(),
                member=self._member,
                incarnation=self._incarnation,
                level=replica.version.level,
            )
        for entry, heard_at in self._heard.values():
            if now - heard_at >= RETIRE_SECONDS + choose_wait(self._member):
                return MemberRetired(
                    head=sign(), member=entry.member, announced=entry.announced
                )
        return self._plan_raise(state, now, sign)

    def _hear(self, state: State, now: float) -> None:
        for name, entry in state.stream.members.items():
            known = self._heard.get(name)
            if known is None or known[0] != entry:
                self._heard[name] = (entry, now)
        for name in self._heard.keys() - state.stream.members.keys():
            self._heard.pop(name)

    def _must_announce(self, state: State, now: float) -> bool:
        own = state.stream.members.get(self._member)
        if own is None or own.incarnation != self._incarnation:
            return True
        return now - self._heard[self._member][1] >= ANNOUNCE_SECONDS

    def _plan_raise(
        self, state: State, now: float, sign: Callable[[], Head]
    ) -> LevelRaised | None:
        wanted = state.fleet.feature_level
        members = state.stream.members.values()
        ready = all(entry.level >= wanted for entry in members)
        if wanted <= state.stream.level or not ready:
            self._wanted_since = None
            return None
        if self._wanted_since is None:
            self._wanted_since = now
        if now < self._wanted_since + choose_wait(self._member):
            return None
        return LevelRaised(
            head=sign(), expected_level=state.stream.level, level=wanted
        )

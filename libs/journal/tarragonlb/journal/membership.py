"""Records that a member writes about itself and about other members.

A member announces itself periodically, as no other process can report that it
is running.  A member that has been silent for ``RETIRE_SECONDS`` is retired by
the first member that notices.  If it was only paused, it announces itself again
when it resumes.  If it missed a raise of the feature level while it was paused,
it halts at the first record that it can't fold.
"""

from collections.abc import Callable

from tarragonlb.journal.replica import Replica
from tarragonlb.journal.stagger import choose_delay
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
    """Tracks the members in a replica on behalf of the process ``member``."""

    __slots__ = ('_incarnation', '_last_seen', '_member', '_raisable_since')

    def __init__(self, member: str, incarnation: str) -> None:
        """Start without any member seen."""
        self._member = member
        self._incarnation = incarnation
        self._last_seen: dict[str, tuple[MemberEntry, float]] = {}
        self._raisable_since: float | None = None

    def plan(
        self, replica: Replica, now: float, make_head: Callable[[], Head]
    ) -> Record | None:
        """Return the next record that this member should write, if any.

        ``now`` is in seconds of the monotonic clock.
        """
        state = replica.state
        self._update_last_seen(state, now)
        if self._must_announce(state, now):
            return MemberAnnounced(
                head=make_head(),
                member=self._member,
                incarnation=self._incarnation,
                level=replica.version.level,
            )
        for entry, seen_at in self._last_seen.values():
            if now - seen_at >= RETIRE_SECONDS + choose_delay(self._member):
                return MemberRetired(
                    head=make_head(),
                    member=entry.member,
                    announced=entry.announced,
                )
        return self._plan_level_raise(state, now, make_head)

    def _update_last_seen(self, state: State, now: float) -> None:
        for name, entry in state.stream.members.items():
            known = self._last_seen.get(name)
            if known is None or known[0] != entry:
                self._last_seen[name] = (entry, now)
        for name in self._last_seen.keys() - state.stream.members.keys():
            self._last_seen.pop(name)

    def _must_announce(self, state: State, now: float) -> bool:
        own_entry = state.stream.members.get(self._member)
        if own_entry is None or own_entry.incarnation != self._incarnation:
            return True
        return now - self._last_seen[self._member][1] >= ANNOUNCE_SECONDS

    def _plan_level_raise(
        self, state: State, now: float, make_head: Callable[[], Head]
    ) -> LevelRaised | None:
        wanted_level = state.fleet.feature_level
        members = state.stream.members.values()
        all_support_it = all(entry.level >= wanted_level for entry in members)
        if wanted_level <= state.stream.level or not all_support_it:
            self._raisable_since = None
            return None
        if self._raisable_since is None:
            self._raisable_since = now
        if now < self._raisable_since + choose_delay(self._member):
            return None
        return LevelRaised(
            head=make_head(),
            expected_level=state.stream.level,
            level=wanted_level,
        )

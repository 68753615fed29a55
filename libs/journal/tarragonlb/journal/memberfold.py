"""Rules for members and the feature level."""

from dataclasses import replace
from types import MappingProxyType

from tarragonlb.journal.rule import Reason, Rule
from tarragonlb.journal.state import State
from tarragonlb.model.member import (
    LevelRaised,
    MemberAnnounced,
    MemberEntry,
    MemberRetired,
)
from tarragonlb.model.stream import StreamEntry


def announce_member(
    state: State, entry: MemberAnnounced, offset: int
) -> Reason | None:
    """Count a member that can fold what the present level allows."""
    level = state.stream.level
    if entry.level < level:
        return (
            f'level {level} is in force, '
            f'{entry.member} can fold level {entry.level}'
        )
    announced = MemberEntry(
        member=entry.member,
        incarnation=entry.incarnation,
        level=entry.level,
        announced=offset,
    )
    members = {**state.stream.members, entry.member: announced}
    state.stream = replace(state.stream, members=members)
    return None


def retire_member(
    state: State, entry: MemberRetired, offset: int
) -> Reason | None:
    """Count a member no longer, unless it was heard again meanwhile."""
    current = state.stream.members.get(entry.member)
    if current is None:
        return f'{entry.member} is no member'
    if current.announced != entry.announced:
        return f'{entry.member} was heard at offset {current.announced}'
    members = dict(state.stream.members)
    members.pop(entry.member)
    state.stream = replace(state.stream, members=members)
    return None


def raise_level(state: State, entry: LevelRaised, offset: int) -> Reason | None:
    """Raise the level once all members have announced it."""
    stream = state.stream
    if entry.expected_level != stream.level or entry.level <= stream.level:
        return f'level {stream.level} is in force'
    behind = list_behind(stream, entry.level)
    if behind or not stream.members:
        return f'level {entry.level} waits for {", ".join(behind)}'
    state.stream = replace(stream, level=entry.level)
    return None


def list_behind(stream: StreamEntry, level: int) -> list[str]:
    """Return the members that can't fold a level, in the order of names."""
    return sorted(
        f'{member.member} (level {member.level})'
        for member in stream.members.values()
        if member.level < level
    )


RULES: MappingProxyType[type, Rule] = MappingProxyType(
    {
        MemberAnnounced: announce_member,
        MemberRetired: retire_member,
        LevelRaised: raise_level,
    }
)

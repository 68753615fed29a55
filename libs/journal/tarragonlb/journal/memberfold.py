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
    state: State, record: MemberAnnounced, offset: int
) -> Reason | None:
    """Add or update a member that can fold the feature level in force."""
    level = state.stream.level
    if record.level < level:
        return (
            f'feature level {level} is in force, '
            f'{record.member} can only fold level {record.level}'
        )
    announced = MemberEntry(
        member=record.member,
        incarnation=record.incarnation,
        level=record.level,
        announced=offset,
    )
    members = {**state.stream.members, record.member: announced}
    state.stream = replace(state.stream, members=members)
    return None


def retire_member(
    state: State, record: MemberRetired, offset: int
) -> Reason | None:
    """Remove a member, unless it has announced itself again meanwhile."""
    current = state.stream.members.get(record.member)
    if current is None:
        return f'{record.member} is not a member'
    if current.announced != record.announced:
        return f'{record.member} was announced at offset {current.announced}'
    members = dict(state.stream.members)
    members.pop(record.member)
    state.stream = replace(state.stream, members=members)
    return None


def raise_level(
    state: State, record: LevelRaised, offset: int
) -> Reason | None:
    """Raise the feature level if all members can fold the new level."""
    stream = state.stream
    if record.expected_level != stream.level or record.level <= stream.level:
        return f'feature level {stream.level} is in force'
    members_below = list_members_below(stream, record.level)
    if members_below or not stream.members:
        return (
            f'feature level {record.level} is not supported by '
            f'{", ".join(members_below)}'
        )
    state.stream = replace(stream, level=record.level)
    return None


def list_members_below(stream: StreamEntry, level: int) -> list[str]:
    """Return a description of each member that can't fold a level, sorted."""
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

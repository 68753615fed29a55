"""Records: the changes of shared state, as they stand in the log.

A record is made conditional by its content.  The fold takes the first valid
record in offset order, and every later one that builds on the same version is
void.  Each record carries an id, so that an append that was retried after a
lost answer counts once.

"""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True, kw_only=True)
class Head:
    """Who wrote a record, and on which state.

    ``basis`` is the offset that the writer had folded when it made the
    record, ``author`` names the operator, team or daemon behind it, and
    ``written_at`` is the wall-clock time in seconds since 1970, for people
    only: no decision rests on it.
    """

    record_id: str
    basis: int
    author: str
    written_at: float


@dataclass(frozen=True, slots=True, kw_only=True)
class Record:
    """What all records have."""

    head: Head


@dataclass(frozen=True, slots=True, kw_only=True)
class SettingPublished(Record):
    """A document of settings, valid if its path is at the stated version."""

    path: str
    text: str
    source: str
    expected_version: int


@dataclass(frozen=True, slots=True, kw_only=True)
class TermTaken(Record):
    """A planner's lease on a scope: taken, or renewed by its holder."""

    scope: str
    expected_number: int
    holder: str


@dataclass(frozen=True, slots=True, kw_only=True)
class KeyClaimed(Record):
    """An at-most-once request that one entry VM is about to send."""

    team: str
    key: str
    entry: str

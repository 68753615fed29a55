"""Records: the changes of the shared state, as they are stored in the log.

Records are conditional: most of them name the version that they change.  The
fold accepts the first valid record in offset order and rejects all later ones
for the same version.  Each record has an id, so that an append that is retried
after a lost answer takes effect once.

"""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True, kw_only=True)
class Head:
    """Who wrote a record, and based on which state.

    ``basis`` is the offset that the writer had folded when it created the
    record, and ``author`` names the operator, team or daemon that caused it.
    ``written_at`` is the wall-clock time in seconds since 1970, for display
    only: no decision depends on it.
    """

    record_id: str
    basis: int
    author: str
    written_at: float


@dataclass(frozen=True, slots=True, kw_only=True)
class Record:
    """Base class of all records."""

    head: Head


@dataclass(frozen=True, slots=True, kw_only=True)
class SettingPublished(Record):
    """A settings document; valid if its path is at ``expected_version``."""

    path: str
    text: str
    source: str
    expected_version: int


@dataclass(frozen=True, slots=True, kw_only=True)
class TermTaken(Record):
    """A planner's lease on a scope: acquired, or renewed by its holder."""

    scope: str
    expected_number: int
    holder: str


@dataclass(frozen=True, slots=True, kw_only=True)
class KeyClaimed(Record):
    """A request that runs at most once and that ``entry`` is about to send."""

    team: str
    key: str
    entry: str

"""A version of the daemon, as far as the stream is concerned.

A version knows some kinds of records, each with a rule of the fold and with the
feature level from which on it may be written.  Kinds that have no level of
their own are of the first one.  Tests make a newer version of the present one
by adding a kind to it.
"""

from collections.abc import Mapping
from dataclasses import dataclass

from tarragonlb.journal.rule import Rule

FIRST_LEVEL = 1


@dataclass(frozen=True, slots=True, kw_only=True)
class Version:
    """What one version of the daemon can fold, up to ``level``.

    ``kinds`` are the kinds of records by name, ``levels`` the level of each
    kind that is above the first.
    """

    level: int
    kinds: Mapping[str, type]
    rules: Mapping[type, Rule]
    levels: Mapping[type, int]

    def find_level(self, kind: type) -> int:
        """Return the level from which on a kind may be written."""
        return self.levels.get(kind, FIRST_LEVEL)

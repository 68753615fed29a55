"""The record kinds and rules of a version of the daemon.

A version knows certain kinds of records.  Each kind has a rule of the fold and
the feature level from which on records of it may be written, by default the
first one.  Tests create a newer version by adding a kind to the current one.
"""

from collections.abc import Mapping
from dataclasses import dataclass

from tarragonlb.journal.rule import Rule

FIRST_LEVEL = 1


@dataclass(frozen=True, slots=True, kw_only=True)
class Version:
    """What a version of the daemon can fold, up to feature level ``level``.

    ``kinds`` are the kinds of records by name, and ``levels`` has the level of
    each kind that needs a higher one than the first.
    """

    level: int
    kinds: Mapping[str, type]
    rules: Mapping[type, Rule]
    levels: Mapping[type, int]

    def get_required_level(self, kind: type) -> int:
        """Return the lowest level at which a kind may be written."""
        return self.levels.get(kind, FIRST_LEVEL)

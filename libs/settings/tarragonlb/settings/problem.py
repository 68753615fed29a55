"""Problems in settings, as values.

All problems of a document are collected and reported together, each with the
file or path, the line, and what was expected there.
"""

from collections.abc import Iterable
from dataclasses import dataclass

from tarragonlb.model.errors import TarragonError


@dataclass(frozen=True, slots=True)
class Problem:
    """One fault in a document; ``line`` counts from 1."""

    source: str
    line: int
    field: str
    message: str

    def __str__(self) -> str:
        """Return the problem in the manner of a compiler."""
        where = f'{self.source}:{self.line}'
        if self.field:
            return f'{where}: {self.field}: {self.message}'
        return f'{where}: {self.message}'


class SettingsError(TarragonError):
    """A document of settings can't be used; ``problems`` says why."""

    def __init__(self, problems: Iterable[Problem]) -> None:
        """Keep the problems."""
        self.problems = tuple(problems)
        super().__init__('\n'.join(str(problem) for problem in self.problems))

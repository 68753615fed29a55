"""Problems in settings documents.

All problems of a document are collected and reported together, each with its
file or path, its line, and what was expected there.
"""

from collections.abc import Iterable
from dataclasses import dataclass

from tarragonlb.model.errors import TarragonError


@dataclass(frozen=True, slots=True)
class Problem:
    """One fault in a document; lines are numbered from 1.

    ``source`` is the file or path, and ``field`` is empty if the problem is
    about the document as a whole.
    """

    source: str
    line: int
    field: str
    message: str

    def __str__(self) -> str:
        """Format the problem like a compiler message."""
        where = f'{self.source}:{self.line}'
        if self.field:
            return f'{where}: {self.field}: {self.message}'
        return f'{where}: {self.message}'


class SettingsError(TarragonError):
    """A settings document is invalid; ``problems`` lists the reasons."""

    def __init__(self, problems: Iterable[Problem]) -> None:
        """Store the problems."""
        self.problems = tuple(problems)
        super().__init__('\n'.join(str(problem) for problem in self.problems))

"""Checks over all documents of a fleet together.

Each document is checked by itself first.  What only shows between documents
comes after: pools that a team names and nobody describes, and tokens that
two teams share.
"""

from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass

from tarragonlb.settings.document import parse_document
from tarragonlb.settings.problem import Problem, SettingsError
from tarragonlb.settings.reader import read_document
from tarragonlb.settings.schema import TeamSettings

POOLS = '/pools/'


@dataclass(frozen=True, slots=True, kw_only=True)
class SourceDocument:
    """The text of one document; ``source`` is the file it came from."""

    path: str
    source: str
    text: str


def check_documents(texts: Iterable[SourceDocument]) -> list[Problem]:
    """Return all problems of the documents, in their order."""
    documents = list(texts)
    problems: list[Problem] = []
    teams: dict[str, TeamSettings] = {}
    for document in documents:
        try:
            settings = read_document(document.text, document.path)
        except SettingsError as error:
            problems.extend(_place(error, document.source))
            continue
        if isinstance(settings, TeamSettings):
            teams[document.path] = settings
    sources = {document.path: document for document in documents}
    problems.extend(_check_pools(teams, sources))
    problems.extend(check_tokens(teams, sources))
    return problems


def check_tokens(
    teams: Mapping[str, TeamSettings], sources: Mapping[str, SourceDocument]
) -> Iterator[Problem]:
    """Yield a problem for each token that a second team uses, too.

    Only teams whose text is among the sources are reported.
    """
    owners: dict[str, str] = {}
    for path, team in teams.items():
        for index, token in enumerate(team.tokens):
            owner = owners.setdefault(token, path)
            if owner != path and path in sources:
                message = f'{owner} uses the same token'
                yield _report(sources[path], f'tokens[{index}]', message)


def _check_pools(
    teams: Mapping[str, TeamSettings], sources: Mapping[str, SourceDocument]
) -> Iterator[Problem]:
    known = {path for path in sources if path.startswith(POOLS)}
    for path, team in teams.items():
        for field, pool in _list_pools(team):
            if f'{POOLS}{pool}' not in known:
                message = f'no document describes {POOLS}{pool}'
                yield _report(sources[path], field, message)


def _list_pools(team: TeamSettings) -> Iterator[tuple[str, str]]:
    for name, service in team.services.items():
        yield f'services.{name}.pool', service.pool
    for index, budget in enumerate(team.budgets):
        yield f'budgets[{index}].pool', budget.pool


def _report(document: SourceDocument, field: str, message: str) -> Problem:
    parsed = parse_document(document.text, document.path)
    line = parsed.find_line(field)
    return Problem(document.source, line, field, message)


def _place(error: SettingsError, source: str) -> Iterator[Problem]:
    for problem in error.problems:
        yield Problem(source, problem.line, problem.field, problem.message)

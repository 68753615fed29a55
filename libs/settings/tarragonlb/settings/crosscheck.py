"""Checks across all settings documents of a fleet.

Each document is first checked on its own.  Then the references between the
documents are checked: each pool that a team names must have a document, and
no two teams may have the same token.
"""

from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass

from tarragonlb.settings.document import parse_document
from tarragonlb.settings.problem import Problem, SettingsError
from tarragonlb.settings.reader import read_document
from tarragonlb.settings.schema import TeamSettings

POOL_PREFIX = '/pools/'


@dataclass(frozen=True, slots=True, kw_only=True)
class SourceDocument:
    """The text of one document, and the file it was read from."""

    path: str
    source: str
    text: str


def check_documents(texts: Iterable[SourceDocument]) -> list[Problem]:
    """Return the problems of all documents.

    The problems of single documents come first, in the order of the documents,
    then those between documents.
    """
    documents = list(texts)
    problems: list[Problem] = []
    teams: dict[str, TeamSettings] = {}
    for document in documents:
        try:
            settings = read_document(document.text, document.path)
        except SettingsError as error:
            problems.extend(_name_source(error, document.source))
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
    """Yield a problem for each token that an earlier team uses, too.

    Problems are reported only for teams whose text is among the sources.
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
    known = {path for path in sources if path.startswith(POOL_PREFIX)}
    for path, team in teams.items():
        for field, pool in _list_pools(team):
            if f'{POOL_PREFIX}{pool}' not in known:
                message = f'no document describes {POOL_PREFIX}{pool}'
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


def _name_source(error: SettingsError, source: str) -> Iterator[Problem]:
    for problem in error.problems:
        yield Problem(source, problem.line, problem.field, problem.message)

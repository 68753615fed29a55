"""Handlers that read, publish and explain settings."""

from collections.abc import Mapping
from dataclasses import dataclass
from urllib.parse import unquote

from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from tarragonlb.daemon.access import Identity
from tarragonlb.daemon.apibase import (
    ApiHandlers,
    make_json_response,
    make_not_found_error,
    read_body,
)
from tarragonlb.model.entry import SettingEntry
from tarragonlb.model.errors import RefusedError
from tarragonlb.model.record import SettingPublished
from tarragonlb.model.verdict import Verdict
from tarragonlb.settings.crosscheck import SourceDocument, check_tokens
from tarragonlb.settings.problem import SettingsError
from tarragonlb.settings.reader import read_document
from tarragonlb.settings.schema import TeamSettings
from tarragonlb.settings.settingpath import find_value, split_path

STATUS_BAD_REQUEST = 400
TEAM_PATH_PREFIX = '/teams/'


@dataclass(frozen=True, slots=True, kw_only=True)
class ExplainAnswer:
    """Response body with a setting, its origin and the reporting entry VM.

    ``line`` is a line of ``source``, or None if the document does not set the
    value and the default applies.  ``written_at`` is in seconds since 1970.
    """

    path: str
    setting: object
    document: str
    source: str
    line: int | None
    author: str
    written_at: float
    version: int
    offset: int
    entry: str
    read_to_offset: int


class SettingsApi(ApiHandlers):
    """Handlers for settings."""

    __slots__ = ()

    def list_routes(self) -> list[Route]:
        """Return the routes of these handlers."""
        path = '/v1/settings/{path:path}'
        return [
            Route('/v1/settings', self.list_all, methods=['GET']),
            Route(path, self.show, methods=['GET']),
            Route(path, self.publish, methods=['PUT']),
            Route('/v1/history/{path:path}', self.show_history),
            Route('/v1/explain/{path:path}', self.explain),
        ]

    async def list_all(self, request: Request) -> Response:
        """Return all documents that the sender may read."""
        identity = self.admit(request)
        entries = [
            entry
            for path, entry in sorted(self.journal.state.settings.items())
            if _can_read(identity, path)
        ]
        return make_json_response(entries)

    async def show(self, request: Request) -> Response:
        """Return the document at a path, or a value inside it."""
        entry = self._find_entry(request)
        path = split_path(_read_path(request))
        if path.members:
            return make_json_response(find_value(entry.text, path))
        return make_json_response(entry)

    async def show_history(self, request: Request) -> Response:
        """Return the latest versions of a document, oldest first."""
        entry = self._find_entry(request)
        return make_json_response(self.journal.state.history[entry.path])

    async def explain(self, request: Request) -> Response:
        """Return the value at a path and where it was set."""
        entry = self._find_entry(request)
        path = split_path(_read_path(request))
        found = find_value(entry.text, path)
        answer = ExplainAnswer(
            path=found.path,
            setting=found.setting,
            document=entry.path,
            source=entry.source,
            line=found.line,
            author=entry.author,
            written_at=entry.written_at,
            version=entry.version,
            offset=entry.offset,
            entry=self.entry,
            read_to_offset=self.journal.state.offset,
        )
        return make_json_response(answer)

    async def publish(self, request: Request) -> Response:
        """Publish a document if its path is at the expected version.

        The header ``If-Match`` holds the expected version, 0 for a new path.
        """
        identity = self.admit(request)
        path = _read_path(request)
        _require_subtree(identity, path)
        text = _decode(await read_body(request))
        document = read_document(text, path)
        if isinstance(document, TeamSettings):
            _check_tokens(self.journal.state.teams, path, text, document)
        record = SettingPublished(
            head=self.journal.make_head(identity.name),
            path=path,
            text=text,
            source=unquote(request.headers.get('tarragon-source', path)),
            expected_version=_read_expected_version(request),
        )
        await self.journal.commit(record)
        return make_json_response(self.journal.state.settings[path])

    def _find_entry(self, request: Request) -> SettingEntry:
        identity = self.admit(request)
        path = split_path(_read_path(request)).document
        _require_subtree(identity, path)
        entry = self.journal.state.settings.get(path)
        if entry is None:
            raise make_not_found_error(f'the path {path}')
        return entry


def _check_tokens(
    teams: Mapping[str, TeamSettings],
    path: str,
    text: str,
    document: TeamSettings,
) -> None:
    others = {f'{TEAM_PATH_PREFIX}{name}': team for name, team in teams.items()}
    others.pop(path, None)
    source = SourceDocument(path=path, source=path, text=text)
    problems = list(check_tokens(others | {path: document}, {path: source}))
    if problems:
        raise SettingsError(problems)


def _can_read(identity: Identity, path: str) -> bool:
    return identity.team == '' or path == f'/teams/{identity.team}'


def _require_subtree(identity: Identity, path: str) -> None:
    if not _can_read(identity, path):
        identity.require_operator()


def _decode(body: bytes) -> str:
    try:
        return body.decode()
    except UnicodeDecodeError as error:
        raise _make_bad_request_error(
            f'the body is not UTF-8: {error}'
        ) from error


def _read_expected_version(request: Request) -> int:
    text = request.headers.get('if-match', '')
    if not (text.isascii() and text.isdigit()):
        raise _make_bad_request_error(
            'If-Match: expected the version number to replace'
        )
    return int(text)


def _make_bad_request_error(reason: str) -> RefusedError:
    return RefusedError(
        reason, verdict=Verdict.NOT_RUN, status=STATUS_BAD_REQUEST
    )


def _read_path(request: Request) -> str:
    return f'/{request.path_params["path"]}'

"""Rules for settings, planner terms and claims of keys."""

from types import MappingProxyType

from tarragonlb.journal.rule import Reason, Rule
from tarragonlb.journal.state import State
from tarragonlb.model.entry import ClaimEntry, SettingEntry, TermEntry
from tarragonlb.model.record import KeyClaimed, SettingPublished, TermTaken
from tarragonlb.settings.problem import SettingsError
from tarragonlb.settings.reader import read_document
from tarragonlb.settings.schema import FleetSettings, PoolSettings, TeamSettings

MAX_HISTORY_ENTRIES = 10
MAX_CLAIMS = 50_000


def publish_setting(
    state: State, entry: SettingPublished, offset: int
) -> Reason | None:
    """Put a document in force if its path is at the expected version."""
    current = state.settings.get(entry.path)
    version = current.version if current else 0
    if version != entry.expected_version:
        return _explain_version(entry, current)
    try:
        document = read_document(entry.text, entry.path)
    except SettingsError as error:
        return str(error)
    setting = SettingEntry(
        path=entry.path,
        text=entry.text,
        source=entry.source,
        author=entry.head.author,
        version=version + 1,
        offset=offset,
        written_at=entry.head.written_at,
    )
    state.settings[entry.path] = setting
    past = state.history.get(entry.path, ())
    state.history[entry.path] = (*past, setting)[-MAX_HISTORY_ENTRIES:]
    state.settings_offset = offset
    activate_document(state, entry.path, document)
    return None


def _explain_version(
    entry: SettingPublished, current: SettingEntry | None
) -> Reason:
    author = current.author if current else 'nobody'
    version = current.version if current else 0
    return (
        f'{entry.path} is at version {version} set by {author}, '
        f'expected version {entry.expected_version}'
    )


def activate_document(state: State, path: str, document: object) -> None:
    """Index a checked document by the team or pool that it is about."""
    name = path.rpartition('/')[2]
    if isinstance(document, TeamSettings):
        state.teams[name] = document
    elif isinstance(document, PoolSettings):
        state.pools[name] = document
    elif isinstance(document, FleetSettings):
        state.fleet = document


def take_term(state: State, entry: TermTaken, offset: int) -> Reason | None:
    """Renew the holder's term, or start a new one for another holder."""
    current = state.terms.get(entry.scope)
    number = current.number if current else 0
    if number != entry.expected_number:
        return f'{entry.scope} is at term {number}'
    if current and current.holder == entry.holder:
        next_number = number
    else:
        next_number = number + 1
    state.terms[entry.scope] = TermEntry(
        holder=entry.holder, number=next_number, offset=offset
    )
    return None


def claim_key(state: State, entry: KeyClaimed, offset: int) -> Reason | None:
    """Let the first entry VM that claims a key send its request."""
    key = (entry.team, entry.key)
    current = state.claims.get(key)
    if current:
        return f'key {entry.key} was claimed by {current.entry}'
    state.claims[key] = ClaimEntry(
        entry=entry.entry, record_id=entry.head.record_id, offset=offset
    )
    if len(state.claims) > MAX_CLAIMS:
        state.claims.pop(next(iter(state.claims)))
    return None


RULES: MappingProxyType[type, Rule] = MappingProxyType(
    {
        SettingPublished: publish_setting,
        TermTaken: take_term,
        KeyClaimed: claim_key,
    }
)

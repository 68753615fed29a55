"""Rules for settings, planner terms and claims of idempotency keys."""

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
    state: State, record: SettingPublished, offset: int
) -> Reason | None:
    """Put a document in force if its path is at the expected version."""
    current = state.settings.get(record.path)
    version = current.version if current else 0
    if version != record.expected_version:
        return _explain_version(record, current)
    try:
        document = read_document(record.text, record.path)
    except SettingsError as error:
        return str(error)
    setting = SettingEntry(
        path=record.path,
        text=record.text,
        source=record.source,
        author=record.head.author,
        version=version + 1,
        offset=offset,
        written_at=record.head.written_at,
    )
    state.settings[record.path] = setting
    previous = state.history.get(record.path, ())
    state.history[record.path] = (*previous, setting)[-MAX_HISTORY_ENTRIES:]
    state.settings_offset = offset
    activate_document(state, record.path, document)
    return None


def _explain_version(
    record: SettingPublished, current: SettingEntry | None
) -> Reason:
    author = current.author if current else 'nobody'
    version = current.version if current else 0
    return (
        f'{record.path} is at version {version} set by {author}, '
        f'expected version {record.expected_version}'
    )


def activate_document(state: State, path: str, document: object) -> None:
    """Store a checked document under the name of its team or pool."""
    name = path.rpartition('/')[2]
    if isinstance(document, TeamSettings):
        state.teams[name] = document
    elif isinstance(document, PoolSettings):
        state.pools[name] = document
    elif isinstance(document, FleetSettings):
        state.fleet = document


def grant_term(state: State, record: TermTaken, offset: int) -> Reason | None:
    """Renew the holder's term, or start a new term for another holder."""
    current = state.terms.get(record.scope)
    number = current.number if current else 0
    if number != record.expected_number:
        return f'{record.scope} is at term {number}'
    if current and current.holder == record.holder:
        next_number = number
    else:
        next_number = number + 1
    state.terms[record.scope] = TermEntry(
        holder=record.holder, number=next_number, offset=offset
    )
    return None


def claim_key(state: State, record: KeyClaimed, offset: int) -> Reason | None:
    """Give a key to the first entry VM that claims it."""
    key = (record.team, record.key)
    current = state.claims.get(key)
    if current:
        return f'key {record.key} was claimed by {current.entry}'
    state.claims[key] = ClaimEntry(
        entry=record.entry, record_id=record.head.record_id, offset=offset
    )
    if len(state.claims) > MAX_CLAIMS:
        state.claims.pop(next(iter(state.claims)))
    return None


RULES: MappingProxyType[type, Rule] = MappingProxyType(
    {
        SettingPublished: publish_setting,
        TermTaken: grant_term,
        KeyClaimed: claim_key,
    }
)

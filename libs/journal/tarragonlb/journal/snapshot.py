"""Snapshots: the state encoded as rows, in chunks that fit into records.

A row is ``[field, key, entry]``; a field that is not a mapping has one row
without a key.  Rows are written in the order of the mappings, which is
determined by the records like the state itself, so every daemon writes the same
bytes.  The state has all that the fold depends on, including the ids of folded
records.  Settings objects are left out; they are read again from the texts in
force.
"""

import functools
import hashlib
import io
import typing
import zlib
from collections.abc import Iterable, Iterator

import cbor2
import msgspec

from tarragonlb.journal.settingfold import activate_document
from tarragonlb.journal.state import State
from tarragonlb.model.errors import JournalError
from tarragonlb.model.invariant import ensure
from tarragonlb.settings.problem import SettingsError
from tarragonlb.settings.reader import read_document

CHUNK_BYTES = 64 * 1024
MAX_CHUNK_BYTES = 16 * 1024 * 1024
CONTENT_DIGEST_BYTES = 16
COMPRESSION_LEVEL = 6
KEYED_ROW_LENGTH = 3

_FIELD_TYPES = typing.get_type_hints(State)
_DERIVED_FIELDS = frozenset(('fleet', 'pools', 'teams'))
_DECODE_ERRORS = (
    ArithmeticError,
    LookupError,
    RecursionError,
    SettingsError,
    TypeError,
    ValueError,
    cbor2.CBORError,
)


class SnapshotEncoder:
    """Encodes the state at one offset, while the fold continues.

    ``encode_next_part`` is called until it returns None.  Each call encodes one
    chunk and adds it to the digest of the content, so that the caller can do
    other work between the calls.
    """

    __slots__ = ('_content_hash', '_parts', 'digest', 'finished', 'opened')

    def __init__(self, state: State) -> None:
        """Copy the mappings of a state; the entries are not copied."""
        ensure(
            _FIELD_TYPES.keys() == set(State.__slots__),
            'a snapshot has every field of the state',
        )
        self.opened = state.offset
        self.digest = state.digest
        self.finished = False
        self._content_hash = hashlib.blake2b(digest_size=CONTENT_DIGEST_BYTES)
        self._parts = encode_parts(state.copy_fields())

    def encode_next_part(self) -> bytes | None:
        """Return the rows of the next chunk, or None after the last."""
        part = next(self._parts, None)
        if part is None:
            self.finished = True
        else:
            self._content_hash.update(part)
        return part

    def digest_content(self) -> bytes:
        """Return the digest of all rows; encode those that are left."""
        while not self.finished:
            self.encode_next_part()
        return self._content_hash.digest()


@functools.cache
def compute_schema_digest() -> str:
    """Return a digest of the field and entry types that this version stores."""
    field_types = [
        _FIELD_TYPES[name]
        for name in sorted(_FIELD_TYPES.keys() - _DERIVED_FIELDS)
    ]
    schema = repr(msgspec.inspect.multi_type_info(field_types)).encode()
    return hashlib.blake2b(schema, digest_size=CONTENT_DIGEST_BYTES).hexdigest()


def digest_parts(parts: Iterable[bytes]) -> bytes:
    """Return the digest of all rows of a snapshot."""
    content_hash = hashlib.blake2b(digest_size=CONTENT_DIGEST_BYTES)
    for part in parts:
        content_hash.update(part)
    return content_hash.digest()


def encode_parts(fields: dict[str, typing.Any]) -> Iterator[bytes]:
    """Yield the rows of a state, joined to parts of about ``CHUNK_BYTES``."""
    part = io.BytesIO()
    for row in _list_rows(fields):
        plain = msgspec.to_builtins(
            row, builtin_types=(bytes,), order='deterministic'
        )
        part.write(cbor2.dumps(plain))
        if part.tell() >= CHUNK_BYTES:
            yield part.getvalue()
            part = io.BytesIO()
    yield part.getvalue()


def compress_part(part: bytes) -> bytes:
    """Compress the rows of a chunk."""
    return zlib.compress(part, COMPRESSION_LEVEL)


def decompress_part(body: bytes) -> bytes:
    """Decompress the rows of a chunk.

    Raises ``JournalError`` for a body that is corrupt or too large.
    """
    decompressor = zlib.decompressobj()
    try:
        part = decompressor.decompress(body, MAX_CHUNK_BYTES)
    except zlib.error as error:
        raise JournalError(f'corrupt chunk: {error}') from error
    if not decompressor.eof:
        raise JournalError('the chunk is truncated or too large')
    return part


def restore_state(parts: Iterable[bytes]) -> State:
    """Return the state that is encoded in the parts of a snapshot.

    Fields of a newer version are ignored; the feature level in the state says
    whether this version may continue from it.  Raises ``JournalError`` if the
    parts do not encode a state of this version.
    """
    state = State()
    try:
        for part in parts:
            _restore_part(state, part)
        _restore_settings(state)
    except _DECODE_ERRORS as error:
        raise JournalError(f'corrupt snapshot: {error!r}') from error
    return state


def _list_rows(fields: dict[str, typing.Any]) -> Iterator[list[typing.Any]]:
    for name, field in fields.items():
        if name in _DERIVED_FIELDS:
            continue
        if isinstance(field, dict):
            for key, entry in field.items():
                yield [name, key, entry]
        else:
            yield [name, field]


def _restore_part(state: State, part: bytes) -> None:
    stream = io.BytesIO(part)
    decoder = cbor2.CBORDecoder(stream)
    while stream.tell() < len(part):
        _restore_row(state, decoder.decode())


def _restore_row(state: State, row: list[typing.Any]) -> None:
    name = row[0]
    field_type = _FIELD_TYPES.get(name)
    if field_type is None:
        return
    if len(row) == KEYED_ROW_LENGTH:
        key_type, entry_type = _find_item_types(field_type)
        key = msgspec.convert(row[1], key_type)
        getattr(state, name)[key] = msgspec.convert(row[2], entry_type)
    else:
        setattr(state, name, msgspec.convert(row[1], field_type))


def _find_item_types(field_type: typing.Any) -> tuple[typing.Any, typing.Any]:
    """Return the types of the keys and entries of a mapping."""
    if typing.get_origin(field_type) is dict:
        key_type, entry_type = typing.get_args(field_type)
        return key_type, entry_type
    table = field_type.__orig_bases__[0]
    return str, typing.get_args(table)[0]


def _restore_settings(state: State) -> None:
    for setting in state.settings.values():
        document = read_document(setting.text, setting.path)
        activate_document(state, setting.path, document)

"""A snapshot: the state as rows, in chunks that fit into records.

A row is ``[field, key, entry]``; a field that is no mapping has one row without
a key.  Rows are written in the order of the mappings, which follows from the
records like the state itself, so every daemon writes the same bytes.  What the
fold depends on is all in the state: the ids of counted records, too.  Settings
objects are left out; they are read again from the texts that are in force.
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
KEYED_ROW_PARTS = 3

_HINTS = typing.get_type_hints(State)
_READ_FROM_TEXT = frozenset(('fleet', 'pools', 'teams'))
_DAMAGED = (
    cbor2.CBORDecodeError,
    KeyError,
    SettingsError,
    TypeError,
    ValueError,
)


class SnapshotEncoder:
    """The state at one offset, read out while the fold goes on.

    ``encode_next_part`` is called until it returns None; each call encodes one
    chunk and adds it to the digest, so that a caller can do other work between.
    """

    __slots__ = ('_content', '_parts', 'digest', 'finished', 'opened')

    def __init__(self, state: State) -> None:
        """Copy the mappings of a state; the entries are shared."""
        ensure(
            _HINTS.keys() == set(State.__slots__),
            'a snapshot holds every field of the state',
        )
        self.opened = state.offset
        self.digest = state.digest
        self.finished = False
        self._content = hashlib.blake2b(digest_size=CONTENT_DIGEST_BYTES)
        self._parts = encode_parts(state.read_fields())

    def encode_next_part(self) -> bytes | None:
        """Return the rows of the next chunk, or None after the last."""
        part = next(self._parts, None)
        if part is None:
            self.finished = True
        else:
            self._content.update(part)
        return part

    def digest_content(self) -> bytes:
        """Return the digest of all rows, encoding those that are left."""
        while not self.finished:
            self.encode_next_part()
        return self._content.digest()


@functools.cache
def find_shape() -> str:
    """Return a digest of the fields and entries that this version keeps."""
    kinds = [_HINTS[name] for name in sorted(_HINTS.keys() - _READ_FROM_TEXT)]
    shape = repr(msgspec.inspect.multi_type_info(kinds)).encode()
    return hashlib.blake2b(shape, digest_size=CONTENT_DIGEST_BYTES).hexdigest()


def digest_parts(parts: Iterable[bytes]) -> bytes:
    """Return the digest of all rows of a snapshot."""
    content = hashlib.blake2b(digest_size=CONTENT_DIGEST_BYTES)
    for part in parts:
        content.update(part)
    return content.digest()


def encode_parts(fields: dict[str, typing.Any]) -> Iterator[bytes]:
    """Yield the rows of a state, joined to parts of about a chunk."""
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
    """Return the body of a chunk."""
    return zlib.compress(part, COMPRESSION_LEVEL)


def decompress_part(body: bytes) -> bytes:
    """Return the rows in the body of a chunk.

    Raises ``JournalError`` for a body that is damaged or too large.
    """
    expander = zlib.decompressobj()
    try:
        part = expander.decompress(body, MAX_CHUNK_BYTES)
    except zlib.error as error:
        raise JournalError(f'a damaged chunk: {error}') from error
    if not expander.eof:
        raise JournalError('a chunk is cut or too large')
    return part


def restore_state(parts: Iterable[bytes]) -> State:
    """Return the state that the parts of a snapshot hold.

    Fields of a newer version are left out; the feature level in the state
    says whether this version may go on from it.
    Raises ``JournalError`` where they don't hold a state of this version.
    """
    state = State()
    try:
        for part in parts:
            _restore_part(state, part)
        _read_texts(state)
    except _DAMAGED as error:
        raise JournalError(f'a damaged snapshot: {error!r}') from error
    return state


def _list_rows(fields: dict[str, typing.Any]) -> Iterator[list[typing.Any]]:
    for name, field in fields.items():
        if name in _READ_FROM_TEXT:
            continue
        if isinstance(field, dict):
            for key, entry in field.items():
                yield [name, key, entry]
        else:
            yield [name, field]


def _restore_part(state: State, part: bytes) -> None:
    source = io.BytesIO(part)
    decoder = cbor2.CBORDecoder(source)
    while source.tell() < len(part):
        _restore_row(state, decoder.decode())


def _restore_row(state: State, row: list[typing.Any]) -> None:
    name = row[0]
    kind = _HINTS.get(name)
    if kind is None:
        return
    if len(row) == KEYED_ROW_PARTS:
        key_kind, entry_kind = _find_kinds(kind)
        key = msgspec.convert(row[1], key_kind)
        getattr(state, name)[key] = msgspec.convert(row[2], entry_kind)
    else:
        setattr(state, name, msgspec.convert(row[1], kind))


def _find_kinds(kind: typing.Any) -> tuple[typing.Any, typing.Any]:
    """Return the types of the keys and entries of a mapping."""
    if typing.get_origin(kind) is dict:
        key_kind, entry_kind = typing.get_args(kind)
        return key_kind, entry_kind
    table = kind.__orig_bases__[0]
    return str, typing.get_args(table)[0]


def _read_texts(state: State) -> None:
    for setting in state.settings.values():
        document = read_document(setting.text, setting.path)
        activate_document(state, setting.path, document)

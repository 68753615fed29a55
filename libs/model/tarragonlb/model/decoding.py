"""Decodes bytes that another program has written.

The libraries raise errors of several families: for malformed text, for text
that is nested too deeply, for numbers with too many digits and for values of
another type.  Readers need one: the bytes can't be used.  What they ignore is
then a single record or response, and never ends the process.

Text that decodes may still hold numbers that no caller can use: an integer that
does not fit into a float, or a float that is no number.  Types of decoded
values say their range with the types below, so that callers may rely on it.

>>> decode_json(b'[1, 2]', list[int])
[1, 2]
>>> decode_json(b'[' * 5000, object)
Traceback (most recent call last):
tarragonlb.model.decoding.DecodingError: nested too deeply
"""

import re
from collections.abc import Iterable
from typing import Annotated, Any, TypeVar

import cbor2
import msgspec

from tarragonlb.model.errors import TarragonError

# The largest integer that every JSON parser reads exactly.
MAX_INTEGER = 2**53 - 1
# All numbers of so many digits are less than that.
MAX_DIGITS = 15
# Some 300,000 years in milliseconds.
MAX_FLOAT = 1e16

Decoded = TypeVar('Decoded')

Integer = Annotated[int, msgspec.Meta(ge=-MAX_INTEGER, le=MAX_INTEGER)]
Count = Annotated[int, msgspec.Meta(ge=0, le=MAX_INTEGER)]
# Infinity and NaN are outside every range.
Number = Annotated[float, msgspec.Meta(ge=-MAX_FLOAT, le=MAX_FLOAT)]
Amount = Annotated[float, msgspec.Meta(ge=0, le=MAX_FLOAT)]
# Fits into a key of the store and into a header of a request.
_NAME_PATTERN = r'[!-~]([ -~]{0,198}[!-~])?'
_NAME = re.compile(_NAME_PATTERN)
Name = Annotated[str, msgspec.Meta(pattern=rf'\A({_NAME_PATTERN})?\Z')]

_FAILURES = (
    ArithmeticError,
    LookupError,
    TypeError,
    ValueError,
    cbor2.CBORError,
    msgspec.MsgspecError,
)


class DecodingError(TarragonError, ValueError):
    """The bytes can't be decoded, or hold values that nobody can use."""


def decode_json(text: bytes, expected: type[Decoded]) -> Decoded:
    """Decode JSON into a value of a type, or raise ``DecodingError``.

    The message names the field, and does not contain the value.
    """
    try:
        return msgspec.json.decode(text, type=expected)
    except RecursionError as error:
        raise DecodingError('nested too deeply') from error
    except _FAILURES as error:
        raise DecodingError(str(error)) from error


def decode_rows(
    rows: Iterable[msgspec.Raw], expected: type[Decoded]
) -> tuple[list[Decoded], list[bytes]]:
    """Return the rows that can be decoded as a type, and the others.

    Each row is one value, as the decoder of JSON gives it.

    >>> decode_rows([msgspec.Raw(b'1'), msgspec.Raw(b'x')], int)
    ([1], [b'x'])
    """
    found = tuple(rows)
    text = b'[%b]' % b','.join(found)
    try:
        # One call for all rows costs less.
        return decode_json(text, list[expected]), []  # type: ignore[valid-type]
    except DecodingError:
        return _decode_each(found, expected)


def _decode_each(
    rows: Iterable[msgspec.Raw], expected: type[Decoded]
) -> tuple[list[Decoded], list[bytes]]:
    decoded: list[Decoded] = []
    invalid: list[bytes] = []
    for row in rows:
        try:
            decoded.append(decode_json(bytes(row), expected))
        except DecodingError:
            invalid.append(bytes(row))
    return decoded, invalid


def decode_cbor(blob: bytes | str) -> Any:
    """Decode one CBOR value of any type, or raise ``DecodingError``.

    A text is no CBOR.
    """
    try:
        return cbor2.loads(blob)  # type: ignore[arg-type]
    except RecursionError as error:
        raise DecodingError('nested too deeply') from error
    except _FAILURES as error:
        raise DecodingError(f'not CBOR: {error}') from error


def parse_count(text: str) -> int:
    """Return the number that a text spells, or raise ``DecodingError``."""
    if len(text) <= MAX_DIGITS and text.isdecimal() and text.isascii():
        return int(text)
    raise DecodingError(f'expected a number of up to {MAX_DIGITS} digits')


def is_name(text: str) -> bool:
    """Return whether a text fits into a key and into a header.

    >>> is_name('i-7f3a91c2'), is_name('i-7f3a91c2 ')
    (True, False)
    """
    return _NAME.fullmatch(text) is not None


def convert(content: Any, expected: type[Decoded]) -> Decoded:
    """Convert a decoded value to a type, or raise ``DecodingError``.

    >>> convert([1, 2], list[Count])
    [1, 2]
    """
    try:
        return msgspec.convert(content, expected)
    except RecursionError as error:
        raise DecodingError('nested too deeply') from error
    except _FAILURES as error:
        raise DecodingError(str(error)) from error

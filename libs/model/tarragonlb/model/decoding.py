"""Decodes text that another program has written.

The parser raises errors of several families: for malformed text, for text that
is nested too deeply, for numbers with too many digits and for values of another
type.  Readers need one: the text can't be used.  What they ignore is then a
single record or response, and never ends the process.

>>> decode_json(b'[1, 2]', list[int])
[1, 2]
>>> decode_json(b'[' * 5000, list[int])
Traceback (most recent call last):
tarragonlb.model.decoding.DecodingError: nested too deeply
"""

from typing import TypeVar

import msgspec

from tarragonlb.model.errors import TarragonError

Decoded = TypeVar('Decoded')


class DecodingError(TarragonError, ValueError):
    """The text can't be decoded, or holds values that nobody can use."""


def decode_json(text: bytes, expected: type[Decoded]) -> Decoded:
    """Decode JSON into a value of a type, or raise ``DecodingError``.

    The message names the field, and does not contain the value.
    """
    try:
        return msgspec.json.decode(text, type=expected)
    except RecursionError as error:
        raise DecodingError('nested too deeply') from error
    except ValueError as error:
        raise DecodingError(str(error)) from error

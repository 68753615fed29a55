"""Fencing tokens, which say in which order a worker's callers were entitled.

A worker does nothing for a call with a lower token than it has seen.  The upper
part of a token is the term of the owner, so a later owner shuts out all former
ones.  The lower part rises within a term, so an owner can also shut out calls
of its own that are still on their way.

>>> tokens = FencingTokens(term=3)
>>> tokens.find_next() - 3 * TOKENS_PER_TERM, tokens.find_next() % 16
(1, 2)
"""

# Together with a term of 21 bits a token is exact as a double, too.
TOKENS_PER_TERM = 1 << 32


class FencingTokens:
    """The tokens of one owner, for its calls to all workers."""

    __slots__ = ('_number', '_term')

    def __init__(self, term: int) -> None:
        """Start below the tokens of all later terms."""
        self._term = term
        self._number = 0

    def find_next(self) -> int:
        """Return a token that is higher than all before."""
        self._number += 1
        return self._term * TOKENS_PER_TERM + self._number

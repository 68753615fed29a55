"""The type of the rules of the fold, and a check that several rules share.

There is a rule for each kind of record.  It returns ``None`` if it accepts a
record and the reason if it rejects it, and changes the state only after all of
its checks.
"""

from collections.abc import Callable
from typing import Any, TypeAlias

from tarragonlb.journal.state import State
from tarragonlb.model.entry import TermEntry

Reason: TypeAlias = str
Rule: TypeAlias = Callable[[State, Any, int], Reason | None]


def check_term(state: State, scope: str, number: int) -> Reason | None:
    """Return why a term is not the current one of a scope, or None."""
    term = state.terms.get(scope, TermEntry(holder='', number=0, offset=0))
    if term.number == number:
        return None
    return (
        f'term {number} of {scope} has ended, '
        f'{term.holder} holds term {term.number}'
    )

"""What a rule of the fold returns when a record doesn't hold.

Rules return ``None`` for a record that counts and a reason for one that is
void.  They change the state only after all their checks.
"""

from collections.abc import Callable
from typing import Any, TypeAlias

from tarragonlb.journal.state import State
from tarragonlb.model.entry import TermEntry

Reason: TypeAlias = str
Rule: TypeAlias = Callable[[State, Any, int], Reason | None]


def check_term(state: State, scope: str, number: int) -> Reason | None:
    """Return why a planner's term does not count, or None if it does."""
    term = state.terms.get(scope, TermEntry(holder='', number=0, offset=0))
    if term.number == number:
        return None
    return (
        f'term {number} of {scope} has ended, '
        f'{term.holder} holds term {term.number}'
    )

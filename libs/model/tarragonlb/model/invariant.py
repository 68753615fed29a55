"""Runtime checks of invariants.

A broken invariant is a bug in the program, never a fault of its input.  The
task that finds one makes no more decisions, as its state may be wrong.
"""

from tarragonlb.model.errors import InvariantError


def ensure(holds: bool, invariant: str, *subjects: object) -> None:
    """Raise ``InvariantError`` unless the invariant holds.

    ``invariant`` states what must be true, and ``subjects`` are the objects
    that it is about.  They are formatted only on failure, to keep checks cheap.

    >>> ensure(1 + 1 == 2, 'sums are right')
    """
    if not holds:
        details = ', '.join(str(subject) for subject in subjects)
        raise InvariantError(f'{invariant}: {details}')

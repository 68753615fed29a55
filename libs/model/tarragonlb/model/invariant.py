"""Checks of promises, made inside the running program.

A broken promise is a fault of the program, never of its input.  The process
that finds one stops deciding rather than go on from a wrong state.
"""

from tarragonlb.model.errors import InvariantError


def ensure(holds: bool, promise: str, *subjects: object) -> None:
    """Raise ``InvariantError`` unless the promise holds.

    ``promise`` names what must be true and ``subjects`` what it is about.
    They are joined only on failure, so that a check costs little.

    >>> ensure(1 + 1 == 2, 'sums are right')
    """
    if not holds:
        details = ', '.join(str(subject) for subject in subjects)
        raise InvariantError(f'{promise}: {details}')

"""Creation of record heads with unique ids."""

from tarragonlb.model.record import Head


class HeadFactory:
    """Creates the heads of the records of one process.

    ``incarnation`` differs for each start of the process, so that an id is
    never used twice.
    """

    __slots__ = ('_author', '_count', '_incarnation')

    def __init__(self, author: str, incarnation: str) -> None:
        """Start numbering at the first record."""
        self._author = author
        self._incarnation = incarnation
        self._count = 0

    @property
    def author(self) -> str:
        """Return the name of the process."""
        return self._author

    @property
    def incarnation(self) -> str:
        """Return the string that identifies this start of the process."""
        return self._incarnation

    def make_head(self, basis: int, now: float, author: str = '') -> Head:
        """Return the head of the next record.

        ``now`` is the wall-clock time in seconds since 1970.  ``author`` names
        the operator or team that the process writes for; if it is empty, the
        process itself is the author.
        """
        self._count += 1
        return Head(
            record_id=f'{self._author}-{self._incarnation}-{self._count}',
            basis=basis,
            author=author or self._author,
            written_at=now,
        )

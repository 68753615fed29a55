"""Makes the heads of records, each with an id of its own."""

from tarragonlb.model.record import Head


class HeadFactory:
    """Numbers the records of one process.

    ``incarnation`` is different for each start of a process, so that ids are
    never used twice.
    """

    __slots__ = ('_author', '_count', '_incarnation')

    def __init__(self, author: str, incarnation: str) -> None:
        """Start to count at the first record."""
        self._author = author
        self._incarnation = incarnation
        self._count = 0

    @property
    def author(self) -> str:
        """Return the name of the process."""
        return self._author

    @property
    def incarnation(self) -> str:
        """Return what tells this start of the process from others."""
        return self._incarnation

    def make_head(self, basis: int, now: float, author: str = '') -> Head:
        """Return the head of the next record.

        ``now`` is the wall-clock time in seconds; ``author`` names whom the
        process writes for, itself where it is empty.
        """
        self._count += 1
        return Head(
            record_id=f'{self._author}-{self._incarnation}-{self._count}',
            basis=basis,
            author=author or self._author,
            written_at=now,
        )

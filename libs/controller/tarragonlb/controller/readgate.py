"""Keeps long reads of a daemon from taking the whole link to the store.

A daemon that has just started reads all partitions, and one that was cut off
catches up with them.  If it read all of them at once over a narrow link, each
read would take as long as all together, and other calls would time out behind
them.  So few long reads pass at a time, and none begins while an owner reads
the records of its own partition, without which its pools stand still.
"""

from collections.abc import AsyncGenerator, Callable
from contextlib import asynccontextmanager

import trio

# Two reads use a link well: one is sent while the other is decoded.
MAX_LONG_READS = 2


class ReadGate:
    """Admits long reads of partitions; those of owners never wait."""

    __slots__ = ('_changed', '_followers', '_owners')

    def __init__(self) -> None:
        """Start without reads."""
        self._changed = trio.Event()
        self._followers: set[object] = set()
        self._owners: set[object] = set()

    @asynccontextmanager
    async def enter(self, is_owner: Callable[[], bool]) -> AsyncGenerator[None]:
        """Wait for admission; the read counts until the block ends.

        ``is_owner`` returns whether the partition is owned by now.  Whoever
        changes that calls ``notify``.
        """
        while not (is_owner() or self._may_follow()):
            await self._changed.wait()
        readers = self._owners if is_owner() else self._followers
        reader = object()
        readers.add(reader)
        try:
            yield
        finally:
            readers.discard(reader)
            self.notify()

    def notify(self) -> None:
        """Let reads that wait look again whether they may begin."""
        self._changed.set()
        self._changed = trio.Event()

    def _may_follow(self) -> bool:
        return not self._owners and len(self._followers) < MAX_LONG_READS

"""The stages in which a server stops, from the signal to its end.

A client can't see that a server is about to end, and whether a request that it
sends while its connection is closed was read.  So a server that stops first
says with each response that it is the last of its connection.  Later it rejects
requests that begin, then it answers those in progress, whether they are done or
not, and only then it closes what is left.

>>> stop = ServerStop()
>>> stop.stage.name
'SERVING'
"""

import enum

import trio


class Stage(enum.IntEnum):
    """What a server does about the requests that it reads."""

    SERVING = 0
    # A response is the last of its connection, unless more was sent already.
    ANNOUNCING = 1
    # Requests that begin are rejected and not passed to the application.
    REJECTING = 2
    # Requests that the application has not answered yet are answered for it.
    CONCLUDING = 3


class ServerStop:
    """Tells a server when it has to end, and its connections the stage.

    Times are those of ``trio.current_time()``, in seconds.
    """

    __slots__ = ('_ends_at', '_moved', 'stage')

    def __init__(self) -> None:
        """Serve until ``begin`` is called."""
        self.stage = Stage.SERVING
        self._ends_at: float | None = None
        self._moved = trio.Event()

    def begin(self, ends_at: float) -> None:
        """Stop so that all connections have ended at a time.

        A later call moves the end.
        """
        self.stage = max(self.stage, Stage.ANNOUNCING)
        self._ends_at = ends_at
        self._moved.set()
        self._moved = trio.Event()

    async def wait(self) -> float:
        """Return when the server has to end, as soon as it stops."""
        while self._ends_at is None:
            await self._moved.wait()
        return self._ends_at

    async def wait_before_end(self, seconds: float) -> float:
        """Return the end ``seconds`` before it, or as soon as that is over."""
        ends_at = await self.wait()
        while ends_at - seconds > trio.current_time():
            with trio.move_on_at(ends_at - seconds):
                await self._moved.wait()
            ends_at = await self.wait()
        return ends_at

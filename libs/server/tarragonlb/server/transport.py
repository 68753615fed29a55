"""The bytes of one connection, read and written in whole turns.

What a client has sent is either unread or handled, and the last response
leaves together with the end of the connection.
"""

import contextlib
import os
import select
import socket

import trio

from tarragonlb.server.meter import CONNECTION_METER, ConnectionEvent

MAX_RECEIVE_BYTES = 8192
# A client that takes less than this within ``write_seconds`` is too slow.
WRITE_BYTES = 16_384
# The client has closed or reset the connection.
GONE_ERRORS = (trio.BrokenResourceError, trio.ClosedResourceError)


class Transport:
    """Writes to a client until it has gone or takes too long."""

    __slots__ = ('_lock', '_seconds', 'is_broken', 'stream')

    def __init__(
        self, stream: trio.abc.HalfCloseableStream, seconds: float
    ) -> None:
        """Give the client ``seconds`` to take each part."""
        self.stream = stream
        self.is_broken = False
        self._seconds = seconds
        self._lock = trio.Lock()

    def has_unread(self) -> bool:
        """Return whether bytes of the client, or its end, wait to be read."""
        if not isinstance(self.stream, trio.SocketStream):
            return False
        descriptor = self.stream.socket.fileno()
        if descriptor < 0:
            return False
        poll = select.poll()
        poll.register(descriptor, select.POLLIN)
        return bool(poll.poll(0))

    async def write(self, content: bytes) -> None:
        """Write all bytes unless the client has gone.

        A write that was cancelled may have sent a part, so nothing may
        follow.
        """
        try:
            self._lock.acquire_nowait()
        except trio.WouldBlock:
            await self._lock.acquire()
        is_complete = False
        try:
            is_complete = await self._write_parts(content)
        finally:
            self._lock.release()
            self.is_broken = self.is_broken or not is_complete

    async def receive(self) -> bytes:
        """Return the next bytes of the client, none after its end.

        They are read by the turn that handles them: until then ``has_unread``
        tells of them, which a receiving method of trio would not allow.
        """
        stream = self.stream
        if not isinstance(stream, trio.SocketStream):
            return bytes(await stream.receive_some(MAX_RECEIVE_BYTES))
        while True:
            await trio.lowlevel.wait_readable(stream.socket)
            try:
                return os.read(stream.socket.fileno(), MAX_RECEIVE_BYTES)
            except BlockingIOError:
                continue
            except OSError as error:
                raise trio.BrokenResourceError from error

    async def write_last(self, content: bytes) -> None:
        """Write all bytes and end our side of the stream behind them.

        If possible no other task runs in between, so that a client learns at
        once whether what it sends meanwhile is read.
        """
        sent = 0
        if isinstance(self.stream, trio.SocketStream) and not self.is_broken:
            with contextlib.suppress(OSError):
                sent = os.write(self.stream.socket.fileno(), content)
                if sent == len(content):
                    self.stream.socket.shutdown(socket.SHUT_WR)
        if sent < len(content):
            await self.write(content[sent:])

    async def end(self, seconds: float) -> None:
        """Let the client read what was written before the stream closes.

        Closing while bytes are unread would reset the connection, and the
        client could lose the response.
        """
        with trio.move_on_after(seconds):
            async with self._lock:
                self.is_broken = True
            try:
                await self.stream.send_eof()
                await self._drain()
            except GONE_ERRORS:
                return

    async def _drain(self) -> None:
        size = 1
        while size:
            # A name for the bytes would keep them during the next wait.
            size = len(await self.stream.receive_some(MAX_RECEIVE_BYTES))

    async def _write_parts(self, content: bytes) -> bool:
        if self.is_broken:
            return False
        for start in range(0, len(content), WRITE_BYTES):
            part = content[start : start + WRITE_BYTES]
            with trio.move_on_after(self._seconds) as limit:
                try:
                    await self.stream.send_all(part)
                except GONE_ERRORS:
                    return False
            if limit.cancelled_caught:
                CONNECTION_METER.count(ConnectionEvent.SLOW_READER)
                return False
        return True

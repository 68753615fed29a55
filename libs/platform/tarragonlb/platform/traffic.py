"""Counts the bytes that this process exchanges with the platform.

The users allow 2 KB per second of control traffic; the counters let a daemon
report its share.  TCP and IP headers are not counted.
"""

import ssl
from collections.abc import Iterable
from typing import Any

import httpcore


class TrafficCounter:
    """Bytes sent and received since the start of the process."""

    __slots__ = ('received', 'sent')

    def __init__(self) -> None:
        """Start both counters at 0."""
        self.received = 0
        self.sent = 0


class MeteredStream(httpcore.AsyncNetworkStream):
    """A network stream that counts its bytes."""

    def __init__(
        self, inner: httpcore.AsyncNetworkStream, traffic: TrafficCounter
    ) -> None:
        """Wrap ``inner`` and add its bytes to ``traffic``."""
        self._inner = inner
        self._traffic = traffic

    async def read(self, max_bytes: int, timeout: float | None = None) -> bytes:
        """Return at most ``max_bytes`` bytes."""
        chunk = await self._inner.read(max_bytes, timeout)
        self._traffic.received += len(chunk)
        return chunk

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:
        """Send the bytes of ``buffer``."""
        self._traffic.sent += len(buffer)
        await self._inner.write(buffer, timeout)

    async def aclose(self) -> None:
        """Close the connection."""
        await self._inner.aclose()

    async def start_tls(
        self,
        ssl_context: ssl.SSLContext,
        server_hostname: str | None = None,
        timeout: float | None = None,
    ) -> httpcore.AsyncNetworkStream:
        """Start TLS; bytes sent over the TLS stream are not counted."""
        return await self._inner.start_tls(
            ssl_context, server_hostname, timeout
        )

    def get_extra_info(self, info: str) -> Any:
        """Return a property of the underlying stream."""
        return self._inner.get_extra_info(info)


class MeteredBackend(httpcore.AsyncNetworkBackend):
    """Opens connections that count their bytes in one counter."""

    def __init__(self, traffic: TrafficCounter) -> None:
        """Add the bytes of all connections to ``traffic``."""
        self._inner = httpcore.TrioBackend()
        self._traffic = traffic

    async def connect_tcp(
        self,
        host: str,
        port: int,
        timeout: float | None = None,
        local_address: str | None = None,
        socket_options: Iterable[Any] | None = None,
    ) -> httpcore.AsyncNetworkStream:
        """Open a metered TCP connection."""
        stream = await self._inner.connect_tcp(
            host, port, timeout, local_address, socket_options
        )
        return MeteredStream(stream, self._traffic)

    async def sleep(self, seconds: float) -> None:
        """Sleep before a connection attempt is repeated."""
        await self._inner.sleep(seconds)

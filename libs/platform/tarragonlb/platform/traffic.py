"""Counts the bytes that this process exchanges with the platform.

The users allow 2 KB a second for control, so a daemon knows what it spends.
What TCP and IP add is not counted.
"""

import ssl
from collections.abc import Iterable
from typing import Any

import httpcore


class TrafficCounter:
    """Bytes since the start of the process."""

    __slots__ = ('received', 'sent')

    def __init__(self) -> None:
        """Start at nothing."""
        self.received = 0
        self.sent = 0


class MeteredStream(httpcore.AsyncNetworkStream):
    """A connection whose bytes are counted."""

    def __init__(
        self, inner: httpcore.AsyncNetworkStream, traffic: TrafficCounter
    ) -> None:
        """Count what goes through ``inner``."""
        self._inner = inner
        self._traffic = traffic

    async def read(self, max_bytes: int, timeout: float | None = None) -> bytes:
        """Return the next bytes."""
        chunk = await self._inner.read(max_bytes, timeout)
        self._traffic.received += len(chunk)
        return chunk

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:
        """Send bytes."""
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
        """Go on under TLS; the bytes under TLS are not counted."""
        return await self._inner.start_tls(
            ssl_context, server_hostname, timeout
        )

    def get_extra_info(self, info: str) -> Any:
        """Return what the connection knows of itself."""
        return self._inner.get_extra_info(info)


class MeteredBackend(httpcore.AsyncNetworkBackend):
    """Opens connections whose bytes are counted together."""

    def __init__(self, traffic: TrafficCounter) -> None:
        """Count into ``traffic``."""
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
        """Open a connection."""
        stream = await self._inner.connect_tcp(
            host, port, timeout, local_address, socket_options
        )
        return MeteredStream(stream, self._traffic)

    async def sleep(self, seconds: float) -> None:
        """Wait before a connection is tried again."""
        await self._inner.sleep(seconds)

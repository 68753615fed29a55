"""The HTTP server of the daemon."""

import trio

from tarragonlb.daemon.application import Application
from tarragonlb.server.httpserver import serve_http
from tarragonlb.server.settings import ServerSettings, read_descriptor_limit
from tarragonlb.server.stop import ServerStop
from tarragonlb.settings.startup import DaemonSettings

# About 50 MB of memory.
MAX_CONNECTIONS = 4000
# Time for closing the connections, with requests that have just begun.
CLOSE_SECONDS = 1.5


class Server:
    """Serves the application on the configured address until it is closed."""

    __slots__ = ('_application', '_settings', '_stop')

    def __init__(
        self, application: Application, settings: DaemonSettings
    ) -> None:
        """Serve ``application`` once it runs."""
        self._application = application
        self._settings = settings
        self._stop = ServerStop()

    async def run(self) -> None:
        """Serve until ``close`` is called."""
        await serve_http(
            self._application,
            [self._settings.listen],
            ServerSettings(max_connections=choose_max_connections()),
            self._stop,
        )

    def announce_end(self, latest: float) -> None:
        """Let connections end with their next responses.

        ``close`` is called at ``latest``, a time of ``trio.current_time()``.
        """
        self._stop.begin(latest + CLOSE_SECONDS)

    async def close(self) -> None:
        """Answer what has been read and close all connections."""
        self._stop.begin(trio.current_time() + CLOSE_SECONDS)
        await trio.sleep(CLOSE_SECONDS)


def choose_max_connections() -> int:
    """Return how many connections of callers may be open.

    As many descriptors are left for connections to endpoints and peers.
    """
    return min(read_descriptor_limit() // 2, MAX_CONNECTIONS)

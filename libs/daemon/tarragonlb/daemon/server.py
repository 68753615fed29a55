"""The HTTP server of the daemon."""

import trio

from tarragonlb.daemon.application import Application
from tarragonlb.server import httpserver
from tarragonlb.server.settings import ServerSettings, read_descriptor_limit
from tarragonlb.settings.startup import DaemonSettings

# About 50 MB of memory.
MAX_CONNECTIONS = 4000


async def serve_http(
    application: Application, settings: DaemonSettings, stopped: trio.Event
) -> None:
    """Serve on the configured address until ``stopped`` is set."""
    server_settings = ServerSettings(
        max_connections=choose_max_connections(),
        stop_seconds=settings.stop_limit_seconds,
    )
    await httpserver.serve_http(
        application, [settings.listen], server_settings, stopped
    )


def choose_max_connections() -> int:
    """Return how many connections of callers may be open.

    As many descriptors are left for connections to endpoints and peers.
    """
    return min(read_descriptor_limit() // 2, MAX_CONNECTIONS)

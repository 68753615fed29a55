"""The HTTP server of the daemon."""

import hypercorn
import trio
from hypercorn.trio import serve

from tarragonlb.daemon.application import Application
from tarragonlb.settings.startup import DaemonSettings

KEEP_ALIVE_SECONDS = 30


async def serve_http(
    application: Application, settings: DaemonSettings, stopped: trio.Event
) -> None:
    """Serve on the configured address until ``stopped`` is set."""
    config = hypercorn.Config()
    config.bind = [settings.listen]
    config.graceful_timeout = settings.stop_limit_seconds
    config.keep_alive_timeout = KEEP_ALIVE_SECONDS
    config.accesslog = None
    config.errorlog = None
    await serve(application, config, shutdown_trigger=stopped.wait, mode='asgi')

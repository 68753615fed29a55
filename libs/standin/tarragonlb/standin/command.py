"""Command ``tarragonlb-standin``: serves the platform or endpoint stand-ins."""

from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import cyclopts
import hypercorn
import trio
from hypercorn.trio import serve

from tarragonlb.settings.reader import read_settings
from tarragonlb.standin.endpointapp import EndpointStandin
from tarragonlb.standin.fleetfile import FleetFile, list_readings
from tarragonlb.standin.platformapp import PlatformStandin

application = cyclopts.App(
    name='tarragonlb-standin',
    help='Serve stand-ins for the platform and its endpoints.',
)


@application.command
def platform(fleet: Path, listen: str) -> None:
    """Serve the platform of a fleet file on ``listen``, an ip:port."""
    trio.run(_serve_platform, _read_fleet(fleet), listen)


@application.command
def endpoints(fleet: Path) -> None:
    """Serve all endpoints of a fleet file on their addresses."""
    trio.run(_serve_endpoints, _read_fleet(fleet))


def main() -> None:
    """Run the command with the command-line arguments."""
    application()


def _read_fleet(path: Path) -> FleetFile:
    return read_settings(path.read_text(), str(path), FleetFile)


async def _serve_platform(fleet: FleetFile, listen: str) -> None:
    standin = PlatformStandin(
        list_readings(fleet),
        fleet.retention_records,
        fleet.lag_seconds,
    )
    async with trio.open_nursery() as nursery:
        nursery.start_soon(standin.run)
        nursery.start_soon(_serve, standin.make_application(), fleet, listen)


async def _serve_endpoints(fleet: FleetFile) -> None:
    async with trio.open_nursery() as nursery:
        for vm in fleet.vms:
            if vm.address:
                standin = EndpointStandin(vm.vm_id, fleet.slots)
                endpoint_app = standin.make_application()
                nursery.start_soon(_serve, endpoint_app, fleet, vm.address)


async def _serve(asgi_app: Any, fleet: FleetFile, listen: str) -> None:
    port = listen.partition(':')[2]
    config = hypercorn.Config()
    config.bind = [f'{host}:{port}' for host in fleet.hosts]
    config.accesslog = None
    config.errorlog = None
    never: Callable[..., Awaitable[None]] = trio.sleep_forever
    await serve(asgi_app, config, shutdown_trigger=never, mode='asgi')

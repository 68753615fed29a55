"""The command ``tarragonlb-standin``: serves a platform or its endpoints."""

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
    name='tarragonlb-standin', help='Stand in for the platform.'
)


@application.command
def platform(fleet: Path, listen: str) -> None:
    """Serve the platform of a fleet file on ``listen``, an ip:port."""
    trio.run(_serve_platform, _read(fleet), listen)


@application.command
def endpoints(fleet: Path) -> None:
    """Serve all endpoints of a fleet file on their addresses."""
    trio.run(_serve_endpoints, _read(fleet))


def main() -> None:
    """Run the command with the arguments of this process."""
    application()


def _read(path: Path) -> FleetFile:
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
                served = standin.make_application()
                nursery.start_soon(_serve, served, fleet, vm.address)


async def _serve(served: Any, fleet: FleetFile, listen: str) -> None:
    port = listen.partition(':')[2]
    config = hypercorn.Config()
    config.bind = [f'{host}:{port}' for host in fleet.hosts]
    config.accesslog = None
    config.errorlog = None
    forever: Callable[..., Awaitable[None]] = trio.sleep_forever
    await serve(served, config, shutdown_trigger=forever, mode='asgi')

"""What an idle daemon spends at three sizes of the fleet.

One installation on loopback: a platform stand-in with so many VMs and three
daemons.  The figures are taken once every VM is known to the fold.
"""

import functools
import tempfile
import time
from dataclasses import dataclass
from pathlib import Path

import psutil

from tarragonlb.standin.apiclient import ApiClient, poll
from tarragonlb.standin.cluster import (
    OPERATOR_TOKEN,
    Cluster,
    list_listen_hosts,
)
from tarragonlb.standin.fleetfile import FleetFile, VmGroup

ADOPTION_SECONDS = 240
SETTLE_SECONDS = 5
WINDOW_SECONDS = 20
MEGABYTE = 1 << 20
PERCENT = 100


@dataclass(frozen=True, slots=True, kw_only=True)
class DaemonFigure:
    """What one daemon spends; ``planner`` marks the term's holder.

    Traffic is with the platform, both ways, in bytes a second.
    """

    vms: int
    planner: bool
    core_percent: float
    resident_mb: int
    traffic: int
    adoption_seconds: float


def measure_daemons(vms: int) -> list[DaemonFigure]:
    """Return a figure for each of three daemons over so many VMs."""
    with tempfile.TemporaryDirectory() as folder:
        fleet = FleetFile(
            groups=(VmGroup(count=vms),),
            hosts=list_listen_hosts(),
            retention_records=vms * 4,
        )
        cluster = Cluster(Path(folder), fleet)
        try:
            return _measure(cluster, vms)
        finally:
            cluster.stop()


def _measure(cluster: Cluster, vms: int) -> list[DaemonFigure]:
    started = time.monotonic()
    cluster.start()
    _wait_adopted(cluster, vms)
    adopted = time.monotonic() - started
    time.sleep(SETTLE_SECONDS)
    return _watch(cluster, vms, adopted)


def _wait_adopted(cluster: Cluster, vms: int) -> None:
    for address in cluster.addresses.values():
        client = ApiClient(address, OPERATOR_TOKEN)
        poll(functools.partial(_knows, client, vms), ADOPTION_SECONDS)


def _knows(client: ApiClient, vms: int) -> bool:
    return bool(client.get('/v1/status').fields['vms'] == vms)


def _watch(cluster: Cluster, vms: int, adopted: float) -> list[DaemonFigure]:
    planner = _find_planner(cluster)
    watched = {
        name: psutil.Process(cluster.get_pid(name))
        for name in cluster.addresses
    }
    before = {name: _read_seconds(one) for name, one in watched.items()}
    bytes_before = {name: _read_bytes(cluster, name) for name in watched}
    time.sleep(WINDOW_SECONDS)
    return [
        DaemonFigure(
            vms=vms,
            planner=name == planner,
            core_percent=round(
                (_read_seconds(one) - before[name]) / WINDOW_SECONDS * PERCENT,
                2,
            ),
            traffic=round(
                (_read_bytes(cluster, name) - bytes_before[name])
                / WINDOW_SECONDS
            ),
            resident_mb=one.memory_info().rss // MEGABYTE,
            adoption_seconds=round(adopted, 1),
        )
        for name, one in watched.items()
    ]


def _find_planner(cluster: Cluster) -> str:
    address = next(iter(cluster.addresses.values()))
    status = ApiClient(address, OPERATOR_TOKEN).get('/v1/status')
    return str(status.fields['planner'])


def _read_seconds(one: psutil.Process) -> float:
    times = one.cpu_times()
    return float(times.user + times.system)


def _read_bytes(cluster: Cluster, name: str) -> int:
    client = ApiClient(cluster.addresses[name], OPERATOR_TOKEN)
    fields = client.get('/v1/traffic').fields
    return int(fields['sent'] + fields['received'])

"""Measures the resources that idle daemons use at three fleet sizes.

A platform stand-in and three daemons run on loopback.  The measurement begins
after every daemon has adopted all VMs.
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
MEASURED_SECONDS = 20
BYTES_PER_MEGABYTE = 1 << 20
PERCENT = 100


@dataclass(frozen=True, slots=True, kw_only=True)
class DaemonFigure:
    """Resources that one daemon uses; ``planner`` marks the term's holder.

    ``traffic`` is the traffic with the platform in both directions, in bytes
    per second.
    """

    vms: int
    planner: bool
    core_percent: float
    resident_mb: int
    traffic: int
    adoption_seconds: float


def measure_daemons(vms: int) -> list[DaemonFigure]:
    """Measure each of three daemons on a fleet of ``vms`` VMs."""
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
    return _measure_window(cluster, vms, adopted)


def _wait_adopted(cluster: Cluster, vms: int) -> None:
    for address in cluster.addresses.values():
        client = ApiClient(address, OPERATOR_TOKEN)
        poll(functools.partial(_has_all_vms, client, vms), ADOPTION_SECONDS)


def _has_all_vms(client: ApiClient, vms: int) -> bool:
    return bool(client.get('/v1/status').fields['vms'] == vms)


def _measure_window(
    cluster: Cluster, vms: int, adopted: float
) -> list[DaemonFigure]:
    planner = _find_planner(cluster)
    processes = {
        name: psutil.Process(cluster.get_pid(name))
        for name in cluster.addresses
    }
    cpu_before = {
        name: _read_cpu_seconds(process) for name, process in processes.items()
    }
    bytes_before = {
        name: _read_traffic_bytes(cluster, name) for name in processes
    }
    time.sleep(MEASURED_SECONDS)
    return [
        DaemonFigure(
            vms=vms,
            planner=name == planner,
            core_percent=round(
                (_read_cpu_seconds(process) - cpu_before[name])
                / MEASURED_SECONDS
                * PERCENT,
                2,
            ),
            traffic=round(
                (_read_traffic_bytes(cluster, name) - bytes_before[name])
                / MEASURED_SECONDS
            ),
            resident_mb=process.memory_info().rss // BYTES_PER_MEGABYTE,
            adoption_seconds=round(adopted, 1),
        )
        for name, process in processes.items()
    ]


def _find_planner(cluster: Cluster) -> str:
    address = next(iter(cluster.addresses.values()))
    status = ApiClient(address, OPERATOR_TOKEN).get('/v1/status')
    return str(status.fields['planner'])


def _read_cpu_seconds(process: psutil.Process) -> float:
    times = process.cpu_times()
    return float(times.user + times.system)


def _read_traffic_bytes(cluster: Cluster, name: str) -> int:
    client = ApiClient(cluster.addresses[name], OPERATOR_TOKEN)
    fields = client.get('/v1/traffic').fields
    return int(fields['sent'] + fields['received'])

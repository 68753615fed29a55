"""What goes wrong in a trial: faults that inject, last, and repair."""

import abc
import signal
from types import MappingProxyType

from tarragonlb.standin.cluster import Cluster, get_entry_zone, get_zone_host
from tarragonlb.standin.fault import (
    EndpointFaults,
    EndpointMode,
    PlatformFaults,
)
from tarragonlb.standin.fleetfile import list_racks

SLOW_SECONDS = 1
LOST_ANSWERS = 20
FAULTY_ENDPOINTS = 3


class FaultInjection(abc.ABC):
    """A fault; ``duration_seconds`` is how long it lasts.

    The victim is the entry VM that plans when the fault begins.
    """

    duration_seconds: float = 9

    @abc.abstractmethod
    def inject(self, cluster: Cluster, victim: str) -> None:
        """Let the fault inject."""

    @abc.abstractmethod
    def repair(self, cluster: Cluster, victim: str) -> None:
        """Repair what can be repaired."""


class ProcessKill(FaultInjection):
    """A process ends without notice and is started again."""

    def inject(self, cluster: Cluster, victim: str) -> None:
        """ProcessKill the victim."""
        cluster.send_signal(victim, signal.SIGKILL)
        cluster.wait_for_exit(victim)

    def repair(self, cluster: Cluster, victim: str) -> None:
        """Start the victim again."""
        cluster.start_daemon(victim)


class ProcessPause(FaultInjection):
    """A process is paused, and wakes late."""

    def inject(self, cluster: Cluster, victim: str) -> None:
        """Pause the victim."""
        cluster.pause(victim)

    def repair(self, cluster: Cluster, victim: str) -> None:
        """Wake the victim."""
        cluster.send_signal(victim, signal.SIGCONT)


class ZoneIsolation(FaultInjection):
    """A zone is unreachable_hosts off from the platform and from other zones' endpoints."""

    def inject(self, cluster: Cluster, victim: str) -> None:
        """Cut off the zone of the victim."""
        zone = get_entry_zone(victim)
        hosts = (get_zone_host(zone),)
        zone_hosts = tuple(host for host in cluster.fleet.hosts[1:])
        racks = list_racks(cluster.fleet, zone)
        cluster.set_faults(PlatformFaults(cut_hosts=hosts, gone_racks=racks))
        for vm in cluster.fleet.vms:
            is_remote = vm.zone != zone
            unreachable_hosts = (
                hosts if is_remote else tuple(set(zone_hosts) - set(hosts))
            )
            faults = EndpointFaults(cut_hosts=unreachable_hosts)
            cluster.set_endpoint_faults(vm.address or '', faults)

    def repair(self, cluster: Cluster, victim: str) -> None:
        """Join the zone again."""
        for vm in cluster.fleet.vms:
            cluster.set_endpoint_faults(vm.address or '', EndpointFaults())
        cluster.set_faults(PlatformFaults())


class PlatformFault(FaultInjection):
    """The platform's service misbehaves for a time."""

    def __init__(self, faults: PlatformFaults) -> None:
        """Hold the faults to switch on."""
        self._faults = faults

    def inject(self, cluster: Cluster, victim: str) -> None:
        """Switch the faults on."""
        cluster.set_faults(self._faults)

    def repair(self, cluster: Cluster, victim: str) -> None:
        """Switch all faults off."""
        cluster.set_faults(PlatformFaults())


class RackFailure(FaultInjection):
    """The VMs of one rack are lost, beside those of the wave."""

    def inject(self, cluster: Cluster, victim: str) -> None:
        """Lose the rack of the victim's zone."""
        racks = list_racks(cluster.fleet, get_entry_zone(victim))
        cluster.set_faults(PlatformFaults(gone_racks=racks))

    def repair(self, cluster: Cluster, victim: str) -> None:
        """Bring the rack back."""
        cluster.set_faults(PlatformFaults())


class EndpointFault(FaultInjection):
    """One endpoint of each zone misbehaves."""

    duration_seconds = 6

    def __init__(self, mode: EndpointMode) -> None:
        """Hold the mode to switch on."""
        self._mode = mode

    def inject(self, cluster: Cluster, victim: str) -> None:
        """Switch the mode on."""
        self._set_faults(cluster, EndpointFaults(mode=self._mode))

    def repair(self, cluster: Cluster, victim: str) -> None:
        """Make the endpoint healthy again."""
        self._set_faults(cluster, EndpointFaults())

    def _set_faults(self, cluster: Cluster, faults: EndpointFaults) -> None:
        for vm in cluster.fleet.vms[-FAULTY_ENDPOINTS:]:
            cluster.set_endpoint_faults(vm.address or '', faults)


class NoFault(FaultInjection):
    """Nothing goes wrong; operators may race."""

    duration_seconds = 3

    def inject(self, cluster: Cluster, victim: str) -> None:
        """Do nothing."""

    def repair(self, cluster: Cluster, victim: str) -> None:
        """Do nothing."""


FAULT_INJECTIONS: MappingProxyType[str, FaultInjection] = MappingProxyType(
    {
        'kill': ProcessKill(),
        'freeze': ProcessPause(),
        'zone unreachable_hosts': ZoneIsolation(),
        'log outage': PlatformFault(PlatformFaults(log_down=True)),
        'slow platform': PlatformFault(
            PlatformFaults(slow_seconds=SLOW_SECONDS)
        ),
        'lost answers': PlatformFault(
            PlatformFaults(lose_answers=LOST_ANSWERS)
        ),
        'racing operators': NoFault(),
        'rack failure': RackFailure(),
        'mute endpoint': EndpointFault(EndpointMode.MUTE),
        'silent endpoint': EndpointFault(EndpointMode.SILENT),
        'failing endpoint': EndpointFault(EndpointMode.FAILING),
        'truncating endpoint': EndpointFault(EndpointMode.TRUNCATING),
    }
)

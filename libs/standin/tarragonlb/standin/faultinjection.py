"""Faults that a trial injects and later repairs."""

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
LOST_RESPONSES = 20
FAULTY_ENDPOINT_COUNT = 3


class FaultInjection(abc.ABC):
    """A kind of fault that lasts for ``duration_seconds``.

    The victim is the entry VM that is the planner when the fault begins.
    """

    duration_seconds: float = 9

    @abc.abstractmethod
    def inject(self, cluster: Cluster, victim: str) -> None:
        """Start the fault."""

    @abc.abstractmethod
    def repair(self, cluster: Cluster, victim: str) -> None:
        """Remove the fault."""


class ProcessKill(FaultInjection):
    """A daemon is killed with SIGKILL and started again."""

    def inject(self, cluster: Cluster, victim: str) -> None:
        """Kill the victim."""
        cluster.send_signal(victim, signal.SIGKILL)
        cluster.wait_for_exit(victim)

    def repair(self, cluster: Cluster, victim: str) -> None:
        """Start the victim again."""
        cluster.start_daemon(victim)


class ProcessPause(FaultInjection):
    """A daemon is paused and resumed later."""

    def inject(self, cluster: Cluster, victim: str) -> None:
        """Pause the victim."""
        cluster.pause(victim)

    def repair(self, cluster: Cluster, victim: str) -> None:
        """Resume the victim."""
        cluster.send_signal(victim, signal.SIGCONT)


class ZoneIsolation(FaultInjection):
    """A zone loses the platform and the endpoints of other zones.

    The other zones cannot reach its endpoints, and its racks disappear from
    the platform.
    """

    def inject(self, cluster: Cluster, victim: str) -> None:
        """Isolate the zone of the victim."""
        zone = get_entry_zone(victim)
        hosts = (get_zone_host(zone),)
        zone_hosts = tuple(host for host in cluster.fleet.hosts[1:])
        racks = list_racks(cluster.fleet, zone)
        cluster.set_faults(PlatformFaults(cut_hosts=hosts, gone_racks=racks))
        for vm in cluster.fleet.vms:
            is_remote = vm.zone != zone
            blocked_hosts = (
                hosts if is_remote else tuple(set(zone_hosts) - set(hosts))
            )
            faults = EndpointFaults(cut_hosts=blocked_hosts)
            cluster.set_endpoint_faults(vm.address or '', faults)

    def repair(self, cluster: Cluster, victim: str) -> None:
        """Reconnect the zone."""
        for vm in cluster.fleet.vms:
            cluster.set_endpoint_faults(vm.address or '', EndpointFaults())
        cluster.set_faults(PlatformFaults())


class PlatformFault(FaultInjection):
    """The platform stand-in runs with the given faults."""

    def __init__(self, faults: PlatformFaults) -> None:
        """Store the faults to inject."""
        self._faults = faults

    def inject(self, cluster: Cluster, victim: str) -> None:
        """Enable the faults."""
        cluster.set_faults(self._faults)

    def repair(self, cluster: Cluster, victim: str) -> None:
        """Disable all faults."""
        cluster.set_faults(PlatformFaults())


class RackFailure(FaultInjection):
    """The VMs of one rack fail, in addition to those that the wave drains."""

    def inject(self, cluster: Cluster, victim: str) -> None:
        """Fail the rack of the victim's zone."""
        racks = list_racks(cluster.fleet, get_entry_zone(victim))
        cluster.set_faults(PlatformFaults(gone_racks=racks))

    def repair(self, cluster: Cluster, victim: str) -> None:
        """Restore the rack."""
        cluster.set_faults(PlatformFaults())


class EndpointFault(FaultInjection):
    """One endpoint in each zone runs in a faulty mode."""

    duration_seconds = 6

    def __init__(self, mode: EndpointMode) -> None:
        """Store the faulty mode."""
        self._mode = mode

    def inject(self, cluster: Cluster, victim: str) -> None:
        """Enable the mode."""
        self._set_faults(cluster, EndpointFaults(mode=self._mode))

    def repair(self, cluster: Cluster, victim: str) -> None:
        """Make the endpoints healthy again."""
        self._set_faults(cluster, EndpointFaults())

    def _set_faults(self, cluster: Cluster, faults: EndpointFaults) -> None:
        for vm in cluster.fleet.vms[-FAULTY_ENDPOINT_COUNT:]:
            cluster.set_endpoint_faults(vm.address or '', faults)


class NoFault(FaultInjection):
    """No fault; used for trials in which operators race."""

    duration_seconds = 3

    def inject(self, cluster: Cluster, victim: str) -> None:
        """Do nothing."""

    def repair(self, cluster: Cluster, victim: str) -> None:
        """Do nothing."""


FAULT_INJECTIONS: MappingProxyType[str, FaultInjection] = MappingProxyType(
    {
        'kill': ProcessKill(),
        'freeze': ProcessPause(),
        'zone cut': ZoneIsolation(),
        'log outage': PlatformFault(PlatformFaults(log_down=True)),
        'slow platform': PlatformFault(
            PlatformFaults(slow_seconds=SLOW_SECONDS)
        ),
        'lost answers': PlatformFault(
            PlatformFaults(lose_answers=LOST_RESPONSES)
        ),
        'racing operators': NoFault(),
        'rack failure': RackFailure(),
        'mute endpoint': EndpointFault(EndpointMode.MUTE),
        'silent endpoint': EndpointFault(EndpointMode.SILENT),
        'failing endpoint': EndpointFault(EndpointMode.FAILING),
        'truncating endpoint': EndpointFault(EndpointMode.TRUNCATING),
    }
)

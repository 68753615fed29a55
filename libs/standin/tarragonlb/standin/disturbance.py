"""What goes wrong in a trial: faults that begin, last, and end."""

import abc
import signal
from types import MappingProxyType

from tarragonlb.standin.cluster import Cluster, find_host, find_zone
from tarragonlb.standin.fault import EndpointFaults, EndpointMode, Faults
from tarragonlb.standin.fleetfile import list_racks

SLOW_SECONDS = 1
LOST_ANSWERS = 20
FAULTY_ENDPOINTS = 3


class Disturbance(abc.ABC):
    """A fault; ``hold_seconds`` is how long it lasts.

    The victim is the entry VM that plans when the fault begins.
    """

    hold_seconds: float = 9

    @abc.abstractmethod
    def begin(self, cluster: Cluster, victim: str) -> None:
        """Let the fault begin."""

    @abc.abstractmethod
    def end(self, cluster: Cluster, victim: str) -> None:
        """Repair what can be repaired."""


class Kill(Disturbance):
    """A process ends without notice and is started again."""

    def begin(self, cluster: Cluster, victim: str) -> None:
        """Kill the victim."""
        cluster.send_signal(victim, signal.SIGKILL)
        cluster.wait_for_exit(victim)

    def end(self, cluster: Cluster, victim: str) -> None:
        """Start the victim again."""
        cluster.start_daemon(victim)


class Freeze(Disturbance):
    """A process is paused, and wakes late."""

    def begin(self, cluster: Cluster, victim: str) -> None:
        """Pause the victim."""
        cluster.pause(victim)

    def end(self, cluster: Cluster, victim: str) -> None:
        """Wake the victim."""
        cluster.send_signal(victim, signal.SIGCONT)


class ZoneCut(Disturbance):
    """A zone is cut off from the platform and from other zones' endpoints."""

    def begin(self, cluster: Cluster, victim: str) -> None:
        """Cut off the zone of the victim."""
        zone = find_zone(victim)
        hosts = (find_host(zone),)
        others = tuple(host for host in cluster.fleet.hosts[1:])
        racks = list_racks(cluster.fleet, zone)
        cluster.set_faults(Faults(cut_hosts=hosts, gone_racks=racks))
        for vm in cluster.fleet.vms:
            away = vm.zone != zone
            cut = hosts if away else tuple(set(others) - set(hosts))
            faults = EndpointFaults(cut_hosts=cut)
            cluster.set_endpoint_faults(vm.address or '', faults)

    def end(self, cluster: Cluster, victim: str) -> None:
        """Join the zone again."""
        for vm in cluster.fleet.vms:
            cluster.set_endpoint_faults(vm.address or '', EndpointFaults())
        cluster.set_faults(Faults())


class PlatformFault(Disturbance):
    """The platform's service misbehaves for a time."""

    def __init__(self, faults: Faults) -> None:
        """Hold the faults to switch on."""
        self._faults = faults

    def begin(self, cluster: Cluster, victim: str) -> None:
        """Switch the faults on."""
        cluster.set_faults(self._faults)

    def end(self, cluster: Cluster, victim: str) -> None:
        """Switch all faults off."""
        cluster.set_faults(Faults())


class RackFailure(Disturbance):
    """The VMs of one rack are lost, beside those of the wave."""

    def begin(self, cluster: Cluster, victim: str) -> None:
        """Lose the rack of the victim's zone."""
        racks = list_racks(cluster.fleet, find_zone(victim))
        cluster.set_faults(Faults(gone_racks=racks))

    def end(self, cluster: Cluster, victim: str) -> None:
        """Bring the rack back."""
        cluster.set_faults(Faults())


class EndpointFault(Disturbance):
    """One endpoint of each zone misbehaves."""

    hold_seconds = 6

    def __init__(self, mode: EndpointMode) -> None:
        """Hold the mode to switch on."""
        self._mode = mode

    def begin(self, cluster: Cluster, victim: str) -> None:
        """Switch the mode on."""
        self._set(cluster, EndpointFaults(mode=self._mode))

    def end(self, cluster: Cluster, victim: str) -> None:
        """Make the endpoint healthy again."""
        self._set(cluster, EndpointFaults())

    def _set(self, cluster: Cluster, faults: EndpointFaults) -> None:
        for vm in cluster.fleet.vms[-FAULTY_ENDPOINTS:]:
            cluster.set_endpoint_faults(vm.address or '', faults)


class Calm(Disturbance):
    """Nothing goes wrong; operators may race."""

    hold_seconds = 3

    def begin(self, cluster: Cluster, victim: str) -> None:
        """Do nothing."""

    def end(self, cluster: Cluster, victim: str) -> None:
        """Do nothing."""


DISTURBANCES: MappingProxyType[str, Disturbance] = MappingProxyType(
    {
        'kill': Kill(),
        'freeze': Freeze(),
        'zone cut': ZoneCut(),
        'log outage': PlatformFault(Faults(log_down=True)),
        'slow platform': PlatformFault(Faults(slow_seconds=SLOW_SECONDS)),
        'lost answers': PlatformFault(Faults(lose_answers=LOST_ANSWERS)),
        'racing operators': Calm(),
        'rack failure': RackFailure(),
        'mute endpoint': EndpointFault(EndpointMode.MUTE),
        'silent endpoint': EndpointFault(EndpointMode.SILENT),
        'failing endpoint': EndpointFault(EndpointMode.FAILING),
        'truncating endpoint': EndpointFault(EndpointMode.TRUNCATING),
    }
)

"""Schema of the file that describes the fleet of the platform stand-in."""

from dataclasses import dataclass

from tarragonlb.model.fleet import VmPhase, VmReading
from tarragonlb.settings.schema import Address, Count, Name


@dataclass(frozen=True, slots=True, kw_only=True)
class VmSpec:
    """A single VM; ``address`` is the one of its endpoint."""

    vm_id: Name
    pool: Name
    zone: Name
    rack: Name
    cores: int
    memory_gb: int
    address: Address | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class VmGroup:
    """A number of VMs without endpoints, spread over pools, zones and racks."""

    count: Count
    pools: Count = 72
    zones: Count = 8
    vms_a_rack: Count = 4
    cores: Count = 16
    memory_gb: Count = 64


@dataclass(frozen=True, slots=True, kw_only=True)
class FleetFile:
    """The file as a whole; ``lag_seconds`` delays the list of VMs.

    The stand-ins listen on every address of ``hosts``, one for each zone, so
    that they can tell the zone that a call comes from.
    """

    vms: tuple[VmSpec, ...] = ()
    groups: tuple[VmGroup, ...] = ()
    hosts: tuple[str, ...] = ('127.0.0.1',)
    retention_records: int = 100_000
    lag_seconds: float = 0.2
    slots: int = 8


def make_reading(vm: VmSpec) -> VmReading:
    """Return the initial reading of a VM."""
    return VmReading(
        vm_id=vm.vm_id,
        pool=vm.pool,
        zone=vm.zone,
        rack=vm.rack,
        phase=VmPhase.LIVE,
        boot=1,
        cores=vm.cores,
        memory_gb=vm.memory_gb,
        address=vm.address or '',
    )


def list_readings(fleet: FleetFile) -> list[VmReading]:
    """Return the initial readings of all VMs of a file."""
    readings = [make_reading(vm) for vm in fleet.vms]
    for group in fleet.groups:
        readings.extend(_list_group_readings(group))
    return readings


def _list_group_readings(group: VmGroup) -> list[VmReading]:
    return [
        VmReading(
            vm_id=f'vm-{index}',
            pool=f'pool-{index % group.pools}',
            zone=f'zone-{index % group.zones}',
            rack=f'rack-{index // group.vms_a_rack}',
            phase=VmPhase.LIVE,
            boot=1,
            cores=group.cores,
            memory_gb=group.memory_gb,
        )
        for index in range(group.count)
    ]


def list_racks(fleet: FleetFile, zone: str) -> tuple[str, ...]:
    """Return the racks of a zone, sorted."""
    racks = {vm.rack for vm in fleet.vms if vm.zone == zone}
    return tuple(sorted(racks))

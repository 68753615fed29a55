"""The file that describes the fleet of a stand-in platform."""

from dataclasses import dataclass

from tarragonlb.model.fleet import VmPhase, VmReading
from tarragonlb.settings.schema import Address, Count, Name


@dataclass(frozen=True, slots=True, kw_only=True)
class VmSpec:
    """One VM of the file."""

    vm_id: Name
    pool: Name
    zone: Name
    rack: Name
    cores: int
    memory_gb: int
    address: Address | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class VmGroup:
    """Many VMs without endpoints, spread over pools, zones and racks."""

    count: Count
    pools: Count = 72
    zones: Count = 8
    vms_a_rack: Count = 4
    cores: Count = 16
    memory_gb: Count = 64


@dataclass(frozen=True, slots=True, kw_only=True)
class FleetFile:
    """The whole file; ``lag_seconds`` delays the list of VMs.

    The stand-ins listen on each of ``hosts``, one for each zone, so that they
    can tell from where a call comes.
    """

    vms: tuple[VmSpec, ...] = ()
    groups: tuple[VmGroup, ...] = ()
    hosts: tuple[str, ...] = ('127.0.0.1',)
    retention_records: int = 100_000
    lag_seconds: float = 0.2
    slots: int = 8


def make_reading(vm: VmSpec) -> VmReading:
    """Return the first reading of a VM of the file."""
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
    """Return the first readings of all VMs of the file."""
    readings = [make_reading(vm) for vm in fleet.vms]
    for group in fleet.groups:
        readings.extend(_list_group(group))
    return readings


def _list_group(group: VmGroup) -> list[VmReading]:
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
    """Return the racks of a zone."""
    racks = {vm.rack for vm in fleet.vms if vm.zone == zone}
    return tuple(sorted(racks))

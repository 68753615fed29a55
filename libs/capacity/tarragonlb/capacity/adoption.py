"""VMs that appear, fail and come back outside of any wave."""

from tarragonlb.capacity.action import Action, Commit
from tarragonlb.capacity.view import FleetView
from tarragonlb.model.entry import VmEntry
from tarragonlb.model.fleet import VmPhase, VmReading
from tarragonlb.model.ownership import (
    ChargeReason,
    VmAdopted,
    VmCharged,
    VmReleased,
)
from tarragonlb.model.scribe import Scribe


def follow_list(view: FleetView, scribe: Scribe, now: float) -> list[Action]:
    """Return the records that the platform's list of VMs gives reason for."""
    actions: list[Action] = []
    for reading in view.vm_readings.values():
        entry = view.vms.get(reading.vm_id)
        action = _follow_vm(view, reading, entry, scribe, now)
        if action:
            actions.append(action)
    return actions


def _follow_vm(
    view: FleetView,
    reading: VmReading,
    entry: VmEntry | None,
    scribe: Scribe,
    now: float,
) -> Action | None:
    if entry is None:
        if reading.phase is VmPhase.LIVE:
            return Commit(_adopt(view, reading, scribe, now))
        return None
    live = reading.phase is VmPhase.LIVE
    if entry.charge is None and not live:
        return Commit(_charge(view, reading, entry, scribe, now))
    failed = entry.charge and entry.charge.reason is ChargeReason.FAILURE
    if failed and live:
        return Commit(_release(view, reading, entry, scribe, now))
    return None


def _adopt(
    view: FleetView, reading: VmReading, scribe: Scribe, now: float
) -> VmAdopted:
    return VmAdopted(
        head=scribe.sign(view.offset, now),
        vm_id=reading.vm_id,
        pool=reading.pool,
        zone=reading.zone,
        rack=reading.rack,
    )


def _charge(
    view: FleetView,
    reading: VmReading,
    entry: VmEntry,
    scribe: Scribe,
    now: float,
) -> VmCharged:
    return VmCharged(
        head=scribe.sign(view.offset, now),
        vm_id=entry.vm_id,
        expected_version=entry.version,
        reason=ChargeReason.FAILURE,
        boot=reading.boot,
    )


def _release(
    view: FleetView,
    reading: VmReading,
    entry: VmEntry,
    scribe: Scribe,
    now: float,
) -> VmReleased:
    return VmReleased(
        head=scribe.sign(view.offset, now),
        vm_id=entry.vm_id,
        expected_version=entry.version,
        boot=reading.boot,
    )

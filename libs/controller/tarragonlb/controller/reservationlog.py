"""Logs and counts the reservations of workers for waiting steps."""

from collections.abc import Mapping

from tarragonlb.scheduling.lookaheadrecord import (
    LookAheadRecord,
    ReservationEvent,
)
from tarragonlb.telemetry.fleetmetrics import (
    FLEET_METER,
    RESERVATIONS,
    RESERVED_IDLE_SECONDS,
)
from tarragonlb.telemetry.log import Log

LOG = Log('owner')


def log_reservations(
    record: LookAheadRecord, fields: Mapping[str, int]
) -> None:
    """Log the changes of a round once, with the fields of the owner."""
    if not record.changes:
        return
    for change in record.changes:
        event = change.event.value
        FLEET_METER.count(RESERVATIONS, event, change.reason.name.lower())
        if change.event is not ReservationEvent.MADE:
            FLEET_METER.record(
                RESERVED_IDLE_SECONDS, change.idle_core_seconds, event
            )
    LOG.emit(
        'Reservations of workers changed.',
        changes=[change.describe() for change in record.changes],
        **fields,
    )
    record.changes.clear()

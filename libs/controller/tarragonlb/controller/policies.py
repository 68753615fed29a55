"""Chooses an owner's scheduling policies by the settings."""

from tarragonlb.controller.settings import ControllerSettings
from tarragonlb.scheduling.forecast import EndForecast
from tarragonlb.scheduling.lookahead import LookAheadPlacement
from tarragonlb.scheduling.lookaheadrecord import LookAheadRecord
from tarragonlb.scheduling.placement import PackNearData
from tarragonlb.scheduling.policies import SchedulingPolicies
from tarragonlb.scheduling.reservationfilter import ReservationFilter
from tarragonlb.scheduling.scheduler import Scheduler
from tarragonlb.scheduling.settings import SchedulingSettings


def build_policies(settings: ControllerSettings) -> SchedulingPolicies:
    """Return new policies for one term of one owner."""
    if settings.scheduling.may_look_ahead:
        return _build_look_ahead(settings.scheduling)
    return SchedulingPolicies(placement=PackNearData())


def build_scheduler(settings: ControllerSettings, now: float) -> Scheduler:
    """Return a scheduler for a term that begins at ``now`` seconds."""
    return Scheduler(settings.scheduling, build_policies(settings), now)


def _build_look_ahead(settings: SchedulingSettings) -> SchedulingPolicies:
    record = LookAheadRecord()
    forecast = EndForecast(record.durations)
    placement = LookAheadPlacement(forecast)
    return SchedulingPolicies(
        placement=placement if settings.fits_by_end else PackNearData(),
        filters=(ReservationFilter(record, forecast, settings),),
        look_ahead=record,
    )

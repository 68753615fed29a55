"""Chooses an owner's scheduling policies by the settings."""

from dataclasses import replace

from tarragonlb.controller.settings import ControllerSettings
from tarragonlb.scheduling.fairshare import FairShareOrder
from tarragonlb.scheduling.forecast import EndForecast
from tarragonlb.scheduling.lookahead import LookAheadPlacement
from tarragonlb.scheduling.lookaheadrecord import LookAheadRecord
from tarragonlb.scheduling.placement import PackNearData
from tarragonlb.scheduling.policies import (
    JobOrder,
    NoStartLimit,
    SchedulingPolicies,
    StartLimit,
    UrgencyOrder,
    WorkerFilter,
)
from tarragonlb.scheduling.reservationfilter import ReservationFilter
from tarragonlb.scheduling.scheduler import Scheduler
from tarragonlb.scheduling.settings import SchedulingSettings


def build_policies(
    settings: ControllerSettings,
    limit: StartLimit,
    filters: tuple[WorkerFilter, ...],
) -> SchedulingPolicies:
    """Return new policies for one term of one owner.

    ``limit`` keeps tenants within their caps, and ``filters`` place tasks only
    on workers with a ticket.
    """
    policies = SchedulingPolicies(
        placement=PackNearData(),
        order=_build_order(settings),
        limit=limit if settings.has_tenants else NoStartLimit(),
        filters=filters,
        bounds_pending_starts=True,
    )
    if settings.scheduling.may_look_ahead:
        return _look_ahead(policies, settings.scheduling)
    return policies


def build_scheduler(
    settings: ControllerSettings,
    limit: StartLimit,
    filters: tuple[WorkerFilter, ...],
    now: float,
) -> Scheduler:
    """Return a scheduler for a term that begins at ``now`` seconds."""
    policies = build_policies(settings, limit, filters)
    return Scheduler(settings.scheduling, policies, now)


def _build_order(settings: ControllerSettings) -> JobOrder:
    return FairShareOrder() if settings.has_tenants else UrgencyOrder()


def _look_ahead(
    policies: SchedulingPolicies, settings: SchedulingSettings
) -> SchedulingPolicies:
    record = LookAheadRecord()
    forecast = EndForecast(record.durations)
    placement = policies.placement
    if settings.fits_by_end:
        placement = LookAheadPlacement(forecast)
    reservations = ReservationFilter(record, forecast, settings)
    return replace(
        policies,
        placement=placement,
        filters=(*policies.filters, reservations),
        look_ahead=record,
    )

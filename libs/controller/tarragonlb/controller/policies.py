"""Chooses an owner's scheduling policies by the settings."""

from tarragonlb.controller.settings import ControllerSettings
from tarragonlb.scheduling.fairshare import FairShareOrder
from tarragonlb.scheduling.placement import PackNearData
from tarragonlb.scheduling.policies import (
    JobOrder,
    NoStartLimit,
    SchedulingPolicies,
    StartLimit,
    UrgencyOrder,
    WorkerFilter,
)
from tarragonlb.scheduling.scheduler import Scheduler


def build_policies(
    settings: ControllerSettings,
    limit: StartLimit,
    filters: tuple[WorkerFilter, ...],
) -> SchedulingPolicies:
    """Return new policies for one term of one owner.

    ``limit`` keeps tenants within their caps, and ``filters`` place tasks only
    on workers with a ticket.
    """
    return SchedulingPolicies(
        placement=PackNearData(),
        order=_build_order(settings),
        limit=limit if settings.has_tenants else NoStartLimit(),
        filters=filters,
    )


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

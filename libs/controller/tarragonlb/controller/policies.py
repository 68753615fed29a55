"""Chooses an owner's scheduling policies by the settings."""

from tarragonlb.controller.settings import ControllerSettings
from tarragonlb.scheduling.fairshare import FairShareOrder
from tarragonlb.scheduling.placement import PackNearData
from tarragonlb.scheduling.policies import (
    JobOrder,
    SchedulingPolicies,
    UrgencyOrder,
)
from tarragonlb.scheduling.scheduler import Scheduler


def build_policies(settings: ControllerSettings) -> SchedulingPolicies:
    """Return new policies for one term of one owner."""
    return SchedulingPolicies(
        placement=PackNearData(), order=_build_order(settings)
    )


def build_scheduler(settings: ControllerSettings, now: float) -> Scheduler:
    """Return a scheduler for a term that begins at ``now`` seconds."""
    return Scheduler(settings.scheduling, build_policies(settings), now)


def _build_order(settings: ControllerSettings) -> JobOrder:
    return FairShareOrder() if settings.has_tenants else UrgencyOrder()

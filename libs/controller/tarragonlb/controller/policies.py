"""Chooses an owner's scheduling policies by the settings."""

from dataclasses import replace

from tarragonlb.controller.settings import ControllerSettings
from tarragonlb.scheduling.placement import PackNearData
from tarragonlb.scheduling.policies import SchedulingPolicies, StartLimit
from tarragonlb.scheduling.scheduler import Scheduler


def build_policies(
    settings: ControllerSettings, limit: StartLimit
) -> SchedulingPolicies:
    """Return new policies for one term of one owner.

    ``limit`` keeps tenants within their caps.
    """
    policies = SchedulingPolicies(placement=PackNearData())
    if settings.has_tenants:
        policies = replace(policies, limit=limit)
    return policies


def build_scheduler(
    settings: ControllerSettings, limit: StartLimit, now: float
) -> Scheduler:
    """Return a scheduler for a term that begins at ``now`` seconds."""
    policies = build_policies(settings, limit)
    return Scheduler(settings.scheduling, policies, now)

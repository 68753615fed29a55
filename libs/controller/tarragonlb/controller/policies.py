"""Chooses an owner's scheduling policies by the settings."""

from tarragonlb.controller.settings import ControllerSettings
from tarragonlb.scheduling.placement import PackNearData
from tarragonlb.scheduling.policies import SchedulingPolicies, WorkerFilter
from tarragonlb.scheduling.scheduler import Scheduler


def build_policies(
    settings: ControllerSettings, filters: tuple[WorkerFilter, ...] = ()
) -> SchedulingPolicies:
    """Return new policies for one term of one owner."""
    return SchedulingPolicies(placement=PackNearData(), filters=filters)


def build_scheduler(
    settings: ControllerSettings,
    now: float,
    filters: tuple[WorkerFilter, ...] = (),
) -> Scheduler:
    """Return a scheduler for a term that begins at ``now`` seconds."""
    policies = build_policies(settings, filters)
    return Scheduler(settings.scheduling, policies, now)

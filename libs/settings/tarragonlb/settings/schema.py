"""The shape of each document of settings.

``/teams/NAME`` holds a team's services, quota and availability budgets,
``/pools/NAME`` how a pool is maintained, and ``/fleet`` what holds for all.
A daemon's start-up file is read once and only says where it runs.
"""

import enum
from dataclasses import dataclass, field
from typing import Annotated

from msgspec import Meta

Name = Annotated[str, Meta(pattern='^[a-z][a-z0-9-]{0,62}$')]
MAX_WINDOW_DAYS = 35
Share = Annotated[float, Meta(gt=0, lt=1)]
Positive = Annotated[float, Meta(gt=0)]
Count = Annotated[int, Meta(ge=0)]
DIGEST_CHARACTERS = 64
Digest = Annotated[str, Meta(pattern=f'^[0-9a-f]{{{DIGEST_CHARACTERS}}}$')]
Address = Annotated[str, Meta(pattern=r'^\d+\.\d+\.\d+\.\d+:\d+$')]


class Urgency(enum.StrEnum):
    """Say whether work waits for others or goes first."""

    URGENT = 'urgent'
    PATIENT = 'patient'


@dataclass(frozen=True, slots=True, kw_only=True)
class ObjectiveSettings:
    """What a team is promised of a service over the latest days.

    ``availability`` is the share of requests that are answered and not
    refused or failed, ``within_latency`` the share of these that are answered
    within ``latency_seconds``.
    """

    availability: Share
    latency_seconds: Positive
    within_latency: Share = 0.95
    window_days: Annotated[int, Meta(ge=1, le=MAX_WINDOW_DAYS)] = 28


@dataclass(frozen=True, slots=True, kw_only=True)
class ServiceSettings:
    """One service of a team; times are in seconds."""

    pool: Name
    urgency: Urgency = Urgency.URGENT
    timeout_seconds: Positive = 4.5
    slots_per_endpoint: Annotated[int, Meta(ge=1)] = 8
    idempotent: bool = False
    objective: ObjectiveSettings | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class BudgetSettings:
    """How many VMs of a pool may be unavailable at once for a team."""

    pool: Name
    max_unavailable: Count


@dataclass(frozen=True, slots=True, kw_only=True)
class QuotaSettings:
    """What a team's running jobs may use in total."""

    cores: Count = 0


@dataclass(frozen=True, slots=True, kw_only=True)
class TeamSettings:
    """The document under ``/teams/NAME``.

    ``weight`` is the team's share of a full pool against other teams.
    """

    weight: Annotated[int, Meta(ge=1)] = 1
    tokens: tuple[Digest, ...] = ()
    services: dict[Name, ServiceSettings] = field(default_factory=dict)
    budgets: tuple[BudgetSettings, ...] = ()
    quota: QuotaSettings = QuotaSettings()


@dataclass(frozen=True, slots=True, kw_only=True)
class PoolSettings:
    """The document under ``/pools/NAME``.

    ``return_seconds`` is how long a VM is expected to be away in a wave, and
    ``wave_hours`` is within how many hours a wave is promised to end.
    ``peak_vms`` is how many VMs the pool's demand needs at its peak, and
    ``survive_rack`` asks for as many more as its largest rack holds.
    """

    at_once: Annotated[int, Meta(ge=1)] = 1
    at_once_per_rack: Annotated[int, Meta(ge=1)] = 1_000
    at_once_per_zone: Annotated[int, Meta(ge=1)] = 1_000
    drain_limit_seconds: Positive = 600
    return_seconds: Positive = 300
    wave_hours: Positive = 24
    peak_vms: Count = 0
    survive_rack: bool = False
    spare: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class WeightSettings:
    """How much each of the three measures counts in a choice."""

    buffer_cost: Positive = 1
    rollout_time: Positive = 1
    vm_moves: Positive = 1


@dataclass(frozen=True, slots=True, kw_only=True)
class SnapshotSettings:
    """How often the shared state is written into the log as a whole.

    The limit that is reached first counts.  The log must keep records for at
    least three times as long.
    """

    records: Annotated[int, Meta(ge=1)] = 16_384
    seconds: Positive = 3600


@dataclass(frozen=True, slots=True, kw_only=True)
class FleetSettings:
    """The document under ``/fleet``.

    ``api_requests_per_second`` holds for each team and operator on each entry
    VM, and not for requests to services.  Leases of jobs last at least
    ``job_lease_seconds``, and longer where many jobs run, so that renewals
    stay under ``max_renewals_per_second``.  A VM is moved to a pool that has
    lacked one for ``move_after_seconds``, and home after the pool could do
    without it for ``return_after_seconds``.
    """

    weights: WeightSettings = WeightSettings()
    snapshot: SnapshotSettings = SnapshotSettings()
    feature_level: Annotated[int, Meta(ge=1)] = 1
    max_body_bytes: Annotated[int, Meta(ge=1)] = 8 * 1024 * 1024
    api_requests_per_second: Positive = 50
    job_lease_seconds: Positive = 30
    max_renewals_per_second: Positive = 5
    move_after_seconds: Positive = 60
    return_after_seconds: Positive = 600

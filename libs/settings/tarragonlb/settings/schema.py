"""The schema of the settings documents.

``/teams/NAME`` holds a team's services, quota and availability budgets,
``/pools/NAME`` the maintenance and capacity settings of a pool, and ``/fleet``
those of the whole fleet.  ``startup`` has the schema of a daemon's start-up
file.
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
    """Whether requests are served first or wait for urgent ones."""

    URGENT = 'urgent'
    PATIENT = 'patient'


@dataclass(frozen=True, slots=True, kw_only=True)
class ObjectiveSettings:
    """The service-level objective of a service.

    ``availability`` is the share of requests that are answered and not
    refused or failed, ``within_latency`` the share of these that are answered
    within ``latency_seconds``.  Both are measured over the latest
    ``window_days``.
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
    """How many VMs of a pool a team allows to be unavailable at once."""

    pool: Name
    max_unavailable: Count


@dataclass(frozen=True, slots=True, kw_only=True)
class QuotaSettings:
    """The resources that a team's running jobs may use in total."""

    cores: Count = 0


@dataclass(frozen=True, slots=True, kw_only=True)
class TeamSettings:
    """The document at ``/teams/NAME``.

    ``weight`` is the team's share of a full pool, relative to the weights of
    other teams.
    """

    weight: Annotated[int, Meta(ge=1)] = 1
    tokens: tuple[Digest, ...] = ()
    services: dict[Name, ServiceSettings] = field(default_factory=dict)
    budgets: tuple[BudgetSettings, ...] = ()
    quota: QuotaSettings = QuotaSettings()


@dataclass(frozen=True, slots=True, kw_only=True)
class PoolSettings:
    """The document at ``/pools/NAME``.

    ``return_seconds`` is the time that a VM is expected to be unavailable in a
    wave, and ``wave_hours`` the time within which a wave is promised to end.
    ``peak_vms`` is the number of VMs that the pool needs at peak demand, and
    ``survive_rack`` requests as many more as its largest rack holds.
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
    """The weights of buffer, roll-out time and VM moves in a plan's cost."""

    buffer_cost: Positive = 1
    rollout_time: Positive = 1
    vm_moves: Positive = 1


@dataclass(frozen=True, slots=True, kw_only=True)
class SnapshotSettings:
    """How often a snapshot of the shared state is written to the log.

    A snapshot is written when either limit is reached.  The log must keep
    records for at least three times as long.
    """

    records: Annotated[int, Meta(ge=1)] = 16_384
    seconds: Positive = 3600


@dataclass(frozen=True, slots=True, kw_only=True)
class FleetSettings:
    """The document at ``/fleet``.

    ``api_requests_per_second`` is the limit for each team and operator on each
    entry VM, and does not apply to requests to services.  Job leases last at
    least ``job_lease_seconds``, and longer if many jobs run, so that renewals
    stay under ``max_renewals_per_second``.  A VM is moved to a pool that has
    lacked one for ``move_after_seconds``, and back to its first pool after the
    other pool has not needed it for ``return_after_seconds``.
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

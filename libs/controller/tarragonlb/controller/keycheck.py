"""Decides by its API key whether a client's request is served.

Clients of an installation with tenants identify themselves by a key.  Keys are
added and withdrawn while the daemon runs, so an unknown key is only refused
if the daemon's configuration is known to be new enough; otherwise the client is
asked to come back.
"""

import enum
from dataclasses import dataclass

from tarragonlb.controller.platformview import PlatformView
from tarragonlb.controller.ports import Clock, Configuration
from tarragonlb.controller.settings import ControllerSettings
from tarragonlb.scheduling.queue import Queue
from tarragonlb.telemetry.fleetmetrics import FLEET_METER, KEY_CHECKS


class KeyOutcome(enum.Enum):
    """The result of a check; the values are labels of a metric."""

    ACCEPTED = 'accepted'
    PUBLIC = 'public'
    UNKNOWN_KEY = 'unknown-key'
    MISSING_KEY = 'missing-key'
    TOO_OLD = 'configuration-too-old'


@dataclass(frozen=True, slots=True)
class KeyDecision:
    """Whether a request is served, and for which tenant.

    ``tenant`` is empty for a request of no tenant.
    """

    outcome: KeyOutcome
    tenant: str = ''

    @property
    def is_allowed(self) -> bool:
        """Return whether the request is served."""
        return self.outcome in {KeyOutcome.ACCEPTED, KeyOutcome.PUBLIC}


def decide_by_key(
    configuration: Configuration,
    queue: Queue,
    key: bytes,
    age: float,
    settings: ControllerSettings,
) -> KeyDecision:
    """Decide on a request for ``queue``, with an empty ``key`` if it has none.

    ``configuration`` was the newest one ``age`` seconds ago.
    """
    if queue.is_public:
        return KeyDecision(KeyOutcome.PUBLIC)
    tenant = configuration.keys.find(key) if key else None
    if tenant is None:
        if age >= settings.configuration_apply_seconds:
            return KeyDecision(KeyOutcome.TOO_OLD)
        return KeyDecision(
            KeyOutcome.UNKNOWN_KEY if key else KeyOutcome.MISSING_KEY
        )
    if settings.strict_revoke and age > settings.revoke_seconds:
        return KeyDecision(KeyOutcome.TOO_OLD)
    return KeyDecision(KeyOutcome.ACCEPTED, tenant)


class KeyCheck:
    """Checks the requests of clients by the newest configuration."""

    __slots__ = ('_clock', '_settings', '_view')

    def __init__(
        self, view: PlatformView, settings: ControllerSettings, clock: Clock
    ) -> None:
        """Check by the configuration of ``view``."""
        self._clock = clock
        self._settings = settings
        self._view = view

    def is_current(self, configuration: Configuration, queue: Queue) -> bool:
        """Return whether a decision to serve a request still holds.

        ``queue`` is of ``configuration``, by which it was taken.
        """
        settings = self._settings
        if not settings.has_tenants:
            return True
        if self._view.configuration is not configuration:
            return False
        if queue.is_public or not settings.strict_revoke:
            return True
        now = self._clock.read_boottime()
        age = self._view.compute_configuration_age(now)
        return age <= settings.revoke_seconds

    def check(
        self, configuration: Configuration, queue: Queue, key: bytes
    ) -> KeyDecision:
        """Decide on a request for a queue of ``configuration``.

        Without tenants every request is served, and no key is looked at.
        """
        if not self._settings.has_tenants:
            return KeyDecision(KeyOutcome.PUBLIC)
        now = self._clock.read_boottime()
        age = self._view.compute_configuration_age(now)
        decision = decide_by_key(configuration, queue, key, age, self._settings)
        FLEET_METER.count(KEY_CHECKS, decision.outcome.value)
        return decision

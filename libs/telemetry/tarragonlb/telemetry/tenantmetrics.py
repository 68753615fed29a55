"""Metrics by tenant, with a bound on the number of names.

At most ``MAX_NAMES`` tenants are shown by their names, those that wait for most
first; the others are summed up as ``other``.  Nothing is registered until a
tenant has been seen, so a daemon without tenants returns the metrics that it
always did.
"""

from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass
from functools import partial

from opentelemetry.metrics import get_meter

from tarragonlb.telemetry.metrics import METER_NAME, Gauge, Metric

MAX_NAMES = 20
OTHER = 'other'

TENANT_WAITING = Metric(
    'tarragonlb.tenants.waiting',
    'gauge',
    '{task}',
    ('tenant',),
    'Tasks of a tenant that wait for a worker, of 20 tenants and all others.',
)
TENANT_CPU = Metric(
    'tarragonlb.tenants.cpu',
    'gauge',
    '{millicore}',
    ('tenant',),
    'CPU that the attempts of a tenant occupy.',
)
TENANT_BEYOND_RATE = Metric(
    'tarragonlb.tenants.beyond_rate',
    'gauge',
    '{job}',
    ('tenant',),
    'Waiting jobs that a tenant submitted beyond its rate.',
)
TENANT_METRICS = (TENANT_WAITING, TENANT_CPU, TENANT_BEYOND_RATE)


@dataclass(frozen=True, slots=True)
class TenantValues:
    """The values of one tenant, in the order of ``TENANT_METRICS``."""

    waiting: int
    cpu_millicores: int
    beyond_rate: int


class TenantMeter:
    """Holds the values of the partitions that this process owns."""

    __slots__ = ('_by_partition', '_is_registered')

    def __init__(self) -> None:
        """Start without partitions."""
        self._by_partition: dict[int, Mapping[str, TenantValues]] = {}
        self._is_registered = False

    def update(
        self, partition: int, by_tenant: Mapping[str, TenantValues]
    ) -> None:
        """Replace the values of a partition; no values remove it."""
        self._by_partition.pop(partition, None)
        if not by_tenant:
            return
        self._by_partition[partition] = by_tenant
        if not self._is_registered:
            self._is_registered = True
            self._register()

    def read(self, index: int) -> dict[str, float]:
        """Return the values of a metric by tenant, over all partitions."""
        sums = [Counter[str]() for _ in TENANT_METRICS]
        for by_tenant in self._by_partition.values():
            for tenant, entry in by_tenant.items():
                sums[0][tenant] += entry.waiting
                sums[1][tenant] += entry.cpu_millicores
                sums[2][tenant] += entry.beyond_rate
        named = choose_names(sums[0])
        shown = Counter[str]()
        for tenant, number in sums[index].items():
            shown[tenant if tenant in named else OTHER] += number
        return dict(shown)

    def _register(self) -> None:
        meter = get_meter(METER_NAME)
        for index, metric in enumerate(TENANT_METRICS):
            gauge = Gauge(metric.attributes[0], partial(self.read, index))
            meter.create_observable_gauge(
                metric.name, [gauge.observe], metric.unit, metric.description
            )


def choose_names(waiting: Mapping[str, int]) -> frozenset[str]:
    """Return the tenants to show by name: those that wait for most."""
    ordered = sorted(waiting, key=lambda name: (-waiting[name], name))
    return frozenset(ordered[:MAX_NAMES])


TENANT_METER = TenantMeter()

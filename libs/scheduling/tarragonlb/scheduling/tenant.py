"""Tenants: organisations that share the pools of one installation."""

from collections.abc import Iterable
from dataclasses import dataclass, field

from tarragonlb.scheduling.job import Demand


@dataclass(frozen=True, slots=True, kw_only=True)
class Tenant:
    """A tenant, as the operators configured it.

    ``weight`` is its share when all is full.  ``cap`` limits what its tasks
    occupy on all workers together; a resource of 0 has no limit.
    """

    name: str
    weight: float = 1
    cap: Demand = field(default_factory=Demand)


class TenantTable:
    """The tenants of one configuration.

    >>> table = TenantTable([Tenant(name='harbour', weight=3)])
    >>> table.find('harbour').weight
    3
    """

    __slots__ = ('by_name',)

    def __init__(self, tenants: Iterable[Tenant] = ()) -> None:
        """Index the tenants of one configuration."""
        self.by_name = {tenant.name: tenant for tenant in tenants}

    def find(self, name: str) -> Tenant | None:
        """Return a tenant, or None if the configuration lists none so named."""
        return self.by_name.get(name)


NO_TENANTS = TenantTable()

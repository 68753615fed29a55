"""All parts of the administration API."""

from tarragonlb.daemon.access import AccessTable
from tarragonlb.daemon.apibase import ApiPart
from tarragonlb.daemon.apiburn import BurnApi
from tarragonlb.daemon.apifleet import FleetApi
from tarragonlb.daemon.apijobs import JobApi
from tarragonlb.daemon.apisettings import SettingsApi
from tarragonlb.daemon.journal import Journal
from tarragonlb.daemon.watch import FleetWatch

PARTS: tuple[type[ApiPart], ...] = (JobApi, SettingsApi, FleetApi, BurnApi)


def make_parts(
    entry: str, access: AccessTable, journal: Journal, watch: FleetWatch
) -> tuple[ApiPart, ...]:
    """Return the parts of the API of one entry VM."""
    return tuple(part(entry, access, journal, watch) for part in PARTS)

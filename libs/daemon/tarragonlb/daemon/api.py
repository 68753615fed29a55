"""Assembles the handlers of the administration API."""

from tarragonlb.daemon.access import AccessTable
from tarragonlb.daemon.apiburn import BurnApi
from tarragonlb.daemon.apifleet import FleetApi
from tarragonlb.daemon.apijobs import JobApi
from tarragonlb.daemon.apikeys import KeyApi
from tarragonlb.daemon.apisettings import SettingsApi
from tarragonlb.daemon.apitraffic import TrafficApi
from tarragonlb.daemon.application import RouteProvider
from tarragonlb.daemon.fleetwatcher import FleetWatcher
from tarragonlb.daemon.journal import Journal
from tarragonlb.daemon.keyservice import KeyService
from tarragonlb.platform.traffic import TrafficCounter


def make_handlers(
    entry: str,
    access: AccessTable,
    journal: Journal,
    fleet_watcher: FleetWatcher,
    key_service: KeyService,
    traffic: TrafficCounter,
) -> list[RouteProvider]:
    """Return all handlers; responses name ``entry`` as the entry VM."""
    return [
        JobApi(entry, access, journal, fleet_watcher),
        SettingsApi(entry, access, journal, fleet_watcher),
        FleetApi(entry, access, journal, fleet_watcher),
        BurnApi(entry, access, journal, fleet_watcher),
        KeyApi(access, key_service.ledger),
        TrafficApi(access, traffic),
    ]

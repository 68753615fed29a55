"""A cluster prepared for tests: settings published, VMs known everywhere."""

import functools
from dataclasses import dataclass

from tarragonlb.standin.apiclient import ApiClient, poll
from tarragonlb.standin.cluster import OPERATOR_TOKEN, Cluster
from tarragonlb.standin.observer import try_get

TEAM_TOKEN = 'demo-archive'
POOL = 'transcription'
TEAM_PATH = '/v1/settings/teams/archive'
POOL_PATH = f'/v1/settings/pools/{POOL}'
FLEET_PATH = '/v1/settings/fleet'
WAIT_TIMEOUT_SECONDS = 60
STATUS_OK = 200


@dataclass(frozen=True, slots=True, kw_only=True)
class Documents:
    """The settings documents of the team, its pool and the fleet."""

    team: bytes
    pool: bytes
    fleet: bytes


class Installation:
    """Prepares a cluster and creates clients for it."""

    __slots__ = ('cluster',)

    def __init__(self, cluster: Cluster) -> None:
        """Store a cluster that is not started yet."""
        self.cluster = cluster

    def start(self, documents: Documents) -> None:
        """Start the processes and publish the settings.

        Return once every entry VM serves requests and lists all VMs.
        """
        self.cluster.start()
        operator = self.make_operator_client(next(iter(self.cluster.addresses)))
        if_new = {'if-match': '0'}
        operator.put(TEAM_PATH, documents.team, if_new)
        operator.put(POOL_PATH, documents.pool, if_new)
        operator.put(FLEET_PATH, documents.fleet, if_new)
        for entry in self.cluster.addresses:
            is_serving = functools.partial(
                self.send_request, entry, f'first-{entry}'
            )
            poll(is_serving, WAIT_TIMEOUT_SECONDS)
            has_vms = functools.partial(self._has_all_vms, entry)
            poll(has_vms, WAIT_TIMEOUT_SECONDS)

    def make_operator_client(self, entry: str) -> ApiClient:
        """Return a client of an entry VM with the operator's token."""
        return ApiClient(self.cluster.addresses[entry], OPERATOR_TOKEN)

    def make_team_client(self, entry: str) -> ApiClient:
        """Return a client of an entry VM with the team's token."""
        return ApiClient(self.cluster.addresses[entry], TEAM_TOKEN)

    def send_request(self, entry: str, mark: str) -> bool:
        """Send a request with a mark; return whether its status was 200."""
        path = f'/call/transcribe/x?mark={mark}'
        response = try_get(self.make_team_client(entry), path)
        return response is not None and response.status == STATUS_OK

    def find_planner(self) -> str:
        """Return the name of the entry VM that is the planner."""
        operator = self.make_operator_client(next(iter(self.cluster.addresses)))
        return str(operator.get('/v1/status').fields['planner'])

    def start_wave(self, entry: str) -> str:
        """Start a wave over the pool and return the wave's id."""
        wave = self.make_operator_client(entry).post(
            '/v1/waves', {'pool': POOL}
        )
        return str(wave.fields['wave_id'])

    def list_unavailable(self, entry: str) -> list[str]:
        """Return the VMs that an entry VM counts as unavailable."""
        rows = self.make_operator_client(entry).get('/v1/vms').rows
        return [row['vm_id'] for row in rows if row['charge']]

    def count_drains(self) -> int:
        """Return the number of drains that the platform has started."""
        return len(self.cluster.read_report().drains)

    def count_attempts(self) -> int:
        """Return the number of attempts of jobs that the platform started."""
        return len(self.cluster.read_report().tasks)

    def _has_all_vms(self, entry: str) -> bool:
        operator = self.make_operator_client(entry)
        if operator.get(FLEET_PATH).status != STATUS_OK:
            return False
        return len(operator.get('/v1/vms').rows) == len(self.cluster.fleet.vms)

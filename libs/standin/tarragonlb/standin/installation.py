"""An installation that is ready for a test: settings in force, VMs adopted."""

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
    """The documents of the team, its pool and the fleet."""

    team: bytes
    pool: bytes
    fleet: bytes


class Installation:
    """A cluster with its callers and operators."""

    __slots__ = ('cluster',)

    def __init__(self, cluster: Cluster) -> None:
        """Use a cluster that has not started."""
        self.cluster = cluster

    def start(self, documents: Documents) -> None:
        """Start all processes and wait until every entry VM serves."""
        self.cluster.start()
        operator = self.make_operator_client(next(iter(self.cluster.addresses)))
        if_new = {'if-match': '0'}
        operator.put(TEAM_PATH, documents.team, if_new)
        operator.put(POOL_PATH, documents.pool, if_new)
        operator.put(FLEET_PATH, documents.fleet, if_new)
        for entry in self.cluster.addresses:
            serves = functools.partial(
                self.send_request, entry, f'first-{entry}'
            )
            poll(serves, WAIT_TIMEOUT_SECONDS)
            lists_vms = functools.partial(self._lists_all_vms, entry)
            poll(lists_vms, WAIT_TIMEOUT_SECONDS)

    def make_operator_client(self, entry: str) -> ApiClient:
        """Return an operator at an entry VM."""
        return ApiClient(self.cluster.addresses[entry], OPERATOR_TOKEN)

    def make_team_client(self, entry: str) -> ApiClient:
        """Return a caller of the team at an entry VM."""
        return ApiClient(self.cluster.addresses[entry], TEAM_TOKEN)

    def send_request(self, entry: str, mark: str) -> bool:
        """Send one request with a mark; return whether it was answered."""
        path = f'/call/transcribe/x?mark={mark}'
        response = try_get(self.make_team_client(entry), path)
        return response is not None and response.status == STATUS_OK

    def find_planner(self) -> str:
        """Return the entry VM that plans."""
        operator = self.make_operator_client(next(iter(self.cluster.addresses)))
        return str(operator.get('/v1/status').fields['planner'])

    def start_wave(self, entry: str) -> str:
        """Start a wave over the pool and return its id."""
        wave = self.make_operator_client(entry).post(
            '/v1/waves', {'pool': POOL}
        )
        return str(wave.fields['wave_id'])

    def list_unavailable(self, entry: str) -> list[str]:
        """Return the VMs that count as unavailable."""
        rows = self.make_operator_client(entry).get('/v1/vms').rows
        return [row['vm_id'] for row in rows if row['charge']]

    def count_drains(self) -> int:
        """Return how many drains the platform has seen."""
        return len(self.cluster.read_report().drains)

    def _lists_all_vms(self, entry: str) -> bool:
        operator = self.make_operator_client(entry)
        if operator.get(FLEET_PATH).status != STATUS_OK:
            return False
        return len(operator.get('/v1/vms').rows) == len(self.cluster.fleet.vms)

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
PATIENCE_SECONDS = 60
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
        operator = self.find_operator(next(iter(self.cluster.addresses)))
        new = {'if-match': '0'}
        operator.put(TEAM_PATH, documents.team, new)
        operator.put(POOL_PATH, documents.pool, new)
        operator.put(FLEET_PATH, documents.fleet, new)
        for entry in self.cluster.addresses:
            serves = functools.partial(self.call, entry, f'first-{entry}')
            poll(serves, PATIENCE_SECONDS)
            knows = functools.partial(self._knows_all, entry)
            poll(knows, PATIENCE_SECONDS)

    def find_operator(self, entry: str) -> ApiClient:
        """Return an operator at an entry VM."""
        return ApiClient(self.cluster.addresses[entry], OPERATOR_TOKEN)

    def find_team(self, entry: str) -> ApiClient:
        """Return a caller of the team at an entry VM."""
        return ApiClient(self.cluster.addresses[entry], TEAM_TOKEN)

    def call(self, entry: str, mark: str) -> bool:
        """Send one request with a mark; return whether it was answered."""
        path = f'/call/transcribe/x?mark={mark}'
        answer = try_get(self.find_team(entry), path)
        return answer is not None and answer.status == STATUS_OK

    def find_planner(self) -> str:
        """Return the entry VM that plans."""
        operator = self.find_operator(next(iter(self.cluster.addresses)))
        return str(operator.get('/v1/status').fields['planner'])

    def start_wave(self, entry: str) -> str:
        """Start a wave over the pool and return its id."""
        wave = self.find_operator(entry).post('/v1/waves', {'pool': POOL})
        return str(wave.fields['wave_id'])

    def list_away(self, entry: str) -> list[str]:
        """Return the VMs that count as unavailable."""
        rows = self.find_operator(entry).get('/v1/vms').rows
        return [row['vm_id'] for row in rows if row['charge']]

    def count_drains(self) -> int:
        """Return how many drains the platform has seen."""
        return len(self.cluster.read_report().drains)

    def _knows_all(self, entry: str) -> bool:
        operator = self.find_operator(entry)
        if operator.get(FLEET_PATH).status != STATUS_OK:
            return False
        return len(operator.get('/v1/vms').rows) == len(self.cluster.fleet.vms)

"""What at most once costs: issued keys against free keys against no key.

A small installation on loopback serves the same request in turn without a
key, with a key that another entry VM issued, and with a free key.
"""

import statistics
import tempfile
import time
import uuid
from dataclasses import dataclass
from pathlib import Path

from tarragonlb.journal.codec import encode_record
from tarragonlb.model.record import KeyClaimed
from tarragonlb.model.recordhead import HeadFactory
from tarragonlb.standin.apiclient import ApiClient, ApiResponse, poll
from tarragonlb.standin.cluster import OPERATOR_TOKEN, Cluster, make_fleet

REQUESTS = 300
SETTINGS = Path(__file__).parent.parent / 'examples/demo/team-archive.yaml'
TARGET = '/call/dispatch-booklet/x'
IN_FORCE_SECONDS = 18
MILLISECONDS = 1000
STATUS_OK = 200
SHARE_OF_P99 = 0.99


@dataclass(frozen=True, slots=True, kw_only=True)
class ClaimFigure:
    """Milliseconds of a request by the kind of its key."""

    kind: str
    p50_ms: float
    p99_ms: float
    log_bytes_a_request: int


def measure_claims() -> list[ClaimFigure]:
    """Return one figure for each kind of key."""
    with tempfile.TemporaryDirectory() as folder:
        cluster = Cluster(Path(folder), make_fleet({'transcription': 3}))
        try:
            cluster.start()
            return _measure(cluster)
        finally:
            cluster.stop()


def _measure(cluster: Cluster) -> list[ClaimFigure]:
    entry, issuer, _other = cluster.addresses.values()
    operator = ApiClient(entry, OPERATOR_TOKEN)
    operator.put(
        '/v1/settings/teams/archive', SETTINGS.read_bytes(), {'if-match': '0'}
    )
    client = ApiClient(entry, 'demo-archive')
    poll(lambda: _send(client, '').status == STATUS_OK, IN_FORCE_SECONDS)
    source = ApiClient(issuer, 'demo-archive')
    issued = poll(lambda: _issue(source), IN_FORCE_SECONDS)
    free = [uuid.uuid4().hex for _ in range(REQUESTS)]
    return [
        _time('no key', client, ['' for _ in free], 0),
        _time('issued', client, issued, 0),
        _time('free', client, free, _count_bytes(free[0])),
    ]


def _issue(source: ApiClient) -> list[str]:
    answer = source.post('/v1/keys', {'count': REQUESTS})
    if answer.status != STATUS_OK:
        return []
    return list(answer.fields['keys'])


def _send(client: ApiClient, key: str) -> ApiResponse:
    headers = {'idempotency-key': key} if key else {}
    return client.post(TARGET, {}, headers)


def _time(
    kind: str, client: ApiClient, keys: list[str], log_bytes: int
) -> ClaimFigure:
    milliseconds = sorted(_time_one(client, key) for key in keys)
    return ClaimFigure(
        kind=kind,
        p50_ms=round(statistics.median(milliseconds), 2),
        p99_ms=round(milliseconds[int(len(keys) * SHARE_OF_P99)], 2),
        log_bytes_a_request=log_bytes,
    )


def _time_one(client: ApiClient, key: str) -> float:
    started = time.perf_counter()
    answer = _send(client, key)
    if answer.status != STATUS_OK:
        raise ValueError(f'the request failed: {answer}')
    return (time.perf_counter() - started) * MILLISECONDS


def _count_bytes(key: str) -> int:
    head = HeadFactory('entry-colombo', uuid.uuid4().hex).make_head(
        1, time.time()
    )
    record = KeyClaimed(
        head=head, team='archive', key=key, entry='entry-colombo'
    )
    return len(encode_record(record))

"""Measures the cost of idempotency keys: none, issued keys and free keys.

A small cluster on loopback serves the same request one after another without a
key, with keys issued by another entry VM, and with keys chosen by the client.
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
SETTINGS_TIMEOUT_SECONDS = 18
MILLISECONDS_PER_SECOND = 1000
STATUS_OK = 200
P99 = 0.99


@dataclass(frozen=True, slots=True, kw_only=True)
class ClaimFigure:
    """Latency of requests with one kind of key."""

    kind: str
    p50_ms: float
    p99_ms: float
    log_bytes_a_request: int


def measure_claims() -> list[ClaimFigure]:
    """Measure each kind of key."""
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
    poll(
        lambda: _send(client, '').status == STATUS_OK, SETTINGS_TIMEOUT_SECONDS
    )
    issuing_client = ApiClient(issuer, 'demo-archive')
    issued = poll(lambda: _issue_keys(issuing_client), SETTINGS_TIMEOUT_SECONDS)
    free = [uuid.uuid4().hex for _ in range(REQUESTS)]
    return [
        _measure_keys('no key', client, ['' for _ in free], 0),
        _measure_keys('issued', client, issued, 0),
        _measure_keys('free', client, free, _count_record_bytes(free[0])),
    ]


def _issue_keys(issuing_client: ApiClient) -> list[str]:
    answer = issuing_client.post('/v1/keys', {'count': REQUESTS})
    if answer.status != STATUS_OK:
        return []
    return list(answer.fields['keys'])


def _send(client: ApiClient, key: str) -> ApiResponse:
    headers = {'idempotency-key': key} if key else {}
    return client.post(TARGET, {}, headers)


def _measure_keys(
    kind: str, client: ApiClient, keys: list[str], log_bytes: int
) -> ClaimFigure:
    milliseconds = sorted(_time_request(client, key) for key in keys)
    return ClaimFigure(
        kind=kind,
        p50_ms=round(statistics.median(milliseconds), 2),
        p99_ms=round(milliseconds[int(len(keys) * P99)], 2),
        log_bytes_a_request=log_bytes,
    )


def _time_request(client: ApiClient, key: str) -> float:
    started = time.perf_counter()
    answer = _send(client, key)
    if answer.status != STATUS_OK:
        raise ValueError(f'the request failed: {answer}')
    return (time.perf_counter() - started) * MILLISECONDS_PER_SECOND


def _count_record_bytes(key: str) -> int:
    head = HeadFactory('entry-colombo', uuid.uuid4().hex).make_head(
        1, time.time()
    )
    record = KeyClaimed(
        head=head, team='archive', key=key, entry='entry-colombo'
    )
    return len(encode_record(record))

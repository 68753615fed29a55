"""Steps for the administration API, with real processes."""

import hashlib
import json
import random
import tempfile
from functools import partial
from pathlib import Path

import hypothesis
import msgspec
import yaml
from behave import fixture, given, then, use_fixture, when
from hypothesis import strategies

from tarragonlb.daemon.apioperations import OPERATIONS
from tarragonlb.standin.apiclient import ApiClient, poll
from tarragonlb.standin.cluster import OPERATOR_TOKEN, Cluster, make_fleet
from tarragonlb.telemetry.metrics import METRICS

DOCUMENT = Path(__file__).parents[4] / 'docs' / 'openapi.json'
ROLES = {'operator': OPERATOR_TOKEN, 'team': 'a team', 'viewer': 'a viewer'}
WAIT_SECONDS = 30
TEAM = (
    f'tokens: [{hashlib.sha256(b"a team").hexdigest()}]\n'
    'services: {s: {pool: a, objective: '
    '{availability: 0.9, latency_seconds: 2}}}\n'
)
SAMPLE_PARAMETERS = {'path': 'teams/archive', 'job_id': 'x', 'wave_id': 'x'}
TOO_LARGE_BYTES = 600 * 1024


class ClusterWithViewer(Cluster):
    """A cluster whose daemons also have an operator with role viewer."""

    __slots__ = ()

    def start_daemon(self, name):
        settings = {
            'name': name,
            'zone': name.removeprefix('entry-'),
            'listen': self.addresses[name],
            'peer_listen': self.peers[name],
            'platform': self.platform,
            'operators': [
                {
                    'name': role,
                    'token_sha256': hashlib.sha256(token.encode()).hexdigest(),
                    'role': 'viewer' if role == 'viewer' else 'admin',
                }
                for role, token in ROLES.items()
                if role != 'team'
            ],
        }
        path = self._folder / f'{name}.yaml'
        path.write_text(yaml.safe_dump(settings))
        self._spawn(name, 'tarragonlbd', '--settings', str(path))


@fixture
def run_cluster(context):
    with tempfile.TemporaryDirectory() as folder:
        cluster = ClusterWithViewer(Path(folder), make_fleet({'a': 2}))
        cluster.addresses = dict(list(cluster.addresses.items())[:1])
        try:
            cluster.start()
            yield cluster
        finally:
            cluster.stop()


@given('an installation with a team and a viewer')
def start(context):
    with context.use_with_user_mode():
        cluster = use_fixture(run_cluster, context)
    context.cluster = cluster
    address = next(iter(cluster.addresses.values()))
    context.clients = {
        role: ApiClient(address, token) for role, token in ROLES.items()
    }
    context.unauthorized_client = ApiClient(address, 'nobody')
    operator = context.clients['operator']
    publish(operator, '/fleet', 'api_requests_per_second: 100000')
    publish(operator, '/teams/archive', TEAM)
    poll(partial(list_known_pools, operator), WAIT_SECONDS)


def publish(client, path, text):
    target = f'/v1/settings{path}'
    present = client.get(target)
    version = present.fields['version'] if present.status == 200 else 0
    headers = {'if-match': str(version)}
    answer = client.put(target, text.encode(), headers)
    assert answer.status == 200, answer


def list_known_pools(client):
    return client.get('/v1/pools').rows


def list_operations():
    paths = json.loads(DOCUMENT.read_text())['paths']
    for path, methods in paths.items():
        for method in methods:
            yield method, path


def fill_parameters(path):
    for name, text in SAMPLE_PARAMETERS.items():
        path = path.replace(f'{{{name}}}', text)
    return path


@then('every operation except health checks refuses a caller without a token')
def check_tokens(context):
    for method, path in list_operations():
        answer = context.unauthorized_client.request(
            method.upper(), fill_parameters(path)
        )
        operation = OPERATIONS.get(f'{method} {path}')
        is_open = operation is not None and operation.is_open
        assert answer.status == (200 if is_open else 401), (path, answer)


@then('every documented answer to an operator has the documented fields')
def check_answers(context):
    seen = 0
    for name, operation in OPERATIONS.items():
        method, path = name.split(' ')
        if method == 'get' and operation.answer:
            answer = context.clients['operator'].get(fill_parameters(path))
            if answer.status == 200:
                msgspec.json.decode(answer.text, type=operation.answer)
                seen += 1
            else:
                assert answer.status == 404, (path, answer)
    assert seen >= 8, seen


@then('a path that is not documented is refused as JSON')
def check_unknown(context):
    for path in ('/', '/v1', '/v1/nothing', '/v1/status/x'):
        answer = context.clients['operator'].get(path)
        assert answer.status == 404, answer
        assert answer.fields['verdict'] == 'not-run', answer


@when('the {role} sends {method} to {path}')
def send(context, role, method, path):
    headers = {'if-match': '99'}
    body = b'' if method == 'GET' else b'{}'
    client = context.clients[role]
    context.answer = client.request(method, path, body, headers)


@then('these calls have these statuses')
def check_statuses(context):
    for row in context.table:
        send(context, row['role'], row['method'], row['path'])
        assert context.answer.status == int(row['status']), (
            row,
            context.answer,
        )


@then('any body to any operation is answered without a server error')
def check_any_body(context):
    operations = [
        (method, fill_parameters(path))
        for method, path in list_operations()
        if not path.startswith('/call')
    ]
    names = ('kind', 'pool', 'cores', 'count', 'status', 'at_once', 'payload')
    leaves = strategies.one_of(
        strategies.none(),
        strategies.booleans(),
        strategies.integers(),
        strategies.floats(),
        strategies.text(max_size=8),
    )
    trees = strategies.recursive(
        leaves,
        lambda inner: (
            strategies.lists(inner, max_size=3)
            | strategies.dictionaries(
                strategies.sampled_from(names), inner, max_size=4
            )
        ),
    )
    bodies = strategies.binary(max_size=30) | trees.map(
        lambda tree: json.dumps(tree).encode()
    )
    header = strategies.text(
        strategies.characters(min_codepoint=33, max_codepoint=126), max_size=8
    )

    @hypothesis.settings(
        max_examples=200, derandomize=True, deadline=None, database=None
    )
    @hypothesis.given(strategies.sampled_from(operations), bodies, header)
    def check(operation, body, text):
        headers = {
            'if-match': f'9{text}',
            'tarragon-source': text,
            'idempotency-key': text,
        }
        method, path = operation
        client = context.clients['operator']
        answer = client.request(method.upper(), path, body, headers)
        assert answer.status < 500, (operation, body, answer)

    check()


@then('a body that is too large is refused with 413')
def check_too_large(context):
    client = context.clients['operator']
    body = random.Random(1).randbytes(TOO_LARGE_BYTES)
    answer = client.request('POST', '/v1/jobs', body)
    assert answer.status == 413, answer


@then('the settings are unchanged')
def check_settings(context):
    operator = context.clients['operator']
    entry = operator.get('/v1/settings/teams/archive').fields
    assert (entry['version'], entry['text']) == (1, TEAM), entry


@then('the metrics are among those documented and have their units')
def check_metrics(context):
    documented = {metric.name: metric.unit for metric in METRICS}
    context.seen = {
        metric['name']: metric['unit']
        for resource in context.answer.fields['resource_metrics']
        for scope in resource['scope_metrics']
        for metric in scope['metrics']
    }
    assert context.seen.items() <= documented.items(), context.seen


@then('requests, offsets and durations are among them')
def check_names(context):
    names = {metric.name for metric in METRICS}
    missing = names - set(context.seen)
    assert missing <= {'tarragonlb.vms.unavailable', 'tarragonlb.jobs'}, missing


@when('the operator allows {rate:g} calls a second')
def set_rate_limit(context, rate):
    text = f'api_requests_per_second: {rate}'
    publish(context.clients['operator'], '/fleet', text)


@then('of 20 calls at once some are refused with 429 and Retry-After')
def check_limit(context):
    client = context.clients['viewer']
    answers = [client.get('/v1/status') for _ in range(20)]
    refused = [answer for answer in answers if answer.status == 429]
    assert {answer.status for answer in answers} == {200, 429}, answers
    for answer in refused:
        assert int(answer.headers['retry-after']) >= 1, answer
    context.answer = refused[0]


@then('the refusal names /fleet api_requests_per_second')
def check_setting(context):
    assert '/fleet api_requests_per_second' in context.answer.text

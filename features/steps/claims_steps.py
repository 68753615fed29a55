"""Steps for at-most-once execution across entry VMs.

An issued key comes from an entry VM, its issuer; a free key is chosen by the
client.
"""

import signal
import tempfile
import uuid
from pathlib import Path

from behave import given, then, when

from tarragonlb.standin.apiclient import ApiClient, poll
from tarragonlb.standin.cluster import OPERATOR_TOKEN, Cluster, make_fleet
from tarragonlb.standin.fault import PlatformFaults

EXAMPLES = Path(__file__).parent.parent.parent / 'examples' / 'demo'
ISSUER = 'entry-colombo'
PATH = '/call/dispatch-booklet/x'
ACTIVATION_SECONDS = 18


def make_client(context, entry, token='demo-archive'):
    return ApiClient(context.cluster.addresses[entry], token)


def send(context, entry, key):
    path = f'{PATH}?mark={context.mark}'
    return make_client(context, entry).post(path, {}, {'idempotency-key': key})


def can_call(context, entry):
    """Return whether an entry VM has settings, endpoints and peer links."""
    keys = make_client(context, entry).post('/v1/keys', {'count': 1})
    if keys.status != 200:
        return False
    headers = {'idempotency-key': keys.fields['keys'][0]}
    return all(
        make_client(context, other).post(PATH, {}, headers).status in {200, 409}
        for other in context.cluster.addresses
    )


@given("an installation with the demo's settings")
def start_installation(context):
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    fleet = make_fleet({'transcription': 3})
    context.cluster = Cluster(Path(folder.name), fleet)
    context.add_cleanup(context.cluster.stop)
    context.cluster.start()
    context.mark = uuid.uuid4().hex
    settings = (EXAMPLES / 'team-archive.yaml').read_bytes()
    operator = make_client(context, ISSUER, OPERATOR_TOKEN)
    path = '/v1/settings/teams/archive'
    assert operator.put(path, settings, {'if-match': '0'}).status == 200
    for entry in context.cluster.addresses:
        poll(lambda name=entry: can_call(context, name), ACTIVATION_SECONDS)


@given('an issued key')
def get_issued_key(context):
    response = make_client(context, ISSUER).post('/v1/keys', {'count': 1})
    context.key = response.fields['keys'][0]


@given('a free key')
def make_free_key(context):
    context.key = uuid.uuid4().hex


@given('the log is down')
def start_log_outage(context):
    context.cluster.set_faults(PlatformFaults(log_down=True))


@given('its issuer is killed')
def kill(context):
    context.cluster.send_signal(ISSUER, signal.SIGKILL)
    context.cluster.wait_for_exit(ISSUER)


@given('its issuer is paused')
def pause(context):
    context.cluster.send_signal(ISSUER, signal.SIGSTOP)


@when('its issuer is resumed')
def resume(context):
    context.cluster.send_signal(ISSUER, signal.SIGCONT)


@when('it is sent through "{entry}"')
def send_first(context, entry):
    context.first = send(context, entry, context.key)


@when('it is sent again through "{second}" and "{third}"')
def send_again(context, second, third):
    context.again = [
        send(context, entry, context.key) for entry in (second, third)
    ]


@when('a free key is sent through "{entry}"')
def send_free(context, entry):
    context.free = send(context, entry, uuid.uuid4().hex)


def count_runs(context):
    marks = [
        mark
        for vm in context.cluster.fleet.vms
        for mark in ApiClient(vm.address, 'none').get('/journal').rows
    ]
    return marks.count(context.mark)


@then('one request ran')
def check_one_run(context):
    assert context.first.status == 200, context.first
    assert context.first.headers['tarragon-verdict'] == 'ran'
    assert count_runs(context) == 1


@then('no request ran')
def check_no_run(context):
    assert count_runs(context) == 0


@then('the second responses say that it may have run')
def check_second_responses(context):
    for response in context.again:
        assert response.status == 409, response
        verdict = response.headers['tarragon-verdict']
        assert verdict in {'may-have-run', 'ran'}, response


@then('the response says that it may have run')
def check_first_response(context):
    assert context.first.status in {409, 503}, context.first
    verdict = context.first.headers['tarragon-verdict']
    assert verdict == 'may-have-run', context.first


@then('the free key was refused as not run')
def check_free_key(context):
    assert context.free.status == 503, context.free
    assert context.free.headers['tarragon-verdict'] == 'not-run', context.free

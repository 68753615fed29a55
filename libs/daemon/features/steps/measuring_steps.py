"""Steps for the measurement of requests."""

import contextlib
import hashlib
from types import SimpleNamespace

import trio
from behave import given, then, when

from tarragonlb.daemon.access import AccessTable
from tarragonlb.daemon.burnreporter import list_causes
from tarragonlb.daemon.requestmeter import RequestMeter
from tarragonlb.journal.settingfold import activate_document
from tarragonlb.journal.state import State
from tarragonlb.model.entry import Charge, SettingEntry, VmEntry
from tarragonlb.model.ownership import ChargeReason
from tarragonlb.settings.reader import read_document, read_settings
from tarragonlb.settings.startup import DaemonSettings
from tarragonlb.telemetry.meter import BurnMeter
from tarragonlb.telemetry.metrics import Instruments

TOKEN = 'a token'
DIGEST = hashlib.sha256(TOKEN.encode()).hexdigest()
PATH = '/teams/archive'
SERVICE = 'archive/s'
SETTING_OFFSET = 7
START_UP_FILE = (
    'name: n\nzone: z\nlisten: 127.0.0.1:1\n'
    'peer_listen: 127.0.0.1:2\nplatform: 127.0.0.1:3'
)


@given('a team with a service and its token')
def start(context):
    context.state = State()
    text = f'tokens: [{DIGEST}]\nservices: {{s: {{pool: a}}}}'
    activate_document(context.state, PATH, read_document(text, PATH))
    context.state.settings_offset = SETTING_OFFSET
    context.state.settings[PATH] = SettingEntry(
        path=PATH,
        text=text,
        source='test',
        author='nimal',
        version=1,
        offset=SETTING_OFFSET,
        written_at=0,
    )
    context.token = TOKEN


@when('a request ends with status {status:d} and verdict {verdict}')
def end_request(context, status, verdict):
    measure(context, status, verdict, more_body_flags=(False,))


@when('a request is cut with status {status:d} and verdict {verdict}')
def cut_request(context, status, verdict):
    measure(context, status, verdict, more_body_flags=(True,))


@when('a request is left with status {status:d} and verdict {verdict}')
def disconnect_request(context, status, verdict):
    measure(context, status, verdict, more_body_flags=(True,), disconnects=True)


@when('a request fails with status {status:d} and verdict {verdict}')
def fail_request(context, status, verdict):
    measure(context, status, verdict, more_body_flags=())


@when(
    'an unauthorized request ends with status {status:d} and verdict {verdict}'
)
def end_unauthorized_request(context, status, verdict):
    context.token = 'another token'
    measure(context, status, verdict, more_body_flags=(False,))


def measure(context, status, verdict, *, more_body_flags, disconnects=False):
    settings = read_settings(START_UP_FILE, 'start', DaemonSettings)
    burn = BurnMeter()
    meter = RequestMeter(
        AccessTable(settings, context.state),
        SimpleNamespace(state=context.state),
        burn,
        Instruments(),
    )
    scope = {
        'path': '/call/s/x',
        'headers': [(b'authorization', f'Bearer {context.token}'.encode())],
    }

    async def serve(scope, receive, send):
        if disconnects:
            await receive()
        if not more_body_flags:
            raise ConnectionError('the service sent no response')
        headers = [(b'tarragon-verdict', verdict.encode())]
        start = {'type': 'http.response.start', 'status': status}
        await send(start | {'headers': headers})
        for more in more_body_flags:
            await send({'type': 'http.response.body', 'more_body': more})

    async def receive():
        return {'type': 'http.disconnect'}

    async def send(event):
        await trio.lowlevel.checkpoint()

    with contextlib.suppress(ConnectionError):
        trio.run(meter.serve, serve, scope, receive, send)
    context.counts = burn.collect_and_reset()


@then('the service counts {good:d} good and {bad:d} bad')
def check_counts(context, good, bad):
    seen = [(count.service, count.good, count.bad) for count in context.counts]
    assert seen == ([(SERVICE, good, bad)] if good or bad else []), seen


def add_vm(context, vm_id, reason, wave_id=''):
    charge = Charge(reason=reason, boot=1, wave_id=wave_id, offset=1)
    context.state.vms[vm_id] = VmEntry(
        vm_id=vm_id,
        pool=vm_id.partition('-')[0],
        zone='z',
        rack='r',
        charge=charge,
    )


@given('a VM of its pool that a wave drained, and one that failed')
def add_unavailable_vms(context):
    add_vm(context, 'a-1', ChargeReason.WAVE, '70e94343bf6c4048')
    add_vm(context, 'a-2', ChargeReason.FAILURE)


@given('a VM of another pool that failed')
def add_vm_of_other_pool(context):
    add_vm(context, 'b-1', ChargeReason.FAILURE)


@then('the causes are')
def check_causes(context):
    causes = list(list_causes(context.state, SERVICE, 0))
    assert causes == [row['cause'] for row in context.table], causes


@then('after the next summary the setting is no longer a cause')
def check_causes_after_summary(context):
    causes = list(list_causes(context.state, SERVICE, SETTING_OFFSET))
    assert len(causes) == 2, causes

"""Steps about entry VMs that are replaced."""

import signal
import time

import cbor2
import httpcore
from behave import given, then, when

from tarragonlb.standin.apiclient import poll
from tarragonlb.standin.fault import PlatformFaults
from tarragonlb.standin.installation import TEAM_PATH
from tarragonlb.standin.observer import try_get

WAIT_SECONDS = 60
BATCH_RECORDS = 50


@given('an installation whose log keeps {count:d} records')
def keep_few(context, count):
    context.start(retention_records=count)


def replace_entry(context):
    context.cluster.send_signal('entry-kandy', signal.SIGKILL)
    context.cluster.wait_for_exit('entry-kandy')
    context.cluster.start_daemon('entry-kandy')


@when('an entry VM is replaced while the log is down')
def replace_in_outage(context):
    context.cluster.set_faults(PlatformFaults(log_down=True))
    replace_entry(context)


@then('it refuses to show settings that it can not know, and then shows them')
def check_refusal(context):
    operator = context.installation.make_operator_client('entry-kandy')
    shown = poll(lambda: try_get(operator, TEAM_PATH), WAIT_SECONDS)
    known = shown.status == 200 and shown.fields['version'] == 1
    assert known or shown.status == 503, shown
    assert known or shown.headers['tarragon-verdict'] == 'not-run', shown
    context.cluster.set_faults(PlatformFaults())
    check_settings(context)


@when('{count:d} records more are appended and an entry VM is replaced')
def append_records(context, count):
    batch = [b'no record' for _ in range(BATCH_RECORDS)]
    for _ in range(count // BATCH_RECORDS):
        httpcore.request(
            'POST',
            f'http://{context.cluster.platform}/log/append',
            content=cbor2.dumps(batch),
        )
        time.sleep(0.5)
    replace_entry(context)


@then('the new daemon shows the settings of the team')
def check_settings(context):
    context.cluster.wait_until_ready('entry-kandy')
    shown = context.installation.make_operator_client('entry-kandy').get(
        TEAM_PATH
    )
    assert shown.status == 200 and shown.fields['version'] == 1, shown

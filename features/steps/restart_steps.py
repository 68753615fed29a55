"""Steps that replace entry VMs."""

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
def start_with_short_retention(context, count):
    context.start(retention_records=count)


def replace_entry(context):
    context.cluster.send_signal('entry-kandy', signal.SIGKILL)
    context.cluster.wait_for_exit('entry-kandy')
    context.cluster.start_daemon('entry-kandy')


@when('an entry VM is replaced while the log is down')
def replace_during_outage(context):
    context.cluster.set_faults(PlatformFaults(log_down=True))
    replace_entry(context)


@then(
    'it refuses settings that it cannot know, and serves them after the outage'
)
def check_refusal(context):
    operator = context.installation.make_operator_client('entry-kandy')
    response = poll(lambda: try_get(operator, TEAM_PATH), WAIT_SECONDS)
    is_known = response.status == 200 and response.fields['version'] == 1
    assert is_known or response.status == 503, response
    assert is_known or response.headers['tarragon-verdict'] == 'not-run', (
        response
    )
    context.cluster.set_faults(PlatformFaults())
    check_settings(context)


@when('{count:d} more records are appended and an entry VM is replaced')
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


@then('the new daemon serves the settings of the team')
def check_settings(context):
    context.cluster.wait_until_ready('entry-kandy')
    response = context.installation.make_operator_client('entry-kandy').get(
        TEAM_PATH
    )
    assert response.status == 200 and response.fields['version'] == 1, response

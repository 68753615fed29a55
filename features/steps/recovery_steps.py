"""Steps that hold an installation at one chosen moment."""

import dataclasses
import signal
import tempfile
import threading
import time
from pathlib import Path

import cbor2
import httpcore
from behave import given, then, when

from tarragonlb.standin.caller import poll
from tarragonlb.standin.cluster import Cluster, make_fleet
from tarragonlb.standin.fault import Faults
from tarragonlb.standin.installation import TEAM_PATH, Installation
from tarragonlb.standin.observer import try_get

WAIT_SECONDS = 60
LATE_REQUESTS = 20
BATCH_RECORDS = 50


def start(context, **changes):
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    fleet = dataclasses.replace(make_fleet({'transcription': 6}), **changes)
    context.cluster = Cluster(Path(folder.name), fleet)
    context.add_cleanup(context.cluster.stop)
    context.installation = Installation(context.cluster)
    context.installation.start(context.documents)


@given('an installation with a wave that has drained the first VMs')
def prepare_wave(context):
    start(context)
    context.planner = context.installation.find_planner()
    names = ('entry-colombo', 'entry-negombo')
    context.paused = next(name for name in names if name != context.planner)


@when('an entry VM of the same zone is paused before and woken after')
def pause_entry(context):
    cluster = context.cluster
    cluster.pause(context.paused)
    asking = [
        threading.Thread(
            target=context.installation.call, args=(context.paused, 'late')
        )
        for _ in range(LATE_REQUESTS)
    ]
    for thread in asking:
        thread.start()
    context.installation.start_wave(context.planner)
    poll(lambda: context.installation.count_drains() == 2, WAIT_SECONDS)
    cluster.set_faults(Faults(acts_down=True))
    time.sleep(2)
    cluster.send_signal(context.paused, signal.SIGCONT)
    for thread in asking:
        thread.join()


@then('the drained endpoints got no request')
def check_drained(context):
    drains = {act.vm_id for act in context.cluster.read_report().drains}
    late = [one for one in context.cluster.read_events() if one.mark == 'late']
    assert late and not [one for one in late if one.endpoint in drains], late


@given('an installation whose platform refuses every act')
def refuse_acts(context):
    start(context)
    context.cluster.set_faults(Faults(acts_down=True))


@when('a wave has charged VMs and the rack of others fails')
def fail_rack(context):
    context.installation.start_wave('entry-colombo')
    list_away = context.installation.list_away
    poll(lambda: len(list_away('entry-colombo')) == 2, WAIT_SECONDS)
    faults = Faults(acts_down=True, gone_racks=('rack-2',))
    context.cluster.set_faults(faults)
    poll(lambda: len(list_away('entry-colombo')) == 4, WAIT_SECONDS)
    time.sleep(3)


@when('the platform takes acts again')
def take_acts(context):
    context.cluster.set_faults(Faults(gone_racks=('rack-2',)))
    time.sleep(3)
    context.cluster.set_faults(Faults())
    poll(context.installation.count_drains, WAIT_SECONDS)


@then('at most {count:d} VMs are away when a VM is drained')
def check_away(context, count):
    report = context.cluster.read_report()
    assert report.most_away['transcription'] <= count, report.most_away


@given('an installation whose log keeps {count:d} records')
def keep_few(context, count):
    start(context, retention_records=count)


def replace_entry(context):
    context.cluster.send_signal('entry-kandy', signal.SIGKILL)
    context.cluster.wait_end('entry-kandy')
    context.cluster.start_daemon('entry-kandy')


@when('an entry VM is replaced while the log is down')
def replace_in_outage(context):
    context.cluster.set_faults(Faults(log_down=True))
    replace_entry(context)


@then('it refuses to show settings that it can not know, and then shows them')
def check_refusal(context):
    operator = context.installation.find_operator('entry-kandy')
    shown = poll(lambda: try_get(operator, TEAM_PATH), WAIT_SECONDS)
    known = shown.status == 200 and shown.fields['version'] == 1
    assert known or shown.status == 503, shown
    assert known or shown.headers['tarragon-verdict'] == 'not-run', shown
    context.cluster.set_faults(Faults())
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
    context.cluster.wait_ready('entry-kandy')
    shown = context.installation.find_operator('entry-kandy').get(TEAM_PATH)
    assert shown.status == 200 and shown.fields['version'] == 1, shown

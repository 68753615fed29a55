"""Steps that hold an installation at one chosen moment."""

import signal
import threading
import time

from behave import given, then, when

from tarragonlb.standin.apiclient import poll
from tarragonlb.standin.fault import PlatformFaults

WAIT_SECONDS = 60
LATE_REQUESTS = 20


@given('an installation with a wave that has drained the first VMs')
def prepare_wave(context):
    context.start()
    context.planner = context.installation.find_planner()
    names = ('entry-colombo', 'entry-negombo')
    context.paused = next(name for name in names if name != context.planner)


@when('an entry VM of the same zone is paused before and woken after')
def pause_entry(context):
    cluster = context.cluster
    cluster.pause(context.paused)
    asking = [
        threading.Thread(
            target=context.installation.send_request,
            args=(context.paused, 'late'),
        )
        for _ in range(LATE_REQUESTS)
    ]
    for thread in asking:
        thread.start()
    context.installation.start_wave(context.planner)
    poll(lambda: context.installation.count_drains() == 2, WAIT_SECONDS)
    cluster.set_faults(PlatformFaults(acts_down=True))
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
    context.start()
    context.cluster.set_faults(PlatformFaults(acts_down=True))


@when('a wave has charged VMs and the rack of others fails')
def fail_rack(context):
    context.installation.start_wave('entry-colombo')
    list_unavailable = context.installation.list_unavailable
    poll(lambda: len(list_unavailable('entry-colombo')) == 2, WAIT_SECONDS)
    faults = PlatformFaults(acts_down=True, gone_racks=('rack-2',))
    context.cluster.set_faults(faults)
    poll(lambda: len(list_unavailable('entry-colombo')) == 4, WAIT_SECONDS)
    time.sleep(3)


@when('the platform takes acts again')
def take_acts(context):
    context.cluster.set_faults(PlatformFaults(gone_racks=('rack-2',)))
    time.sleep(3)
    context.cluster.set_faults(PlatformFaults())
    poll(context.installation.count_drains, WAIT_SECONDS)


@then('at most {count:d} VMs are away when a VM is drained')
def check_away(context, count):
    report = context.cluster.read_report()
    assert report.most_away['transcription'] <= count, report.most_away

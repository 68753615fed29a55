"""Steps that hold an installation in a state that is hard to reach."""

import signal
import threading
import time

from behave import given, then, when

from tarragonlb.standin.apiclient import poll
from tarragonlb.standin.fault import PlatformFaults

WAIT_SECONDS = 60
LATE_REQUEST_COUNT = 20


@given('an installation and a daemon that is not the planner')
def choose_paused_daemon(context):
    context.start()
    context.planner = context.installation.find_planner()
    names = ('entry-colombo', 'entry-negombo')
    context.paused = next(name for name in names if name != context.planner)


@when('the daemon is paused before a wave drains VMs and resumed afterwards')
def pause_during_drains(context):
    cluster = context.cluster
    cluster.pause(context.paused)
    senders = [
        threading.Thread(
            target=context.installation.send_request,
            args=(context.paused, 'late'),
        )
        for _ in range(LATE_REQUEST_COUNT)
    ]
    for thread in senders:
        thread.start()
    context.installation.start_wave(context.planner)
    poll(lambda: context.installation.count_drains() == 2, WAIT_SECONDS)
    cluster.set_faults(PlatformFaults(acts_down=True))
    time.sleep(2)
    cluster.send_signal(context.paused, signal.SIGCONT)
    for thread in senders:
        thread.join()


@then('the drained endpoints received no request')
def check_drained(context):
    drained = {action.vm_id for action in context.cluster.read_report().drains}
    late = [
        event for event in context.cluster.read_events() if event.mark == 'late'
    ]
    assert late and not [
        event for event in late if event.endpoint in drained
    ], late


@given('an installation whose platform refuses every action')
def refuse_actions(context):
    context.start()
    context.cluster.set_faults(PlatformFaults(acts_down=True))


@when('a wave has charged VMs and the rack of other VMs fails')
def fail_rack(context):
    context.installation.start_wave('entry-colombo')
    list_unavailable = context.installation.list_unavailable
    poll(lambda: len(list_unavailable('entry-colombo')) == 2, WAIT_SECONDS)
    faults = PlatformFaults(acts_down=True, gone_racks=('rack-2',))
    context.cluster.set_faults(faults)
    poll(lambda: len(list_unavailable('entry-colombo')) == 4, WAIT_SECONDS)
    time.sleep(3)


@when('the platform accepts actions again')
def accept_actions(context):
    context.cluster.set_faults(PlatformFaults(gone_racks=('rack-2',)))
    time.sleep(3)
    context.cluster.set_faults(PlatformFaults())
    poll(context.installation.count_drains, WAIT_SECONDS)


@then('at most {count:d} VMs are unavailable when a VM is drained')
def check_unavailable(context, count):
    report = context.cluster.read_report()
    assert report.most_away['transcription'] <= count, report.most_away

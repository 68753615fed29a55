from dataclasses import replace

from behave import given, then
from simulation import SETTINGS

from tarragonlb.controller.policies import build_policies
from tarragonlb.scheduling.fairshare import FairShareOrder
from tarragonlb.scheduling.policies import NoStartLimit, UrgencyOrder
from tarragonlb.telemetry.tenantmetrics import OTHER, TenantMeter, TenantValues


@then('settings without tenants choose the order by urgency')
def check_urgency(context):
    assert (
        type(build_policies(SETTINGS, NoStartLimit(), ()).order) is UrgencyOrder
    )


@then('settings with tenants choose fair shares')
def check_shares(context):
    settings = replace(SETTINGS, has_tenants=True)
    assert (
        type(build_policies(settings, NoStartLimit(), ()).order)
        is FairShareOrder
    )


@given('{count:d} tenants that wait for 1 to {most:d} tasks')
def update_meter(context, count, most):
    context.meter = TenantMeter()
    context.meter.update(
        1,
        {
            f't{number}': TenantValues(number, 0, 0)
            for number in range(1, most + 1)
        },
    )


@then(
    'the metrics name {count:d} tenants and sum up {tasks:d} tasks of the '
    'others'
)
def check_meter(context, count, tasks):
    shown = context.meter.read(0)
    assert len(shown) == count + 1, shown
    assert shown[OTHER] == tasks, shown

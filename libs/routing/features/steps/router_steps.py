"""Steps for the request router."""

from behave import then
from router_machine import run_router_machine


@then('{streams:d} random streams of {steps:d} events violate no invariant')
def check_streams(context, streams, steps):
    assert run_router_machine(None, streams, steps) > streams

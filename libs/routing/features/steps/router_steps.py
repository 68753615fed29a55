"""Steps for the routing front."""

from behave import then
from router_machine import run_router_machine


@then('{streams:d} random streams of {steps:d} events break no promise')
def check_streams(context, streams, steps):
    assert run_router_machine(None, streams, steps) > streams

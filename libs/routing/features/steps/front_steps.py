"""Steps for the routing front."""

from behave import then
from front_machine import run_front_machine


@then('{streams:d} random streams of {steps:d} events break no promise')
def check_streams(context, streams, steps):
    assert run_front_machine(None, streams, steps) > streams

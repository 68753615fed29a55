from behave import given, then, when

from tarragonlb.controller.adaptivetimeout import AdaptiveTimeout


@given('an adaptive timeout of {seconds:g} seconds')
def create_timeout(context, seconds):
    context.timeout = AdaptiveTimeout()
    assert context.timeout.seconds == seconds


@when('{count:d} calls time out')
def record_timeouts(context, count):
    for _ in range(count):
        context.timeout.record_timeout()


@when('a response takes {seconds:g} seconds')
def record_response(context, seconds):
    context.timeout.record_response(seconds)


@then('the timeout is {seconds:g} seconds')
def check_timeout(context, seconds):
    assert abs(context.timeout.seconds - seconds) < 0.001

import json
import threading

from behave import given, then, when

from tarragonlb.telemetry.sink import LEFT_OUT, LineSink

JOIN_SECONDS = 5.0
STUCK_SECONDS = 0.3


def open_sink(context, goes_on):
    # Bound here: the thread of an earlier scenario must not write into this
    # scenario's lines.
    lines = []
    gate = threading.Event()
    context.lines = lines
    context.now = 0.0
    context.goes_on = gate
    if goes_on:
        gate.set()

    def write(line):
        gate.wait()
        lines.append(json.loads(line))

    context.write = write
    context.sink = LineSink(write, now=lambda: context.now)
    context.sink.start()


@given('a log whose reader stands still')
def open_blocked(context):
    open_sink(context, goes_on=False)


@given('a log whose reader is quick')
def open_quick(context):
    open_sink(context, goes_on=True)


@given('a log that writes to its reader directly')
def open_direct(context):
    open_sink(context, goes_on=False)


@when('{count:d} lines are written')
def write_lines(context, count):
    for number in range(count):
        context.now = number / 1000
        context.sink({'sentence': f'kind {number % 20}', 'number': number})


@when('a line is written while the reader stands still')
def write_directly(context):
    context.thread = threading.Thread(
        target=context.write, args=(b'{}',), daemon=True
    )
    context.thread.start()
    context.thread.join(STUCK_SECONDS)


@when('the reader goes on and a second passes')
def go_on(context):
    context.goes_on.set()
    wait_until_read(context)
    context.now += 2
    context.sink({'sentence': 'later'})
    wait_until_read(context)


@when('{many:d} lines of one kind and 1 of another are written in one second')
def write_two_kinds(context, many):
    for number in range(many):
        context.sink({'sentence': 'many', 'number': number})
    context.sink({'sentence': 'one'})
    wait_until_read(context)


def wait_until_read(context):
    waiter = threading.Thread(target=context.sink._queue.join, daemon=True)
    waiter.start()
    waiter.join(JOIN_SECONDS)
    assert not waiter.is_alive()


@then('all calls have returned')
def check_returned(context):
    assert context.sink._left_out


@then('a line counts what was left out')
def check_summary(context):
    left_out = sum(
        sum(line['counts'].values())
        for line in context.lines
        if line['sentence'] == LEFT_OUT
    )
    written = [line for line in context.lines if 'number' in line]
    assert left_out + len(written) == 5000, (left_out, len(written))


@then('the call has not returned')
def check_stuck(context):
    assert context.thread.is_alive()
    context.goes_on.set()


@then('{first:d} lines of the first kind and {second:d} of the other were read')
def check_kinds(context, first, second):
    kinds = [line['sentence'] for line in context.lines]
    assert kinds.count('many') == first
    assert kinds.count('one') == second

import json
import threading

from behave import given, then, when

from tarragonlb.telemetry.sink import DROPPED_SENTENCE, LineSink

JOIN_SECONDS = 5.0
BLOCKED_SECONDS = 0.3


def start_sink(context, unblocked):
    # Local variables: the thread of an earlier scenario must not write into the
    # lines of this one.
    lines = []
    gate = threading.Event()
    context.lines = lines
    context.now = 0.0
    context.unblocked = gate
    if unblocked:
        gate.set()

    def write(line):
        gate.wait()
        lines.append(json.loads(line))

    context.write = write
    context.sink = LineSink(write, now=lambda: context.now)
    context.sink.start()


@given('a log whose reader is blocked')
def start_blocked(context):
    start_sink(context, unblocked=False)


@given('a log whose reader is not blocked')
def start_unblocked(context):
    start_sink(context, unblocked=True)


@given('a log that writes to a blocked reader without a queue')
def start_direct(context):
    start_sink(context, unblocked=False)


@when('{count:d} lines are written')
def write_lines(context, count):
    for number in range(count):
        context.now = number / 1000
        context.sink({'sentence': f'kind {number % 20}', 'number': number})


@when('a line is written while the reader is blocked')
def write_directly(context):
    context.thread = threading.Thread(
        target=context.write, args=(b'{}',), daemon=True
    )
    context.thread.start()
    context.thread.join(BLOCKED_SECONDS)


@when('the reader is unblocked and a second passes')
def unblock_reader(context):
    context.unblocked.set()
    wait_until_written(context)
    context.now += 2
    context.sink({'sentence': 'later'})
    wait_until_written(context)


@when('{many:d} lines of one kind and 1 of another are written in one second')
def write_two_kinds(context, many):
    for number in range(many):
        context.sink({'sentence': 'many', 'number': number})
    context.sink({'sentence': 'one'})
    wait_until_written(context)


def wait_until_written(context):
    waiter = threading.Thread(target=context.sink._queue.join, daemon=True)
    waiter.start()
    waiter.join(JOIN_SECONDS)
    assert not waiter.is_alive()


@then('all calls have returned')
def check_returned(context):
    assert context.sink._dropped


@then('a line has the number of dropped lines')
def check_summary(context):
    dropped = sum(
        sum(line['counts'].values())
        for line in context.lines
        if line['sentence'] == DROPPED_SENTENCE
    )
    written = [line for line in context.lines if 'number' in line]
    assert dropped + len(written) == 5000, (dropped, len(written))


@then('the call has not returned')
def check_blocked(context):
    assert context.thread.is_alive()
    context.unblocked.set()


@then(
    '{first:d} lines of the first kind and {second:d} of the other were written'
)
def check_kinds(context, first, second):
    kinds = [line['sentence'] for line in context.lines]
    assert kinds.count('many') == first
    assert kinds.count('one') == second

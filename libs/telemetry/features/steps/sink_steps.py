import contextlib
import json
import os
import resource
import tempfile
import threading
from pathlib import Path

from behave import given, then, when

from tarragonlb.telemetry.linewriter import LineWriter
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


class Unprintable:
    def __str__(self):
        raise LookupError

    __repr__ = __str__


def nest():
    content = []
    for _ in range(100_000):
        content = [content]
    return content


ODD_FIELDS = {
    'a lone surrogate': '\ud800',
    'a key with a lone surrogate': {'\ud800': 1},
    'an unprintable object': Unprintable(),
    'nested too deeply': nest(),
    'a huge number': 10**5000,
    'a text': 'text',
}


@when('a line is written whose field is {kind}')
def write_field(context, kind):
    context.sink({'sentence': 'odd', 'timestamp': 1.5, 'n': ODD_FIELDS[kind]})
    wait_until_written(context)


@then('both lines were written, the first with "{description}"')
def check_description(context, description):
    first, second = context.lines
    assert description in first['n'], first
    assert first['timestamp'] == 1.5, first
    assert second['n'] == 'text', second


@given('a log whose stream fails with {name} for {count:d} lines')
def start_failing(context, name, count):
    errors = [{'OSError': OSError, 'ValueError': ValueError}[name]] * count
    start_sink(context, unblocked=True)
    write = context.sink._write

    def fail_or_write(line):
        if errors:
            raise errors.pop()
        write(line)

    context.sink._write = fail_or_write


@when('{count:d} lines are written and a second passes')
def write_and_wait(context, count):
    write_lines(context, count)
    unblock_reader(context)


@then(
    '{count:d} lines were written, and a line says that {lost:d} were not, '
    'for "{name}"'
)
def check_unwritten(context, count, lost, name):
    assert len([line for line in context.lines if 'number' in line]) == count
    (summary,) = [line for line in context.lines if 'unwritten' in line]
    assert summary['sentence'] == DROPPED_SENTENCE, summary
    assert summary['unwritten'] == lost, summary
    assert name in summary['reason'], summary


@given('a writer of lines to a non-blocking pipe')
def open_pipe(context):
    context.reader, descriptor = os.pipe()
    context.add_cleanup(os.close, context.reader)
    os.set_blocking(descriptor, False)
    context.descriptor = descriptor
    context.writer = LineWriter(descriptor)


@when('{count:d} lines of {size:d} bytes are written while the reader is slow')
def write_to_pipe(context, count, size):
    def write():
        with contextlib.suppress(OSError):
            for _ in range(count):
                context.writer.write(b'x' * (size - 1) + b'\n')
        os.close(context.descriptor)

    thread = threading.Thread(target=write, daemon=True)
    thread.start()
    context.content = b''
    while part := os.read(context.reader, 1000):
        context.content += part
    thread.join(JOIN_SECONDS)


@then('the reader has {count:d} lines of {size:d} bytes')
def check_pipe(context, count, size):
    sizes = [len(line) for line in context.content.splitlines(keepends=True)]
    assert sizes == [size] * count, sizes


@given('a writer of lines to a file that takes no more than {size:d} bytes')
def limit_file(context, size):
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    context.path = Path(folder.name) / 'lines'
    descriptor = os.open(context.path, os.O_CREAT | os.O_WRONLY)
    context.add_cleanup(os.close, descriptor)
    context.writer = LineWriter(descriptor)
    context.limits = resource.getrlimit(resource.RLIMIT_FSIZE)
    context.size = size


@when(
    '{count:d} lines of {size:d} bytes are written, and another when there '
    'is room'
)
def write_to_file(context, count, size):
    line = b'x' * (size - 1) + b'\n'
    _, hard = context.limits
    resource.setrlimit(resource.RLIMIT_FSIZE, (context.size, hard))
    try:
        for _ in range(count):
            with contextlib.suppress(OSError):
                context.writer.write(line)
    finally:
        resource.setrlimit(resource.RLIMIT_FSIZE, context.limits)
    context.writer.write(line)


@then('the file has lines of {first:d}, {second:d} and {third:d} bytes')
def check_file_lines(context, first, second, third):
    lines = context.path.read_bytes().splitlines(keepends=True)
    sizes = [len(line) for line in lines]
    assert sizes == [first, second + 1, third], sizes


@when('{count:d} lines of {size:d} bytes are logged')
def log_large_lines(context, count, size):
    for _ in range(count):
        context.sink({'sentence': 'large', 'number': 'x' * size})


@then('{count:d} of these lines are written when the reader is unblocked')
def check_large_lines(context, count):
    context.unblocked.set()
    wait_until_written(context)
    assert len(context.lines) == count, len(context.lines)

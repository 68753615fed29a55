import json
import os
import signal
import subprocess
import sys
import tempfile
from pathlib import Path

from behave import then, when

RUN = """
from tarragonlb.telemetry.launch import launch
launch('program', 1)
"""
LOGGING = """
from tarragonlb.telemetry.log import Log, start_logging
def start(lifecycle):
    lifecycle.attach_log(start_logging(1).close)
    for number in range(20_000):
        Log('program').emit(f'Sentence {number % 100}.', text='x' * 100)
"""
EVENT_LOOP = """
import os, signal, time, trio
from tarragonlb.telemetry.eventloop import ProcessTasks, open_signals
def block():
    time.sleep(1000)
async def stuck():
    with trio.CancelScope(shield=True):
        await trio.sleep_forever()
def run(lifecycle, tasks):
    lifecycle.begin_run(0.1)
    trio.run(tasks, lifecycle)
    return lifecycle.describe_stop()
"""
PROGRAMS = {
    'fails': 'def main(lifecycle): raise ValueError("no luck")',
    "can't be imported": 'import no_such_module',
    'runs out of memory': 'def main(lifecycle): raise MemoryError',
    'fails in a way beyond words': """
class Unprintable(Exception):
    def __repr__(self): raise ValueError
    __str__ = __repr__
def main(lifecycle): raise Unprintable
""",
    'fails at great length': """
def main(lifecycle): raise ValueError('\\u017c' * 10**6)
""",
    'fails in a task': """
import trio
async def fail(): raise ValueError('no luck')
async def tasks():
    async with trio.open_nursery() as nursery:
        nursery.start_soon(fail)
def main(lifecycle): trio.run(tasks)
""",
    'logs a lot before it fails': LOGGING
    + """
def main(lifecycle):
    start(lifecycle)
    raise ValueError('after lines')
""",
    'opens a file, logs and fails': LOGGING
    + """
import pathlib
def main(lifecycle):
    with (pathlib.Path(__file__).parent / 'file').open('w') as opened:
        start(lifecycle)
        raise ValueError('no luck')
""",
    "can't start a thread": LOGGING
    + """
import threading
def refuse(*arguments): raise RuntimeError("can't start new thread")
def main(lifecycle):
    threading._start_new_thread = refuse
    start(lifecycle)
""",
    'ends without having been told': """
def main(lifecycle): return lifecycle.describe_stop()
""",
    'exits with code 5': 'import sys; sys.exit(5)',
    'gets signals in series': EVENT_LOOP
    + """
SERIES = 'HUP USR1 HUP USR2 ALRM VTALRM PROF IO XCPU HUP TERM TERM'.split()
def send(names):
    for name in names:
        os.kill(os.getpid(), getattr(signal, f'SIG{name}'))
async def tasks(lifecycle):
    with open_signals(lifecycle) as signals:
        send(SERIES[1:])
        async for number in signals:
            print(number.name, flush=True)
            if number == signal.SIGTERM:
                break
    send(SERIES)
def main(lifecycle):
    send(SERIES[:1])
    lifecycle.begin_run(60)
    trio.run(tasks, lifecycle)
    send(SERIES)
    return lifecycle.describe_stop()
""",
    "can't be cancelled": EVENT_LOOP
    + """
async def tasks(lifecycle):
    with open_signals(lifecycle) as signals:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(stuck)
            os.kill(os.getpid(), signal.SIGTERM)
            await anext(signals)
            nursery.cancel_scope.cancel()
def main(lifecycle): return run(lifecycle, tasks)
""",
    'blocks its event loop': EVENT_LOOP
    + """
async def tasks(lifecycle):
    os.kill(os.getpid(), signal.SIGTERM)
    block()
def main(lifecycle): return run(lifecycle, tasks)
""",
    'logs without end': LOGGING
    + EVENT_LOOP
    + """
async def tasks(lifecycle):
    start(lifecycle)
    os.kill(os.getpid(), signal.SIGTERM)
    number = 0
    while True:
        Log('program').emit(f'Sentence {(number := number + 1)}.')
        time.sleep(0)
def main(lifecycle): return run(lifecycle, tasks)
""",
    "can't be cancelled and fails": EVENT_LOOP
    + """
from tarragonlb.telemetry.log import start_logging
async def fail():
    raise ValueError('no luck')
async def tasks(lifecycle):
    with open_signals(lifecycle):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(stuck)
            nursery.start_soon(ProcessTasks(lifecycle).run, fail)
def main(lifecycle):
    lifecycle.attach_log(start_logging(1).close)
    return run(lifecycle, tasks)
""",
}
STREAMS = ('input', 'output', 'error')


def restore_interrupts():
    # A daemon keeps signals ignored that a shell ignores in the background.
    for number in (signal.SIGINT, signal.SIGQUIT):
        signal.signal(number, signal.SIG_DFL)


def start(context, program, **options):
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    (Path(folder.name) / 'program.py').write_text(program)
    context.folder = Path(folder.name)
    context.process = subprocess.Popen(
        [sys.executable, '-c', RUN],
        env={**os.environ, 'PYTHONPATH': folder.name},
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
        **{'preexec_fn': restore_interrupts, **options},
    )
    context.add_cleanup(context.process.wait)
    context.add_cleanup(context.process.kill)


def run(context, program, **options):
    start(context, program, **options)
    output, context.errors = context.process.communicate(timeout=60)
    context.lines = output.decode().splitlines()


@when('a daemon sends itself {name} while its program is imported')
def run_with_signal(context, name):
    run(context, f'import os, signal; os.kill(os.getpid(), signal.{name})')


@when('a daemon runs whose program {name}')
def run_program(context, name):
    run(context, PROGRAMS[name])


@when('a daemon whose log nobody reads logs a lot before it fails')
def run_without_reader(context):
    start(context, PROGRAMS['logs a lot before it fails'])
    context.process.wait(timeout=60)


@then('it ends with exit code {code:d}')
def check_exit_code(context, code):
    assert context.process.returncode == code, context.process.returncode


@then('its last log line has exit code {code:d} and the cause "{cause}"')
def check_last_line(context, code, cause):
    last = context.lines[-1]
    context.last = json.loads(last)
    assert len(last) < 4096, len(last)
    assert context.last['sentence'] == 'lifecycle: Process ended.', last
    assert context.last['exit_code'] == code, last
    assert cause in context.last['cause'], last
    ends = [line for line in context.lines if 'Process ended.' in line]
    assert len(ends) == 1, ends


@then('standard error says "{text}"')
def check_errors(context, text):
    assert text in context.errors.decode(), context.errors


@then('it names "{text}" as running')
def check_running(context, text):
    assert any(text in task for task in context.last['running']), context.last


@then('it has received {names}')
def check_signals(context, names):
    received = [line for line in context.lines if line.startswith('SIG')]
    assert sorted(received) == sorted(names.split(', ')), received


@then('an earlier log line names the error "{error}"')
def check_earlier_line(context, error):
    lines = [json.loads(line) for line in context.lines[:-1]]
    assert any(error in line.get('error', '') for line in lines), lines


@when('a daemon without {streams} runs that opens a file, logs and fails')
def run_without_streams(context, streams):
    def close():
        for number, name in enumerate(STREAMS):
            if name in streams:
                os.close(number)

    run(context, PROGRAMS['opens a file, logs and fails'], preexec_fn=close)


@then('the file is empty')
def check_file(context):
    assert not (context.folder / 'file').read_text()


@then('{name} has a last line with the cause "{cause}"')
def check_stream(context, name, cause):
    output = '\n'.join(context.lines)
    streams = {'output': output, 'error': context.errors.decode()}
    for stream in STREAMS[1:]:
        has_line = '"lifecycle: Process ended."' in streams[stream]
        assert has_line == (stream in name), (stream, streams)
        assert not has_line or cause in streams[stream], streams

import json
import os
import subprocess
import sys
import tempfile
from pathlib import Path

from behave import then, when

RUN = """
from tarragonlb.telemetry.lifecycle import Lifecycle
Lifecycle(1).run('program')
"""
LOGGING = """
from tarragonlb.telemetry.log import Log, start_logging
def start(lifecycle):
    lifecycle.attach_log(start_logging(1).drain)
    for number in range(20_000):
        Log('program').emit(f'Sentence {number % 100}.', text='x' * 100)
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
    'exits with code 5': 'import sys; sys.exit(5)',
}


def start(context, program):
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    (Path(folder.name) / 'program.py').write_text(program)
    context.process = subprocess.Popen(
        [sys.executable, '-c', RUN],
        env={**os.environ, 'PYTHONPATH': folder.name},
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
    )
    context.add_cleanup(context.process.wait)
    context.add_cleanup(context.process.kill)


def run(context, program):
    start(context, program)
    output, context.errors = context.process.communicate(timeout=60)
    context.lines = output.decode().splitlines()


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

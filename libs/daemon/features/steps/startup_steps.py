import json
import os
import signal
import subprocess
import sys
import tempfile
from pathlib import Path

import yaml
from behave import given, then, when

STARTED = b'process: The daemon is starting.'


def restore_interrupts():
    # A daemon keeps signals ignored that a shell ignores in the background.
    for number in (signal.SIGINT, signal.SIGQUIT):
        signal.signal(number, signal.SIG_DFL)


@given('a daemon that reads its settings from a pipe')
def start(context):
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    path = Path(folder.name) / 'settings.yaml'
    os.mkfifo(path)
    context.process = subprocess.Popen(
        [Path(sys.executable).parent / 'tarragonlbd', '--settings', str(path)],
        stdout=subprocess.DEVNULL,
        stderr=subprocess.PIPE,
        preexec_fn=restore_interrupts,
    )
    context.add_cleanup(context.process.stderr.close)
    context.add_cleanup(context.process.wait)
    context.add_cleanup(context.process.kill)
    # Returns when the daemon has opened the other end.
    context.settings = path.open('w')
    context.add_cleanup(context.settings.close)


@when('it is given {kind} settings and then {names}')
def write_settings(context, kind, names):
    valid = {
        'name': 'entry-a',
        'zone': 'a',
        'listen': '127.0.0.1:0',
        'peer_listen': '127.0.0.1:0',
        'platform': '127.0.0.1:9',
    }
    if kind != 'no':
        settings = valid if kind == 'valid' else {'name': 1}
        context.settings.write(yaml.safe_dump(settings))
        context.settings.close()
    lines = iter(context.process.stderr)
    if kind == 'valid':
        assert any(STARTED in line for line in lines)
    for name in names.split(', ') if names != 'nothing' else ():
        context.process.send_signal(getattr(signal, name))
    context.lines = [line for line in lines if line.startswith(b'{')]


@then('its exit code is {code:d}, and its last log line names "{cause}"')
def check(context, code, cause):
    assert context.process.wait(timeout=60) == code, context.process.returncode
    last = json.loads(context.lines[-1])
    assert last['sentence'] == 'lifecycle: Process ended.', last
    assert last['exit_code'] == code, last
    assert cause in last['cause'], last

"""Steps that run the demo."""

import subprocess
import sys
from pathlib import Path

from behave import then, when

DEMO = Path(__file__).parent.parent.parent / 'demo' / 'run.py'


@when('the demo is run')
def run_demo(context):
    context.demo = subprocess.run(
        [sys.executable, str(DEMO)],
        check=False,
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
    )


@then('it ends with "{line}"')
def check_end(context, line):
    output = context.demo.stdout.decode()
    assert output.splitlines()[-1] == line, output
    assert context.demo.returncode == 0

import sys
from pathlib import Path

from behave import then, when

sys.path.insert(0, str(Path(__file__).parent.parent))

from machine import StepCounter, run_machine  # noqa: E402

EXAMPLES = 120
STEPS = 50
MIN_STEPS = 3000


@when('planners run on a platform with random failures')
def run_planners(context):
    run_machine(EXAMPLES, STEPS)


@then('no invariant was violated')
def check_steps(context):
    assert StepCounter.steps >= MIN_STEPS, StepCounter.steps

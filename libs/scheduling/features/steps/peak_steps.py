import sys
from pathlib import Path

from behave import given, then, when

sys.path.insert(0, str(Path(__file__).parent.parent))

from peaksimulation import PeakSimulation, PoolTraffic  # noqa: E402

PEAK_SECONDS = 9.0
# A job takes two longest tasks and the waits between them; later ones may
# still be running at the end.
SETTLE_SECONDS = 8.0
SHORT_TASKS = {'steps': (1, 2, 2), 'task_seconds': 1.0, 'millicores': 1500}
LONG_TASKS = {'steps': (1, 2, 3), 'task_seconds': 1.3, 'millicores': 3300}
TRAFFIC = {
    'a': PoolTraffic(peak_rate=46, width=8, **SHORT_TASKS),
    'b': PoolTraffic(peak_rate=24, width=8, **LONG_TASKS),
    'c': PoolTraffic(peak_rate=70, width=8, **SHORT_TASKS),
    'd': PoolTraffic(peak_rate=23, width=8, **LONG_TASKS),
}


@given(
    '{count:d} VMs and four pools whose peaks of 9 s come in turn, with seed '
    '{seed:d}'
)
def begin(context, count, seed):
    context.peaks = PeakSimulation(seed, count, TRAFFIC, PEAK_SECONDS)


@when('the pools run for {seconds:d} seconds')
def run(context, seconds):
    context.peaks.run(seconds)


@then(
    'no VM was idle for over {seconds:g} s in a pool with enough VMs while '
    'another lacked some'
)
def check_idle(context, seconds):
    assert context.peaks.longest_idle <= seconds, context.peaks.longest_idle


@then('each pool earned at least {percent:d}% of the worth of its jobs')
def check_worth(context, percent):
    until = context.peaks.now - SETTLE_SECONDS
    earned = context.peaks.compute_earned_share(until)
    assert min(earned.values()) * 100 >= percent, earned

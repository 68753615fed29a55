import sys
from collections import Counter
from dataclasses import replace
from pathlib import Path

from behave import given, then, when

sys.path.insert(0, str(Path(__file__).parent.parent))

from peaksimulation import (  # noqa: E402
    MOVE_SECONDS,
    STANDBY_POOL,
    PeakSimulation,
    PoolTraffic,
)

from tarragonlb.scheduling.demand import MIN_WORKERS  # noqa: E402

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


STANDBY_DELAY_SECONDS = MOVE_SECONDS


@when(
    'the pools run for {seconds:d} seconds, with and without a delay of one '
    'move'
)
def run_both(context, seconds):
    simulation = context.peaks
    context.outcomes = []
    for delay in (0, STANDBY_DELAY_SECONDS):
        peaks = PeakSimulation(
            simulation.seed,
            len(simulation.vms),
            TRAFFIC,
            PEAK_SECONDS,
            standby_delay=delay,
        )
        peaks.run(seconds)
        earned = peaks.compute_earned_share(peaks.now - SETTLE_SECONDS)
        context.outcomes.append((min(earned.values()), peaks.move_count))


@then('with the delay the pool that earned least earns more, with fewer moves')
def check_delay(context):
    (earned, moves), (delayed_earned, delayed_moves) = context.outcomes
    assert delayed_earned > earned, context.outcomes
    assert delayed_moves < moves, context.outcomes


@when('a peak of one pool is over for longer than the delay')
def end_peak(context):
    peaks = context.peaks = PeakSimulation(
        1,
        len(context.peaks.vms),
        TRAFFIC,
        PEAK_SECONDS,
        standby_delay=STANDBY_DELAY_SECONDS,
    )
    peaks.run(PEAK_SECONDS)
    for pool in peaks.pools.values():
        pool.traffic = replace(pool.traffic, peak_rate=0)
    peaks.run(PEAK_SECONDS + SETTLE_SECONDS + STANDBY_DELAY_SECONDS)


@then('all VMs but the minimum of each pool are in standby')
def check_standby(context):
    pools = Counter(vm.pool for vm in context.peaks.vms.values())
    minimum = MIN_WORKERS * len(context.peaks.pools)
    assert sum(pools.values()) - pools[STANDBY_POOL] <= minimum, pools

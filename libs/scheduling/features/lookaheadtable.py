"""Prints the table of docs/design/look-ahead.md, from runs of ``replay``."""

import sys
from concurrent.futures import ProcessPoolExecutor
from itertools import product

from replay import POLICIES, JobStream, Replay, Shape

SEEDS = (1, 2)
PROCESSES = 3
HARD = {'has_tail': True, 'is_misdeclared': True}
WIDE = {'cores': 32, 'cpu_range': (3, 20)}
SHAPES = {
    '0.7': Shape(0.7),
    '1.0': Shape(1.0),
    '1.6': Shape(1.6),
    '0.7 tail, off': Shape(0.7, **HARD),
    '1.0 tail': Shape(1.0, has_tail=True),
    '1.0 off': Shape(1.0, is_misdeclared=True),
    '1.0 tail, off': Shape(1.0, **HARD),
    '1.6 tail, off': Shape(1.6, **HARD),
    '0.7 of 32 cores, tail, off': Shape(0.7, **HARD, **WIDE),
    '1.0 of 32 cores, tail, off': Shape(1.0, **HARD, **WIDE),
    '1.6 of 32 cores, tail, off': Shape(1.6, **HARD, **WIDE),
    'peaks': Shape(0.45, has_peaks=True, seconds=36),
    'peaks, tail, off': Shape(0.45, has_peaks=True, seconds=36, **HARD),
}


def measure(task):
    shape_name, policy_name, seed = task
    replay = Replay(JobStream(SHAPES[shape_name], seed), POLICIES[policy_name])
    replay.run_all()
    ends = [change.event.value for change in replay.changes]
    return {
        **replay.measure(),
        'made': ends.count('made'),
        'wrong': ends.count('wrong'),
        'idle': replay.measure_reserved_idle(),
    }


def main():
    tasks = list(product(SHAPES, POLICIES, SEEDS))
    with ProcessPoolExecutor(PROCESSES) as pool:
        found = dict(zip(tasks, pool.map(measure, tasks), strict=True))
    for shape_name, policy_name in product(SHAPES, POLICIES):
        rows = [found[shape_name, policy_name, seed] for seed in SEEDS]
        if policy_name == next(iter(POLICIES)):
            names = ' | '.join(rows[0])
            sys.stdout.write(f'\n| {shape_name} | {names} |\n')
            sys.stdout.write('|---' * (len(rows[0]) + 1) + '|\n')
        means = [sum(row[name] for row in rows) / len(rows) for name in rows[0]]
        values = ' | '.join(f'{mean:.2f}' for mean in means)
        sys.stdout.write(f'| {policy_name} | {values} |\n')


if __name__ == '__main__':
    main()

"""Runs random steps of the capacity planner over many seeds.

The state machine and its invariants are in ``libs/capacity/features``.  The
same seed and number of steps give the same run.
"""

import argparse
import importlib
import sys
from pathlib import Path

FEATURES = Path(__file__).parent.parent / 'libs' / 'capacity' / 'features'
EXAMPLES_PER_SEED = 100
STEPS_PER_EXAMPLE = 60


def run_soak(seed: int, steps: int) -> int:
    """Run successive seeds from ``seed`` until ``steps`` steps were made."""
    sys.path.insert(0, str(FEATURES))
    machine = importlib.import_module('machine')
    while machine.StepCounter.steps < steps:
        before = machine.StepCounter.steps
        machine.run_machine(EXAMPLES_PER_SEED, STEPS_PER_EXAMPLE, seed)
        done = machine.StepCounter.steps - before
        print(f'seed {seed}: {done} steps, no invariant broken', flush=True)
        seed += 1
    return int(machine.StepCounter.steps)


def main() -> None:
    """Parse the command line and run."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--steps', type=int, default=100_000)
    options = parser.parse_args()
    print(f'{run_soak(options.seed, options.steps)} steps in total')


if __name__ == '__main__':
    main()

"""Runs the random tests of state, routing, capacity and tasks in turn.

    python bench/soak.py --seed 1 --steps 2000

Each machine makes at least ``--steps`` steps from the seed and checks all its
invariants; the same seed and steps give the same run.  The machines are in the
``features`` folders of their libraries.  They do not share one simulated world
yet.
"""

import argparse
import importlib
import sys
from pathlib import Path

from capacity_soak import run_soak
from request_soak import run_seed

JOURNAL_STEPS = Path(__file__).parent.parent / 'libs/journal/features/steps'
SCHEDULING_FEATURES = Path(__file__).parent.parent / 'libs/scheduling/features'
STEPS_PER_RUN = 200


def run_journal(seed: int, steps: int) -> int:
    """Run replicas over a failing log; return the number of steps."""
    sys.path.insert(0, str(JOURNAL_STEPS))
    world = importlib.import_module('replica_world')
    runs = max(1, steps // STEPS_PER_RUN)
    world.run_machine(runs, STEPS_PER_RUN, seed)
    return runs * STEPS_PER_RUN


def run_tasks(seed: int, steps: int) -> int:
    """Run owners, a store and failing workers; return the number of steps."""
    sys.path.insert(0, str(SCHEDULING_FEATURES))
    script = importlib.import_module('faultscripts')
    done: int = script.run_scripts(seed, steps)
    return done


def main() -> None:
    """Parse the command line and run all machines."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--steps', type=int, default=2_000)
    options = parser.parse_args()
    machines = (
        ('state', run_journal),
        ('routing', run_seed),
        ('capacity', run_soak),
        ('tasks', run_tasks),
    )
    for name, run in machines:
        done = run(options.seed, options.steps)
        print(f'{name}: {done} steps, no invariant broken', flush=True)


if __name__ == '__main__':
    main()

"""Runs random events through the pool router over fixed seeds.

    python bench/request_soak.py --seeds 20 --steps 2500

The state machine and its invariants are in ``libs/routing/features``.  Prints
one JSON line per seed.  A violated invariant ends the run with the shortest
stream of events that violates it.
"""

import argparse
import importlib
import json
import sys
from pathlib import Path

FEATURES = Path(__file__).parent.parent / 'libs' / 'routing' / 'features'
STEPS_PER_STREAM = 50


def run_seed(seed: int, steps: int) -> int:
    """Run at least ``steps`` events and return their number."""
    sys.path.insert(0, str(FEATURES))
    machine = importlib.import_module('router_machine')
    done = 0
    batch = 0
    while done < steps:
        streams = max(1, (steps - done) // STEPS_PER_STREAM)
        name = f'{seed}.{batch}'
        done += machine.run_router_machine(name, streams, STEPS_PER_STREAM)
        batch += 1
    return done


def main() -> None:
    """Run all seeds."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seeds', type=int, default=20)
    parser.add_argument('--steps', type=int, default=2_500)
    options = parser.parse_args()
    total = 0
    for seed in range(options.seeds):
        events = run_seed(seed, options.steps)
        total += events
        print(json.dumps({'seed': seed, 'events': events}))
    print(json.dumps({'seeds': options.seeds, 'events': total}))


if __name__ == '__main__':
    main()

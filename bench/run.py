"""Runs all benchmarks and prints their figures as JSON lines."""

import json
import sys
from dataclasses import asdict
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parent))

from burn_cost import SIZES as BURN_SIZES  # noqa: E402
from burn_cost import measure_burn  # noqa: E402
from capacity_jobs import measure_jobs  # noqa: E402
from capacity_planner import measure_planner  # noqa: E402
from capacity_spares import measure_spares  # noqa: E402
from claim_cost import measure_claims  # noqa: E402
from daemon_cost import measure_daemons  # noqa: E402
from fold_speed import SIZES, measure_fold  # noqa: E402
from journal_snapshot import (  # noqa: E402
    SNAPSHOT_SIZES,
    measure_snapshot,
)


def main() -> None:
    """Print one line a figure."""
    for size in SIZES:
        print(json.dumps({'fold': asdict(measure_fold(size))}))
    for size in SIZES:
        for daemon in measure_daemons(size):
            print(json.dumps({'daemon': asdict(daemon)}))
    for services in BURN_SIZES:
        print(json.dumps({'burn': asdict(measure_burn(services))}))
    for figure in measure_claims():
        print(json.dumps({'claim': asdict(figure)}))
    for size in SNAPSHOT_SIZES:
        print(json.dumps({'snapshot': asdict(measure_snapshot(size))}))
        print(json.dumps({'planner': asdict(measure_planner(size))}))
    for spares in measure_spares():
        print(json.dumps({'spares': asdict(spares)}))
    for case, vms in (('dharmavani', 6), ('bahla', 8)):
        print(json.dumps({'jobs': asdict(measure_jobs(case, vms))}))


if __name__ == '__main__':
    main()

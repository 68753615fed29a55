"""Runs all benchmarks and prints their figures as JSON lines."""

import json
import sys
from dataclasses import asdict
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parent))

from capacity_jobs import measure_jobs  # noqa: E402
from capacity_planner import measure_planner  # noqa: E402
from capacity_spares import measure_spares  # noqa: E402
from fold_speed import SIZES, measure_fold  # noqa: E402


def main() -> None:
    """Print one line a figure."""
    for size in SIZES:
        print(json.dumps({'fold': asdict(measure_fold(size))}))
        print(json.dumps({'planner': asdict(measure_planner(size))}))
    for figure in measure_spares():
        print(json.dumps({'spares': asdict(figure)}))
    for case, vms in (('dharmavani', 6), ('bahla', 8)):
        print(json.dumps({'jobs': asdict(measure_jobs(case, vms))}))


if __name__ == '__main__':
    main()

"""Runs all benchmarks and prints their figures as JSON lines."""

import json
import sys
from dataclasses import asdict
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parent))

from fold_speed import SIZES, measure_fold  # noqa: E402
from request_overhead import measure_overhead  # noqa: E402
from request_overload import (  # noqa: E402
    OVERLOADS,
    POLICIES,
    RUNNER_KINDS,
    measure_overload,
)


def main() -> None:
    """Print one line a figure."""
    for size in SIZES:
        print(json.dumps({'fold': asdict(measure_fold(size))}))
    print(json.dumps({'overhead': asdict(measure_overhead())}))
    for policy in POLICIES:
        for overload in OVERLOADS:
            figure = asdict(measure_overload(policy, overload))
            print(json.dumps({'overload': figure}))
    for endpoints in RUNNER_KINDS:
        figure = asdict(measure_overload('front', OVERLOADS[1], endpoints))
        print(json.dumps({'overload': figure}))


if __name__ == '__main__':
    main()

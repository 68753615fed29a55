"""Runs all benchmarks and prints their figures as JSON lines."""

import json
import sys
from dataclasses import asdict
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parent))

from fold_speed import SIZES, measure_fold  # noqa: E402
from journal_delay import CHANGES_A_DAY, measure_delay  # noqa: E402
from journal_peers import PEER_SIZES, measure_peers  # noqa: E402
from journal_snapshot import (  # noqa: E402
    SNAPSHOT_SIZES,
    measure_snapshot,
)


def main() -> None:
    """Print one line a figure."""
    for size in SIZES:
        print(json.dumps({'fold': asdict(measure_fold(size))}))
    for size in SNAPSHOT_SIZES:
        print(json.dumps({'snapshot': asdict(measure_snapshot(size))}))
    for size in PEER_SIZES:
        print(json.dumps({'peers': asdict(measure_peers(size))}))
    for rate in CHANGES_A_DAY:
        print(json.dumps({'delay': asdict(measure_delay(rate))}))


if __name__ == '__main__':
    main()

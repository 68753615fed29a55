"""Runs all benchmarks and prints their figures as JSON lines."""

import json
import sys
from collections.abc import Iterator
from dataclasses import asdict
from pathlib import Path
from typing import Any

sys.path.insert(0, str(Path(__file__).parent))

from burn_cost import SIZES as BURN_SIZES  # noqa: E402
from burn_cost import measure_burn  # noqa: E402
from capacity_planner import measure_planner  # noqa: E402
from claim_cost import measure_claims  # noqa: E402
from daemon_cost import measure_daemons  # noqa: E402
from fold_speed import SIZES, measure_fold  # noqa: E402
from journal_snapshot import (  # noqa: E402
    SNAPSHOT_SIZES,
    measure_snapshot,
)
from request_overhead import measure_overhead  # noqa: E402
from request_overload import (  # noqa: E402
    OVERLOADS,
    POLICIES,
    RUNNER_KINDS,
    measure_overload,
)


def list_figures() -> Iterator[tuple[str, Any]]:
    """Measure everything in turn; yield names and figures."""
    for size in SIZES:
        yield 'fold', measure_fold(size)
        yield 'planner', measure_planner(size)
    for size in SNAPSHOT_SIZES:
        yield 'snapshot', measure_snapshot(size)
    for services in BURN_SIZES:
        yield 'burn', measure_burn(services)
    for size in SIZES:
        yield from (('daemon', daemon) for daemon in measure_daemons(size))
    yield from (('claim', claim) for claim in measure_claims())
    yield 'overhead', measure_overhead()
    for policy in POLICIES:
        for overload in OVERLOADS:
            yield 'overload', measure_overload(policy, overload)
    for endpoints in RUNNER_KINDS:
        figure = measure_overload('front', OVERLOADS[1], endpoints)
        yield 'overload', figure


def main() -> None:
    """Print one line a figure."""
    for name, figure in list_figures():
        print(json.dumps({name: asdict(figure)}), flush=True)


if __name__ == '__main__':
    main()

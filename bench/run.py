"""Runs all benchmarks and prints their figures as JSON lines."""

import itertools
import json
from collections.abc import Iterator
from dataclasses import asdict
from typing import Any

from burn_cost import SIZES as BURN_SIZES
from burn_cost import measure_burn
from capacity_jobs import measure_jobs
from capacity_planner import measure_planner
from capacity_spares import measure_spares
from claim_cost import measure_claims
from daemon_cost import measure_daemons
from fold_speed import FLEET_SIZES, measure_fold
from journal_delay import CHANGES_PER_DAY, measure_delay
from journal_peers import PEER_SIZES, measure_peers
from journal_snapshot import (
    SNAPSHOT_SIZES,
    measure_snapshot,
)
from request_overhead import measure_overhead
from request_overload import (
    OVERLOADS,
    POLICIES,
    RUNNER_KINDS,
    measure_overload,
)

JOB_CASES = (('dharmavani', 6), ('bahla', 8))


def list_state_figures() -> Iterator[tuple[str, Any]]:
    """Measure the shared state and its readers."""
    for size in FLEET_SIZES:
        yield 'fold', measure_fold(size)
    for rows in SNAPSHOT_SIZES:
        yield 'snapshot', measure_snapshot(rows)
    for services in BURN_SIZES:
        yield 'burn', measure_burn(services)
    for peers in PEER_SIZES:
        yield 'peers', measure_peers(peers)
    for rate in CHANGES_PER_DAY:
        yield 'delay', measure_delay(rate)
    yield from (('claim', claim) for claim in measure_claims())


def list_capacity_figures() -> Iterator[tuple[str, Any]]:
    """Measure capacity decisions and idle daemons."""
    for size in FLEET_SIZES:
        yield 'planner', measure_planner(size)
        yield from (('daemon', daemon) for daemon in measure_daemons(size))
    yield from (('spares', spares) for spares in measure_spares())
    for case, vms in JOB_CASES:
        yield 'jobs', measure_jobs(case, vms)


def list_request_figures() -> Iterator[tuple[str, Any]]:
    """Measure request handling."""
    yield 'overhead', measure_overhead()
    for policy in POLICIES:
        for overload in OVERLOADS:
            yield 'overload', measure_overload(policy, overload)
    for endpoints in RUNNER_KINDS:
        figure = measure_overload('front', OVERLOADS[1], endpoints)
        yield 'overload', figure


def main() -> None:
    """Print one JSON line per figure."""
    figures = itertools.chain(
        list_state_figures(), list_capacity_figures(), list_request_figures()
    )
    for name, figure in figures:
        print(json.dumps({name: asdict(figure)}), flush=True)


if __name__ == '__main__':
    main()

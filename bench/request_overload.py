"""Goodput and urgent latency under overload, against three baselines.

Nine entry VMs in three availability zones share six runners of eight slots, as
in one service of the brief.  A fifth of the offered work is urgent.  Work is
counted in slot seconds: goodput is what was answered in time over what the
slots could do.
"""

import random
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from types import MappingProxyType
from typing import TypeAlias

from request_entries import Entry, FifoEntry, FrontEntry, TurnEntry
from request_simulation import (
    Call,
    RunnerSettings,
    Simulation,
    draw_seconds,
)

from tarragonlb.routing.balancer import Endpoint
from tarragonlb.routing.request import RequestInfo

SEED = 11
ENTRIES = 9
ZONES = 3
RUNNERS = 6
DECLARED_SLOTS = 8
TEAMS = 4
WARM_UP_SECONDS = 10.0
END_SECONDS = 40.0
URGENT_SHARE = 0.2
URGENT_SECONDS = 0.2
URGENT_TIMEOUT_SECONDS = 4.5
PATIENT_SECONDS = 1.0
PATIENT_TIMEOUT_SECONDS = 30.0
PERCENTILES = (0.5, 0.99)
OVERLOADS = (0.7, 2.0, 5.0)

Make: TypeAlias = Callable[[int, random.Random], Entry]

POLICIES: Mapping[str, Make] = MappingProxyType(
    {
        'front': lambda index, source: FrontEntry(
            f'zone-{index % ZONES}', source, budgeted=True
        ),
        'front, no retry budget': lambda index, source: FrontEntry(
            f'zone-{index % ZONES}', source, budgeted=False
        ),
        'fifo, static shares': lambda index, source: FifoEntry(
            source, 1 / ENTRIES
        ),
        'fifo, all slots each': lambda index, source: FifoEntry(source, 1),
        'round robin': lambda index, source: TurnEntry(index),
    }
)


@dataclass(frozen=True, slots=True, kw_only=True)
class OverloadFigure:
    """What the callers of one policy got.

    ``goodput`` is a share of the slot seconds there were, ``urgent_answered``
    a share of urgent requests, and the latencies are of answered urgent ones
    in seconds.  ``attempts_a_call`` and ``busy_a_call`` count what endpoints
    were sent and refused.
    """

    policy: str
    overload: float
    endpoints: str
    goodput: float
    urgent_answered: float
    urgent_p50: float
    urgent_p99: float
    attempts_a_call: float
    busy_a_call: float


def measure_overload(
    policy: str,
    overload: float,
    endpoints: str = 'as declared',
) -> OverloadFigure:
    """Run one policy under so many times the load the runners can take."""
    source = random.Random(SEED)
    entries = [
        POLICIES[policy](index, random.Random(f'{SEED}.{index}'))
        for index in range(ENTRIES)
    ]
    simulation = Simulation(entries)
    runners = RUNNER_KINDS[endpoints]
    simulation.add_runners(list_endpoints(), runners)
    capacity = sum(runner.slots for runner in runners if not runner.fails_fast)
    _add_calls(simulation, source, overload * capacity)
    simulation.run(END_SECONDS + PATIENT_TIMEOUT_SECONDS + 1)
    return _sum_up(simulation, policy, overload, endpoints, capacity)


def list_endpoints() -> list[Endpoint]:
    """Return the runners as the settings declare them."""
    return [
        Endpoint(
            vm_id=f'runner-{index}',
            address=f'127.0.0.1:{index + 1}',
            zone=f'zone-{index % ZONES}',
            slots=DECLARED_SLOTS,
        )
        for index in range(RUNNERS)
    ]


def _list_runners(
    first: RunnerSettings, others: RunnerSettings
) -> tuple[RunnerSettings, ...]:
    return (first, *(others for _ in range(RUNNERS - 1)))


_WHOLE = RunnerSettings()
_SMALL = RunnerSettings(slots=5)
_QUEUE = RunnerSettings(keeps_queue=True)
RUNNER_KINDS: Mapping[str, tuple[RunnerSettings, ...]] = MappingProxyType(
    {
        'as declared': _list_runners(_WHOLE, _WHOLE),
        'five slots of eight': _list_runners(_SMALL, _SMALL),
        'keep a queue': _list_runners(_QUEUE, _QUEUE),
        'one fails fast': _list_runners(
            RunnerSettings(fails_fast=True), _WHOLE
        ),
        'one ten times slower': _list_runners(
            RunnerSettings(slow_factor=10), _WHOLE
        ),
    }
)


def _add_calls(
    simulation: Simulation, source: random.Random, work: float
) -> None:
    for urgent in (True, False):
        share = URGENT_SHARE if urgent else 1 - URGENT_SHARE
        mean = URGENT_SECONDS if urgent else PATIENT_SECONDS
        at = 0.0
        while True:
            at += source.expovariate(work * share / mean)
            if at > END_SECONDS:
                break
            call = _make_call(len(simulation.calls), source, at, urgent=urgent)
            simulation.add_call(call, source.randrange(ENTRIES))


def _make_call(
    number: int, source: random.Random, at: float, *, urgent: bool
) -> Call:
    timeout = URGENT_TIMEOUT_SECONDS if urgent else PATIENT_TIMEOUT_SECONDS
    team = f'team-{source.randrange(TEAMS)}'
    request = RequestInfo(
        request_id=f'r{number}',
        team=team,
        service='urgent' if urgent else 'patient',
        pool='pool',
        urgent=urgent,
        idempotent=False,
        deadline=at + timeout,
    )
    mean = URGENT_SECONDS if urgent else PATIENT_SECONDS
    return Call(request, draw_seconds(source, mean), at)


def _sum_up(
    simulation: Simulation,
    policy: str,
    overload: float,
    endpoints: str,
    capacity: int,
) -> OverloadFigure:
    counted = [
        call for call in simulation.calls if call.arrived_at > WARM_UP_SECONDS
    ]
    done = sum(
        call.seconds
        for call in simulation.calls
        if call.answered_at
        and WARM_UP_SECONDS < call.answered_at <= END_SECONDS
    )
    urgent = [call for call in counted if call.request.urgent]
    times = sorted(
        call.answered_at - call.arrived_at
        for call in urgent
        if call.answered_at is not None
    )
    span = END_SECONDS - WARM_UP_SECONDS
    low, high = (_pick(times, share) for share in PERCENTILES)
    return OverloadFigure(
        policy=policy,
        overload=overload,
        endpoints=endpoints,
        goodput=round(done / span / capacity, 3),
        urgent_answered=round(len(times) / max(len(urgent), 1), 3),
        urgent_p50=round(low, 3),
        urgent_p99=round(high, 3),
        attempts_a_call=round(
            sum(call.attempts for call in counted) / len(counted), 2
        ),
        busy_a_call=round(simulation.busy_refusals / len(simulation.calls), 3),
    )


def _pick(times: list[float], share: float) -> float:
    if not times:
        return float('inf')
    return times[min(int(len(times) * share), len(times) - 1)]

"""Measures goodput and urgent latency under overload, with three baselines.

Nine entry VMs in three availability zones share six runners with eight slots
each, as in one service of the requirements.  A fifth of the offered work is
urgent.  Work is measured in slot seconds: goodput is the work of requests
answered in time, divided by the capacity of the slots.
"""

import random
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from types import MappingProxyType
from typing import TypeAlias

from request_entries import (
    FifoPolicy,
    RoundRobinPolicy,
    RouterPolicy,
    RoutingPolicy,
)
from request_simulation import (
    Call,
    RunnerSettings,
    Simulation,
    draw_service_seconds,
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

PolicyFactory: TypeAlias = Callable[[int, random.Random], RoutingPolicy]

POLICIES: Mapping[str, PolicyFactory] = MappingProxyType(
    {
        'front': lambda index, rng: RouterPolicy(
            f'zone-{index % ZONES}', rng, budgeted=True
        ),
        'front, no retry budget': lambda index, rng: RouterPolicy(
            f'zone-{index % ZONES}', rng, budgeted=False
        ),
        'fifo, static shares': lambda index, rng: FifoPolicy(rng, 1 / ENTRIES),
        'fifo, all slots each': lambda index, rng: FifoPolicy(rng, 1),
        'round robin': lambda index, rng: RoundRobinPolicy(index),
    }
)


@dataclass(frozen=True, slots=True, kw_only=True)
class OverloadFigure:
    """Results of the callers under one policy.

    ``goodput`` is a share of the available slot seconds, ``urgent_answered`` a
    share of the urgent requests.  Latencies are those of answered urgent
    requests, in seconds.  ``attempts_a_call`` and ``busy_a_call`` are the mean
    numbers of attempts and of refusals by endpoints per request.
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
    """Run one policy under ``overload`` times the capacity."""
    rng = random.Random(SEED)
    entries = [
        POLICIES[policy](index, random.Random(f'{SEED}.{index}'))
        for index in range(ENTRIES)
    ]
    simulation = Simulation(entries)
    runners = RUNNER_KINDS[endpoints]
    simulation.add_runners(list_endpoints(), runners)
    capacity = sum(runner.slots for runner in runners if not runner.fails_fast)
    _add_calls(simulation, rng, overload * capacity)
    simulation.run(END_SECONDS + PATIENT_TIMEOUT_SECONDS + 1)
    return _summarize(simulation, policy, overload, endpoints, capacity)


def list_endpoints() -> list[Endpoint]:
    """Return the endpoints as the settings declare them."""
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


_NORMAL = RunnerSettings()
_FIVE_SLOTS = RunnerSettings(slots=5)
_QUEUEING = RunnerSettings(keeps_queue=True)
RUNNER_KINDS: Mapping[str, tuple[RunnerSettings, ...]] = MappingProxyType(
    {
        'as declared': _list_runners(_NORMAL, _NORMAL),
        'five slots of eight': _list_runners(_FIVE_SLOTS, _FIVE_SLOTS),
        'keep a queue': _list_runners(_QUEUEING, _QUEUEING),
        'one fails fast': _list_runners(
            RunnerSettings(fails_fast=True), _NORMAL
        ),
        'one ten times slower': _list_runners(
            RunnerSettings(slow_factor=10), _NORMAL
        ),
    }
)


def _add_calls(simulation: Simulation, rng: random.Random, work: float) -> None:
    for urgent in (True, False):
        share = URGENT_SHARE if urgent else 1 - URGENT_SHARE
        mean = URGENT_SECONDS if urgent else PATIENT_SECONDS
        arrival = 0.0
        while True:
            arrival += rng.expovariate(work * share / mean)
            if arrival > END_SECONDS:
                break
            call = _make_call(
                len(simulation.calls), rng, arrival, urgent=urgent
            )
            simulation.add_call(call, rng.randrange(ENTRIES))


def _make_call(
    number: int, rng: random.Random, arrival: float, *, urgent: bool
) -> Call:
    timeout = URGENT_TIMEOUT_SECONDS if urgent else PATIENT_TIMEOUT_SECONDS
    team = f'team-{rng.randrange(TEAMS)}'
    request = RequestInfo(
        request_id=f'r{number}',
        team=team,
        service='urgent' if urgent else 'patient',
        pool='pool',
        urgent=urgent,
        idempotent=False,
        deadline=arrival + timeout,
    )
    mean = URGENT_SECONDS if urgent else PATIENT_SECONDS
    return Call(request, draw_service_seconds(rng, mean), arrival)


def _summarize(
    simulation: Simulation,
    policy: str,
    overload: float,
    endpoints: str,
    capacity: int,
) -> OverloadFigure:
    measured = [
        call for call in simulation.calls if call.arrived_at > WARM_UP_SECONDS
    ]
    answered_seconds = sum(
        call.seconds
        for call in simulation.calls
        if call.answered_at
        and WARM_UP_SECONDS < call.answered_at <= END_SECONDS
    )
    urgent = [call for call in measured if call.request.urgent]
    latencies = sorted(
        call.answered_at - call.arrived_at
        for call in urgent
        if call.answered_at is not None
    )
    duration = END_SECONDS - WARM_UP_SECONDS
    median, tail = (_get_percentile(latencies, share) for share in PERCENTILES)
    return OverloadFigure(
        policy=policy,
        overload=overload,
        endpoints=endpoints,
        goodput=round(answered_seconds / duration / capacity, 3),
        urgent_answered=round(len(latencies) / max(len(urgent), 1), 3),
        urgent_p50=round(median, 3),
        urgent_p99=round(tail, 3),
        attempts_a_call=round(
            sum(call.attempts for call in measured) / len(measured),
            2,
        ),
        busy_a_call=round(simulation.busy_refusals / len(simulation.calls), 3),
    )


def _get_percentile(latencies: list[float], share: float) -> float:
    if not latencies:
        return float('inf')
    return latencies[min(int(len(latencies) * share), len(latencies) - 1)]

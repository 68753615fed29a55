"""Operators who change the same settings, and start the same wave, at once."""

import functools
import threading

from tarragonlb.standin.apiclient import ApiClient

ROUNDS = 5
STATUS_OK = 200


def race_operators(
    operators: tuple[ApiClient, ...], pool: str, text: bytes
) -> list[int]:
    """Return for each round how many operators were told that they won.

    Every round publishes the pool's document at the version that the round
    before left.
    """
    return [
        _run_round(operators, pool, text, version)
        for version in range(1, ROUNDS + 1)
    ]


def _run_round(
    operators: tuple[ApiClient, ...], pool: str, text: bytes, version: int
) -> int:
    won: list[bool] = []
    racers = [
        threading.Thread(
            target=functools.partial(
                _publish, operator, pool, text, version, won
            )
        )
        for operator in operators
    ]
    for racer in racers:
        racer.start()
    for racer in racers:
        racer.join()
    return sum(won)


def _publish(
    operator: ApiClient, pool: str, text: bytes, version: int, won: list[bool]
) -> None:
    headers = {'if-match': str(version)}
    answer = operator.put(f'/v1/settings/pools/{pool}', text, headers)
    won.append(answer.status == STATUS_OK)
    operator.post('/v1/waves', {'pool': pool})

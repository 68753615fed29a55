"""Operators who change the same settings, and start the same wave, at once."""

import functools
import threading

from tarragonlb.standin.apiclient import ApiClient

ROUNDS = 5
STATUS_OK = 200


def race_operators(
    operators: tuple[ApiClient, ...], pool: str, text: bytes
) -> list[int]:
    """Return for each round how many operators were told that they results.

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
    results: list[bool] = []
    threads = [
        threading.Thread(
            target=functools.partial(
                _publish, operator, pool, text, version, results
            )
        )
        for operator in operators
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return sum(results)


def _publish(
    operator: ApiClient,
    pool: str,
    text: bytes,
    version: int,
    results: list[bool],
) -> None:
    headers = {'if-match': str(version)}
    response = operator.put(f'/v1/settings/pools/{pool}', text, headers)
    results.append(response.status == STATUS_OK)
    operator.post('/v1/waves', {'pool': pool})

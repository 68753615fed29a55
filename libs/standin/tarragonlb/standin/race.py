"""Concurrent operators that publish the same settings and start waves."""

import functools
import threading

from tarragonlb.standin.apiclient import ApiClient

ROUND_COUNT = 5
STATUS_OK = 200


def race_operators(
    operators: tuple[ApiClient, ...], pool: str, document: bytes
) -> list[int]:
    """Return for each round the number of operators whose change succeeded.

    In each round all operators publish the pool's document at the version
    that the previous round left.
    """
    return [
        _run_round(operators, pool, document, version)
        for version in range(1, ROUND_COUNT + 1)
    ]


def _run_round(
    operators: tuple[ApiClient, ...], pool: str, document: bytes, version: int
) -> int:
    results: list[bool] = []
    threads = [
        threading.Thread(
            target=functools.partial(
                _publish, operator, pool, document, version, results
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
    document: bytes,
    version: int,
    results: list[bool],
) -> None:
    headers = {'if-match': str(version)}
    response = operator.put(f'/v1/settings/pools/{pool}', document, headers)
    results.append(response.status == STATUS_OK)
    operator.post('/v1/waves', {'pool': pool})

"""Measures what connections of clients cost one daemon on the users' platform.

Each tree is given by the interpreter of its environment; the trees are played
in turn, so that other work on the machine falls on all of them:

    python bench/connection_cost.py --rounds 3 \
        --python /old/.venv/bin/python --python /new/.venv/bin/python

The store is away, so the daemon answers each readiness check with 503.
"""

import argparse
import json
import os
import socket
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable, Generator
from concurrent.futures import ThreadPoolExecutor
from contextlib import contextmanager
from dataclasses import asdict, dataclass
from pathlib import Path
from typing import TypeAlias

import psutil
from connection_clients import (
    CLIENTS,
    HOST,
    connect,
    open_short,
    send_on_new,
    send_on_one,
)

BYTES_PER_MEGABYTE = 1 << 20
MICROSECONDS = 1_000_000
START_SECONDS = 30
POLL_SECONDS = 0.05
SETTLE_SECONDS = 1.0
SETTINGS = """nodeName = "n1"
role = "daemon"
ip = "{host}"
zone = "a"
[listen]
front = "{host}:{front}"
ready = "{host}:{ready}"
[bounds]
graceS = 6
maxHoldMs = 6000
leaseMs = 3000
[platform]
address = "{host}:9"
parts = 12
"""

# Sends requests until a point in time of the monotonic clock; returns how many.
Client: TypeAlias = Callable[[int, float], int]


@dataclass(frozen=True, slots=True, kw_only=True)
class ConnectionFigure:
    """What one daemon process did and used in one play.

    Times are processor time of the daemon in microseconds.
    """

    python: str
    # On connections that are kept.
    requests_per_second: int
    request_us: int
    # Each for one request.
    connections_per_second: int
    connection_us: int
    # Connections that end after the answer, without a request or within one.
    short_connections_per_second: int
    descriptors_before: int
    descriptors_after: int
    resident_before_mb: int
    resident_after_mb: int


def measure_connections(
    python: str, seconds: float, short_seconds: float
) -> ConnectionFigure:
    """Measure a new daemon of the tree to which ``python`` belongs."""
    with _run_daemon(python) as (process, port):
        idle = process.num_fds(), _read_resident_mb(process)
        kept = _measure(process, port, send_on_one, seconds)
        opened = _measure(process, port, send_on_new, seconds)
        short = _measure(process, port, open_short, short_seconds)
        time.sleep(SETTLE_SECONDS)
        return ConnectionFigure(
            python=python,
            requests_per_second=kept[0],
            request_us=kept[1],
            connections_per_second=opened[0],
            connection_us=opened[1],
            short_connections_per_second=short[0],
            descriptors_before=idle[0],
            descriptors_after=process.num_fds(),
            resident_before_mb=idle[1],
            resident_after_mb=_read_resident_mb(process),
        )


@contextmanager
def _run_daemon(
    python: str,
) -> Generator[tuple[psutil.Process, int], None, None]:
    with (
        tempfile.TemporaryDirectory() as folder,
        _reserve_port() as front,
        _reserve_port() as ready,
    ):
        settings = Path(folder) / 'node.toml'
        ports = {'front': _get_port(front), 'ready': _get_port(ready)}
        settings.write_text(SETTINGS.format(host=HOST, **ports))
        daemon = psutil.Popen(
            [python, '-P', '-m', 'tarragonlb.adapter'],
            env={**os.environ, 'TARRAGONLB_BOOT': str(settings)},
            stdin=subprocess.DEVNULL,
            stdout=subprocess.DEVNULL,
        )
        try:
            _wait_until_listening(ports['ready'])
            yield daemon, ports['front']
        finally:
            daemon.kill()
            daemon.wait()


def _reserve_port() -> socket.socket:
    """Return a socket of a port on which a process may listen."""
    holder = socket.socket()
    holder.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    holder.bind((HOST, 0))
    return holder


def _get_port(holder: socket.socket) -> int:
    return int(holder.getsockname()[1])


def _wait_until_listening(port: int) -> None:
    deadline = time.monotonic() + START_SECONDS
    while True:
        try:
            connect(port).close()
        except ConnectionError:
            if time.monotonic() > deadline:
                raise
            time.sleep(POLL_SECONDS)
        else:
            return


def _measure(
    process: psutil.Process, port: int, client: Client, seconds: float
) -> tuple[int, int]:
    """Return requests a second, and processor time for each of them."""
    used = _read_cpu_seconds(process)
    begin = time.monotonic()
    with ThreadPoolExecutor(CLIENTS) as pool:
        played = [
            pool.submit(client, port, begin + seconds) for _ in range(CLIENTS)
        ]
        count = sum(future.result() for future in played)
    elapsed = time.monotonic() - begin
    used = _read_cpu_seconds(process) - used
    return round(count / elapsed), round(used / count * MICROSECONDS)


def _read_cpu_seconds(process: psutil.Process) -> float:
    times = process.cpu_times()
    return float(times.user + times.system)


def _read_resident_mb(process: psutil.Process) -> int:
    return int(process.memory_info().rss // BYTES_PER_MEGABYTE)


def _parse_arguments() -> argparse.Namespace:
    parser = argparse.ArgumentParser(description=__doc__.partition('\n')[0])
    parser.add_argument('--python', action='append')
    parser.add_argument('--rounds', type=int, default=1)
    parser.add_argument('--seconds', type=float, default=5)
    parser.add_argument('--short-seconds', type=float, default=20)
    return parser.parse_args()


def main() -> None:
    """Print the figures of each play as a line of JSON."""
    options = _parse_arguments()
    for _ in range(options.rounds):
        for python in options.python or [sys.executable]:
            figure = measure_connections(
                python, options.seconds, options.short_seconds
            )
            print(json.dumps(asdict(figure)), flush=True)


if __name__ == '__main__':
    main()

"""Measures the cost of a request through the gateway and a bare proxy.

Both run hypercorn on trio and forward with httpcore, each in a separate process
in front of the same endpoint.  The bare proxy only copies; the gateway adds
admission, endpoint choice and verdicts.  Their rounds alternate within one run,
and processor time is that of the serving process only.

    python bench/request_overhead.py
"""

import json
import os
import subprocess
import sys
import time
from dataclasses import asdict, dataclass
from pathlib import Path

import h11
import trio

ROUNDS = 5
REQUESTS_PER_ROUND = 600
CALLERS = 4
CHUNK_BYTES = 65_536
REQUEST = b'GET /call/s/x HTTP/1.1\r\nhost: entry\r\n\r\n'
HOST = '127.0.0.1'
PERCENTILES = (0.5, 0.99)
MILLISECONDS = 1000
SERVER_SCRIPT = Path(__file__).parent / 'request_servers.py'
USER_TICKS = 11


@dataclass(frozen=True, slots=True, kw_only=True)
class OverheadFigure:
    """Processor time and latency of a request, in milliseconds.

    ``throughput_share`` is the throughput per core of the gateway divided by
    that of the bare proxy; the target is 0.9.
    """

    bare_cpu: float
    gateway_cpu: float
    throughput_share: float
    bare_p50: float
    gateway_p50: float
    bare_p99: float
    gateway_p99: float


class Server:
    """A serving process, its processor time and its latencies."""

    __slots__ = ('_process', 'cpu', 'port', 'seconds')

    def __init__(self, role: str, endpoint: int = 0) -> None:
        """Start the process and read its port."""
        self._process = subprocess.Popen(
            [sys.executable, str(SERVER_SCRIPT), role, str(endpoint)],
            stdout=subprocess.PIPE,
        )
        assert self._process.stdout is not None
        self.port = int(self._process.stdout.readline())
        self.cpu = 0.0
        self.seconds: list[float] = []

    def run_round(self) -> None:
        """Send the requests of one round and add up their cost."""
        before = self._read_cpu()
        self.seconds.extend(trio.run(run_callers, self.port))
        self.cpu += self._read_cpu() - before

    def stop(self) -> None:
        """End the process."""
        self._process.terminate()
        self._process.wait()

    def compute_latency(self, share: float) -> float:
        """Return a percentile in milliseconds."""
        ordered = sorted(self.seconds)
        return round(ordered[int(len(ordered) * share)] * MILLISECONDS, 3)

    def _read_cpu(self) -> float:
        status = Path(f'/proc/{self._process.pid}/stat').read_text()
        ticks = status.rpartition(')')[2].split()[USER_TICKS : USER_TICKS + 2]
        return sum(map(int, ticks)) / os.sysconf('SC_CLK_TCK')


def measure_overhead() -> OverheadFigure:
    """Run rounds against both proxies alternately and return the figures."""
    endpoint = Server('endpoint')
    bare = Server('bare', endpoint.port)
    gateway = Server('gateway', endpoint.port)
    for server in (bare, gateway):
        server.run_round()
        server.cpu = 0
        server.seconds.clear()
    for _ in range(ROUNDS):
        bare.run_round()
        gateway.run_round()
    for server in (gateway, bare, endpoint):
        server.stop()
    scale = MILLISECONDS / (ROUNDS * REQUESTS_PER_ROUND)
    return OverheadFigure(
        bare_cpu=round(bare.cpu * scale, 3),
        gateway_cpu=round(gateway.cpu * scale, 3),
        throughput_share=round(bare.cpu / gateway.cpu, 3),
        bare_p50=bare.compute_latency(PERCENTILES[0]),
        gateway_p50=gateway.compute_latency(PERCENTILES[0]),
        bare_p99=bare.compute_latency(PERCENTILES[1]),
        gateway_p99=gateway.compute_latency(PERCENTILES[1]),
    )


async def run_callers(port: int) -> list[float]:
    """Send requests from concurrent callers; return their latencies."""
    seconds: list[float] = []
    async with trio.open_nursery() as nursery:
        for _ in range(CALLERS):
            nursery.start_soon(_run_caller, port, seconds)
    return seconds


async def _run_caller(port: int, seconds: list[float]) -> None:
    async with await trio.open_tcp_stream(HOST, port) as stream:
        for _ in range(REQUESTS_PER_ROUND // CALLERS):
            started = time.perf_counter()
            await stream.send_all(REQUEST)
            await _read_answer(stream)
            seconds.append(time.perf_counter() - started)


async def _read_answer(stream: trio.SocketStream) -> None:
    connection = h11.Connection(h11.CLIENT)
    connection.send(
        h11.Request(method='GET', target='/', headers=[('host', 'entry')])
    )
    connection.send(h11.EndOfMessage())
    while True:
        event = connection.next_event()
        if event is h11.NEED_DATA:
            connection.receive_data(await stream.receive_some(CHUNK_BYTES))
        elif isinstance(event, h11.Response):
            assert event.status_code == 200, event
        elif isinstance(event, h11.EndOfMessage):
            return


def main() -> None:
    """Run the benchmark and print its figures."""
    print(json.dumps({'overhead': asdict(measure_overhead())}))


if __name__ == '__main__':
    main()

"""Cost of a request through the gateway against a bare pass-through.

Both are hypercorn on trio with httpcore behind it, each in a process of its own
before the same endpoint.  The bare one only copies; the other is the gateway
with admission, endpoint choice and verdicts.  Rounds alternate in one run, and
processor time is that of the serving process alone.

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
REQUESTS_A_ROUND = 600
CALLERS = 4
PIECE_BYTES = 65_536
REQUEST = b'GET /call/s/x HTTP/1.1\r\nhost: entry\r\n\r\n'
HOST = '127.0.0.1'
PERCENTILES = (0.5, 0.99)
MILLISECONDS = 1000
SERVERS = Path(__file__).parent / 'request_servers.py'
USER_TICKS = 11


@dataclass(frozen=True, slots=True, kw_only=True)
class OverheadFigure:
    """Milliseconds of processor time and of latency of a request.

    ``throughput_share`` is the throughput per core of the gateway over that of
    the bare pass-through; the target is 0.9.
    """

    bare_cpu: float
    gateway_cpu: float
    throughput_share: float
    bare_p50: float
    gateway_p50: float
    bare_p99: float
    gateway_p99: float


class Server:
    """A serving process, with what the callers saw of it."""

    __slots__ = ('_process', 'cpu', 'port', 'seconds')

    def __init__(self, role: str, endpoint: int = 0) -> None:
        """Start the process and wait for its port."""
        self._process = subprocess.Popen(
            [sys.executable, str(SERVERS), role, str(endpoint)],
            stdout=subprocess.PIPE,
        )
        assert self._process.stdout is not None
        self.port = int(self._process.stdout.readline())
        self.cpu = 0.0
        self.seconds: list[float] = []

    def run_round(self) -> None:
        """Send the requests of a round and count their cost."""
        before = self._read_cpu()
        self.seconds.extend(trio.run(call_many, self.port))
        self.cpu += self._read_cpu() - before

    def stop(self) -> None:
        """End the process."""
        self._process.terminate()
        self._process.wait()

    def find_latency(self, share: float) -> float:
        """Return a percentile in milliseconds."""
        ordered = sorted(self.seconds)
        return round(ordered[int(len(ordered) * share)] * MILLISECONDS, 3)

    def _read_cpu(self) -> float:
        status = Path(f'/proc/{self._process.pid}/stat').read_text()
        ticks = status.rpartition(')')[2].split()[USER_TICKS : USER_TICKS + 2]
        return sum(map(int, ticks)) / os.sysconf('SC_CLK_TCK')


def measure_overhead() -> OverheadFigure:
    """Run both in turn and return the figures."""
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
    a_request = MILLISECONDS / (ROUNDS * REQUESTS_A_ROUND)
    return OverheadFigure(
        bare_cpu=round(bare.cpu * a_request, 3),
        gateway_cpu=round(gateway.cpu * a_request, 3),
        throughput_share=round(bare.cpu / gateway.cpu, 3),
        bare_p50=bare.find_latency(PERCENTILES[0]),
        gateway_p50=gateway.find_latency(PERCENTILES[0]),
        bare_p99=bare.find_latency(PERCENTILES[1]),
        gateway_p99=gateway.find_latency(PERCENTILES[1]),
    )


async def call_many(port: int) -> list[float]:
    """Send requests from some callers at once; return seconds of each."""
    seconds: list[float] = []
    async with trio.open_nursery() as nursery:
        for _ in range(CALLERS):
            nursery.start_soon(_call, port, seconds)
    return seconds


async def _call(port: int, seconds: list[float]) -> None:
    async with await trio.open_tcp_stream(HOST, port) as stream:
        for _ in range(REQUESTS_A_ROUND // CALLERS):
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
            connection.receive_data(await stream.receive_some(PIECE_BYTES))
        elif isinstance(event, h11.Response):
            assert event.status_code == 200, event
        elif isinstance(event, h11.EndOfMessage):
            return


def main() -> None:
    """Measure."""
    print(json.dumps({'overhead': asdict(measure_overhead())}))


if __name__ == '__main__':
    main()

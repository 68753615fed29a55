"""Measures the processor time that one call to a worker costs its caller.

A child process answers every request on loopback with the same report.  The
caller sends status requests one after the other, in ways that differ in what
lies between the request and the socket.

Run with ``python bench/worker_calls.py``.
"""

import abc
import multiprocessing
import socket
import sys
import threading
import time

import h11
import httpcore
import msgspec
import trio

from tarragonlb.adapter.http import HttpClient, HttpResponse
from tarragonlb.adapter.workerreport import EndedRow, Report, RunningRow
from tarragonlb.controller.looplag import LoopLag

CALLS = 3000
RUNNING_TASKS = 8
RECEIVE_BYTES = 65536
TIMEOUT_SECONDS = 0.4
MICROSECONDS = 1_000_000
PATH = '/status'
HEADERS = (
    ('Content-Type', 'application/json'),
    ('X-Worker', 'worker-1'),
)
# As long as a status request.
REQUEST = msgspec.json.encode(dict.fromkeys(('term', 'until', 'wait'), 486000))
REPORT = msgspec.json.encode(
    Report(
        clock_ms=482113,
        running=[
            RunningRow(f'0123456789abcdef.0.1.{number}', 2, '00bb87a2', 41, 880)
            for number in range(RUNNING_TASKS)
        ],
        ended_runs=[EndedRow(58, '0123456789abcdef.0.1.9', 1, 'done')],
    )
)
RESPONSE = (
    b'HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n'
    b'Content-Length: %d\r\n\r\n%s'
) % (len(REPORT), REPORT)


class Caller(abc.ABC):
    """One way to call a server at ``address``."""

    __slots__ = ('address', 'headers')

    def __init__(self, address: str) -> None:
        """Call ``address``."""
        self.address = address
        self.headers = [
            (b'Host', address.encode()),
            (b'Content-Length', b'%d' % len(REQUEST)),
            *((key.encode(), text.encode()) for key, text in HEADERS),
        ]

    @abc.abstractmethod
    async def call(self) -> bytes:
        """Return the body of the response."""

    async def connect(self) -> trio.SocketStream:
        """Open a connection."""
        host, _, port = self.address.partition(':')
        return await trio.open_tcp_stream(host, int(port))


class AdapterCaller(Caller):
    """The client of the adapter."""

    __slots__ = ('_client',)

    def __init__(self, address: str) -> None:
        """Call ``address``."""
        super().__init__(address)
        self._client = HttpClient(LoopLag())

    async def call(self) -> bytes:
        """Return the body of the response."""
        response = await self._client.call(
            'POST',
            f'http://{self.address}{PATH}',
            REQUEST,
            TIMEOUT_SECONDS,
            dict(HEADERS),
        )
        if isinstance(response, HttpResponse):
            return response.body
        raise RuntimeError(response.reason)


class PoolCaller(Caller):
    """The connection pool of httpcore."""

    __slots__ = ('_pool',)

    def __init__(self, address: str) -> None:
        """Call ``address``."""
        super().__init__(address)
        self._pool = httpcore.AsyncConnectionPool()

    async def call(self) -> bytes:
        """Return the body of the response."""
        response = await self._pool.request(
            'POST',
            f'http://{self.address}{PATH}',
            headers=self.headers,
            content=REQUEST,
            extensions={'timeout': {'read': TIMEOUT_SECONDS}},
        )
        return response.content


class KeptCaller(Caller):
    """A connection of httpcore that is kept open, without a pool."""

    __slots__ = ('_connection',)

    def __init__(self, address: str) -> None:
        """Call ``address``."""
        super().__init__(address)
        self._connection: httpcore.AsyncHTTP11Connection | None = None

    async def call(self) -> bytes:
        """Return the body of the response."""
        url = httpcore.URL(f'http://{self.address}{PATH}')
        if self._connection is None:
            host, _, port = self.address.partition(':')
            stream = await httpcore.TrioBackend().connect_tcp(host, int(port))
            self._connection = httpcore.AsyncHTTP11Connection(
                url.origin, stream
            )
        request = httpcore.Request(
            b'POST',
            url,
            headers=self.headers,
            content=REQUEST,
            extensions={'timeout': {'read': TIMEOUT_SECONDS}},
        )
        response = await self._connection.handle_async_request(request)
        body = await response.aread()
        await response.aclose()
        return body


class ProtocolCaller(Caller):
    """h11 alone, with one write."""

    __slots__ = ('_protocol', '_stream')

    def __init__(self, address: str) -> None:
        """Call ``address``."""
        super().__init__(address)
        self._stream: trio.SocketStream | None = None
        self._protocol = h11.Connection(our_role=h11.CLIENT)

    async def call(self) -> bytes:
        """Return the body of the response."""
        self._stream = self._stream or await self.connect()
        sent = (
            self._protocol.send(event)
            for event in (
                h11.Request(method='POST', target=PATH, headers=self.headers),
                h11.Data(data=REQUEST),
                h11.EndOfMessage(),
            )
        )
        with trio.fail_after(TIMEOUT_SECONDS):
            await self._stream.send_all(b''.join(part or b'' for part in sent))
            return await self._read(self._stream)

    async def _read(self, stream: trio.SocketStream) -> bytes:
        body = b''
        event = self._protocol.next_event()
        while not isinstance(event, h11.EndOfMessage):
            if event is h11.NEED_DATA:
                self._protocol.receive_data(
                    await stream.receive_some(RECEIVE_BYTES)
                )
            elif isinstance(event, h11.Data):
                body += event.data
            event = self._protocol.next_event()
        self._protocol.start_next_cycle()
        return body


class SocketCaller(Caller):
    """No library: the least that any client can cost."""

    __slots__ = ('_stream',)

    def __init__(self, address: str) -> None:
        """Call ``address``."""
        super().__init__(address)
        self._stream: trio.SocketStream | None = None

    async def call(self) -> bytes:
        """Return the body of the response."""
        self._stream = self._stream or await self.connect()
        head = b''.join(b'%s: %s\r\n' % header for header in self.headers)
        with trio.fail_after(TIMEOUT_SECONDS):
            await self._stream.send_all(
                b'POST %s HTTP/1.1\r\n%s\r\n%s' % (PATH.encode(), head, REQUEST)
            )
            received = await self._stream.receive_some(RECEIVE_BYTES)
        return bytes(received).partition(b'\r\n\r\n')[2]


def serve(listener: socket.socket) -> None:
    """Answer every request on every connection with the same report."""
    for _ in range(CALLS):
        connection, _ = listener.accept()
        threading.Thread(target=_answer, args=(connection,)).start()


def _answer(connection: socket.socket) -> None:
    received = b''
    with connection:
        while chunk := connection.recv(RECEIVE_BYTES):
            received += chunk
            if received.endswith(REQUEST):
                received = b''
                connection.sendall(RESPONSE)


async def measure_call(caller: Caller) -> float:
    """Return the mean processor time of one call in microseconds."""
    await caller.call()
    started = time.process_time()
    for _ in range(CALLS):
        msgspec.json.decode(await caller.call(), type=Report)
    return (time.process_time() - started) / CALLS * MICROSECONDS


def measure_codec() -> float:
    """Return the microseconds that msgspec takes of each call."""
    started = time.process_time()
    for _ in range(CALLS):
        msgspec.json.encode(msgspec.json.decode(REPORT, type=Report))
    return (time.process_time() - started) / CALLS * MICROSECONDS


async def main(address: str) -> None:
    """Measure all ways to call the server at ``address``."""
    for kind in (
        AdapterCaller,
        PoolCaller,
        KeptCaller,
        ProtocolCaller,
        SocketCaller,
    ):
        micros = await measure_call(kind(address))
        sys.stdout.write(f'{kind.__doc__:60}{micros:6.0f} us\n')
    sys.stdout.write(f'{"The codec of the bodies alone.":60}')
    sys.stdout.write(f'{measure_codec():6.0f} us\n')


if __name__ == '__main__':
    listener = socket.create_server(('127.0.0.1', 0))
    server = multiprocessing.Process(
        target=serve, args=(listener,), daemon=True
    )
    server.start()
    trio.run(main, f'127.0.0.1:{listener.getsockname()[1]}')
    server.terminate()

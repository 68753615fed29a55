"""A server inside the process, and clients that misbehave."""

import socket
from contextlib import asynccontextmanager, contextmanager

import eliot
import hypercorn
import trio
import trio.testing
from hypercorn.app_wrappers import ASGIWrapper
from hypercorn.trio.worker_context import WorkerContext

from tarragonlb.server.connection import Connection, Service
from tarragonlb.server.httpserver import serve_http
from tarragonlb.server.room import AddressRoom
from tarragonlb.server.settings import ServerSettings
from tarragonlb.server.stop import ServerStop, Stage
from tarragonlb.server.stopanswers import StopAnswers

HOST = '127.0.0.1'
SETTINGS = ServerSettings(
    max_connections=100, retry_seconds=0.01, accept_retry_seconds=0.01
)
STOP_SECONDS = 0.1
# Ends a scenario that hangs.
TIMEOUT_SECONDS = 60
GET = b'GET /%s HTTP/1.1\r\nhost: h\r\n\r\n'


@contextmanager
def collect_lines():
    lines = []
    eliot.add_destinations(lines.append)
    try:
        yield lines
    finally:
        eliot.remove_destination(lines.append)


def list_sentences(lines):
    return [line['sentence'] for line in lines if 'sentence' in line]


def find_port():
    with socket.socket() as holder:
        holder.bind((HOST, 0))
        return holder.getsockname()[1]


class Application:
    """Answers each request with its path, and does what its path says."""

    def __init__(self):
        self.seen = []
        self.received = []
        self.finished = []
        self.released = trio.Event()
        # Set at the first request, and at the first response.
        self.begun = trio.Event()
        self.done = trio.Event()

    async def __call__(self, scope, receive, send):
        path = scope['path'].removeprefix('/')
        self.seen.append(path)
        self.begun.set()
        if path == 'error':
            raise ValueError
        if path == 'halt':
            await send({'type': 'http.response.start', 'status': 200})
            raise ValueError
        behave = getattr(self, f'do_{path.partition("-")[0]}', None)
        if behave is not None:
            await behave(receive)
        body = b'x' * 20_000_000 if path == 'large' else path.encode()
        await send(
            {
                'type': 'http.response.start',
                'status': 413 if path == 'reject' else 200,
                'headers': [(b'content-length', b'%d' % len(body))],
            }
        )
        await send({'type': 'http.response.body', 'body': body})
        self.finished.append(path)
        self.done.set()

    async def do_read(self, receive):
        while True:
            message = await receive()
            self.received.append(message)
            if not message.get('more_body'):
                return

    async def do_watch(self, receive):
        while (await receive())['type'] != 'http.disconnect':
            continue
        self.received.append('disconnect')

    async def do_wait(self, receive):
        await self.released.wait()


def make_service(application, settings=SETTINGS):
    config = hypercorn.Config()
    config.errorlog = None
    return Service(
        application=ASGIWrapper(application),
        settings=settings,
        config=config,
        context=WorkerContext(None),
        stop=ServerStop(),
        stop_answers=StopAnswers(settings),
        lingering=trio.Semaphore(settings.max_lingering),
    )


@asynccontextmanager
async def run_server(application, settings=SETTINGS, addresses=(), stop=None):
    """Serve while the context lasts, then stop and wait for the end."""
    stop = stop or ServerStop()
    addresses = addresses or (f'{HOST}:{find_port()}',)
    with trio.fail_after(TIMEOUT_SECONDS):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(
                serve_http, application, addresses, settings, stop
            )
            try:
                yield addresses[0]
            finally:
                if stop.stage is Stage.SERVING:
                    stop.begin(trio.current_time() + STOP_SECONDS)


async def connect(address):
    """Connect as soon as the server listens."""
    host, _, port = address.rpartition(':')
    while True:
        try:
            return await trio.open_tcp_stream(host, int(port))
        except OSError:
            await trio.sleep(0.01)


async def read_all(stream):
    content = b''
    try:
        while received := await stream.receive_some():
            content += received
    except trio.BrokenResourceError:
        content += b'(reset)'
    return content


async def call(address, request):
    """Return all that the server sends until it closes."""
    async with await connect(address) as stream:
        await stream.send_all(request)
        await stream.send_eof()
        return await read_all(stream)


def open_connection(
    nursery, application, streams=None, *, service=None, room=None
):
    """Serve one end of a pair of streams in memory; return the other end."""
    ours, theirs = streams or trio.testing.memory_stream_pair()
    room = room or AddressRoom()
    connection = Connection(
        theirs,
        service or make_service(application),
        room,
        ('client', 1),
        ('server', 2),
    )
    room.add(connection)
    nursery.start_soon(connection.run)
    return ours

"""Endpoints and callers in memory, for requests without a socket."""

import h11
import httpcore
import trio
import trio.testing

from tarragonlb.daemon.exchange import Exchange
from tarragonlb.routing.request import RequestInfo

MAX_BODY_BYTES = 1000
PIECE = 4096
SLOW_SECONDS = 20


class MemoryStream(httpcore.AsyncNetworkStream):
    """One end of a connection, as httpcore wants it."""

    def __init__(self, stream):
        self.stream = stream

    async def read(self, max_bytes, timeout=None):
        try:
            return await self.stream.receive_some(max_bytes)
        except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
            raise httpcore.ReadError from error

    async def write(self, buffer, timeout=None):
        try:
            await self.stream.send_all(buffer)
        except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
            raise httpcore.WriteError from error

    async def aclose(self):
        await self.stream.aclose()

    def get_extra_info(self, info):
        return None


class FakeNetwork(httpcore.AsyncNetworkBackend):
    """Endpoints by port; ``manners`` says how each treats its requests.

    A manner is used up with each request; the last one stays.
    """

    def __init__(self, nursery):
        self.nursery = nursery
        self.manners = {}
        self.ran = []
        self.started = []
        self.headers = []
        self.opened = 0
        self.lost = 0
        self.by_port = {}
        self.slow_port = None
        self.closed = trio.Event()

    async def connect_tcp(self, host, port, timeout=None, **kwargs):
        manners = self.manners[port]
        if manners[0] == 'away':
            raise httpcore.ConnectError('away')
        self.opened += 1
        near, far = trio.testing.memory_stream_pair()
        self.nursery.start_soon(self.serve, far, port, self.opened)
        return MemoryStream(near)

    def slow_vm(self, ports):
        """Return the VM that has been given a slow request."""
        return next(vm for vm in ports if ports[vm] == self.slow_port)

    def lose_connections(self):
        """Let all connections of now be silent for good; new ones work."""
        self.lost = self.opened

    async def serve(self, stream, port, number):
        connection = h11.Connection(h11.SERVER)
        while await self.take_request(stream, connection):
            manners = self.manners[port]
            manner = manners.pop(0) if len(manners) > 1 else manners[0]
            self.by_port[port] = self.by_port.get(port, 0) + 1
            if manner == 'slow':
                self.slow_port = port
                await trio.sleep(SLOW_SECONDS)
            if number <= self.lost:
                manner = 'silent'
            if not await self.answer(stream, connection, manner):
                break
        self.closed.set()
        await stream.aclose()

    async def take_request(self, stream, connection):
        size = 0
        while True:
            event = connection.next_event()
            if event is h11.NEED_DATA:
                data = await stream.receive_some(PIECE)
                connection.receive_data(data)
                if not data:
                    return False
            elif isinstance(event, h11.Request):
                self.started.append(event.target)
                self.headers.append(dict(event.headers))
            elif isinstance(event, h11.Data):
                size += len(event.data)
            elif isinstance(event, h11.EndOfMessage):
                return True
            elif isinstance(event, h11.ConnectionClosed):
                return False

    async def answer(self, stream, connection, manner):
        if manner == 'silent':
            while await stream.receive_some(PIECE):
                continue
            return False
        if manner == 'close':
            return False
        if manner == 'refuse':
            head = [('tarragon-verdict', 'not-run'), ('content-length', '0')]
            await stream.send_all(make_head(connection, 503, head))
            await stream.send_all(connection.send(h11.EndOfMessage()))
            connection.start_next_cycle()
            return True
        self.ran.append(self.started[-1])
        cut = manner.startswith('cut')
        head = [('content-length', '100' if cut else '5')]
        if manner == 'cut chunked':
            head = [('transfer-encoding', 'chunked')]
        await stream.send_all(make_head(connection, 200, head))
        await stream.send_all(connection.send(h11.Data(b'hello')))
        if cut:
            return False
        await stream.send_all(connection.send(h11.EndOfMessage()))
        connection.start_next_cycle()
        return True


def make_head(connection, status, headers):
    return connection.send(h11.Response(status_code=status, headers=headers))


class FakeCaller:
    """A caller with its request, and what it was sent."""

    def __init__(self, name, *, idempotent, timeout, pieces=(b'body',)):
        self.sent = []
        self.sender, self.receiver = trio.open_memory_channel(10)
        for index, piece in enumerate(pieces):
            more = index + 1 < len(pieces)
            self.put({'type': 'http.request', 'body': piece, 'more_body': more})
        info = RequestInfo(
            request_id=name,
            team='t',
            service='s',
            pool='p',
            urgent=True,
            idempotent=idempotent,
            deadline=trio.current_time() + timeout,
        )
        scope = {
            'method': 'POST',
            'raw_path': f'/call/{name}'.encode(),
            'query_string': b'',
            'headers': [(b'transfer-encoding', b'chunked')],
        }
        self.exchange = Exchange(
            info, scope, self.receiver.receive, self.send, MAX_BODY_BYTES
        )

    def put(self, event):
        self.sender.send_nowait(event)

    async def send(self, event):
        self.sent.append(event)

    @property
    def body(self):
        return b''.join(event.get('body', b'') for event in self.sent)

    @property
    def is_whole(self):
        return bool(self.sent) and not self.sent[-1].get('more_body', False)

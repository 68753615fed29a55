"""In-memory endpoints and callers, for requests without sockets."""

import h11
import httpcore
import trio
import trio.testing

from tarragonlb.daemon.exchange import Exchange
from tarragonlb.routing.request import RequestInfo

MAX_BODY_BYTES = 1000
CHUNK_BYTES = 4096
SLOW_SECONDS = 20


class MemoryStream(httpcore.AsyncNetworkStream):
    """One end of a connection, with the interface of httpcore."""

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
    """Endpoints by port; ``behaviors`` lists what each does with its requests.

    Each request uses up one behavior; the last one is used for all others.
    """

    def __init__(self, nursery):
        self.nursery = nursery
        self.behaviors = {}
        self.ran = []
        self.started = []
        self.headers = []
        self.opened = 0
        self.last_silenced = 0
        self.request_counts = {}
        self.slow_port = None
        self.closed = trio.Event()

    async def connect_tcp(self, host, port, timeout=None, **kwargs):
        behaviors = self.behaviors[port]
        if behaviors[0] == 'unreachable':
            raise httpcore.ConnectError('unreachable')
        self.opened += 1
        client_end, server_end = trio.testing.memory_stream_pair()
        self.nursery.start_soon(self.serve, server_end, port, self.opened)
        return MemoryStream(client_end)

    def find_slow_vm(self, ports):
        """Return the VM that got the slow request."""
        return next(vm for vm in ports if ports[vm] == self.slow_port)

    def silence_connections(self):
        """Keep all current connections silent for good; new ones work."""
        self.last_silenced = self.opened

    async def serve(self, stream, port, number):
        connection = h11.Connection(h11.SERVER)
        while await self.receive_request(stream, connection):
            behaviors = self.behaviors[port]
            behavior = behaviors.pop(0) if len(behaviors) > 1 else behaviors[0]
            self.request_counts[port] = self.request_counts.get(port, 0) + 1
            if behavior == 'slow':
                self.slow_port = port
                await trio.sleep(SLOW_SECONDS)
            if number <= self.last_silenced:
                behavior = 'silent'
            if not await self.answer(stream, connection, behavior):
                break
        self.closed.set()
        await stream.aclose()

    async def receive_request(self, stream, connection):
        size = 0
        while True:
            event = connection.next_event()
            if event is h11.NEED_DATA:
                data = await stream.receive_some(CHUNK_BYTES)
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

    async def answer(self, stream, connection, behavior):
        if behavior == 'silent':
            while await stream.receive_some(CHUNK_BYTES):
                continue
            return False
        if behavior == 'close':
            return False
        if behavior == 'refuse':
            head = [('tarragon-verdict', 'not-run'), ('content-length', '0')]
            await stream.send_all(encode_head(connection, 503, head))
            await stream.send_all(connection.send(h11.EndOfMessage()))
            connection.start_next_cycle()
            return True
        self.ran.append(self.started[-1])
        cut = behavior.startswith('cut')
        head = [('content-length', '100' if cut else '5')]
        if behavior == 'cut chunked':
            head = [('transfer-encoding', 'chunked')]
        await stream.send_all(encode_head(connection, 200, head))
        await stream.send_all(connection.send(h11.Data(b'hello')))
        if cut:
            return False
        await stream.send_all(connection.send(h11.EndOfMessage()))
        connection.start_next_cycle()
        return True


def encode_head(connection, status, headers):
    return connection.send(h11.Response(status_code=status, headers=headers))


class FakeCaller:
    """A caller with its request and the events that it received."""

    def __init__(self, name, *, idempotent, timeout, chunks=(b'body',)):
        self.sent = []
        self.sender, self.receiver = trio.open_memory_channel(10)
        for index, chunk in enumerate(chunks):
            more = index + 1 < len(chunks)
            self.add_event(
                {'type': 'http.request', 'body': chunk, 'more_body': more}
            )
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

    def add_event(self, event):
        self.sender.send_nowait(event)

    async def send(self, event):
        self.sent.append(event)

    @property
    def body(self):
        return b''.join(event.get('body', b'') for event in self.sent)

    @property
    def is_complete(self):
        return bool(self.sent) and not self.sent[-1].get('more_body', False)

"""A small HTTP/1.1 server whose network path can be cut, on trio and h11."""

import socket
import struct
from dataclasses import dataclass, field
from urllib.parse import parse_qsl, urlsplit

import h11
import msgspec
import trio

HOST = '127.0.0.1'
BROKEN = (
    trio.BrokenResourceError,
    trio.ClosedResourceError,
    h11.ProtocolError,
    OSError,
)


@dataclass
class Request:
    method: str
    path: str
    query: dict
    headers: dict
    body: bytes

    def decode(self):
        return msgspec.json.decode(self.body or b'{}')


@dataclass
class Response:
    status: int = 200
    content: object = field(default_factory=dict)


class Server:
    """Serves ``handler`` on one port.

    While ``is_cut``, nothing passes in either direction.  A connection that was
    open then stays silent, as after a loss of power: a peer learns of it by its
    own time-out, or by a reset if it sends something afterwards.
    """

    def __init__(self, handler):
        self.handler = handler
        self.is_cut = False
        self.epoch = 0
        self.port = 0

    @property
    def address(self):
        return f'{HOST}:{self.port}'

    async def open(self, nursery):
        listeners = await trio.open_tcp_listeners(0, host=HOST)
        self.port = listeners[0].socket.getsockname()[1]
        nursery.start_soon(trio.serve_listeners, self._serve, listeners)

    def cut(self):
        self.is_cut = True
        self.epoch += 1

    def restore(self):
        self.is_cut = False

    async def _stay_silent(self, stream):
        """Drop what comes; a host that is back resets what it doesn't know."""
        while await stream.receive_some(65536):
            if not self.is_cut:
                _reset(stream)
                return

    async def _serve(self, stream):
        epoch = self.epoch
        connection = h11.Connection(h11.SERVER)
        async with stream:
            try:
                while not self.is_cut and epoch == self.epoch:
                    request = await _read_request(stream, connection)
                    if request is None:
                        return
                    if self.is_cut:
                        break
                    if epoch != self.epoch:
                        _reset(stream)
                        return
                    response = await self.handler(request)
                    if self.is_cut or epoch != self.epoch:
                        break
                    if response is None:
                        return
                    await _send(stream, connection, response)
                    if connection.our_state is not h11.DONE:
                        return
                    connection.start_next_cycle()
                await self._stay_silent(stream)
            except BROKEN:
                return


def _reset(stream):
    linger = struct.pack('ii', 1, 0)
    stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    stream.socket.close()


async def _send(stream, connection, response):
    content = response.content
    body = content if isinstance(content, bytes) else msgspec.json.encode(content)
    head = h11.Response(
        status_code=response.status,
        headers=[
            ('content-type', 'application/json'),
            ('content-length', str(len(body))),
        ],
    )
    parts = (head, h11.Data(data=body), h11.EndOfMessage())
    await stream.send_all(b''.join(connection.send(part) for part in parts))


async def _read_request(stream, connection):
    head, body = None, bytearray()
    while True:
        event = connection.next_event()
        if event is h11.NEED_DATA:
            connection.receive_data(await stream.receive_some(65536))
        elif isinstance(event, h11.Request):
            head = event
        elif isinstance(event, h11.Data):
            body += event.data
        elif isinstance(event, h11.EndOfMessage) and head is not None:
            break
        else:
            return None
    target = urlsplit(head.target.decode())
    return Request(
        head.method.decode(),
        target.path,
        dict(parse_qsl(target.query, keep_blank_values=True)),
        {name.decode().lower(): text.decode() for name, text in head.headers},
        bytes(body),
    )


async def call(address, method, path, body=None, host='', seconds=3.0):
    """Send one request on a connection of its own; return status and content.

    The status is 0 without a complete response.
    """
    content = b'' if body is None else msgspec.json.encode(body)
    connection = h11.Connection(h11.CLIENT)
    ip, _, port = address.partition(':')
    headers = [
        ('host', host or address),
        ('content-length', str(len(content))),
        ('connection', 'close'),
    ]
    if body is not None:
        headers.append(('content-type', 'application/json'))
    request = h11.Request(method=method, target=path, headers=headers)
    status, received = 0, b''
    with trio.move_on_after(seconds):
        try:
            async with await trio.open_tcp_stream(ip, int(port)) as stream:
                data = connection.send(request)
                data += connection.send(h11.Data(data=content))
                data += connection.send(h11.EndOfMessage())
                await stream.send_all(data)
                while True:
                    event = connection.next_event()
                    if event is h11.NEED_DATA:
                        connection.receive_data(
                            await stream.receive_some(65536)
                        )
                    elif isinstance(event, h11.Response):
                        code = event.status_code
                    elif isinstance(event, h11.Data):
                        received += event.data
                    elif isinstance(event, h11.EndOfMessage):
                        status = code
                        break
                    else:
                        break
        except BROKEN:
            return 0, {}
    try:
        return status, msgspec.json.decode(received or b'{}')
    except msgspec.DecodeError:
        return status, {}

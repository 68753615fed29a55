import gc
from dataclasses import replace

import h11
import trio
import trio.testing
from behave import then, when
from connection_steps import Broken, leave, run_in_virtual_time
from hypercorn.protocol.http_stream import HTTPStream
from serverharness import GET, SETTINGS, make_service, open_connection, read_all

from tarragonlb.server.connection import Connection
from tarragonlb.server.exchange import RequestParts
from tarragonlb.server.protocol import ENDED_PARSER, HttpProtocol
from tarragonlb.server.room import AddressRoom

KINDS = (Connection, HttpProtocol, HTTPStream, RequestParts, h11.Connection)
POST = b'POST /%s HTTP/1.1\r\nhost: h\r\n%s\r\n'
LENGTH = b'content-length: 9\r\n'
CHUNKED = b'transfer-encoding: chunked\r\n'
SENT = {
    'its client closes amid a body': POST % (b'read', LENGTH) + b'ab',
    'its client asks for the end': POST % (b'a', b'connection: close\r\n'),
    'its request is malformed': b'nonsense\r\n\r\n',
    'its body is malformed': POST % (b'read', CHUNKED) + b'zz\r\n',
    "its body isn't wanted": POST % (b'reject', LENGTH) + b'ab',
    'its request takes too long': POST % (b'read', LENGTH) + b'ab',
    'it makes room for another': b'GET /a',
    'the application fails': GET % b'fail',
    'the server is cancelled': GET % b'wait',
}


class Objects:
    """The parts of connections that were made without garbage collection."""

    def __enter__(self):
        gc.collect()
        gc.disable()
        # Steps before may have kept errors, whose traces refer to objects.
        self.others = [ENDED_PARSER, *self.find()]
        return self

    def __exit__(self, *details):
        gc.enable()

    def find(self):
        return [found for found in gc.get_objects() if isinstance(found, KINDS)]

    def list_names(self):
        known = set(map(id, self.others))
        return [
            type(found).__name__
            for found in self.find()
            if id(found) not in known
        ]


async def do_fail(receive):
    raise ValueError


async def end(reason, stream, nursery, room):
    await trio.testing.wait_all_tasks_blocked()
    if 'its client' in reason and reason not in SENT:
        await leave(stream, reason.split()[2])
    elif 'closes amid' in reason:
        await stream.aclose()
    elif 'room' in reason:
        room.evict()
    elif 'cancelled' in reason:
        nursery.cancel_scope.cancel()


@when('a connection ends since {reason}, without garbage collection')
def end_connection(context, reason):
    async def main(application):
        application.do_fail = do_fail
        room = AddressRoom()
        listeners = await trio.open_tcp_listeners(0, host='127.0.0.1')
        ours = await trio.open_tcp_stream(*listeners[0].socket.getsockname())
        theirs = await listeners[0].accept()
        if 'stream' in reason:
            theirs = trio.StapledStream(theirs, Broken())
        async with trio.open_nursery() as nursery:
            open_connection(nursery, application, (ours, theirs), room=room)
            await ours.send_all(SENT.get(reason, GET % b'a'))
            await end(reason, ours, nursery, room)
            if ours.socket.fileno() >= 0:
                await read_all(ours)
                await ours.aclose()

    with Objects() as objects:
        run_in_virtual_time(context, main)
        context.left = objects.list_names()


@then('nothing of the connection is left')
def check_nothing_left(context):
    assert not context.left, context.left


@when(
    'a client sends {size:d} bytes that are not HTTP, without garbage '
    'collection'
)
def send_nonsense(context, size):
    async def main(application):
        async with trio.open_nursery() as nursery:
            stream = open_connection(nursery, application)
            await stream.send_all(b'nonsense\r\n\r\n' + bytes(size))
            await trio.testing.wait_all_tasks_blocked()
            context.left = objects.list_names()
            await stream.aclose()

    with Objects() as objects:
        run_in_virtual_time(context, main)


@then('no parser is left while the connection lingers')
def check_parser(context):
    assert 'Connection' in context.left, context.left
    assert 'RequestParser' not in context.left, context.left


@when('3 clients send nonsense where {places:d} may linger')
def send_nonsense_thrice(context, places):
    settings = replace(SETTINGS, max_lingering=places)

    async def main(application):
        service = make_service(application, settings)
        context.times = []
        context.started_at = trio.current_time()
        async with trio.open_nursery() as nursery:
            for _ in range(3):
                ours = open_connection(nursery, application, service=service)
                await ours.send_all(b'nonsense\r\n\r\n')
                nursery.start_soon(wait_closed, ours, context)

    run_in_virtual_time(context, main)


async def wait_closed(stream, context):
    # The connection has sent its end before it lingers.
    while True:
        try:
            await stream.send_all(b' ')
        except trio.BrokenResourceError:
            break
        await trio.sleep(0.25)
    context.times.append(trio.current_time() - context.started_at)


@then('{soon:d} of them is closed at once and {late:d} later')
def check_times(context, soon, late):
    early = [time for time in context.times if time < SETTINGS.linger_seconds]
    assert len(early) == soon, context.times
    assert len(context.times) == soon + late, context.times

"""Steps for requests around the stop of a server."""

import re
from contextlib import asynccontextmanager
from unittest.mock import patch

import trio
import trio.testing
from behave import then, when
from connection_steps import run
from serverharness import (
    GET,
    HOST,
    connect,
    find_port,
    open_connection,
    read_all,
    run_server,
)

from tarragonlb.server.connection import Connection
from tarragonlb.server.room import AddressRoom
from tarragonlb.server.settings import ServerSettings
from tarragonlb.server.stop import ServerStop, Stage

POST = b'POST /%s HTTP/1.1\r\nhost: h\r\ncontent-length: 2\r\n\r\n%s'
RESPONSE = re.compile(rb'HTTP/1.1 (\d+) ')
STOP_SECONDS = 2.0
SETTINGS = ServerSettings(
    max_connections=100,
    needs_whole_requests=True,
    safe_methods=frozenset(('GET',)),
    reject_seconds=1,
    conclude_seconds=0.6,
    close_seconds=0.2,
)
# Seconds before the end.
MIDDLES = {Stage.REJECTING: 0.8, Stage.CONCLUDING: 0.4}
REQUESTS = {
    'GET request': GET % b'wait',
    'POST request': POST % (b'wait', b'ab'),
    'POST request without an end': POST % (b'wait', b'a'),
}


@asynccontextmanager
async def open_client(application):
    """Serve with a stop of its own, and connect."""
    stop = ServerStop()
    addresses = (f'{HOST}:{find_port()}',)
    async with (
        run_server(application, SETTINGS, addresses, stop) as address,
        await connect(address) as stream,
    ):
        yield stop, stream


def begin(stop):
    stop.begin(trio.current_time() + STOP_SECONDS)


async def read_response(stream):
    """Return the next short response, or what there is at the end."""
    content = b''
    while not re.search(rb'content-length: 0\r\n(.+\r\n)*\r\n', content) and (
        not content.partition(b'\r\n\r\n')[2]
    ):
        received = await stream.receive_some()
        if not received:
            break
        content += received
    return content


async def wait_for(stop, stage):
    """Return in the middle of a stage of the stop."""
    if stage in MIDDLES:
        await stop.wait_before_end(MIDDLES[stage])
    assert stop.stage is stage, stop.stage


def list_statuses(context):
    return [found.decode() for found in RESPONSE.findall(context.response)]


@when('the server is cancelled while {what}')
def cancel(context, what):
    path = b'wait' if what == 'a request is in progress' else b'a'

    async def main(application):
        async with trio.open_nursery() as nursery:
            stream = open_connection(nursery, application)
            await stream.send_all(GET % path)
            await application.begun.wait()
            if path == b'a':
                await stream.receive_some()
            nursery.cancel_scope.cancel()

    run(context, main)


@then('a line says that "{path}" ends without an answer')
def check_unanswered(context, path):
    lines = find_lines(context, 'A request ends without an answer.')
    assert [line['path'] for line in lines] == [path], lines


@then('a line says that "{request}" was answered before it was done')
def check_concluded(context, request):
    lines = find_lines(
        context, 'Requests answered before they were done, as the server stops.'
    )
    assert [line['requests'] for line in lines] == [[request]], lines


def find_lines(context, sentence):
    sentences = [line.get('sentence') for line in context.lines]
    assert f'server: {sentence}' in sentences, sentences
    return [
        line
        for line in context.lines
        if line.get('sentence') == f'server: {sentence}'
    ]


@when('{count:d} requests come while new ones are rejected')
def send_rejected(context, count):
    async def main(application):
        async with open_client(application) as (stop, stream):
            begin(stop)
            await wait_for(stop, Stage.REJECTING)
            requests = [GET % (b'%d' % number) for number in range(count)]
            await stream.send_all(b''.join(requests))
            context.response = await read_all(stream)

    run(context, main)


@then('{count:d} lines name the {named:d} rejected requests')
def check_rejected(context, count, named):
    lines = find_lines(context, 'Requests rejected, as the server stops.')
    requests = [request for line in lines for request in line['requests']]
    assert requests == [f'GET /{number}' for number in range(named)], requests
    assert len(lines) == count, len(lines)
    assert list_statuses(context) == ['503'] * named


@when('3 requests come at once and the first is done {moment}')
def pipeline(context, moment):
    stages = {
        'as the server begins to stop': Stage.ANNOUNCING,
        'when new requests are rejected': Stage.REJECTING,
    }

    async def main(application):
        async with open_client(application) as (stop, stream):
            await stream.send_all(GET % b'wait' + GET % b'b' + GET % b'c')
            await application.begun.wait()
            begin(stop)
            if moment in stages:
                await wait_for(stop, stages[moment])
                application.released.set()
            context.response = await read_all(stream)

    run(context, main)


@then('they get responses with status {statuses}, the last with "{header}"')
def check_statuses(context, statuses, header):
    assert list_statuses(context) == statuses.split(', '), context.response
    assert not context.response.endswith(b'(reset)'), context.response
    found = context.response.count(header.encode())
    last = context.response.rpartition(b'HTTP/1.1')[2]
    assert (found, header.encode() in last) == (1, True), context.response


@when('a {request} is not done when the server stops')
def leave_undone(context, request):
    async def main(application):
        if request.endswith('end'):
            application.do_wait = application.do_read
        async with open_client(application) as (stop, stream):
            await stream.send_all(REQUESTS[request])
            await application.begun.wait()
            begin(stop)
            context.response = await read_all(stream)
            context.closed = True

    run(context, main)


@when('a response is sent {moment}')
def respond(context, moment):
    async def main(application):
        async with open_client(application) as (stop, stream):
            if moment.startswith('after the server begins'):
                begin(stop)
            request = GET % b'a'
            if moment == 'after a body that was refused':
                request = POST % (b'reject', b'a')
            elif moment == 'as the application fails':
                request = GET % b'error'
            elif moment.endswith('before a request'):
                request += GET % b'b'
            await stream.send_all(request)
            context.response = await read_response(stream)
            if not stop.stage:
                begin(stop)

    run(context, main)


@then('its header says {header}')
def check_header(context, header):
    head = context.response.partition(b'\r\n\r\n')[0].lower()
    expected = [] if header == 'nothing' else [header.encode()]
    assert re.findall(rb'connection: \w+', head) == expected, head


@when('a client sends its second request on a connection {moment}')
def send_late(context, moment):
    stage = {
        'when the server begins to stop': Stage.ANNOUNCING,
        'when new requests are rejected': Stage.REJECTING,
        'when all requests are answered': Stage.CONCLUDING,
    }[moment]

    async def main(application):
        async with open_client(application) as (stop, stream):
            await stream.send_all(GET % b'a')
            await read_response(stream)
            begin(stop)
            await wait_for(stop, stage)
            await stream.send_all(GET % b'b')
            context.response = await read_all(stream)
            context.closed = not context.response.endswith(b'(reset)')

    run(context, main)


@when('1001 requests come on one connection, the last two at once')
def send_many(context):
    async def main(application):
        async with open_client(application) as (_, stream):
            for number in range(999):
                await stream.send_all(GET % (b'%d-' % number))
                context.response += await read_response(stream)
            await stream.send_all(GET % b'999-' + GET % b'1000-')
            context.response += await read_all(stream)

    run(context, main)


@when('a client has sent half a head when the server ends')
def send_half(context):
    async def main(application):
        async with open_client(application) as (stop, stream):
            await stream.send_all(GET[:10])
            begin(stop)
            context.response = await read_all(stream)
            context.closed = True

    run(context, main)


@when(
    'the application can answer in the turn in which all requests are answered'
)
def answer_at_conclusion(context):
    async def main(application):
        conclude = Connection.conclude

        def release_and_conclude(connection):
            application.released.set()
            conclude(connection)

        with patch.object(Connection, 'conclude', release_and_conclude):
            async with open_client(application) as (stop, stream):
                await stream.send_all(REQUESTS['POST request'])
                await application.begun.wait()
                begin(stop)
                context.response = await read_all(stream)

    run(context, main)


@then('no line says that a request was answered before it was done')
def check_none_concluded(context):
    sentences = [line.get('sentence', '') for line in context.lines]
    assert not [text for text in sentences if 'before' in text], sentences


@when(
    'a POST request without an end is not done and not waited for when the '
    'server stops'
)
def leave_begun(context):
    async def main(application):
        async with open_client(application) as (stop, stream):
            await stream.send_all(REQUESTS['POST request without an end'])
            await application.begun.wait()
            begin(stop)
            context.response = await read_all(stream)

    run(context, main)


@asynccontextmanager
async def open_idle(application, room):
    """Serve a connection over sockets that has had one request."""
    async with trio.open_nursery() as nursery:
        listeners = await trio.open_tcp_listeners(0, host=HOST)
        address = listeners[0].socket.getsockname()
        ours = await trio.open_tcp_stream(*address)
        theirs = await listeners[0].accept()
        open_connection(nursery, application, (ours, theirs), room=room)
        await ours.send_all(GET % b'a')
        await read_response(ours)
        await trio.testing.wait_all_tasks_blocked()
        yield ours


@when('a request arrives in the turn in which its idle connection is to close')
def arrive_at_limit(context):
    async def main(application):
        room = AddressRoom()
        async with open_idle(application, room) as stream:
            await stream.send_all(GET % b'b')
            # As the limit of time does.
            for connection in room.list_open():
                connection._idle_since -= 60
                connection._limit.cancel()
            context.response = await read_response(stream)
            await stream.aclose()

    run(context, main)


@when('room is made in the turn in which a request arrives')
def evict_at_arrival(context):
    async def main(application):
        room = AddressRoom()
        async with open_idle(application, room) as stream:
            await stream.send_all(GET % b'b')
            room.evict()
            context.response = await read_response(stream)
            await stream.aclose()

    run(context, main)

"""Steps for a server whose event loop is late for the stages of its stop."""

import contextlib
import socket
import time

import trio
from behave import then, when
from connection_steps import run
from serverharness import GET, read_all
from stop_steps import (
    MIDDLES,
    STOP_SECONDS,
    begin,
    list_statuses,
    open_client,
    read_response,
    wait_for,
)

from tarragonlb.server.stop import Stage


def block(seconds):
    time.sleep(seconds)


@when(
    '6 requests come at once and the event loop stands still over all stages '
    'but the last'
)
def be_late(context):
    async def main(application):
        async with open_client(application) as (stop, stream):
            await stream.send_all(GET % b'wait' + 5 * (GET % b'b'))
            await application.begun.wait()
            begin(stop)
            await trio.sleep(0.1)
            # Until 0.1 s before the end.
            block(STOP_SECONDS - 0.2)
            context.response = await read_all(stream)

    run(context, main)


@then('they get {count:d} responses, the last with "{header}"')
def check_count(context, count, header):
    assert len(list_statuses(context)) == count, context.response
    last = context.response.rpartition(b'HTTP/1.1')[2]
    assert header.encode() in last, context.response


@when('the application fails behind the head of its response')
def fail_behind_head(context):
    async def main(application):
        async with open_client(application) as (_, stream):
            await stream.send_all(GET % b'halt')
            with trio.move_on_after(STOP_SECONDS):
                context.response = await read_response(stream)

    run(context, main)


@when(
    '10 clients connect while the event loop stands still until the '
    'connections have to close'
)
def connect_late(context):
    context.statuses = []

    async def main(application):
        async with open_client(application) as (stop, stream):
            host, port = stream.socket.getpeername()
            begin(stop)
            await wait_for(stop, Stage.CONCLUDING)
            sockets = connect_and_send(host, port, 10)
            block(MIDDLES[Stage.CONCLUDING] - 0.1)
            for sock in sockets:
                late = trio.SocketStream(trio.socket.from_stdlib_socket(sock))
                context.response = await read_all(late)
                context.statuses.extend(list_statuses(context))

    run(context, main)


def connect_and_send(host, port, count):
    sockets = [socket.create_connection((host, port)) for _ in range(count)]
    for sock in sockets:
        sock.sendall(GET % b'a')
        sock.setblocking(False)
    return sockets


@then('each of them gets status {status}')
def check_late(context, status):
    assert context.statuses == [status] * 10, context.statuses


@when('a client sends requests without end until the server ends')
def send_without_end(context):
    async def send(stream):
        with contextlib.suppress(trio.BrokenResourceError):
            while True:
                await stream.send_all(20 * (GET % b'a'))

    async def main(application):
        async with (
            open_client(application) as (stop, stream),
            trio.open_nursery() as nursery,
        ):
            nursery.start_soon(send, stream)
            begin(stop)
            context.response = await read_all(stream)
            nursery.cancel_scope.cancel()

    run(context, main)


@then('no line says that a request ends without an answer')
def check_all_answered(context):
    sentences = [line.get('sentence', '') for line in context.lines]
    unanswered = [text for text in sentences if 'without an answer' in text]
    assert not unanswered, len(unanswered)

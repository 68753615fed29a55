import errno
import socket
from contextlib import AsyncExitStack

import trio
import trio.testing
from behave import then, when
from connection_steps import SENT, get_status, run, run_in_virtual_time
from serverharness import (
    GET,
    HOST,
    SETTINGS,
    call,
    connect,
    find_port,
    list_sentences,
    open_connection,
    read_all,
    run_server,
)

from tarragonlb.server.listener import Listener
from tarragonlb.server.room import AddressRoom
from tarragonlb.server.settings import ServerSettings

TIMES = {'once': 1, 'twice': 2, '3 times': 3}


@when('one of two addresses is taken and becomes free later')
def take(context):
    async def main(application):
        holder = socket.create_server((HOST, 0))
        taken = f'{HOST}:{holder.getsockname()[1]}'
        other = f'{HOST}:{find_port()}'
        async with run_server(application, addresses=(other, taken)):
            context.responses = [await call(other, GET % b'a')]
            await trio.sleep(0.1)
            context.responses.append(await call(other, GET % b'a'))
            holder.close()
            context.responses.append(await call(taken, GET % b'a'))

    run(context, main)


@when('the server has the address {address} besides another one')
def add_invalid(context, address):
    async def main(application):
        other = f'{HOST}:{find_port()}'
        async with run_server(application, addresses=(other, address)):
            context.responses = [await call(other, GET % b'a')]
            await trio.sleep(0.1)

    run(context, main)


@then('both addresses serve in the end, the other one all the time')
@then('the other address serves')
@then('the client is served')
@then('the others are served')
@then('a client of the other address is served')
def check_responses(context):
    statuses = set(map(get_status, context.responses))
    assert statuses == {'200'}, context.responses


@then('the sentence "{sentence}" is logged {times}')
def check_sentence(context, sentence, times):
    count = list_sentences(context.lines).count(sentence)
    assert count == TIMES[times], context.lines


class FailingSocket(trio.socket.SocketType):
    """A listening socket whose first calls of accept fail."""

    def __init__(self, wrapped, errors):
        self.wrapped = wrapped
        self.errors = errors

    def __getattribute__(self, name):
        if name in {'wrapped', 'errors', 'accept', '__class__'}:
            return object.__getattribute__(self, name)
        return getattr(self.wrapped, name)

    def __enter__(self):
        return self

    def __exit__(self, *details):
        self.wrapped.close()

    async def accept(self):
        if self.errors:
            raise OSError(self.errors.pop(), 'accept failed')
        return await self.wrapped.accept()


class FailingFactory(trio.abc.SocketFactory):
    def __init__(self, errors):
        self.errors = errors

    def socket(self, family, kind, protocol):
        plain = socket.socket(family, kind, protocol)
        wrapped = trio.socket.from_stdlib_socket(plain)
        return FailingSocket(wrapped, self.errors)


def count_bound(context):
    return list_sentences(context.lines).count('listener: Listening.')


@when('accepting a connection fails {times:d} times with {name}')
def fail_to_accept(context, times, name):
    async def main(application):
        errors = [getattr(errno, name)] * times
        # A client of a socket that is about to be replaced is reset.
        bound = times + 1 if name in {'EBADF', 'EINVAL'} else 1
        factory = FailingFactory(errors)
        previous = trio.socket.set_custom_socket_factory(factory)
        async with run_server(application) as address:
            while errors or count_bound(context) < bound:  # noqa: ASYNC110
                await trio.sleep(0.01)
            trio.socket.set_custom_socket_factory(previous)
            context.responses = [await call(address, GET % b'a')]

    run(context, main)


@when('admitting a connection fails')
def fail_to_admit(context):
    kept = []

    def admit(accepted, client):
        kept.append(accepted)
        raise ValueError

    async def main(application):
        address = f'{HOST}:{find_port()}'
        listener = Listener(address, SETTINGS, admit, kept.clear)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(listener.run)
            stream = await connect(address)
            with trio.move_on_after(5):
                context.response = await read_all(stream) + b'(end)'
            nursery.cancel_scope.cancel()

    run(context, main)


@then('the client sees the end of its connection')
def check_end(context):
    assert context.response == b'(end)', context.response


async def connect_all(stack, address, count, request):
    streams = []
    for _ in range(count):
        stream = await stack.enter_async_context(await connect(address))
        streams.append(stream)
        if request:
            await stream.send_all(request)
    return streams


ROOM_FOR_2 = ServerSettings(max_connections=2)


@when('3 clients connect where there is room for 2')
def crowd(context):
    async def main(application):
        async with (
            run_server(application, ROOM_FOR_2) as address,
            AsyncExitStack() as stack,
        ):
            first, *others = await connect_all(stack, address, 3, b'')
            context.first = await read_all(first)
            context.responses = []
            for stream in others:
                await stream.send_all(GET % b'a')
                context.responses.append(await stream.receive_some())

    run(context, main)


@then('the first connection is closed')
def check_first(context):
    assert not context.first, context.first


@when('a connection that has sent {what} makes room for another')
def evict(context, what):
    async def main(application):
        room = AddressRoom()
        async with trio.open_nursery() as nursery:
            stream = open_connection(nursery, application, room=room)
            if SENT[what]:
                await stream.send_all(SENT[what])
            await trio.testing.wait_all_tasks_blocked()
            started_at = trio.current_time()
            assert room.evict()
            context.sizes = [room.size]
            await trio.testing.wait_all_tasks_blocked()
            context.sizes.append(room.size)
            await read_all(stream)
            await stream.aclose()
        context.waited = trio.current_time() - started_at

    run_in_virtual_time(context, main)


@then('it has a place until it is closed, at once')
def check_place(context):
    assert context.sizes == [1, 0], context.sizes
    assert not context.waited, context.waited


@when(
    '3 clients connect where there is room for 2, and the first 2 have '
    'requests in progress'
)
def crowd_busy(context):
    async def main(application):
        async with (
            run_server(application, ROOM_FOR_2) as address,
            AsyncExitStack() as stack,
        ):
            busy = await connect_all(stack, address, 2, GET % b'wait')
            while len(application.seen) < 2:  # noqa: ASYNC110
                await trio.sleep(0.01)
            context.response = await call(address, GET % b'a')
            application.released.set()
            context.responses = [await stream.receive_some() for stream in busy]

    run(context, main)


@then('the third gets a response with status 503 and a time to wait')
def check_refused(context):
    assert get_status(context.response) == '503', context.response
    assert b'retry-after: 1\r\n' in context.response


@then('the requests in progress are finished')
def check_finished(context):
    check_responses(context)


@when('20 clients with requests in progress crowd one address')
def crowd_one(context):
    settings = ServerSettings(max_connections=12, reserved_connections=2)
    front, ready = f'{HOST}:{find_port()}', f'{HOST}:{find_port()}'

    async def main(application):
        async with (
            run_server(application, settings, (front, ready)),
            AsyncExitStack() as stack,
        ):
            await connect_all(stack, front, 20, GET % b'wait')
            context.responses = [await call(ready, GET % b'a')]
            assert len(application.seen) == 11, application.seen
            application.released.set()

    run(context, main)

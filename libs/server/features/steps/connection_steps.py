import re
import socket
import struct
from dataclasses import replace

import trio
import trio.testing
from behave import then, when
from serverharness import (
    GET,
    SETTINGS,
    Application,
    call,
    collect_lines,
    connect,
    list_sentences,
    make_service,
    open_connection,
    read_all,
    run_server,
)


class UnprintableError(Exception):
    def __str__(self):
        raise ValueError


ERRORS = {
    'ValueError': ValueError('v'),
    'MemoryError': MemoryError(),
    'RecursionError': RecursionError(),
    'ExceptionGroup': ExceptionGroup('g', [ValueError('v')]),
    'SystemExit': SystemExit(3),
    'GeneratorExit': GeneratorExit(),
    'BaseExceptionGroup': BaseExceptionGroup('g', [SystemExit(3)]),
    'UnprintableError': UnprintableError(),
}
# What a line names for a group is the error in it.
NAMES = {'ExceptionGroup': 'ValueError', 'BaseExceptionGroup': 'SystemExit'}


def run(context, main, clock=None):
    """Run a scenario and keep its application, lines and response."""
    context.response = b''

    async def start():
        context.application = Application()
        await main(context.application)

    with collect_lines() as context.lines:
        trio.run(start, clock=clock)


def run_in_virtual_time(context, main):
    run(context, main, trio.testing.MockClock(autojump_threshold=0))


def reset(stream):
    linger = struct.pack('ii', 1, 0)
    stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    stream.socket.close()


async def leave(stream, how):
    if how == 'half-closes':
        await stream.send_eof()
    elif how == 'resets':
        reset(stream)
    else:
        await stream.aclose()


def get_status(response):
    found = re.match(rb'HTTP/1.1 (\d+) ', response)
    return found[1].decode() if found else 'none'


@when('the application raises {error} for one of two connections')
def fail(context, error):
    async def main(application):
        async def do_fail(receive):
            raise ERRORS[error]

        application.do_fail = do_fail
        async with (
            run_server(application) as address,
            await connect(address) as second,
        ):
            context.response = await call(address, GET % b'fail')
            await second.send_all(GET % b'second')
            context.second = await second.receive_some()

    run(context, main)


@then('the first client gets a response with status {status}')
@then('the response has status {status}')
def check_status(context, status):
    assert get_status(context.response) == status, context.response


@then('the second client gets its response')
def check_second(context):
    assert context.second.endswith(b'second'), context.second


@then('a log line names {error}')
def check_line(context, error):
    errors = [line.get('error', '') for line in context.lines]
    name = NAMES.get(error, error)
    assert any(text.startswith(name) for text in errors), context.lines


@then('no line is logged')
def check_no_line(context):
    others = set(list_sentences(context.lines)) - {'listener: Listening.'}
    assert not others, others


@when('the server is cancelled and a request fails in its clean-up')
def cancel(context):
    async def main(application):
        begun = trio.Event()

        async def do_fail(receive):
            begun.set()
            try:
                await trio.sleep_forever()
            finally:
                raise ValueError('v')

        application.do_fail = do_fail
        with trio.CancelScope() as scope:
            async with (
                run_server(application) as address,
                await connect(address) as stream,
            ):
                await stream.send_all(GET % b'fail')
                await begun.wait()
                scope.cancel()
                await trio.sleep_forever()
        context.ended = True

    run(context, main)


@then('the server ends without an error')
@then('the server has ended')
def check_ended(context):
    assert context.ended


@when('a stream fails unexpectedly while another connection is served')
def break_stream(context):
    async def main(application):
        ours, theirs = trio.testing.memory_stream_pair()
        broken = (ours, trio.StapledStream(theirs.send_stream, Broken()))
        async with trio.open_nursery() as nursery:
            second = open_connection(nursery, application)
            open_connection(nursery, application, broken)
            await trio.testing.wait_all_tasks_blocked()
            await second.send_all(GET % b'second')
            context.second = await second.receive_some()
            await second.aclose()

    run(context, main)


class Broken(trio.abc.ReceiveStream):
    async def receive_some(self, max_bytes=None):
        return 1 / 0

    async def aclose(self):
        await trio.lowlevel.checkpoint()


@when('a client sends the request {request}')
def send(context, request):
    names = r' (?=host|connection|upgrade|http2-settings)'
    text = re.sub(names, '\r\n', request)
    end = '' if text.endswith('connection') else '\r\n\r\n'

    async def main(application):
        async with run_server(application) as address:
            request_bytes = f'{text}{end}'.encode()
            context.response = await call(address, request_bytes)

    run(context, main)


@when("the server stops while a client doesn't read a long response")
def stop(context):
    async def main(application):
        async with run_server(application) as address:
            stream = await connect(address)
            await stream.send_all(GET % b'large')
            await stream.receive_some(1)
        context.ended = True
        await stream.aclose()

    run(context, main)


@when("a client doesn't read its response for 11 s")
def read_late(context):
    async def main(application):
        async with trio.open_nursery() as nursery:
            stream = open_connection(
                nursery, application, trio.testing.lockstep_stream_pair()
            )
            await stream.send_all(GET % b'large')
            await trio.sleep(11)
            context.closed_after = trio.current_time()
            content = await read_all(stream)
            context.closed = len(content) < 20_000_000

    run_in_virtual_time(context, main)


@then('its connection is closed')
def check_closed(context):
    assert context.closed


@then('the application has finished "{path}"')
def check_finished(context, path):
    assert path in context.application.finished


@when('the client {how} an idle connection')
def leave_idle(context, how):
    async def main(application):
        async with trio.open_nursery() as nursery:
            listeners = await trio.open_tcp_listeners(0, host='127.0.0.1')
            address = listeners[0].socket.getsockname()
            ours = await trio.open_tcp_stream(*address)
            theirs = await listeners[0].accept()
            open_connection(nursery, application, (ours, theirs))
            await ours.send_all(GET % b'a')
            await ours.receive_some()
            started_at = trio.current_time()
            await leave(ours, how)
        context.closed_after = trio.current_time() - started_at

    run(context, main)


@then('its connection is closed within {seconds:f} s')
@then('its connection is closed within {seconds:d} s')
def check_closed_after(context, seconds):
    assert context.closed_after < seconds, context.closed_after


@when('the client {how} its connection while its request is in progress')
def leave_busy(context, how):
    async def main(application):
        async with run_server(application) as address:
            stream = await connect(address)
            await stream.send_all(GET % b'watch')
            await application.begun.wait()
            await leave(stream, how)
            await application.done.wait()
            if how == 'half-closes':
                context.response = await read_all(stream)

    run(context, main)


@then('the application is told of the disconnect')
def check_told(context):
    assert context.application.received == ['disconnect']


@when('a client closes its connection in the middle of a body')
def cut(context):
    async def main(application):
        async with trio.open_nursery() as nursery:
            stream = open_connection(nursery, application)
            await stream.send_all(
                b'POST /read HTTP/1.1\r\nhost: h\r\ncontent-length: 9\r\n\r\nab'
            )
            await trio.testing.wait_all_tasks_blocked()
            await stream.aclose()

    run(context, main)


@then('the last message to the application is a disconnect')
def check_disconnect(context):
    types = [message['type'] for message in context.application.received]
    assert types == ['http.request', 'http.disconnect'], types


@when('{count:d} requests come at once')
def pipeline(context, count):
    async def main(application):
        requests = [GET % (b'%d-' % number) for number in range(count)]
        async with run_server(application) as address:
            context.response = await call(address, b''.join(requests))

    run(context, main)


@then('it gets the {count:d} responses in order')
def check_order(context, count):
    bodies = re.findall(rb'\r\n\r\n(\d+)-', context.response)
    assert bodies == [b'%d' % number for number in range(count)], bodies


@when("a long body comes that the application doesn't read")
def send_long(context):
    async def main(application):
        async with (
            run_server(application) as address,
            await connect(address) as stream,
        ):
            head = b'POST /reject HTTP/1.1\r\nhost: h\r\n'
            await stream.send_all(head + b'content-length: 9000000\r\n\r\n')
            await stream.send_all(bytes(4_000_000))
            context.response = await read_all(stream)

    run(context, main)


CHUNKED = (
    b'POST /read HTTP/1.1\r\nhost: h\r\ntransfer-encoding: chunked\r\n\r\n'
)
SENT = {
    'nothing': b'',
    'nonsense': b'nonsense\r\n\r\n',
    'half a head': b'GET /a HTTP/1.1\r\nhost',
    'half a body': (
        b'POST /read HTTP/1.1\r\nhost: h\r\ncontent-length: 9\r\n\r\nab'
    ),
    'half a chunk': CHUNKED + b'9\r\nab',
    'a malformed chunk': CHUNKED + b'2\r\nab\r\nzz\r\n',
    'a request': GET % b'a',
}


@when('{who} falls silent after {what}')
def send_half(context, who, what):
    linger = 0 if who == "a client that can't linger" else 10
    settings = replace(SETTINGS, max_lingering=linger)

    async def main(application):
        async with trio.open_nursery() as nursery:
            service = make_service(application, settings)
            stream = open_connection(nursery, application, service=service)
            started_at = trio.current_time()
            if SENT[what]:
                await stream.send_all(SENT[what])
            context.response = await read_all(stream)
            context.closed_after = trio.current_time() - started_at
            await stream.aclose()

    run_in_virtual_time(context, main)


@then('it is the only response')
def check_only(context):
    assert context.response.count(b'HTTP/1.1') == 1, context.response


@when('a body of {size:d} bytes comes at {rate:d} bytes a second')
def send_slowly(context, size, rate):
    async def main(application):
        async with trio.open_nursery() as nursery:
            stream = open_connection(nursery, application)
            await stream.send_all(
                b'POST /read HTTP/1.1\r\nhost: h\r\n'
                b'content-length: %d\r\n\r\n' % size
            )
            for _ in range(size // rate):
                await trio.sleep(1)
                try:
                    await stream.send_all(bytes(rate))
                except trio.BrokenResourceError:
                    break
            context.response = await stream.receive_some()
            await stream.aclose()

    run_in_virtual_time(context, main)

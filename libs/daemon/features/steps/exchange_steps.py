"""Steps for the body of a request."""

from contextlib import aclosing

import trio
from behave import given, then, when

from tarragonlb.daemon.exchange import Exchange

MAX_BODY_BYTES = 1_000_000
SCOPE = {'method': 'POST', 'query_string': b'', 'raw_path': b'/', 'headers': []}


async def read_all(exchange):
    return b''.join([piece async for piece in exchange.read_body()])


@given('a body of {count:d} pieces of {size:d} bytes')
def open_exchange(context, count, size):
    pieces = [bytes([index]) * size for index in range(count)]
    events = [
        {'type': 'http.request', 'body': piece, 'more_body': True}
        for piece in pieces
    ]
    events.append({'type': 'http.request', 'body': b'', 'more_body': False})

    async def receive():
        return events.pop(0)

    context.whole = b''.join(pieces)
    context.exchange = Exchange(None, SCOPE, receive, None, MAX_BODY_BYTES)
    trio.run(context.exchange.open_body)


@when('only its first piece is read')
def read_first(context):
    async def read():
        async with aclosing(context.exchange.read_body()) as pieces:
            await anext(pieces)

    trio.run(read)


@when('its body is read')
def read(context):
    context.arrived = trio.run(read_all, context.exchange)


@then('it has arrived whole')
def check_whole(context):
    assert context.arrived == context.whole, len(context.arrived)


@then('it is still replayable')
def check_replayable(context):
    assert context.exchange.replayable
    assert trio.run(read_all, context.exchange) == context.whole


@then('it is not replayable')
def check_not_replayable(context):
    assert not context.exchange.replayable

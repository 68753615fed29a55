"""Steps for the body of a request."""

from contextlib import aclosing

import trio
from behave import given, then, when

from tarragonlb.daemon.exchange import Exchange

MAX_BODY_BYTES = 1_000_000
SCOPE = {'method': 'POST', 'query_string': b'', 'raw_path': b'/', 'headers': []}


async def read_all(exchange):
    return b''.join([chunk async for chunk in exchange.read_body()])


@given('a body of {count:d} chunks of {size:d} bytes')
def open_exchange(context, count, size):
    chunks = [bytes([index]) * size for index in range(count)]
    events = [
        {'type': 'http.request', 'body': chunk, 'more_body': True}
        for chunk in chunks
    ]
    events.append({'type': 'http.request', 'body': b'', 'more_body': False})

    async def receive():
        return events.pop(0)

    context.complete_body = b''.join(chunks)
    context.exchange = Exchange(None, SCOPE, receive, None, MAX_BODY_BYTES)
    trio.run(context.exchange.open_body)


@when('only its first chunk is read')
def read_first(context):
    async def read():
        async with aclosing(context.exchange.read_body()) as chunks:
            await anext(chunks)

    trio.run(read)


@when('its body is read')
def read(context):
    context.arrived = trio.run(read_all, context.exchange)


@then('it has arrived complete')
def check_whole(context):
    assert context.arrived == context.complete_body, len(context.arrived)


@then('it is still replayable')
def check_replayable(context):
    assert context.exchange.replayable
    assert trio.run(read_all, context.exchange) == context.complete_body


@then('it is not replayable')
def check_not_replayable(context):
    assert not context.exchange.replayable

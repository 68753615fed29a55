"""Steps for requests whose deadline passes while the server responds."""

import h11
import httpcore
import trio
from behave import given, then, when
from server_steps import (
    TIMEOUT_SECONDS,
    make_gateway,
    read_answer,
    run_server,
)


class ExpiringDispatcher:
    """Sends each response under the next of ``limits``, in seconds."""

    def __init__(self, limits):
        self.limits = limits

    async def serve(self, exchange):
        with trio.move_on_after(self.limits.pop(0)):
            await exchange.send_response(httpcore.Response(200, content=b'x'))
            return
        exchange.raise_if_started('the deadline has passed')

    def find_list_age(self, now):
        return None


@given("a daemon's HTTP server")
def make_server(context):
    context.gateway = make_gateway(ExpiringDispatcher([0, TIMEOUT_SECONDS]))


@when('the deadline of a request passes as its response begins')
def call_twice(context):
    async def call(address):
        try:
            return await read_answer(*address)
        except h11.RemoteProtocolError:
            context.cut = True
        return []

    async def main():
        with trio.fail_after(TIMEOUT_SECONDS):
            async with run_server(context.gateway) as address:
                context.events = await call(address)
                context.next_events = await call(address)

    context.cut = False
    trio.run(main)


@then('the next request gets a complete response')
def check_next(context):
    assert isinstance(context.next_events[-1], h11.EndOfMessage)

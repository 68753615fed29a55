"""Steps for responses that the HTTP server sends to a socket."""

import socket
import types

import h11
import hypercorn
import trio
from behave import given, then, when
from dispatcher_harness import DispatcherHarness
from hypercorn.trio import serve

from tarragonlb.daemon.gateway import Gateway
from tarragonlb.settings.schema import (
    FleetSettings,
    ServiceSettings,
    TeamSettings,
)

TIMEOUT_SECONDS = 20
CHUNK_BYTES = 4096


def make_gateway(dispatcher):
    team = TeamSettings(services={'s': ServiceSettings(pool='p')})
    state = types.SimpleNamespace(teams={'t': team}, fleet=FleetSettings())
    journal = types.SimpleNamespace(state=state)
    identity = types.SimpleNamespace(team='t')
    access = types.SimpleNamespace(identify=lambda header: identity)
    return Gateway(access, journal, dispatcher, types.SimpleNamespace())


def make_application(gateway):
    async def application(scope, receive, send):
        if scope['type'] == 'lifespan':
            while True:
                event = await receive()
                await send({'type': f'{event["type"]}.complete'})
                if event['type'] == 'lifespan.shutdown':
                    return
        await gateway.serve(scope, receive, send)

    return application


async def read_answer(host, port):
    events = []
    connection = h11.Connection(h11.CLIENT)
    async with await trio.open_tcp_stream(host, port) as stream:
        request = h11.Request(
            method='GET', target='/call/s/x', headers=[('host', 'entry')]
        )
        await stream.send_all(connection.send(request))
        await stream.send_all(connection.send(h11.EndOfMessage()))
        while not events or not isinstance(events[-1], h11.EndOfMessage):
            event = connection.next_event()
            if event is h11.NEED_DATA:
                connection.receive_data(await stream.receive_some(CHUNK_BYTES))
            else:
                events.append(event)
    return events


@given('a daemon\'s HTTP server before an endpoint with behavior "{behavior}"')
def start(context, behavior):
    context.harness = DispatcherHarness([behavior])


@when('a caller reads the response from a socket')
def call(context):
    context.events = []
    context.cut = False

    async def scenario(harness):
        gateway = make_gateway(harness.dispatcher)
        config = hypercorn.Config()
        config.errorlog = None
        listener = socket.create_server(('127.0.0.1', 0))
        address = listener.getsockname()
        config.bind = [f'fd://{listener.detach()}']
        stopped = trio.Event()
        async with trio.open_nursery() as nursery:
            application = make_application(gateway)
            nursery.start_soon(
                lambda: serve(
                    application, config, shutdown_trigger=stopped.wait
                )
            )
            try:
                context.events = await read_answer(*address)
            except h11.RemoteProtocolError:
                context.cut = True
            stopped.set()

    async def main():
        with trio.fail_after(TIMEOUT_SECONDS):
            await context.harness.main(scenario)

    trio.run(main)


@then('the connection ends before the response is complete')
def check_cut(context):
    assert context.cut, context.events


@then('the response is complete with the verdict "{verdict}"')
def check_complete(context, verdict):
    assert not context.cut
    headers = dict(context.events[0].headers)
    assert headers[b'tarragon-verdict'] == verdict.encode(), headers
    assert isinstance(context.events[-1], h11.EndOfMessage)

"""Steps for responses that the HTTP server sends to a socket."""

import socket
import types
from contextlib import asynccontextmanager

import h11
import trio
import trio.testing
from behave import given, then, when
from dispatcher_harness import DispatcherHarness

from tarragonlb.daemon.gateway import Gateway
from tarragonlb.server.httpserver import serve_http
from tarragonlb.server.settings import ServerSettings
from tarragonlb.server.stop import ServerStop
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
        await gateway.serve(scope, receive, send)

    return application


@asynccontextmanager
async def run_server(gateway):
    """Serve while the context lasts, which gets the host and the port."""
    with socket.create_server(('127.0.0.1', 0)) as holder:
        host, port = holder.getsockname()
    stop = ServerStop()
    settings = ServerSettings(max_connections=10)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(
            serve_http,
            make_application(gateway),
            [f'{host}:{port}'],
            settings,
            stop,
        )
        await trio.testing.wait_all_tasks_blocked()
        yield host, port
        stop.begin(trio.current_time() + 1)


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
        async with run_server(gateway) as address:
            try:
                context.events = await read_answer(*address)
            except h11.RemoteProtocolError:
                context.cut = True

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

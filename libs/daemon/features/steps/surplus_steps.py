"""Steps for connections on which more than a response arrives."""

import contextlib

import cbor2
import httpcore
import trio
from behave import given, then, when

from tarragonlb.daemon.connections import EndpointConnections
from tarragonlb.platform.client import PlatformClient
from tarragonlb.routing.balancer import Endpoint

RESPONSE = b'HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n'


@given('a server that sends a second response behind each')
def create_server(context):
    context.bodies = []


async def run_server(scenario):
    numbers = iter(range(1, 10))

    async def handle(stream):
        with contextlib.suppress(trio.BrokenResourceError):
            async for received in stream:
                if b'HTTP/1.1' not in received:
                    continue
                await stream.send_all(
                    RESPONSE
                    + cbor2.dumps(next(numbers))
                    + RESPONSE
                    + cbor2.dumps(0)
                )

    async with trio.open_nursery() as nursery:
        listeners = await nursery.start(
            trio.serve_tcp,
            handle,
            0,
        )
        port = listeners[0].socket.getsockname()[1]
        await scenario(f'127.0.0.1:{port}')
        nursery.cancel_scope.cancel()


@when('3 requests are sent through the connections of endpoints')
def send_to_endpoint(context):
    async def scenario(address):
        connections = EndpointConnections()
        endpoint = Endpoint(vm_id='v', address=address, zone='a', slots=1)
        for _ in range(3):
            response = await connections.request(
                connections.find_channel(endpoint),
                httpcore.Request(
                    'GET', f'http://{address}/', headers={'Host': address}
                ),
                new_connection=False,
            )
            context.bodies.append(cbor2.loads(await response.aread()))
            await response.aclose()

    trio.run(run_server, scenario)


@when('3 requests are sent through the client of the platform')
def send_to_platform(context):
    async def scenario(address):
        client = PlatformClient(address)
        for _ in range(3):
            context.bodies.append(await client.call('/append', []))

    trio.run(run_server, scenario)


@then('each gets the response to itself')
def check_bodies(context):
    assert context.bodies == [1, 2, 3], context.bodies

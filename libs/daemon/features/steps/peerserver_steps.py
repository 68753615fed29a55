"""Steps for the websocket server, with bytes of any kind."""

import builtins
import contextlib
import os
import socket
import struct
import types

import cbor2
import eliot
import trio
import trio.testing
from behave import given, then, when
from peerbytes import QUESTION, draw_connections
from websockets.trio.client import ClientConnection, connect
from websockets.trio.server import ServerConnection

from tarragonlb.daemon.keyprotocol import KeyClient, KeyServer
from tarragonlb.daemon.peers import PeerTask
from tarragonlb.daemon.peerserver import PeerServer
from tarragonlb.routing.ledger import ClaimResult, KeyLedger
from tarragonlb.standin.cluster import reserve_port

RESET = struct.pack('ii', 1, 0)


class Peers:
    """A server, and a peer that asks questions."""

    def __init__(self):
        self.port = reserve_port()
        self.messages = []
        self.fault = None
        ledger = KeyLedger('127.0.0.1:1', 'i', b's' * 32)
        self.keys = KeyServer(ledger)
        self.handlers = {'/keys': self.serve}
        self.server = PeerServer(f'127.0.0.1:{self.port}', self.handlers)

    async def serve(self, connection):
        if self.fault:
            error, self.fault = self.fault, None
            raise error
        await self.keys.serve_connection(connection)

    def connect(self):
        return connect(
            f'ws://127.0.0.1:{self.port}/keys', proxy=None, compression=None
        )

    def run(self, scenario, clock=None):
        eliot.add_destinations(self.messages.append)
        try:
            trio.run(self.run_server, scenario, clock=clock)
        finally:
            eliot.remove_destination(self.messages.append)

    async def run_server(self, scenario):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.server.run)
            await scenario()
            nursery.cancel_scope.cancel()

    async def wait_until_open(self):
        while True:
            try:
                stream = await trio.open_tcp_stream('127.0.0.1', self.port)
            except OSError:
                await trio.sleep(0.01)
            else:
                await stream.aclose()
                return


async def check_served(peer):
    await peer.send(QUESTION)
    with trio.fail_after(5):
        assert cbor2.loads(await peer.recv())['number'] == 1


def raise_once(name, error):
    """Let a method of a connection of the server raise once."""
    method = getattr(ServerConnection, name)

    async def fail(self):
        setattr(ServerConnection, name, method)
        await method(self)
        raise error

    setattr(ServerConnection, name, fail)


@given('a server for peers with 2 connections')
def create_server(context):
    context.peers = Peers()


@when('{place} raises {name} in one of them')
def raise_in_one(context, place, name):
    peers = context.peers
    error = find_error(name)
    methods = {
        'the receiving task': 'recv_events',
        'the close of the stream': 'close_stream',
    }

    async def scenario():
        await peers.wait_until_open()
        async with peers.connect() as other:
            await check_served(other)
            if place in methods:
                raise_once(methods[place], error)
            else:
                peers.fault = error
            with contextlib.suppress(Exception):
                async with peers.connect() as one:
                    await check_served(one)
            await trio.testing.wait_all_tasks_blocked(0.05)
            await check_served(other)
            context.is_served = True

    context.is_served = False
    peers.run(scenario)


@then('the other one is still served')
def check_other(context):
    assert context.is_served


@then('the log names {name}')
def check_log(context, name):
    errors = [str(message.get('error')) for message in context.peers.messages]
    assert any(error.startswith(name) for error in errors), errors


@given('a server for peers whose port someone else holds')
def create_blocked(context):
    context.peers = Peers()
    context.holder = socket.create_server(('127.0.0.1', context.peers.port))


@when('the port becomes free')
def free_port(context):
    peers = context.peers

    async def scenario():
        await trio.testing.wait_all_tasks_blocked(0.05)
        context.holder.close()
        with trio.fail_after(10):
            await peers.wait_until_open()
        async with peers.connect() as peer:
            await check_served(peer)

    peers.run(scenario)


@then('a peer is served')
def check_listening(context):
    sentences = [message.get('sentence') for message in context.peers.messages]
    assert any('Could not listen' in str(one) for one in sentences), sentences


async def send_bytes(port, content, cut, end):
    stream = await trio.open_tcp_stream('127.0.0.1', port)
    async with stream:
        with contextlib.suppress(trio.BrokenResourceError):
            await stream.send_all(content[:cut])
            await trio.lowlevel.checkpoint()
            await stream.send_all(content[cut:])
            if end == 'half close':
                await stream.send_eof()
            if end == 'reset':
                stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
            else:
                with trio.move_on_after(0.005):
                    while await stream.receive_some():
                        continue


def count_descriptors():
    return len(os.listdir('/proc/self/fd'))


@when('{examples:d} connections send generated bytes, seed {seed:d}')
def send_generated(context, examples, seed):
    peers = context.peers
    connections = draw_connections(examples, seed)

    async def scenario():
        await peers.wait_until_open()
        async with peers.connect() as other:
            await check_served(other)
            before = count_descriptors()
            for content, cut, end in connections:
                await send_bytes(peers.port, content, cut, end)
            await check_served(other)
            context.is_served = True
            for _ in range(300):
                if count_descriptors() <= before:
                    break
                await trio.sleep(0.05)
            context.left = count_descriptors() - before

    context.is_served = False
    peers.run(scenario)


@then('no descriptor is left of those')
def check_descriptors(context):
    assert context.left <= 0, context.left
    unexpected = [
        message
        for message in context.peers.messages
        if 'A connection failed' in str(message.get('sentence'))
    ]
    assert not unexpected, unexpected[:3]


def find_error(name):
    return (getattr(trio, name, None) or getattr(builtins, name))('test')


def fail_send_once(error):
    """Let the next message of a client raise an error."""
    send = ClientConnection.send

    async def fail(self, *args):
        ClientConnection.send = send
        raise error

    ClientConnection.send = fail


async def ask_until_answered(client):
    for _ in range(500):
        if await client.ask('k', 't') is not None:
            return
        await trio.sleep(0.01)


@when('a key client gets {name} while it sends')
def fail_key_client(context, name):
    peers = context.peers
    context.answers = []

    async def scenario():
        await peers.wait_until_open()
        client = KeyClient(f'127.0.0.1:{peers.port}')
        async with trio.open_nursery() as nursery:
            nursery.start_soon(client.run)
            await ask_until_answered(client)
            fail_send_once(find_error(name))
            context.answers = [await client.ask('k', 't') for _ in range(2)]
            nursery.cancel_scope.cancel()

    peers.run(scenario)
    context.sends_again = context.answers == [None, ClaimResult.FORGED]


async def wait_until_caught_up():
    await trio.lowlevel.checkpoint()


@when('a peer client gets {name} while it sends')
def fail_peer_client(context, name):
    peers = context.peers
    received = trio.Event()
    settings = types.SimpleNamespace(peers=(f'127.0.0.1:{peers.port}',))
    journal = types.SimpleNamespace(
        head_factory=types.SimpleNamespace(author='e', incarnation='1'),
        state=types.SimpleNamespace(offset=0, digest=b''),
        replica=types.SimpleNamespace(caught_up=True, halted=''),
        wait_until_caught_up=wait_until_caught_up,
    )

    async def receive(connection):
        await connection.recv()
        received.set()

    async def scenario():
        await peers.wait_until_open()
        fail_send_once(find_error(name))
        task = PeerTask(settings, journal)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(task.run)
            with trio.move_on_after(200):
                await received.wait()
            nursery.cancel_scope.cancel()

    peers.handlers['/state'] = receive
    peers.run(scenario, trio.testing.MockClock(rate=50))
    context.sends_again = received.is_set()


@then('it sends again after that')
def check_sends_again(context):
    assert context.sends_again

"""Runs the dispatcher with a fake endpoint and fake callers."""

import random

import trio
import trio.testing
from fake_network import FakeCaller, FakeNetwork

from tarragonlb.daemon.connections import EndpointConnections
from tarragonlb.daemon.dispatcher import Dispatcher
from tarragonlb.daemon.exchange import CallerDisconnectedError, ResponseCutError
from tarragonlb.model.errors import RefusedError
from tarragonlb.routing.balancer import Endpoint

TIMEOUT_SECONDS = 4
PORT = 1000


class DispatcherHarness:
    """Runs a scenario on a dispatcher and keeps its callers and errors."""

    def __init__(self, behaviors):
        self.behaviors = behaviors
        self.network = None
        self.dispatcher = None
        self.callers = []
        self.errors = []

    def run(self, scenario):
        clock = trio.testing.MockClock(autojump_threshold=0)
        trio.run(self.main, scenario, clock=clock)

    async def main(self, scenario):
        async with trio.open_nursery() as nursery:
            self.network = FakeNetwork(nursery)
            self.network.behaviors = {PORT: list(self.behaviors)}
            connections = EndpointConnections(self.network)
            self.dispatcher = Dispatcher('a', random.Random(1), connections)
            nursery.start_soon(self.dispatcher.run)
            endpoint = Endpoint(
                vm_id='vm-1', address=f'127.0.0.1:{PORT}', zone='a', slots=8
            )
            self.dispatcher.update_pool('p', [endpoint])
            await scenario(self)
            nursery.cancel_scope.cancel()

    def add_caller(self, *, idempotent, **options):
        caller = FakeCaller(
            f'r{len(self.callers)}',
            idempotent=idempotent,
            timeout=TIMEOUT_SECONDS,
            **options,
        )
        self.callers.append(caller)
        return caller

    async def serve(self, caller):
        try:
            await caller.exchange.open_body()
            await self.dispatcher.serve(caller.exchange)
        except (
            RefusedError,
            ResponseCutError,
            CallerDisconnectedError,
        ) as error:
            self.errors.append(error)

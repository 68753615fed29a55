"""Connections to endpoints, a pool of them for each address.

A connection that has been idle for longer than the cap is closed rather than
used again, since something between the two ends may have forgotten it.  When
one is found silent, all others to the same address are under suspicion too:
they get no new request, and the next one opens a connection of its own.
"""

from typing import TypeAlias

import httpcore
import trio

from tarragonlb.routing.balancer import Endpoint

MAX_CONNECTIONS_PER_ENDPOINT = 64
MAX_IDLE_SECONDS = 2


Network: TypeAlias = httpcore.AsyncNetworkBackend


class Channel:
    """The connections to one address.

    ``answered`` says whether an answer has come through one of them, so that
    they once worked.
    """

    __slots__ = ('active', 'answered', 'connections')

    def __init__(self, network: Network | None) -> None:
        """Start without any connection."""
        self.active = 0
        self.answered = False
        self.connections = httpcore.AsyncConnectionPool(
            network_backend=network,
            max_connections=MAX_CONNECTIONS_PER_ENDPOINT,
            keepalive_expiry=MAX_IDLE_SECONDS,
        )


class EndpointConnections:
    """Owns the connections to all endpoints."""

    __slots__ = ('_unpooled', '_channels', '_network', '_retired')

    def __init__(self, network: Network | None = None) -> None:
        """Start without any connection; ``network`` opens them."""
        self._network = network
        self._channels: dict[str, Channel] = {}
        self._retired: list[Channel] = []
        self._unpooled = httpcore.AsyncConnectionPool(
            network_backend=network,
            max_connections=None,
            max_keepalive_connections=0,
        )

    def find_channel(self, endpoint: Endpoint) -> Channel:
        """Return the connections to an endpoint."""
        channel = self._channels.get(endpoint.address)
        if channel is None:
            channel = Channel(self._network)
            self._channels[endpoint.address] = channel
        return channel

    async def request(
        self,
        channel: Channel,
        request: httpcore.Request,
        *,
        new_connection: bool,
    ) -> httpcore.Response:
        """Send a request and return the answer, its body still unread."""
        pool = self._unpooled if new_connection else channel.connections
        return await pool.handle_async_request(request)

    def retire(self, endpoint: Endpoint, channel: Channel) -> None:
        """Use none of the present connections to an endpoint again."""
        if self._channels.get(endpoint.address) is channel:
            self._channels.pop(endpoint.address)
            self._retired.append(channel)

    def retain(self, addresses: frozenset[str]) -> None:
        """Give up the connections to endpoints that are listed no more."""
        for address in set(self._channels) - addresses:
            self._retired.append(self._channels.pop(address))

    def has_retired(self) -> bool:
        """Return whether connections wait to be closed."""
        return bool(self._retired)

    async def close_retired(self) -> None:
        """Close the connections that are given up and carry no request."""
        idle = [channel for channel in self._retired if not channel.active]
        self._retired = [channel for channel in self._retired if channel.active]
        for channel in idle:
            with trio.CancelScope(shield=True):
                await channel.connections.aclose()

"""HTTP connections to endpoints, one connection pool per address.

A connection that was idle for more than ``MAX_IDLE_SECONDS`` is closed and not
reused, since a middlebox may have dropped its state.  When a connection stays
silent, all connections to the same address are presumed dead: they get no new
request, and the next request opens a new connection.
"""

from typing import TypeAlias

import httpcore
import trio

from tarragonlb.platform.connectionpool import ConnectionPool
from tarragonlb.routing.balancer import Endpoint

MAX_CONNECTIONS_PER_ENDPOINT = 64
MAX_IDLE_SECONDS = 2


Network: TypeAlias = httpcore.AsyncNetworkBackend


class Channel:
    """The connections to one address.

    ``active`` counts the requests in progress.  ``answered`` is true once a
    response arrived over one of the connections, which proves that they worked.
    """

    __slots__ = ('active', 'answered', 'connections')

    def __init__(self, network: Network | None) -> None:
        """Create an empty connection pool."""
        self.active = 0
        self.answered = False
        self.connections = ConnectionPool(
            network_backend=network,
            max_connections=MAX_CONNECTIONS_PER_ENDPOINT,
            keepalive_expiry=MAX_IDLE_SECONDS,
        )


class EndpointConnections:
    """Connection pools of all endpoints."""

    __slots__ = ('_channels', '_network', '_retired', '_unpooled')

    def __init__(self, network: Network | None = None) -> None:
        """Create an empty registry; ``network`` opens the connections."""
        self._network = network
        self._channels: dict[str, Channel] = {}
        self._retired: list[Channel] = []
        self._unpooled = httpcore.AsyncConnectionPool(
            network_backend=network,
            max_connections=None,
            max_keepalive_connections=0,
        )

    def find_channel(self, endpoint: Endpoint) -> Channel:
        """Return the channel to an endpoint, creating it if needed."""
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
        """Send a request and return the response, its body still unread."""
        pool = self._unpooled if new_connection else channel.connections
        return await pool.handle_async_request(request)

    def retire(self, endpoint: Endpoint, channel: Channel) -> None:
        """Stop using the current connections to an endpoint."""
        if self._channels.get(endpoint.address) is channel:
            self._channels.pop(endpoint.address)
            self._retired.append(channel)

    def retain(self, addresses: frozenset[str]) -> None:
        """Retire the connections to all addresses not in ``addresses``."""
        for address in set(self._channels) - addresses:
            self._retired.append(self._channels.pop(address))

    def has_retired(self) -> bool:
        """Return whether retired connections are still open."""
        return bool(self._retired)

    async def close_retired(self) -> None:
        """Close the retired connections that carry no request."""
        idle = [channel for channel in self._retired if not channel.active]
        self._retired = [channel for channel in self._retired if channel.active]
        for channel in idle:
            with trio.CancelScope(shield=True):
                await channel.connections.aclose()

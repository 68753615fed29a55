"""Connections to endpoints, a pool of them for each address.

A connection that has been idle for longer than the cap is closed rather than
used again, since something between the two ends may have forgotten it.  When
one is found silent, all others to the same address are under suspicion too:
they get no new request, and the next one opens a connection of its own.
"""

import httpcore
import trio

from tarragonlb.routing.balancer import Endpoint

MAX_CONNECTIONS_PER_ENDPOINT = 64
IDLE_CAP_SECONDS = 2


class Lane:
    """The connections to one address.

    ``answered`` says whether an answer has come through one of them, so that
    they once worked.
    """

    __slots__ = ('active', 'answered', 'connections')

    def __init__(self) -> None:
        """Start without any connection."""
        self.active = 0
        self.answered = False
        self.connections = httpcore.AsyncConnectionPool(
            max_connections=MAX_CONNECTIONS_PER_ENDPOINT,
            keepalive_expiry=IDLE_CAP_SECONDS,
        )


class EndpointConnections:
    """Owns the connections to all endpoints."""

    __slots__ = ('_fresh', '_lanes', '_retired')

    def __init__(self) -> None:
        """Start without any connection."""
        self._lanes: dict[str, Lane] = {}
        self._retired: list[Lane] = []
        self._fresh = httpcore.AsyncConnectionPool(
            max_connections=None, max_keepalive_connections=0
        )

    def find_lane(self, endpoint: Endpoint) -> Lane:
        """Return the connections to an endpoint."""
        lane = self._lanes.get(endpoint.address)
        if lane is None:
            lane = Lane()
            self._lanes[endpoint.address] = lane
        return lane

    async def request(
        self, lane: Lane, request: httpcore.Request, *, fresh: bool
    ) -> httpcore.Response:
        """Send a request and return the answer, its body still unread."""
        pool = self._fresh if fresh else lane.connections
        return await pool.handle_async_request(request)

    def suspect(self, endpoint: Endpoint, lane: Lane) -> None:
        """Use none of the present connections to an endpoint again."""
        if self._lanes.get(endpoint.address) is lane:
            self._lanes.pop(endpoint.address)
            self._retired.append(lane)

    def retain(self, addresses: frozenset[str]) -> None:
        """Give up the connections to endpoints that are listed no more."""
        for address in set(self._lanes) - addresses:
            self._retired.append(self._lanes.pop(address))

    def has_retired(self) -> bool:
        """Return whether connections wait to be closed."""
        return bool(self._retired)

    async def close_retired(self) -> None:
        """Close the connections that are given up and carry no request."""
        idle = [lane for lane in self._retired if not lane.active]
        self._retired = [lane for lane in self._retired if lane.active]
        for lane in idle:
            with trio.CancelScope(shield=True):
                await lane.connections.aclose()

"""Which connections a server has, and which of them could be closed.

Each address can always have ``reserved_connections``; the rest of
``max_connections`` is for whoever comes first.  So a crowd at one address
leaves room at the others.

>>> ServerRoom(ServerSettings(max_connections=2), ['a']).has_room('a')
True
"""

import itertools
from collections.abc import Collection
from typing import Protocol

from tarragonlb.server.settings import ServerSettings

# Idle connections that are looked at to close one.
MAX_EVICTION_LOOKS = 16


class Closeable(Protocol):
    """A connection that can be told to close."""

    def close(self) -> None:
        """Begin no further request, and stop reading."""

    def has_unread(self) -> bool:
        """Return whether bytes of the client wait to be read."""

    def evict(self) -> None:
        """Close without waiting for the client."""

    def conclude(self) -> None:
        """Answer the request in progress, whether it is done or not."""

    def finish(self) -> None:
        """Answer what has been sent, and close."""


class AddressRoom:
    """The connections of one address, those without a request in order.

    A connection counts until it has closed.
    """

    __slots__ = ('_idle', '_open')

    def __init__(self) -> None:
        """Start without connections."""
        self._open: set[Closeable] = set()
        self._idle: dict[Closeable, None] = {}

    @property
    def size(self) -> int:
        """The number of open connections."""
        return len(self._open)

    def add(self, connection: Closeable) -> None:
        """Add a connection, which has no request yet."""
        self._open.add(connection)
        self._idle[connection] = None

    def mark_busy(self, connection: Closeable) -> None:
        """Note that the connection has a request, or is about to end."""
        self._idle.pop(connection, None)

    def mark_idle(self, connection: Closeable) -> None:
        """Note that the connection has no request in progress."""
        self._idle[connection] = None

    def remove(self, connection: Closeable) -> None:
        """Note that the connection has ended."""
        self._open.discard(connection)
        self._idle.pop(connection, None)

    def evict(self) -> bool:
        """Close the connection that is idle longest, if there is one.

        One whose client has sent something is not idle any more.
        """
        for oldest in itertools.islice(self._idle, MAX_EVICTION_LOOKS):
            if not oldest.has_unread():
                self.mark_busy(oldest)
                oldest.evict()
                return True
        return False

    def list_open(self) -> tuple[Closeable, ...]:
        """Return all open connections."""
        return tuple(self._open)


class ServerRoom:
    """The connections of all addresses of a server."""

    __slots__ = ('_max_connections', '_reserve', 'by_address')

    def __init__(
        self, settings: ServerSettings, addresses: Collection[str]
    ) -> None:
        """Give each address its reserve, or an equal share if that is less."""
        self.by_address = {address: AddressRoom() for address in addresses}
        self._max_connections = settings.max_connections
        self._reserve = min(
            settings.reserved_connections,
            settings.max_connections // max(len(addresses), 1),
        )

    def has_room(self, address: str) -> bool:
        """Return whether the address may have one more connection."""
        if self.by_address[address].size < self._reserve:
            return True
        taken = sum(
            max(room.size, self._reserve) for room in self.by_address.values()
        )
        return taken < self._max_connections

    def evict(self) -> bool:
        """Close an idle connection of the address that has the most."""
        rooms = sorted(self.by_address.values(), key=_get_size, reverse=True)
        return any(room.evict() for room in rooms)

    def list_open(self) -> list[Closeable]:
        """Return the open connections of all addresses."""
        return [
            connection
            for room in self.by_address.values()
            for connection in room.list_open()
        ]


def _get_size(room: AddressRoom) -> int:
    return room.size

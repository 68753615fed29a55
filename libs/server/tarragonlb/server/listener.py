"""Listens at one address, whatever happens to the address or its socket."""

import errno
import math
from collections.abc import Callable
from typing import TypeAlias

import trio

from tarragonlb.server.boundary import describe_error
from tarragonlb.server.settings import ServerSettings
from tarragonlb.telemetry.log import Log

LOG = Log('listener')
# The listening socket itself is of no use any more.
BROKEN_SOCKET = frozenset((errno.EBADF, errno.EINVAL, errno.ENOTSOCK))
# Errors that follow each other more closely are logged once: for want of
# descriptors, every other connection fails.
QUIET_SECONDS = 5.0
NO_RESOURCES = frozenset(
    (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)
)

Endpoint: TypeAlias = tuple[str, int]
Admit: TypeAlias = Callable[[trio.socket.SocketType, Endpoint], None]


class Listener:
    """Accepts connections at one address."""

    __slots__ = ('_address', '_admit', '_free_descriptor', '_settings')

    def __init__(
        self,
        address: str,
        settings: ServerSettings,
        admit: Admit,
        free_descriptor: Callable[[], None],
    ) -> None:
        """Pass each socket to ``admit``, with the endpoint of the client.

        Before the pause after an error for want of descriptors or memory,
        ``free_descriptor`` is called.
        """
        self._address = address
        self._settings = settings
        self._admit = admit
        self._free_descriptor = free_descriptor

    async def run(self) -> None:
        """Listen until cancelled."""
        while True:
            with await self._bind() as listening:
                LOG.emit('Listening.', address=self._address)
                await self._accept_all(listening)

    async def _bind(self) -> trio.socket.SocketType:
        is_first = True
        while True:
            try:
                return await open_socket(self._address, self._settings.backlog)
            except Exception as error:
                if is_first:
                    LOG.emit(
                        'Could not listen, trying again.',
                        address=self._address,
                        error=describe_error(error),
                    )
            is_first = False
            await trio.sleep(self._settings.retry_seconds)

    async def _accept_all(self, listening: trio.socket.SocketType) -> None:
        failed_at = -math.inf
        while True:
            try:
                self._pass(*await listening.accept())
            except Exception as error:
                now = trio.current_time()
                if now - failed_at > QUIET_SECONDS:
                    LOG.emit(
                        'Could not accept a connection, trying again.',
                        address=self._address,
                        error=describe_error(error),
                    )
                failed_at = now
                number = getattr(error, 'errno', None)
                if number in NO_RESOURCES:
                    self._free_descriptor()
                await trio.sleep(self._settings.accept_retry_seconds)
                if number in BROKEN_SOCKET:
                    return

    def _pass(self, socket: trio.socket.SocketType, client: Endpoint) -> None:
        try:
            self._admit(socket, client)
        except BaseException:
            socket.close()
            raise


async def open_socket(address: str, backlog: int) -> trio.socket.SocketType:
    """Return a socket that listens at ``ip:port``, or ``[ipv6]:port``.

    Raise ``OSError`` if the address is not available, ``ValueError`` or
    ``OverflowError`` if it is not valid.
    """
    host, _, port = address.rpartition(':')
    host = host.strip('[]')
    family = trio.socket.AF_INET6 if ':' in host else trio.socket.AF_INET
    listening = trio.socket.socket(family, trio.socket.SOCK_STREAM)
    try:
        listening.setsockopt(
            trio.socket.SOL_SOCKET, trio.socket.SO_REUSEADDR, 1
        )
        await listening.bind((host, int(port)))
        listening.listen(backlog)
    except BaseException:
        listening.close()
        raise
    return listening

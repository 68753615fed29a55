"""Limits of the HTTP server."""

import resource
from dataclasses import dataclass

# More than a process has any use for.
MANY_DESCRIPTORS = 1_000_000


@dataclass(frozen=True, slots=True, kw_only=True)
class ServerSettings:
    """Limits on connections and times of one server.

    A process with room for 500 connections has
    ``ServerSettings(max_connections=500)``.
    """

    # Over all addresses together.
    max_connections: int
    # Of these, how many each address can always have.
    reserved_connections: int = 16
    # A connection without a request is closed after this.
    idle_seconds: float = 30
    # From the first byte of a request to the end of its head and body.
    request_seconds: float = 15
    # A body that arrives at this rate or faster is not cut off.
    min_body_bytes_per_second: int = 4096
    # A client must take a part of a response within this.
    write_seconds: float = 10
    # An application that waits for the rest of a request has not begun it.
    needs_whole_requests: bool = False
    # Requests with these methods have no effect.
    safe_methods: frozenset[str] = frozenset()
    # A server that stops rejects new requests for this long before its end,
    # answers all requests in progress this long before it, and closes its
    # connections this long before it.
    reject_seconds: float = 2.5
    conclude_seconds: float = 1.2
    close_seconds: float = 0.5
    # Pause between two attempts to bind an address.
    retry_seconds: float = 1
    # Pause after an error of accepting a connection.
    accept_retry_seconds: float = 0.05
    # A client that still sends has this long to read a refusal.
    linger_seconds: float = 1
    # Clients that have this time at once; further ones are closed earlier.
    max_lingering: int = 256
    # Connections that the kernel queues for each address.
    backlog: int = 1024


def read_descriptor_limit() -> int:
    """Return how many file descriptors the system lets this process have."""
    limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return MANY_DESCRIPTORS if limit == resource.RLIM_INFINITY else limit

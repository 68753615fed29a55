"""Clients of the connection benchmark, which block."""

import socket
import time

HOST = '127.0.0.1'
# Clients that run at the same time.
CLIENTS = 8
# Of all clients together.
SHORT_CONNECTIONS_PER_SECOND = 1000
RECEIVE_BYTES = 65_536
SOCKET_SECONDS = 10
REQUEST = b'GET /ready HTTP/1.1\r\nHost: a\r\n\r\n'
CLOSE = b'connection: close'
# What clients of short connections send before they close.
SHORT_REQUESTS = (REQUEST, b'', REQUEST[:-2])


def send_on_one(port: int, end: float) -> int:
    """Send requests on one connection as long as it is kept until ``end``.

    Servers close a connection after a number of requests; then another one
    follows.  Return the number of requests.
    """
    count = 0
    while time.monotonic() < end:
        with connect(port) as connection:
            is_kept = True
            while is_kept and time.monotonic() < end:
                is_kept = CLOSE not in _ask(connection)
                count += 1
    return count


def send_on_new(port: int, end: float) -> int:
    """Send each request on a new connection until ``end``."""
    count = 0
    while time.monotonic() < end:
        with connect(port) as connection:
            _ask(connection)
        count += 1
    return count


def open_short(port: int, end: float) -> int:
    """Open connections at this client's share of the rate until ``end``."""
    count = 0
    due = time.monotonic()
    while due < end and time.monotonic() < end:
        request = SHORT_REQUESTS[count % len(SHORT_REQUESTS)]
        with connect(port) as connection:
            if request == REQUEST:
                _ask(connection)
            else:
                connection.sendall(request)
        count += 1
        due += CLIENTS / SHORT_CONNECTIONS_PER_SECOND
        time.sleep(max(due - time.monotonic(), 0))
    return count


def connect(port: int) -> socket.socket:
    """Return a connection to a port."""
    return socket.create_connection((HOST, port), SOCKET_SECONDS)


def _ask(connection: socket.socket) -> bytes:
    connection.sendall(REQUEST)
    answer = b''
    while not answer.endswith(b'}'):
        received = connection.recv(RECEIVE_BYTES)
        if not received:
            raise ConnectionError(f'closed after {answer!r}')
        answer += received
    return answer

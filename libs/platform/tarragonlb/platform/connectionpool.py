"""A connection pool that reuses no connection with bytes of no request.

A server that sends more than a response leaves the rest in the buffer of its
connection.  The pool of httpcore looks at the socket only, so that the next
request would get those bytes as its response.
"""

import httpcore


class ConnectionPool(httpcore.AsyncConnectionPool):
    """A pool of connections without proxies and encryption."""

    def create_connection(
        self, origin: httpcore.Origin
    ) -> httpcore.AsyncConnectionInterface:
        """Return a connection that is not open yet."""
        return LazyConnection(
            origin=origin,
            keepalive_expiry=self._keepalive_expiry,
            network_backend=self._network_backend,
        )


class LazyConnection(httpcore.AsyncHTTPConnection):
    """A connection that is opened by its first request."""

    async def handle_async_request(
        self, request: httpcore.Request
    ) -> httpcore.Response:
        """Send a request and return the response, its body still unread."""
        async with self._request_lock:
            if self._connection is None:
                self._connection = await self._open(request)
        return await super().handle_async_request(request)

    async def _open(self, request: httpcore.Request) -> 'HttpConnection':
        try:
            stream = await self._connect(request)
        except BaseException:
            self._connect_failed = True
            raise
        return HttpConnection(
            origin=self._origin,
            stream=stream,
            keepalive_expiry=self._keepalive_expiry,
        )


class HttpConnection(httpcore.AsyncHTTP11Connection):
    """An open connection."""

    def has_expired(self) -> bool:
        """Return whether the connection must not be used any more."""
        surplus, _ = self._h11_state.trailing_data
        return bool(self.is_idle() and surplus) or super().has_expired()

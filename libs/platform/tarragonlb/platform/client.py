"""HTTP client for the platform, with CBOR bodies.

The errors tell whether a call can have had an effect: a call that did not
reach the platform, or was refused with status 503, raises
``PlatformUnavailableError``; a call whose response did not arrive raises
``AnswerLostError``.
"""

from typing import Any

import cbor2
import httpcore

from tarragonlb.model.decoding import DecodingError, convert, decode_cbor
from tarragonlb.model.errors import (
    AnswerLostError,
    PlatformError,
    PlatformUnavailableError,
    RecordsExpiredError,
)
from tarragonlb.platform.connectionpool import ConnectionPool
from tarragonlb.platform.traffic import MeteredBackend, TrafficCounter

CALL_TIMEOUT_SECONDS = 5
CONNECT_TIMEOUT_SECONDS = 1
MAX_CONNECTIONS = 8
KEEP_ALIVE_SECONDS = 5
STATUS_GONE = 410
STATUS_UNAVAILABLE = 503
STATUS_ERRORS_FROM = 400

_NOT_CONNECTED = (
    httpcore.ConnectError,
    httpcore.ConnectTimeout,
    httpcore.PoolTimeout,
)
_RESPONSE_LOST = (
    httpcore.NetworkError,
    httpcore.ProtocolError,
    httpcore.TimeoutException,
)


class PlatformClient:
    """Sends requests to the platform's HTTP interface at one address."""

    __slots__ = ('_connections', '_url', 'traffic')

    def __init__(self, address: str) -> None:
        """Create a connection pool for ``address``, an ``ip:port``."""
        self._url = f'http://{address}'
        self.traffic = TrafficCounter()
        self._connections = ConnectionPool(
            max_connections=MAX_CONNECTIONS,
            keepalive_expiry=KEEP_ALIVE_SECONDS,
            network_backend=MeteredBackend(self.traffic),
        )

    async def call(
        self,
        path: str,
        body: object,
        timeout_seconds: float = CALL_TIMEOUT_SECONDS,
    ) -> Any:
        """Post ``body`` to ``path`` and return the decoded response.

        Raise ``RecordsExpiredError`` for status 410 and ``PlatformError`` for
        any other error status.
        """
        try:
            response = await self._connections.request(
                'POST',
                self._url + path,
                content=cbor2.dumps(body),
                extensions={'timeout': _make_timeouts(timeout_seconds)},
            )
        except _NOT_CONNECTED as error:
            raise PlatformUnavailableError(repr(error)) from error
        except _RESPONSE_LOST as error:
            raise AnswerLostError(repr(error)) from error
        _raise_for_status(response)
        return _decode(response, Any)

    async def aclose(self) -> None:
        """Close all connections."""
        await self._connections.aclose()


def _make_timeouts(seconds: float) -> dict[str, float]:
    return {
        'connect': CONNECT_TIMEOUT_SECONDS,
        'read': seconds,
        'write': seconds,
        'pool': seconds,
    }


def _raise_for_status(response: httpcore.Response) -> None:
    if response.status == STATUS_GONE:
        raise RecordsExpiredError(_decode(response, int))
    if response.status == STATUS_UNAVAILABLE:
        raise PlatformUnavailableError('the platform answered with status 503')
    if response.status >= STATUS_ERRORS_FROM:
        raise PlatformError(
            f'platform status {response.status}: {response.content[:200]!r}'
        )


def _decode(response: httpcore.Response, expected: Any) -> Any:
    """Return the body; raise ``PlatformError`` if it can't be decoded."""
    try:
        return convert(decode_cbor(response.content), expected)
    except DecodingError as error:
        raise PlatformError(f'the response is invalid: {error}') from error

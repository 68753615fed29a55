"""HTTP client for the daemons and endpoints, for tests and the demo."""

import json
import time
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Any, TypeVar

import httpcore

ResultT = TypeVar('ResultT')
TIMEOUT_SECONDS = 30
POLL_INTERVAL_SECONDS = 0.1


@dataclass(frozen=True, slots=True)
class ApiResponse:
    """An HTTP response; header names are in lower case."""

    status: int
    headers: Mapping[str, str]
    text: str

    @property
    def fields(self) -> dict[str, Any]:
        """Return the body as a JSON object."""
        return dict(json.loads(self.text))

    @property
    def rows(self) -> list[dict[str, Any]]:
        """Return the body as a list of JSON objects."""
        return list(json.loads(self.text))


class ApiClient:
    """Sends requests with one token; each request opens a new connection."""

    __slots__ = ('_address', '_token')

    def __init__(self, address: str, token: str) -> None:
        """Send requests to ``address``, an ``ip:port``."""
        self._address = address
        self._token = token

    def get(self, path: str) -> ApiResponse:
        """Send a GET request."""
        return self.request('GET', path)

    def post(
        self,
        path: str,
        body: object,
        headers: Mapping[str, str] | None = None,
    ) -> ApiResponse:
        """Send a POST request with a JSON body."""
        return self.request('POST', path, json.dumps(body).encode(), headers)

    def put(
        self, path: str, body: bytes, headers: Mapping[str, str]
    ) -> ApiResponse:
        """Send a PUT request."""
        return self.request('PUT', path, body, headers)

    def request(
        self,
        method: str,
        path: str,
        body: bytes = b'',
        headers: Mapping[str, str] | None = None,
        timeout_seconds: float = TIMEOUT_SECONDS,
    ) -> ApiResponse:
        """Send a request and return the whole response.

        Raise ``httpcore.ReadTimeout`` if the response does not arrive in time.
        """
        all_headers = {'authorization': f'Bearer {self._token}'}
        all_headers.update(headers or {})
        timeouts = dict.fromkeys(('connect', 'read', 'write'), timeout_seconds)
        response = httpcore.request(
            method,
            f'http://{self._address}{path}',
            headers=list(all_headers.items()),
            content=body,
            extensions={'timeout': timeouts},
        )
        response_headers = {
            name.decode().lower(): text.decode()
            for name, text in response.headers
        }
        return ApiResponse(
            response.status, response_headers, response.content.decode()
        )


def poll(
    check: Callable[[], ResultT | None], timeout_seconds: float
) -> ResultT:
    """Call ``check`` repeatedly and return its first true result.

    Raise ``TimeoutError`` if there is none within ``timeout_seconds``.
    """
    deadline = time.monotonic() + timeout_seconds
    while time.monotonic() < deadline:
        result = check()
        if result:
            return result
        time.sleep(POLL_INTERVAL_SECONDS)
    raise TimeoutError(f'condition not met within {timeout_seconds} seconds')

"""HTTP client for the administration API; maps each failure to an exit code.

Exit codes: 0 done, 1 refused, 2 bad input, 3 server not reached, 4 unknown
whether the change took effect.
"""

import json
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

import httpcore

from tarragonlb.model.errors import TarragonError

EXIT_REFUSED = 1
EXIT_BAD_INPUT = 2
EXIT_NOT_REACHED = 3
EXIT_UNKNOWN = 4
MIN_ERROR_STATUS = 400
BAD_INPUT_STATUSES = frozenset((400, 422))
MAY_HAVE_RUN = 'may-have-run'
TIMEOUT_SECONDS = 15
MAX_SHOWN_CHARACTERS = 200


NOT_REACHED_ERRORS = (httpcore.ConnectError, httpcore.ConnectTimeout)
HEADER_ERRORS = (httpcore.LocalProtocolError, TypeError)
ADDRESS_ERRORS = (httpcore.UnsupportedProtocol, ValueError, OverflowError)
UNKNOWN_ERRORS = (
    httpcore.NetworkError,
    httpcore.ProtocolError,
    httpcore.TimeoutException,
)
TRANSPORT_ERRORS = (
    NOT_REACHED_ERRORS + HEADER_ERRORS + ADDRESS_ERRORS + UNKNOWN_ERRORS
)


class CallError(TarragonError):
    """Raised for a failed call; holds the exit code of the process."""

    def __init__(self, message: str, exit_code: int) -> None:
        """Store the message and the exit code."""
        super().__init__(message)
        self.exit_code = exit_code


@dataclass(frozen=True, slots=True, kw_only=True)
class Server:
    """Address of an entry VM and the bearer token to send."""

    url: str
    token: str

    def call(
        self,
        method: str,
        path: str,
        body: bytes = b'',
        headers: Mapping[str, str] | None = None,
    ) -> Any:
        """Return the decoded answer; raise ``CallError`` if the call fails."""
        self._check_token()
        timeout = dict.fromkeys(('connect', 'read', 'write'), TIMEOUT_SECONDS)
        request_headers = {'authorization': f'Bearer {self.token}'}
        request_headers.update(headers or {})
        try:
            response = httpcore.request(
                method,
                self.url.rstrip('/') + path,
                headers=list(request_headers.items()),
                content=body,
                extensions={'timeout': timeout},
            )
        except TRANSPORT_ERRORS as error:
            raise _make_transport_error(self.url, error) from error
        return _read_answer(response)

    def send(
        self,
        method: str,
        path: str,
        content: object,
        headers: Mapping[str, str] | None = None,
    ) -> Any:
        """Send an object as JSON and return the decoded answer."""
        return self.call(method, path, json.dumps(content).encode(), headers)

    def _check_token(self) -> None:
        if not self.token.isascii() or not self.token.isprintable():
            message = '--token: expected printable ASCII characters'
            raise CallError(message, EXIT_BAD_INPUT)
        if not self.token.strip():
            message = 'a token is needed: --token or TARRAGONLB_TOKEN'
            raise CallError(message, EXIT_BAD_INPUT)


def read_fields(answer: Any) -> dict[str, Any]:
    """Return the answer; raise ``CallError`` if it is not an object."""
    if isinstance(answer, dict):
        return answer
    raise _make_format_error(answer)


def read_rows(answer: Any) -> list[dict[str, Any]]:
    """Return the answer; raise ``CallError`` if it is no list of objects."""
    if isinstance(answer, list):
        return [read_fields(row) for row in answer]
    raise _make_format_error(answer)


def _make_transport_error(url: str, error: Exception) -> CallError:
    if isinstance(error, NOT_REACHED_ERRORS):
        message = f'{url} was not reached: {error}'
        return CallError(message, EXIT_NOT_REACHED)
    if isinstance(error, HEADER_ERRORS):
        message = 'a key or name has characters not allowed in an HTTP header'
        return CallError(message, EXIT_BAD_INPUT)
    if isinstance(error, ADDRESS_ERRORS):
        message = f'--server: expected http://IP:PORT, got {url!r}'
        return CallError(message, EXIT_BAD_INPUT)
    return CallError(f'{url} did not answer: {error!r}', EXIT_UNKNOWN)


def _make_format_error(answer: Any) -> CallError:
    shown = json.dumps(answer)[:MAX_SHOWN_CHARACTERS]
    message = f'unexpected answer, is --server an entry VM? answer: {shown}'
    return CallError(message, EXIT_UNKNOWN)


def _read_answer(response: httpcore.Response) -> Any:
    try:
        answer = json.loads(response.content)
    except ValueError:
        shown = response.content[:MAX_SHOWN_CHARACTERS].decode('latin-1')
        answer = {'reason': shown or f'status {response.status}'}
    if response.status < MIN_ERROR_STATUS:
        return answer
    if not isinstance(answer, dict):
        answer = {}
    reason = answer.get('reason', f'status {response.status}')
    if answer.get('verdict') == MAY_HAVE_RUN:
        raise CallError(f'{reason} (it may have run)', EXIT_UNKNOWN)
    if response.status in BAD_INPUT_STATUSES:
        raise CallError(reason, EXIT_BAD_INPUT)
    raise CallError(reason, EXIT_REFUSED)

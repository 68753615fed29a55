"""Calls of the administration API, and the exit code of each outcome.

Exit codes: 0 done, 1 refused, 2 bad input, 3 not reached, 4 unknown whether
the change took effect.
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
STATUS_ERRORS_FROM = 400
STATUS_BAD_INPUT = frozenset((400, 422))
MAY_HAVE_RUN = 'may-have-run'
TIMEOUT_SECONDS = 15


class CallError(TarragonError):
    """A call that failed, with the exit code that it leads to."""

    def __init__(self, message: str, exit_code: int) -> None:
        """Keep the exit code."""
        super().__init__(message)
        self.exit_code = exit_code


@dataclass(frozen=True, slots=True, kw_only=True)
class Server:
    """Where the API is, and the token to show there."""

    url: str
    token: str

    def call(
        self,
        method: str,
        path: str,
        body: bytes = b'',
        headers: Mapping[str, str] | None = None,
    ) -> Any:
        """Return the decoded answer; raise ``CallError`` for a refusal."""
        timeout = dict.fromkeys(('connect', 'read', 'write'), TIMEOUT_SECONDS)
        all_headers = {'authorization': f'Bearer {self.token}'}
        all_headers.update(headers or {})
        try:
            response = httpcore.request(
                method,
                self.url.rstrip('/') + path,
                headers=list(all_headers.items()),
                content=body,
                extensions={'timeout': timeout},
            )
        except (httpcore.ConnectError, httpcore.ConnectTimeout) as error:
            message = f'{self.url} was not reached: {error}'
            raise CallError(message, EXIT_NOT_REACHED) from error
        except httpcore.UnsupportedProtocol as error:
            message = f'--server: expected http://IP:PORT, got {self.url!r}'
            raise CallError(message, EXIT_BAD_INPUT) from error
        except (httpcore.NetworkError, httpcore.TimeoutException) as error:
            message = f'{self.url} did not answer: {error!r}'
            raise CallError(message, EXIT_UNKNOWN) from error
        return _read_answer(response)

    def send(
        self,
        method: str,
        path: str,
        order: object,
        headers: Mapping[str, str] | None = None,
    ) -> Any:
        """Send an object as JSON and return the decoded answer."""
        return self.call(method, path, json.dumps(order).encode(), headers)


def _read_answer(response: httpcore.Response) -> Any:
    try:
        answer = json.loads(response.content)
    except ValueError:
        answer = {'reason': response.content[:200].decode('latin-1')}
    if response.status < STATUS_ERRORS_FROM:
        return answer
    reason = answer.get('reason', f'status {response.status}')
    if answer.get('verdict') == MAY_HAVE_RUN:
        raise CallError(f'{reason} (it may have run)', EXIT_UNKNOWN)
    if response.status in STATUS_BAD_INPUT:
        raise CallError(reason, EXIT_BAD_INPUT)
    raise CallError(reason, EXIT_REFUSED)

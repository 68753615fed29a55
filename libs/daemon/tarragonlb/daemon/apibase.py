"""Base class and helper functions of the API handlers."""

import abc
from typing import TypeVar

import msgspec
from starlette.requests import Request
from starlette.responses import JSONResponse
from starlette.routing import Route

from tarragonlb.daemon.access import AccessTable, Identity
from tarragonlb.daemon.clock import read_monotonic
from tarragonlb.daemon.fleetwatcher import FleetWatcher
from tarragonlb.daemon.journal import Journal
from tarragonlb.model.decoding import DecodingError, decode_json
from tarragonlb.model.errors import RefusedError
from tarragonlb.model.verdict import Verdict

Body = TypeVar('Body')
MAX_BODY_BYTES = 512 * 1024
STATUS_BAD_REQUEST = 400
STATUS_NOT_FOUND = 404
STATUS_TOO_LARGE = 413
SAFE_METHODS = frozenset(('GET', 'HEAD'))


class ApiHandlers(abc.ABC):
    """A group of handlers that use the shared state."""

    __slots__ = ('access', 'entry', 'fleet_watcher', 'journal')

    def __init__(
        self,
        entry: str,
        access: AccessTable,
        journal: Journal,
        fleet_watcher: FleetWatcher,
    ) -> None:
        """Create handlers whose responses name ``entry`` as the entry VM."""
        self.entry = entry
        self.access = access
        self.journal = journal
        self.fleet_watcher = fleet_watcher

    @abc.abstractmethod
    def list_routes(self) -> list[Route]:
        """Return the routes of these handlers."""

    def admit(self, request: Request) -> Identity:
        """Authorize a request as the function ``admit`` does."""
        return admit(self.access, request)


def admit(access: AccessTable, request: Request) -> Identity:
    """Authorize a request and return the identity of its sender.

    Raise ``RefusedError`` if the token is unknown, if the sender exceeds its
    request rate, or if a viewer uses a method that is not safe.
    """
    authorization = request.headers.get('authorization', '')
    identity = access.identify(authorization)
    access.enforce_rate_limit(identity, read_monotonic())
    if request.method not in SAFE_METHODS:
        identity.require_admin()
    return identity


async def read_body(request: Request) -> bytes:
    """Return the body of a request.

    Raise ``RefusedError`` if it is larger than ``MAX_BODY_BYTES``.
    """
    body = b''
    async for chunk in request.stream():
        body += chunk
        if len(body) > MAX_BODY_BYTES:
            raise RefusedError(
                f'expected a body of at most {MAX_BODY_BYTES} bytes',
                verdict=Verdict.NOT_RUN,
                status=STATUS_TOO_LARGE,
            )
    return body


async def read_json(request: Request, body_type: type[Body]) -> Body:
    """Decode a JSON body into an object of ``body_type``.

    Raise ``RefusedError`` if the body does not match the type.
    """
    body = await read_body(request)
    try:
        return decode_json(body, body_type)
    except DecodingError as error:
        raise RefusedError(
            _describe_decode_error(str(error)),
            verdict=Verdict.NOT_RUN,
            status=STATUS_BAD_REQUEST,
        ) from error


def _describe_decode_error(message: str) -> str:
    expected, separator, field = message.partition(' - at `$.')
    if separator:
        name = field.rstrip('`')
        return f'{name}: {expected[:1].lower()}{expected[1:]}'
    return f'the body does not match the schema: {message}'


def make_not_found_error(subject: str) -> RefusedError:
    """Return the error for a resource that does not exist."""
    return RefusedError(
        f'{subject} does not exist',
        verdict=Verdict.NOT_RUN,
        status=STATUS_NOT_FOUND,
    )


def make_json_response(body: object, status: int = 200) -> JSONResponse:
    """Return a JSON response that encodes ``body``."""
    return JSONResponse(msgspec.to_builtins(body), status_code=status)

"""Handler that issues idempotency keys for at-most-once requests."""

from dataclasses import dataclass
from typing import Annotated

from msgspec import Meta
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from tarragonlb.daemon.access import AccessTable
from tarragonlb.daemon.apibase import admit, make_json_response, read_json
from tarragonlb.routing.ledger import MAX_ISSUED_AT_ONCE, KeyLedger


@dataclass(frozen=True, slots=True, kw_only=True)
class KeyRequest:
    """Request body with the number of keys to issue."""

    count: Annotated[int, Meta(ge=1, le=MAX_ISSUED_AT_ONCE)] = 1


@dataclass(frozen=True, slots=True, kw_only=True)
class KeyBatch:
    """Response body with new keys, each valid for one request."""

    keys: tuple[str, ...]


class KeyApi:
    """Handler for issued keys."""

    __slots__ = ('_access', '_ledger')

    def __init__(self, access: AccessTable, ledger: KeyLedger) -> None:
        """Issue keys from ``ledger``."""
        self._access = access
        self._ledger = ledger

    def list_routes(self) -> list[Route]:
        """Return the routes of this handler."""
        return [Route('/v1/keys', self.issue, methods=['POST'])]

    async def issue(self, request: Request) -> Response:
        """Issue new keys to the team."""
        identity = admit(self._access, request)
        body = await read_json(request, KeyRequest)
        keys = self._ledger.issue(identity.name, body.count)
        return make_json_response(KeyBatch(keys=keys))

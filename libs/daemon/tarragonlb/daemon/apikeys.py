"""Handler that issues keys for requests that must run at most once."""

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
    """How many keys a team wants."""

    count: Annotated[int, Meta(ge=1, le=MAX_ISSUED_AT_ONCE)] = 1


@dataclass(frozen=True, slots=True, kw_only=True)
class KeyBatch:
    """New keys, each good for one request."""

    keys: tuple[str, ...]


class KeyApi:
    """The part of the API that is about keys."""

    __slots__ = ('_access', '_ledger')

    def __init__(self, access: AccessTable, ledger: KeyLedger) -> None:
        """Issue from a ledger."""
        self._access = access
        self._ledger = ledger

    def list_routes(self) -> list[Route]:
        """Return the routes of this part."""
        return [Route('/v1/keys', self.issue, methods=['POST'])]

    async def issue(self, request: Request) -> Response:
        """Answer with new keys for the team."""
        identity = admit(self._access, request)
        body = await read_json(request, KeyRequest)
        keys = self._ledger.issue(identity.name, body.count)
        return make_json_response(KeyBatch(keys=keys))

"""The keys of this entry VM, and the links to the issuers of all others."""

import secrets
import uuid

import trio

from tarragonlb.daemon.keyprotocol import (
    KeyClient,
    KeyQuestion,
    KeyServer,
    answer_question,
)
from tarragonlb.routing.ledger import ClaimResult, KeyLedger, parse_key
from tarragonlb.settings.startup import DaemonSettings

SECRET_BYTES = 32


class KeyService:
    """Issues keys, and asks whoever issued a key about it."""

    __slots__ = ('_clients', '_name', 'serve_connection', 'ledger')

    def __init__(self, settings: DaemonSettings) -> None:
        """Issue under the peer address of the settings."""
        self._name = make_issuer_name(settings.peer_listen)
        self.ledger = KeyLedger(
            self._name, uuid.uuid4().hex, secrets.token_bytes(SECRET_BYTES)
        )
        self.serve_connection = KeyServer(self.ledger).serve_connection
        self._clients = {
            make_issuer_name(address): KeyClient(address)
            for address in settings.peers
        }

    async def run(self) -> None:
        """Keep links to all other issuers until cancelled."""
        async with trio.open_nursery() as nursery:
            for client in self._clients.values():
                nursery.start_soon(client.run)

    async def ask(
        self, text: str, team: str, *, ran: bool | None = None
    ) -> ClaimResult | None:
        """Return what the issuer says, or None if it can't be asked now.

        ``ran`` is None to claim the key, else it says how the request ended.
        """
        key = parse_key(text)
        if key is None:
            return ClaimResult.FORGED
        if key.issuer == self._name:
            question = KeyQuestion(number=0, key=text, team=team, ran=ran)
            return answer_question(self.ledger, question)
        client = self._clients.get(key.issuer)
        if client is None:
            return None
        return await client.ask(text, team, ran=ran)


def make_issuer_name(address: str) -> str:
    """Return the name that a peer address has in keys.

    >>> make_issuer_name('10.0.0.1:8081')
    '10-0-0-1-8081'
    """
    return address.replace('.', '-').replace(':', '-')

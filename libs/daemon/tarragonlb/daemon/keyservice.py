"""Issues keys and asks the issuers of other keys about them."""

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
from tarragonlb.telemetry.supervision import supervise

SECRET_BYTES = 32


class KeyService:
    """The key ledger of this entry VM and clients of all other issuers."""

    __slots__ = ('_clients', '_name', 'ledger', 'serve_connection')

    def __init__(self, settings: DaemonSettings) -> None:
        """Issue keys in the name of the peer address of the settings."""
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
        """Stay connected to all other issuers until cancelled."""
        async with trio.open_nursery() as nursery:
            for client in self._clients.values():
                nursery.start_soon(supervise, 'key client', client.run)

    async def ask(
        self, text: str, team: str, *, ran: bool | None = None
    ) -> ClaimResult | None:
        """Ask the issuer of a key; return None if it can't be reached.

        ``ran`` is None to claim the key, else it tells whether the request of
        an earlier claim ran.
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
    """Return the issuer name in keys for a peer address.

    >>> make_issuer_name('10.0.0.1:8081')
    '10-0-0-1-8081'
    """
    return address.replace('.', '-').replace(':', '-')

"""The keys of this entry VM, and the links to the issuers of all others."""

import secrets
import uuid

import trio

from tarragonlb.daemon.keylink import (
    KeyLink,
    KeyQuestion,
    KeyServer,
    answer_question,
)
from tarragonlb.routing.ledger import ClaimResult, KeyLedger, parse_key
from tarragonlb.settings.startup import DaemonSettings

SECRET_BYTES = 32


class KeyDesk:
    """Issues keys, and asks whoever issued a key about it."""

    __slots__ = ('_links', '_name', 'answer', 'ledger')

    def __init__(self, settings: DaemonSettings) -> None:
        """Issue under the peer address of the settings."""
        self._name = name_issuer(settings.peer_listen)
        self.ledger = KeyLedger(
            self._name, uuid.uuid4().hex, secrets.token_bytes(SECRET_BYTES)
        )
        self.answer = KeyServer(self.ledger).answer
        self._links = {
            name_issuer(address): KeyLink(address) for address in settings.peers
        }

    async def run(self) -> None:
        """Keep links to all other issuers until cancelled."""
        async with trio.open_nursery() as nursery:
            for link in self._links.values():
                nursery.start_soon(link.run)

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
        link = self._links.get(key.issuer)
        if link is None:
            return None
        return await link.ask(text, team, ran=ran)


def name_issuer(address: str) -> str:
    """Return the name that a peer address has in keys.

    >>> name_issuer('10.0.0.1:8081')
    '10-0-0-1-8081'
    """
    return address.replace('.', '-').replace(':', '-')

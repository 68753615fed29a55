"""At most once across entry VMs: who may send a request that has a key.

An issued key is claimed with its issuer, over one hop and without a record.
Any other key is claimed by a record that is read back, which needs the log.
Nothing goes to an endpoint before the claim is granted.
"""

import contextlib
from dataclasses import dataclass

import trio

from tarragonlb.daemon.clock import read_monotonic
from tarragonlb.daemon.journal import Journal
from tarragonlb.daemon.keydesk import KeyDesk
from tarragonlb.model.errors import (
    CommitUnknownError,
    RecordRejectedError,
    RefusedError,
)
from tarragonlb.model.record import KeyClaimed
from tarragonlb.model.verdict import Verdict
from tarragonlb.routing.ledger import ClaimResult, parse_key
from tarragonlb.routing.request import RequestInfo

STATUS_BAD_REQUEST = 400
STATUS_CONFLICT = 409
STATUS_UNAVAILABLE = 503
RETRY_AFTER_SECONDS = 2
REPORT_SECONDS = 2
MAX_OPEN_ENDS = 10_000


@dataclass(frozen=True, slots=True, kw_only=True)
class Claim:
    """A granted claim; ``issued`` says whether an issuer granted it."""

    key: str
    team: str
    issued: bool


@dataclass(frozen=True, slots=True, kw_only=True)
class ClaimEnd:
    """How the request of a claim ended."""

    claim: Claim
    ran: bool


class Claims:
    """Claims keys for the requests of this entry VM."""

    __slots__ = ('_desk', '_ended', '_entry', '_journal', '_sender')

    def __init__(self, entry: str, journal: Journal, desk: KeyDesk) -> None:
        """Claim as ``entry``."""
        self._entry = entry
        self._journal = journal
        self._desk = desk
        self._sender, self._ended = trio.open_memory_channel[ClaimEnd](
            MAX_OPEN_ENDS
        )

    async def run(self) -> None:
        """Tell issuers how requests ended, until cancelled."""
        async with trio.open_nursery() as nursery:
            async for end in self._ended:
                nursery.start_soon(self._report, end)

    async def claim(self, info: RequestInfo, key: str) -> Claim:
        """Return the claim of a key; raise ``RefusedError`` without one."""
        claim = Claim(
            key=key, team=info.team, issued=parse_key(key) is not None
        )
        if not claim.issued:
            await self._record(info, key)
            return claim
        grant = None
        with trio.move_on_at(info.deadline):
            grant = await self._desk.ask(key, info.team)
        if grant is not ClaimResult.GRANTED:
            raise refuse_claim(grant)
        return claim

    def conclude(self, claim: Claim, verdict: Verdict) -> None:
        """Have the issuer told how the request ended, if that is known.

        The caller's answer doesn't wait for it.  An end that is not told
        leaves the key taken.
        """
        if not claim.issued or verdict is Verdict.MAY_HAVE_RUN:
            return
        end = ClaimEnd(claim=claim, ran=verdict is Verdict.RAN)
        with contextlib.suppress(trio.WouldBlock):
            self._sender.send_nowait(end)

    async def _report(self, end: ClaimEnd) -> None:
        claim = end.claim
        with trio.move_on_after(REPORT_SECONDS):
            await self._desk.ask(claim.key, claim.team, ran=end.ran)

    async def _record(self, info: RequestInfo, key: str) -> None:
        record = KeyClaimed(
            head=self._journal.make_head(info.team),
            team=info.team,
            key=key,
            entry=self._entry,
        )
        wait = max(info.deadline - read_monotonic(), 0)
        try:
            await self._journal.commit(record, wait)
        except RecordRejectedError as error:
            raise RefusedError(
                error.reason,
                verdict=Verdict.MAY_HAVE_RUN,
                status=STATUS_CONFLICT,
            ) from error
        except CommitUnknownError as error:
            raise RefusedError(
                'the claim of the key was not recorded in time',
                verdict=Verdict.NOT_RUN,
                status=STATUS_UNAVAILABLE,
                retry_after=RETRY_AFTER_SECONDS,
            ) from error


def refuse_claim(grant: ClaimResult | None) -> RefusedError:
    """Return the refusal for a claim that was not granted.

    The verdict is about the key: whether any request with it may have run.
    """
    if grant is ClaimResult.FORGED:
        return RefusedError(
            'the key was not issued to this team',
            verdict=Verdict.NOT_RUN,
            status=STATUS_BAD_REQUEST,
        )
    if grant is ClaimResult.RAN:
        return RefusedError(
            'a request with this key ran',
            verdict=Verdict.RAN,
            status=STATUS_CONFLICT,
        )
    if grant is None:
        return RefusedError(
            'the issuer of the key can not be asked now',
            verdict=Verdict.MAY_HAVE_RUN,
            status=STATUS_UNAVAILABLE,
            retry_after=RETRY_AFTER_SECONDS,
        )
    return RefusedError(
        f'an earlier request with this key may have run ({grant.value})',
        verdict=Verdict.MAY_HAVE_RUN,
        status=STATUS_CONFLICT,
    )

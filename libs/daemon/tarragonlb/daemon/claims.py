"""Claims of idempotency keys, for at-most-once requests across entry VMs.

An issued key is claimed from its issuer, over one hop and without a record.
Any other key is claimed by a record that must be read back, which needs the
log.  No request is sent to an endpoint before its claim is granted.
"""

import contextlib
from dataclasses import dataclass

import trio

from tarragonlb.daemon.clock import read_monotonic
from tarragonlb.daemon.journal import Journal
from tarragonlb.daemon.keyservice import KeyService
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
REPORT_TIMEOUT_SECONDS = 2
MAX_PENDING_OUTCOMES = 10_000


@dataclass(frozen=True, slots=True, kw_only=True)
class Claim:
    """A granted claim; ``issued`` is true if an issuer granted it."""

    key: str
    team: str
    issued: bool


@dataclass(frozen=True, slots=True, kw_only=True)
class ClaimOutcome:
    """Whether the request of a claim ran."""

    claim: Claim
    ran: bool


class Claims:
    """Claims keys for the requests of this entry VM."""

    __slots__ = (
        '_entry',
        '_journal',
        '_key_service',
        '_outcome_sender',
        '_outcomes',
    )

    def __init__(
        self, entry: str, journal: Journal, key_service: KeyService
    ) -> None:
        """Record claims in the name of the entry VM ``entry``."""
        self._entry = entry
        self._journal = journal
        self._key_service = key_service
        self._outcome_sender, self._outcomes = trio.open_memory_channel[
            ClaimOutcome
        ](MAX_PENDING_OUTCOMES)

    async def run(self) -> None:
        """Report outcomes of requests to issuers until cancelled."""
        async with trio.open_nursery() as nursery:
            async for outcome in self._outcomes:
                nursery.start_soon(self._send_outcome, outcome)

    async def claim(self, info: RequestInfo, key: str) -> Claim:
        """Claim a key; raise ``RefusedError`` if it is not granted."""
        claim = Claim(
            key=key, team=info.team, issued=parse_key(key) is not None
        )
        if not claim.issued:
            await self._claim_by_record(info, key)
            return claim
        result = None
        with trio.move_on_at(info.deadline):
            result = await self._key_service.ask(key, info.team)
        if result is not ClaimResult.GRANTED:
            raise make_claim_error(result)
        return claim

    def report_outcome(self, claim: Claim, verdict: Verdict) -> None:
        """Report to the issuer whether the request ran, if that is known.

        The caller's response doesn't wait for the report.  Without a report
        the key stays claimed.
        """
        if not claim.issued or verdict is Verdict.MAY_HAVE_RUN:
            return
        outcome = ClaimOutcome(claim=claim, ran=verdict is Verdict.RAN)
        with contextlib.suppress(trio.WouldBlock):
            self._outcome_sender.send_nowait(outcome)

    async def _send_outcome(self, outcome: ClaimOutcome) -> None:
        claim = outcome.claim
        with trio.move_on_after(REPORT_TIMEOUT_SECONDS):
            await self._key_service.ask(claim.key, claim.team, ran=outcome.ran)

    async def _claim_by_record(self, info: RequestInfo, key: str) -> None:
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


def make_claim_error(result: ClaimResult | None) -> RefusedError:
    """Return the error for a claim that was not granted.

    The verdict is about the key: whether any request with it may have run.
    """
    if result is ClaimResult.FORGED:
        return RefusedError(
            'the key was not issued to this team',
            verdict=Verdict.NOT_RUN,
            status=STATUS_BAD_REQUEST,
        )
    if result is ClaimResult.RAN:
        return RefusedError(
            'a request with this key ran',
            verdict=Verdict.RAN,
            status=STATUS_CONFLICT,
        )
    if result is None:
        return RefusedError(
            'the issuer of the key cannot be reached now',
            verdict=Verdict.MAY_HAVE_RUN,
            status=STATUS_UNAVAILABLE,
            retry_after=RETRY_AFTER_SECONDS,
        )
    return RefusedError(
        f'an earlier request with this key may have run ({result.value})',
        verdict=Verdict.MAY_HAVE_RUN,
        status=STATUS_CONFLICT,
    )

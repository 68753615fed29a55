"""Issued keys: at most once without a record for every request.

An entry VM issues keys to callers ahead of time and keeps one byte for each:
unused, claimed, or ran.  Whichever entry VM receives a request with such a key
asks the issuer, and the issuer grants a key once.  An issuer that is gone can
grant nothing any more, so no other entry VM ever has to guess.

>>> ledger = KeyLedger('entry-1', 'a1', b'secret')
>>> key = parse_key(ledger.issue('archive', 1)[0])
>>> ledger.claim(key, 'archive').value
'granted'
>>> ledger.claim(key, 'archive').value
'taken'
"""

import enum
import hashlib
import hmac
from dataclasses import dataclass

from tarragonlb.model.invariant import ensure

KEY_PREFIX = 'tk1'
KEY_PARTS = 5
MAX_KEY_CHARACTERS = 200
WINDOW_KEYS = 1 << 20
MAX_ISSUED_AT_ONCE = 10_000
CHECK_BYTES = 8

_UNUSED = 0
_CLAIMED = 1
_RAN = 2


class ClaimResult(enum.Enum):
    """Say what the issuer answers to a claim of a key."""

    GRANTED = 'granted'
    TAKEN = 'taken'
    RAN = 'ran'
    EXPIRED = 'expired'
    GONE = 'gone'
    FORGED = 'forged'


@dataclass(frozen=True, slots=True, kw_only=True)
class IssuedKey:
    """The parts of an issued key."""

    issuer: str
    incarnation: str
    sequence: int
    check: str


class KeyLedger:
    """The keys that one process has issued since its start.

    Keys are numbered.  One that lies more than ``window`` numbers behind the
    latest is expired and never granted again.
    """

    __slots__ = (
        '_incarnation',
        '_issuer',
        '_next',
        '_phases',
        '_secret',
        '_window',
    )

    def __init__(
        self,
        issuer: str,
        incarnation: str,
        secret: bytes,
        window: int = WINDOW_KEYS,
    ) -> None:
        """Start without any issued key; ``secret`` proves keys genuine."""
        self._issuer = issuer
        self._incarnation = incarnation
        self._secret = secret
        self._window = window
        self._next = 0
        self._phases = bytearray(window)

    def issue(self, team: str, count: int) -> tuple[str, ...]:
        """Return so many new keys for a team."""
        ensure(0 < count <= self._window, 'a batch fits the window', count)
        first = self._next
        self._next += count
        for sequence in range(first, self._next):
            self._phases[sequence % self._window] = _UNUSED
        return tuple(
            self._write_key(team, sequence)
            for sequence in range(first, self._next)
        )

    def claim(self, key: IssuedKey, team: str) -> ClaimResult:
        """Grant a key to its team once."""
        grant = self._check(key, team)
        if grant is ClaimResult.GRANTED:
            self._phases[key.sequence % self._window] = _CLAIMED
        return grant

    def record_outcome(
        self, key: IssuedKey, team: str, *, ran: bool
    ) -> ClaimResult:
        """Note that the request of a claimed key ran, or certainly did not.

        Returns what the key was before.

        A key whose request did not run can be claimed again.  A request whose
        end is not known is never concluded: its key stays taken.
        """
        before = self._check(key, team)
        if before is ClaimResult.TAKEN:
            phase = _RAN if ran else _UNUSED
            self._phases[key.sequence % self._window] = phase
        return before

    def _check(self, key: IssuedKey, team: str) -> ClaimResult:
        if (key.issuer, key.incarnation) != (self._issuer, self._incarnation):
            return ClaimResult.GONE
        genuine = self._sign(team, key.sequence)
        if not hmac.compare_digest(genuine, key.check):
            return ClaimResult.FORGED
        if key.sequence < self._next - self._window:
            return ClaimResult.EXPIRED
        ensure(key.sequence < self._next, 'a genuine key was issued', key)
        phase = self._phases[key.sequence % self._window]
        if phase == _UNUSED:
            return ClaimResult.GRANTED
        return ClaimResult.RAN if phase == _RAN else ClaimResult.TAKEN

    def _write_key(self, team: str, sequence: int) -> str:
        check = self._sign(team, sequence)
        return '.'.join(
            (
                KEY_PREFIX,
                self._issuer,
                self._incarnation,
                str(sequence),
                check,
            )
        )

    def _sign(self, team: str, sequence: int) -> str:
        mac = hashlib.blake2b(
            f'{team}.{sequence}'.encode(),
            digest_size=CHECK_BYTES,
            key=self._secret,
        )
        return mac.hexdigest()


def parse_key(text: str) -> IssuedKey | None:
    """Return the parts of an issued key, or None for any other text."""
    parts = text.split('.')
    if len(text) > MAX_KEY_CHARACTERS or len(parts) != KEY_PARTS:
        return None
    if parts.pop(0) != KEY_PREFIX:
        return None
    issuer, incarnation, sequence, check = parts
    if not (sequence.isascii() and sequence.isdigit()):
        return None
    return IssuedKey(
        issuer=issuer,
        incarnation=incarnation,
        sequence=int(sequence),
        check=check,
    )

"""Issued idempotency keys: at most once, without a record for each request.

An entry VM issues keys to callers in advance and stores one byte for each:
unused, claimed or ran.  The entry VM that receives a request with such a key
asks the issuer, which grants the key only once.  An issuer that no longer runs
can't grant its keys, so another entry VM never has to decide without it.

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
MAC_BYTES = 8

_UNUSED = 0
_CLAIMED = 1
_RAN = 2


class ClaimResult(enum.Enum):
    """The issuer's answer to the claim of a key."""

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
    mac: str


class KeyLedger:
    """The keys issued by one process since its start.

    Keys are numbered.  A key that is more than ``window`` numbers behind the
    latest one has expired and is never granted again.
    """

    __slots__ = (
        '_incarnation',
        '_issuer',
        '_next',
        '_secret',
        '_states',
        '_window',
    )

    def __init__(
        self,
        issuer: str,
        incarnation: str,
        secret: bytes,
        window: int = WINDOW_KEYS,
    ) -> None:
        """Start without issued keys; ``secret`` authenticates keys."""
        self._issuer = issuer
        self._incarnation = incarnation
        self._secret = secret
        self._window = window
        self._next = 0
        self._states = bytearray(window)

    def issue(self, team: str, count: int) -> tuple[str, ...]:
        """Return ``count`` new keys for a team."""
        ensure(0 < count <= self._window, 'a batch fits the window', count)
        first = self._next
        self._next += count
        for sequence in range(first, self._next):
            self._states[sequence % self._window] = _UNUSED
        return tuple(
            self._format_key(team, sequence)
            for sequence in range(first, self._next)
        )

    def claim(self, key: IssuedKey, team: str) -> ClaimResult:
        """Grant a key to its team, only once."""
        result = self._look_up(key, team)
        if result is ClaimResult.GRANTED:
            self._states[key.sequence % self._window] = _CLAIMED
        return result

    def record_outcome(
        self, key: IssuedKey, team: str, *, ran: bool
    ) -> ClaimResult:
        """Record whether the request of a key ran; return its old state.

        A key whose request did not run can be claimed again.  If it is unknown
        whether a request ran, this is never called and its key stays taken.
        """
        previous = self._look_up(key, team)
        if previous is ClaimResult.TAKEN:
            state = _RAN if ran else _UNUSED
            self._states[key.sequence % self._window] = state
        return previous

    def _look_up(self, key: IssuedKey, team: str) -> ClaimResult:
        if (key.issuer, key.incarnation) != (self._issuer, self._incarnation):
            return ClaimResult.GONE
        expected = self._compute_mac(team, key.sequence)
        if not hmac.compare_digest(expected, key.mac):
            return ClaimResult.FORGED
        if key.sequence < self._next - self._window:
            return ClaimResult.EXPIRED
        ensure(
            key.sequence < self._next,
            'a key with a valid MAC has been issued',
            key,
        )
        state = self._states[key.sequence % self._window]
        if state == _UNUSED:
            return ClaimResult.GRANTED
        return ClaimResult.RAN if state == _RAN else ClaimResult.TAKEN

    def _format_key(self, team: str, sequence: int) -> str:
        mac = self._compute_mac(team, sequence)
        return '.'.join(
            (
                KEY_PREFIX,
                self._issuer,
                self._incarnation,
                str(sequence),
                mac,
            )
        )

    def _compute_mac(self, team: str, sequence: int) -> str:
        digest = hashlib.blake2b(
            f'{team}.{sequence}'.encode(),
            digest_size=MAC_BYTES,
            key=self._secret,
        )
        return digest.hexdigest()


def parse_key(text: str) -> IssuedKey | None:
    """Return the parts of an issued key, or None if it is not one."""
    parts = text.split('.')
    if len(text) > MAX_KEY_CHARACTERS or len(parts) != KEY_PARTS:
        return None
    if parts.pop(0) != KEY_PREFIX:
        return None
    issuer, incarnation, sequence, mac = parts
    if not (sequence.isascii() and sequence.isdigit()):
        return None
    return IssuedKey(
        issuer=issuer,
        incarnation=incarnation,
        sequence=int(sequence),
        mac=mac,
    )

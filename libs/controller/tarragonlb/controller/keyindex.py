"""Finds the tenant of an API key without keeping the text of any key."""

import hashlib
import hmac
from collections.abc import Iterable
from dataclasses import dataclass

# Keys are grouped by the first bytes of their digests.
GROUP_BYTES = 2


def compute_digest(key: bytes) -> bytes:
    """Return the digest under which a key is stored and looked up."""
    return hashlib.sha256(key).digest()


@dataclass(frozen=True, slots=True)
class KeyEntry:
    """The digest of a tenant's key."""

    digest: bytes
    tenant: str


class KeyIndex:
    """The keys of one configuration.

    Digests are compared in constant time.  Which group is searched depends on
    the digest alone, from which nothing about a valid key can be derived.

    >>> index = KeyIndex([KeyEntry(compute_digest(b'k1'), 'harbour')])
    >>> index.find(b'k1'), index.find(b'k2')
    ('harbour', None)
    >>> index
    KeyIndex(1 keys)
    """

    __slots__ = ('_groups',)

    def __init__(self, entries: Iterable[KeyEntry] = ()) -> None:
        """Index the digests of all keys."""
        self._groups: dict[bytes, list[KeyEntry]] = {}
        for entry in entries:
            group = entry.digest[:GROUP_BYTES]
            self._groups.setdefault(group, []).append(entry)

    def __repr__(self) -> str:
        """Return the number of keys, and neither keys nor digests."""
        return f'KeyIndex({sum(map(len, self._groups.values()))} keys)'

    def find(self, key: bytes) -> str | None:
        """Return the name of the tenant of a key, None if it is unknown."""
        digest = compute_digest(key)
        found = None
        for entry in self._groups.get(digest[:GROUP_BYTES], ()):
            if hmac.compare_digest(entry.digest, digest):
                found = entry.tenant
        return found


NO_KEYS = KeyIndex()

"""Proof from the list of VMs that a worker has ended.

A worker is one life of a VM, and the platform's list names the worker of each
VM.  A worker that the list no longer names is over, and with it everything that
ran there, however long its leases would last.  One that is only unreachable or
slow stays listed.

A single listing is not enough: a worker that has just started may be missing,
and the pages of a list are not a snapshot.

>>> evidence = VmListEvidence()
>>> evidence.observe(VmListing(frozenset({'w2'}), 1.0), {'w1': 0.5, 'w2': 0.5})
()
>>> evidence.observe(VmListing(frozenset({'w2'}), 1.5), {'w1': 0.5, 'w2': 0.5})
('w1',)
"""

from collections.abc import Mapping
from dataclasses import dataclass

# All listings within this time must lack a worker that has ended.
MIN_MISSING_SECONDS = 0.4


@dataclass(frozen=True, slots=True)
class VmListing:
    """The workers of one complete list of VMs, requested at a time in seconds.

    The list is not older than that.
    """

    worker_ids: frozenset[str]
    requested_at: float


class VmListEvidence:
    """Remembers since when unreachable workers are missing from the list."""

    __slots__ = ('_missing_since',)

    def __init__(self) -> None:
        """Start without any listing."""
        self._missing_since: dict[str, float] = {}

    def observe(
        self, listing: VmListing, unreachable: Mapping[str, float | None]
    ) -> tuple[str, ...]:
        """Return the unreachable workers that have ended.

        ``unreachable`` maps their ids to when they last answered, None if
        never.  A list without any worker proves nothing.
        """
        if not listing.worker_ids:
            self._missing_since.clear()
            return ()
        self._missing_since = {
            worker_id: self._find_missing_since(worker_id, listing, answered_at)
            for worker_id, answered_at in unreachable.items()
            if worker_id not in listing.worker_ids
        }
        return tuple(
            worker_id
            for worker_id, since in self._missing_since.items()
            if listing.requested_at - since >= MIN_MISSING_SECONDS
        )

    def _find_missing_since(
        self, worker_id: str, listing: VmListing, answered_at: float | None
    ) -> float:
        since = self._missing_since.get(worker_id, listing.requested_at)
        if answered_at is not None and answered_at >= since:
            return listing.requested_at
        return since

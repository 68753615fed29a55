"""A grant that is being changed, with what is reserved for each partition."""

from collections.abc import Iterable, Mapping
from fractions import Fraction

import msgspec

from tarragonlb.scheduling import amounts
from tarragonlb.scheduling.quotaindex import QuotaIndex
from tarragonlb.scheduling.quotarecords import Grant, PartitionShare


class GrantDraft:
    """The next grant of a tenant.

    ``shares`` holds what is reserved now, by the newest reports.
    """

    __slots__ = ('_grant', '_index', 'cap', 'number', 'shares', 'tenant')

    def __init__(
        self, grant: Grant, index: QuotaIndex, partitions: Iterable[int]
    ) -> None:
        """Start from a stored grant, with rows for all ``partitions``."""
        self._grant = grant
        self._index = index
        self.tenant = grant.tenant
        self.cap = grant.cap
        self.number = grant.number + 1
        rows = dict.fromkeys(partitions, PartitionShare()) | grant.shares
        self.shares = {
            partition: msgspec.structs.replace(
                row,
                reserved=index.compute_reserved(grant.tenant, partition, row),
            )
            for partition, row in rows.items()
        }

    def get_occupied(self, partition: int) -> amounts.Amounts:
        """Return what the owner of a partition last reported as occupied."""
        report = self._index.reports.get((partition, self.tenant))
        return amounts.NOTHING if report is None else report.occupied

    def compute_reach(self, partition: int) -> amounts.Amounts:
        """Return the largest share that nobody else may use part of."""
        reach = self.cap
        for other, row in self.shares.items():
            if other != partition:
                reach = amounts.subtract(reach, row.reserved)
        return reach

    def raise_share(self, partition: int, share: amounts.Amounts) -> None:
        """Raise a share, no further than its reach."""
        row = self.shares[partition]
        self.shares[partition] = msgspec.structs.replace(
            row, share=share, reserved=amounts.take_larger(row.reserved, share)
        )

    def lower_share(self, partition: int, share: amounts.Amounts) -> None:
        """Lower a share, which the owner has to confirm."""
        row = self.shares[partition]
        self.shares[partition] = PartitionShare(
            share, amounts.take_larger(row.reserved, share), self.number
        )

    def build_grant(self) -> Grant | None:
        """Return the grant to store, None if nothing has changed."""
        before = self._grant.shares
        is_changed = self.cap != self._grant.cap or any(
            _differs(row, before.get(partition, PartitionShare()))
            for partition, row in self.shares.items()
        )
        if not is_changed:
            return None
        return Grant(self.tenant, self.number, self.cap, self.shares)


def build_first_grant(
    tenant: str, cap: amounts.Amounts, partitions: Iterable[int]
) -> Grant:
    """Return a grant that divides a cap evenly."""
    found = tuple(partitions)
    cpu, memory, gpus = (
        cap[field] // len(found) for field in amounts.RESOURCES
    )
    share = (cpu, memory, gpus, 0)
    row = PartitionShare(share, share)
    return Grant(tenant, 1, cap, dict.fromkeys(found, row))


def adapt_to_cap(draft: GrantDraft, cap: amounts.Amounts) -> None:
    """Change a draft to a new cap.

    Shares shrink in proportion, as the owners have scaled them already, and
    grow by equal parts.  A resource that had no limit is divided evenly, and
    all owners have to confirm what they use of it.
    """
    old, draft.cap = draft.cap, cap
    for partition, row in tuple(draft.shares.items()):
        changed = _adapt_share(row.share, old, cap, len(draft.shares))
        is_limit_new = any(
            cap[field] and not old[field] for field in amounts.RESOURCES
        )
        if is_limit_new or not amounts.covers(changed, row.share):
            draft.lower_share(partition, changed)
        elif amounts.covers(draft.compute_reach(partition), changed):
            draft.raise_share(partition, changed)


def relieve(draft: GrantDraft) -> bool:
    """Lower shares while more may come into use than the cap allows.

    What is used above one share has to be missing in the others.  Return
    whether there was anything to relieve.
    """
    fields = [field for field in amounts.RESOURCES if draft.cap[field]]
    parts = {field: _find_usable_part(draft, field) for field in fields}
    if min(parts.values(), default=1) >= 1:
        return False
    for partition, row in tuple(draft.shares.items()):
        lower = _lower_to_parts(row.share, draft.get_occupied(partition), parts)
        if lower != row.share:
            draft.lower_share(partition, lower)
    return True


def _lower_to_parts(
    share: amounts.Amounts,
    held: amounts.Amounts,
    parts: Mapping[int, Fraction],
) -> amounts.Amounts:
    """Return a share of which only a part of what is unused is left.

    With a negative part nothing is left, so that nothing may start.
    """
    lowered = list(share)
    for field, part in parts.items():
        slack = share[field] - held[field]
        if part < 0:
            lowered[field] = 0
        elif part < 1 and slack > 0:
            lowered[field] = held[field] + int(slack * part)
    return amounts.build_amounts(lowered)


def _find_usable_part(draft: GrantDraft, field: int) -> Fraction:
    """Return the part of the unused shares for which the cap has room.

    It is negative if more is occupied than the cap.
    """
    held, slack = 0, 0
    for partition, row in draft.shares.items():
        occupied = draft.get_occupied(partition)[field]
        held += occupied
        slack += max(row.share[field] - occupied, 0)
    room = draft.cap[field] - held
    if room < 0:
        return Fraction(-1)
    return Fraction(room, slack) if room < slack else Fraction(1)


def _adapt_share(
    share: amounts.Amounts,
    old: amounts.Amounts,
    new: amounts.Amounts,
    count: int,
) -> amounts.Amounts:
    cpu, memory, gpus = (
        share[field] * new[field] // old[field]
        if new[field] < old[field]
        else share[field] + (new[field] - old[field]) // count
        for field in amounts.RESOURCES
    )
    return amounts.add((cpu, memory, gpus, 0), _keep_oversize(share))


def _keep_oversize(share: amounts.Amounts) -> amounts.Amounts:
    return (
        amounts.OVERSIZE_TASK
        if amounts.covers(share, amounts.OVERSIZE_TASK)
        else amounts.NOTHING
    )


def _differs(row: PartitionShare, before: PartitionShare) -> bool:
    return (row.share, row.lowered) != (before.share, before.lowered)

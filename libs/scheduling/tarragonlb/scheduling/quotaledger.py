"""Divides the caps of tenants among the partitions, for the fleet owner.

The sum of what is reserved over all partitions never exceeds the cap through a
grant: a share is raised only by what no other partition may use any more.  So
shares move by lowering one, waiting until its owner has confirmed that and what
it still uses, and raising the other.  Grants hold what is reserved, and a
successor continues from them.

A tenant's shares are changed only if an owner lacks room, the cap changes, or
more is in use than the cap.
"""

import math
from collections.abc import Iterable, Sequence

from tarragonlb.scheduling import amounts
from tarragonlb.scheduling.quotadraft import (
    GrantDraft,
    adapt_to_cap,
    build_first_grant,
    relieve,
)
from tarragonlb.scheduling.quotaindex import QuotaIndex
from tarragonlb.scheduling.quotarecords import (
    Grant,
    PartitionShare,
    QuotaReport,
)
from tarragonlb.scheduling.quotasplit import Claim, split_cap
from tarragonlb.scheduling.tenant import NO_TENANTS, TenantTable

# A share that was raised for a task is not lowered again within this time: the
# owner reads the grant and starts the task in less.
HOLD_SECONDS = 0.3
# A lowering that was not confirmed within this time is repeated, since the
# confirmation may have been lost.
REPEAT_SECONDS = 1.0
# Shares are not moved for less than this part of the cap, unless a task needs
# it to start.
SIGNIFICANT_PART = 20

Turn = tuple[bool, float, int, QuotaReport]


class QuotaLedger:
    """Decides on the grants, during one term of the fleet owner."""

    __slots__ = (
        '_changed',
        '_index',
        '_lowered_at',
        '_open',
        '_partitions',
        '_served_at',
        '_tenants',
    )

    def __init__(self, index: QuotaIndex) -> None:
        """Continue from the records of ``index``, read to the end."""
        self._index = index
        self._tenants = NO_TENANTS
        self._partitions: tuple[int, ...] = ()
        self._changed: set[str] = set()
        # Tenants that lack room in a partition, or use more than their cap.
        self._open: set[str] = set()
        # When a share was last raised so that a task could start.
        self._served_at: dict[tuple[str, int], float] = {}
        # When each share was last lowered for another partition.
        self._lowered_at: dict[tuple[str, int], float] = {}

    def note_records(self, tenants: Iterable[str]) -> None:
        """Note that there are new records on tenants."""
        self._changed.update(tenants)

    def decide(
        self, tenants: TenantTable, partitions: Sequence[int], now: float
    ) -> tuple[Grant, ...]:
        """Return the grants to store at ``now`` seconds.

        ``partitions`` are those that have pools.  The caller applies the
        stored grants to the index before the next call.
        """
        if not partitions:
            return ()
        names = self._changed | self._open
        if tenants is not self._tenants or partitions != self._partitions:
            self._tenants, self._partitions = tenants, tuple(partitions)
            names.update(tenants.by_name, self._index.grants)
        self._changed = set()
        grants = (self._decide_tenant(name, now) for name in sorted(names))
        return tuple(grant for grant in grants if grant is not None)

    def _find_cap(self, name: str) -> amounts.Amounts:
        """Return the cap; a tenant that is not listed any more keeps its."""
        tenant = self._tenants.find(name)
        if tenant is not None:
            return amounts.add(
                amounts.count_demand(tenant.cap), amounts.OVERSIZE_TASK
            )
        grant = self._index.grants.get(name)
        return amounts.NOTHING if grant is None else grant.cap

    def _decide_tenant(self, name: str, now: float) -> Grant | None:
        cap = self._find_cap(name)
        self._open.discard(name)
        grant = self._index.grants.get(name)
        if grant is None:
            if not amounts.has_limit(cap):
                return None
            return build_first_grant(name, cap, self._partitions)
        draft = GrantDraft(grant, self._index, self._partitions)
        if grant.cap != cap:
            adapt_to_cap(draft, cap)
        self._move_shares(draft, now)
        return draft.build_grant()

    def _move_shares(self, draft: GrantDraft, now: float) -> None:
        reports = self._list_reports(draft, now)
        goals = split_cap(draft.cap, [_build_claim(row) for row in reports])
        is_open = relieve(draft)
        for report in reports:
            if report.unit == amounts.NOTHING:
                continue
            goal = goals[report.partition]
            if _must_raise(draft, report, goal):
                is_open = True
                self._try_raise(draft, report, goal, now)
                if not amounts.covers(
                    draft.shares[report.partition].share, goal
                ):
                    self._lower_others(draft, report.partition, goals, now)
            elif not amounts.covers(goal, report.unit):
                # It will be its turn later.
                is_open = True
        if is_open:
            self._open.add(draft.tenant)

    def _list_reports(self, draft: GrantDraft, now: float) -> list[QuotaReport]:
        """Return the reports in the order in which units are granted.

        First those whose share was raised just now, so that they can use it,
        then those that have waited longest.
        """
        name = draft.tenant
        turns = []
        for partition, row in draft.shares.items():
            report = self._index.reports.get(
                (partition, name), QuotaReport(name, partition, 0, 0, 0)
            )
            if report.unit != amounts.NOTHING and amounts.covers(
                row.share, report.unit
            ):
                self._served_at.setdefault((name, partition), now)
            at = self._served_at.get((name, partition), -math.inf)
            turns.append((at + HOLD_SECONDS <= now, at, partition, report))
        return [turn[-1] for turn in sorted(turns, key=_get_turn)]

    def _try_raise(
        self,
        draft: GrantDraft,
        report: QuotaReport,
        goal: amounts.Amounts,
        now: float,
    ) -> None:
        """Raise a share as far as nobody else may use it any more."""
        partition = report.partition
        share = draft.shares[partition].share
        reach = amounts.take_smaller(goal, draft.compute_reach(partition))
        reached = amounts.take_larger(reach, share)
        if amounts.covers(reached, report.unit) and reached != share:
            draft.raise_share(partition, reached)
            if not amounts.covers(share, report.unit):
                self._served_at[draft.tenant, partition] = now

    def _lower_others(
        self,
        draft: GrantDraft,
        partition: int,
        goals: dict[int, amounts.Amounts],
        now: float,
    ) -> None:
        """Lower as many shares as one partition needs to reach its goal.

        Each owner that is asked has to answer, so as few as possible are.  If
        one has not answered in time, all others are asked at once: several may
        be gone, and asking them in turn would take seconds.
        """
        reach = draft.compute_reach(partition)
        unconfirmed, is_overdue = self._collect_unconfirmed(draft, now)
        # What is still to be confirmed need not be taken from others, too.
        missing = amounts.subtract(
            amounts.subtract(goals[partition], reach), unconfirmed
        )
        releases = []
        for other, row in draft.shares.items():
            if other != partition:
                lower = self._find_lower(draft.tenant, other, row, goals[other])
                release = amounts.subtract(row.share, lower)
                releases.append((release, other, lower))
        for release, other, lower in sorted(releases, reverse=True):
            if _helps(release, missing):
                draft.lower_share(other, lower)
                if not is_overdue:
                    missing = amounts.subtract(missing, release)
                self._lowered_at[draft.tenant, other] = now

    def _collect_unconfirmed(
        self, draft: GrantDraft, now: float
    ) -> tuple[amounts.Amounts, bool]:
        """Return what will be free once lowered shares are confirmed.

        Lowerings whose confirmation is overdue are repeated, and not counted,
        since their owners may be gone.  The second value is whether there are
        any.  Owners that used more than their share are asked again as well,
        as the report that they no longer do may be lost.
        """
        total, is_overdue = amounts.NOTHING, False
        for partition, row in tuple(draft.shares.items()):
            is_open = not self._index.is_confirmed(draft.tenant, partition, row)
            if not is_open and amounts.covers(row.share, row.reserved):
                continue
            key = (draft.tenant, partition)
            if now >= self._lowered_at.get(key, -math.inf) + REPEAT_SECONDS:
                is_overdue = is_overdue or is_open
                draft.lower_share(partition, row.share)
                self._lowered_at[key] = now
            elif is_open:
                total = amounts.add(
                    total, amounts.subtract(row.reserved, row.share)
                )
        return total, is_overdue

    def _find_lower(
        self,
        tenant: str,
        partition: int,
        row: PartitionShare,
        goal: amounts.Amounts,
    ) -> amounts.Amounts:
        """Return to what a share may be lowered for another partition.

        An owner that wants little gives up half of its share, so that few
        owners are asked.
        """
        share = row.share
        lower = amounts.take_smaller(goal, share)
        report = self._index.reports.get((partition, tenant))
        half = _halve(share)
        if report is None or amounts.covers(half, report.wanted):
            return amounts.take_smaller(lower, half)
        return lower


def _helps(release: amounts.Amounts, missing: amounts.Amounts) -> bool:
    """Return whether a release is of a resource that is missing."""
    return any(
        released > 0 and needed > 0
        for released, needed in zip(release, missing, strict=True)
    )


def _halve(share: amounts.Amounts) -> amounts.Amounts:
    cpu, memory, gpus, oversize = share
    return (cpu // 2, memory // 2, gpus // 2, oversize)


def _get_turn(turn: Turn) -> tuple[bool, float, int]:
    return turn[:3]


def _build_claim(report: QuotaReport) -> Claim:
    return Claim(report.partition, report.wanted, report.unit)


def _must_raise(
    draft: GrantDraft, report: QuotaReport, goal: amounts.Amounts
) -> bool:
    """Return whether a share is so far below its goal that it has to move."""
    share = draft.shares[report.partition].share
    if not amounts.covers(goal, report.unit):
        return False
    return not amounts.covers(share, report.unit) or any(
        goal[field] - share[field]
        >= max(draft.cap[field] // SIGNIFICANT_PART, 1)
        for field in amounts.RESOURCES
    )

"""Decides what the owner of a partition reports on the shares of tenants.

An owner reports a tenant only if it lacks room, if a lowered share is to be
confirmed, if the tenant occupies more than its share, or if it wants much less
than was last reported, for good.  All other changes stay unreported, so that
most of the time there is no message.
"""

from collections.abc import Iterable

from tarragonlb.scheduling import amounts
from tarragonlb.scheduling.partitionstate import PartitionState
from tarragonlb.scheduling.quotalimit import QuotaLimit
from tarragonlb.scheduling.quotarecords import QuotaReport

# Time between two reports on a tenant; a report and the answer to it take less.
MIN_INTERVAL_SECONDS = 0.1
# A lack that lasts is reported again, as a report may have been lost.
REPEAT_SECONDS = 1.0
# A want that stays below half of what was reported has fallen for good.
FALLEN_SECONDS = 2.0
# Wants below this part of the cap are not worth a report that they have fallen.
NEGLIGIBLE_PART = 64
# A want that has risen by less than this part of the cap is not reported.
NOTICEABLE_PART = 16


class _Sent:
    """The last report on a tenant; ``fallen_since`` is when its want fell."""

    __slots__ = ('fallen_since', 'report', 'sent_at')

    def __init__(self, report: QuotaReport, sent_at: float) -> None:
        self.report = report
        self.sent_at = sent_at
        self.fallen_since: float | None = None


class QuotaReporter:
    """Decides on reports, during one term of the owner of a partition."""

    __slots__ = ('_limit', '_sent', '_sequence', '_term', '_watched')

    def __init__(self, limit: QuotaLimit, term: int) -> None:
        """Report on the shares that ``limit`` applies."""
        self._limit = limit
        self._term = term
        self._sequence = 0
        self._sent: dict[str, _Sent] = {}
        # Tenants about which there may be something to report.
        self._watched: set[str] = set()

    def note_grants(self, tenants: Iterable[str]) -> None:
        """Note that the grants of tenants may have changed."""
        self._watched.update(tenants)

    def decide(
        self, partition: PartitionState, now: float
    ) -> tuple[QuotaReport, ...]:
        """Return the reports to store at ``now`` seconds."""
        if not self._limit.is_open:
            return ()
        self._watched.update(self._limit.list_lacking())
        found = []
        for tenant in tuple(self._watched):
            sent = self._sent.get(tenant)
            if sent and now < sent.sent_at + MIN_INTERVAL_SECONDS:
                continue
            report = self._decide_tenant(tenant, partition, now)
            if report is not None:
                self._sent[tenant] = _Sent(report, now)
                found.append(report)
        return tuple(found)

    def _decide_tenant(
        self, tenant: str, partition: PartitionState, now: float
    ) -> QuotaReport | None:
        cap = self._limit.find_cap(tenant, partition.tenants)
        if cap is None or not amounts.has_limit(cap):
            self._watched.discard(tenant)
            return None
        report = self._measure(tenant, cap, partition)
        sent = self._sent.get(tenant)
        if sent is None:
            sent = _Sent(self._find_former(report), now - REPEAT_SECONDS)
            self._sent[tenant] = sent
        if self._must_report(report, sent, cap, now):
            self._sequence += 1
            return report
        if self._is_settled(report, sent, cap):
            self._watched.discard(tenant)
        return None

    def _measure(
        self, tenant: str, cap: amounts.Amounts, partition: PartitionState
    ) -> QuotaReport:
        waiting, unit = self._limit.measure_lack(tenant, cap, partition)
        occupied = amounts.keep_limited(partition.usage.get(tenant), cap)
        if amounts.exceeds_cap(occupied, cap):
            occupied = amounts.take_larger(occupied, amounts.OVERSIZE_TASK)
        grant = self._limit.index.grants.get(tenant)
        return QuotaReport(
            tenant,
            self._limit.partition,
            self._term,
            self._sequence,
            0 if grant is None else grant.number,
            occupied,
            amounts.take_smaller(cap, amounts.add(occupied, waiting)),
            amounts.keep_limited(unit, cap),
        )

    def _find_former(self, report: QuotaReport) -> QuotaReport:
        """Return the last report of a former owner, or an empty one."""
        key = (report.partition, report.tenant)
        empty = QuotaReport(report.tenant, report.partition, self._term, 0, 0)
        return self._limit.index.reports.get(key, empty)

    def _must_report(
        self, report: QuotaReport, sent: _Sent, cap: amounts.Amounts, now: float
    ) -> bool:
        last = sent.report
        if report.unit != amounts.NOTHING:
            if last.unit != report.unit or _has_risen(report, last, cap):
                return True
            if now >= sent.sent_at + REPEAT_SECONDS:
                return True
        if self._must_confirm(report, last):
            return True
        return _is_fallen(report, sent, cap, now)

    def _must_confirm(self, report: QuotaReport, last: QuotaReport) -> bool:
        row = self._limit.index.find_share(report.tenant, report.partition)
        if row is None:
            return report.occupied != last.occupied
        if last.number < row.lowered:
            return True
        above = _cut_to_excess(report.occupied, row.share)
        return above != _cut_to_excess(last.occupied, row.share)

    def _is_settled(
        self, report: QuotaReport, sent: _Sent, cap: amounts.Amounts
    ) -> bool:
        """Return whether only a new lack or grant can lead to a report."""
        row = self._limit.index.find_share(report.tenant, report.partition)
        if row is None:
            return report.unit == amounts.NOTHING
        return (
            report.unit == amounts.NOTHING
            and sent.report.unit == amounts.NOTHING
            and not _is_noticeable(sent.report.wanted, cap)
            and _cut_to_excess(report.occupied, row.share) == amounts.NOTHING
        )


def _cut_to_excess(
    occupied: amounts.Amounts, share: amounts.Amounts
) -> amounts.Amounts:
    """Return the amounts of the resources that exceed a share, else 0."""
    cpu, memory, gpus, oversize = (
        amount if amount > limit else 0
        for amount, limit in zip(occupied, share, strict=True)
    )
    return (cpu, memory, gpus, oversize)


def _has_risen(
    report: QuotaReport, last: QuotaReport, cap: amounts.Amounts
) -> bool:
    return any(
        report.wanted[field]
        > last.wanted[field] + cap[field] // NOTICEABLE_PART
        for field in amounts.RESOURCES
    )


def _is_noticeable(wanted: amounts.Amounts, cap: amounts.Amounts) -> bool:
    return any(
        wanted[field] > cap[field] // NEGLIGIBLE_PART
        for field in amounts.RESOURCES
    )


def _is_fallen(
    report: QuotaReport, sent: _Sent, cap: amounts.Amounts, now: float
) -> bool:
    """Return whether a want has been far below the reported one for long."""
    last = sent.report
    is_noted = last.unit != amounts.NOTHING or _is_noticeable(last.wanted, cap)
    is_low = report.unit == amounts.NOTHING and all(
        2 * report.wanted[field] <= last.wanted[field]
        for field in amounts.RESOURCES
    )
    if not (is_noted and is_low):
        sent.fallen_since = None
        return False
    if sent.fallen_since is None:
        sent.fallen_since = now
    return now >= sent.fallen_since + FALLEN_SECONDS

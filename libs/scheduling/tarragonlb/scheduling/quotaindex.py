"""The newest grants and reports on the caps of tenants.

Every reader applies the same records in the order in which they are stored.

>>> from tarragonlb.scheduling.quotarecords import build_term_record
>>> index = QuotaIndex()
>>> record = build_term_record(1, 7)
>>> index.apply([KeyedRecord(record.key, record.value, offset=0)])
set()
>>> index.terms
{1: 7}
"""

from collections.abc import Iterable

from tarragonlb.model.decoding import parse_count
from tarragonlb.scheduling.amounts import Amounts, take_larger
from tarragonlb.scheduling.quotarecords import (
    GRANT,
    REPORT,
    TERM,
    Grant,
    PartitionShare,
    QuotaReport,
    decode_grant,
    decode_report,
)
from tarragonlb.scheduling.records import KeyedRecord, RecordError


class QuotaIndex:
    """The newest grants by tenant, and the newest reports.

    ``terms`` are the newest terms of the partitions' owners.  A report of an
    earlier term is ignored, whether its record comes before or after that of
    the term in a snapshot.
    """

    __slots__ = (
        '_offsets',
        'errors',
        'former_terms',
        'grants',
        'reports',
        'terms',
    )

    def __init__(self) -> None:
        """Start without records."""
        self._offsets: dict[str, int] = {}
        self.grants: dict[str, Grant] = {}
        self.reports: dict[tuple[int, str], QuotaReport] = {}
        self.terms: dict[int, int] = {}
        # Ended terms whose records were not removed, by partition.
        self.former_terms: dict[int, set[int]] = {}
        self.errors: list[RecordError] = []

    def apply(self, records: Iterable[KeyedRecord]) -> set[str]:
        """Apply records in order; return the tenants that they are about."""
        changed: set[str] = set()
        for record in records:
            if self._offsets.get(record.key, -1) >= record.offset:
                continue
            self._offsets[record.key] = record.offset
            try:
                changed.update(self._apply(record))
            except ValueError as error:
                self.errors.append(RecordError(f'{record.key}: {error}'))
        return changed

    def apply_snapshot(self, records: Iterable[KeyedRecord]) -> set[str]:
        """Apply the newest record of each key, the terms before the reports."""
        return self.apply(sorted(records, key=_is_no_term))

    def find_share(self, tenant: str, partition: int) -> PartitionShare | None:
        """Return the share of a tenant in a partition, None without a grant."""
        grant = self.grants.get(tenant)
        return None if grant is None else grant.shares.get(partition)

    def is_confirmed(
        self, tenant: str, partition: int, row: PartitionShare
    ) -> bool:
        """Return whether the owner has applied the last lowering of a share."""
        if not row.lowered:
            return True
        report = self.reports.get((partition, tenant))
        return report is not None and report.number >= row.lowered

    def compute_reserved(
        self, tenant: str, partition: int, row: PartitionShare
    ) -> Amounts:
        """Return the most that a tenant may occupy in a partition now."""
        report = self.reports.get((partition, tenant))
        if report is None or report.number < row.lowered:
            return take_larger(row.share, row.reserved)
        return take_larger(row.share, report.occupied)

    def _apply(self, record: KeyedRecord) -> tuple[str, ...]:
        kind, _, name = record.key.partition('/')
        if kind == TERM:
            partition, _, term = name.partition('/')
            self._apply_term(
                parse_count(partition), parse_count(term), record.value
            )
            return ()
        if not record.value:
            return ()
        if kind == GRANT:
            self.grants[name] = decode_grant(name, record.value)
            return (name,)
        if kind == REPORT:
            return self._apply_report(decode_report(name, record.value))
        raise RecordError('unknown kind')

    def _apply_term(self, partition: int, term: int, value: bytes) -> None:
        former = self.former_terms.setdefault(partition, set())
        if not value:
            former.discard(term)
            return
        newest = self.terms.get(partition, -1)
        if term > newest:
            self.terms[partition] = term
        former.update({newest, term} - {-1, self.terms[partition]})

    def _apply_report(self, report: QuotaReport) -> tuple[str, ...]:
        key = (report.partition, report.tenant)
        known = self.reports.get(key)
        if report.term < self.terms.get(report.partition, -1):
            return ()
        if known is not None and _get_order(known) > _get_order(report):
            return ()
        self.reports[key] = report
        return (report.tenant,)


def _get_order(report: QuotaReport) -> tuple[int, int]:
    return (report.term, report.sequence)


def _is_no_term(record: KeyedRecord) -> bool:
    return not record.key.startswith(f'{TERM}/')

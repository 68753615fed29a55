"""Records on how a tenant's cap is divided among the partitions of pools.

They are in a topic of their own.

    grant/TENANT              the shares of all partitions, by the fleet owner
    term/PARTITION/TERM       a pool owner has begun its term
    report/PARTITION/TENANT   what a tenant occupies and wants in a partition

>>> report = QuotaReport('harbour', 3, 7, 1, 4, wanted=(500, 0, 0, 0))
>>> decode_report('3/harbour', build_report_record(report).value) == report
True
"""

from dataclasses import dataclass, field

import cbor2
import msgspec

from tarragonlb.model.decoding import Count, parse_count
from tarragonlb.scheduling.amounts import NOTHING, Amounts
from tarragonlb.scheduling.records import KeyedRecord, decode_content

GRANT = 'grant'
TERM = 'term'
REPORT = 'report'

StoredAmounts = tuple[Count, Count, Count, Count]


class PartitionShare(msgspec.Struct, frozen=True):
    """What a tenant may occupy in one partition.

    ``reserved`` is what the owner may still use: the largest share that it has
    not confirmed as lowered, or what it uses above its share.  ``lowered`` is
    the number of the grant that lowered the share last.
    """

    share: Amounts = NOTHING
    reserved: Amounts = NOTHING
    lowered: int = 0


@dataclass(frozen=True, slots=True)
class Grant:
    """The shares of a tenant's cap by partition; ``number`` rises by one."""

    tenant: str
    number: int
    cap: Amounts
    shares: dict[int, PartitionShare] = field(default_factory=dict)


class QuotaReport(msgspec.Struct, frozen=True):
    """What the owner of a partition reports for a tenant.

    ``term`` is the owner's, and ``sequence`` rises with each of its reports.
    ``number`` is that of the grant that was applied before ``occupied`` was
    counted.  ``wanted`` is what the tenant could occupy, and ``unit`` what it
    needs to start another task; nothing if it lacks no room.
    """

    tenant: str
    partition: int
    term: int
    sequence: int
    number: int
    occupied: Amounts = NOTHING
    wanted: Amounts = NOTHING
    unit: Amounts = NOTHING


class ShareRow(msgspec.Struct, array_like=True, frozen=True):
    """A share in a record of a grant.

    Most shares are confirmed, and then all that is reserved is the share; in
    this case ``reserved`` is left out.
    """

    partition: Count
    lowered: Count
    share: StoredAmounts
    reserved: StoredAmounts | None = None


class GrantContent(msgspec.Struct, array_like=True, frozen=True):
    """The value of a record of a grant."""

    number: Count
    cap: StoredAmounts
    rows: list[ShareRow]


class ReportContent(msgspec.Struct, array_like=True, frozen=True):
    """The value of a record of a report."""

    term: Count
    sequence: Count
    number: Count
    occupied: StoredAmounts
    wanted: StoredAmounts
    unit: StoredAmounts


def build_grant_record(grant: Grant) -> KeyedRecord:
    """Return the record of a grant."""
    rows = [
        [partition, row.lowered, row.share]
        if row.reserved == row.share
        else [partition, row.lowered, row.share, row.reserved]
        for partition, row in sorted(grant.shares.items())
    ]
    content = cbor2.dumps([grant.number, grant.cap, rows])
    return KeyedRecord(f'{GRANT}/{grant.tenant}', content)


def build_term_record(partition: int, term: int) -> KeyedRecord:
    """Return the record that the owner of a partition has begun its term."""
    return KeyedRecord(f'{TERM}/{partition}/{term}', cbor2.dumps(1))


def build_term_removal(partition: int, term: int) -> KeyedRecord:
    """Return the record that removes that of a former term."""
    return KeyedRecord(f'{TERM}/{partition}/{term}', b'')


def build_report_record(report: QuotaReport) -> KeyedRecord:
    """Return the record of a report."""
    _, _, *content = msgspec.structs.astuple(report)
    key = f'{REPORT}/{report.partition}/{report.tenant}'
    return KeyedRecord(key, cbor2.dumps(content))


def decode_grant(tenant: str, value: bytes) -> Grant:
    """Return the grant in a record; raise ``ValueError`` if it is invalid."""
    content = decode_content(value, GrantContent, 'grant')
    shares = {
        row.partition: PartitionShare(
            row.share, row.reserved or row.share, row.lowered
        )
        for row in content.rows
    }
    return Grant(tenant, content.number, content.cap, shares)


def decode_report(name: str, value: bytes) -> QuotaReport:
    """Return the report in a record; raise ``ValueError`` if it is invalid.

    ``name`` is the partition and the tenant, as in the key.
    """
    partition, _, tenant = name.partition('/')
    content = decode_content(value, ReportContent, 'report')
    return QuotaReport(
        tenant, parse_count(partition), *msgspec.structs.astuple(content)
    )

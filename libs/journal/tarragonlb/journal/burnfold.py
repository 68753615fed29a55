"""Rules for service-level burn: add up counts and drop old ones.

Each summary is added to a bucket of five minutes, one of an hour and one of a
day.  A service keeps a fixed number of buckets of each width, whatever their
times, so a single summary from a writer with a wrong clock can't evict the
others.
"""

from collections import Counter
from collections.abc import Iterable
from dataclasses import replace
from types import MappingProxyType

from tarragonlb.journal.rule import Reason, Rule
from tarragonlb.journal.state import State
from tarragonlb.model.burn import (
    MINUTES_PER_DAY,
    BurnBucket,
    BurnEntry,
    BurnReported,
    LatencyCounts,
    ServiceCount,
)

FINE_MINUTES = 5
HOUR_MINUTES = 60
MAX_FINE_BUCKETS = 12
MAX_HOUR_BUCKETS = 24
MAX_DAY_BUCKETS = 36
MAX_LATENCY_DAYS = 7
MAX_CAUSES = 6


def report_burn(
    state: State, record: BurnReported, offset: int
) -> Reason | None:
    """Add the counts of an entry VM to those of the other entry VMs."""
    known = [
        count for count in record.counts if _is_configured(state, count.service)
    ]
    if not known:
        return 'none of these services is in the settings'
    for count in known:
        present = state.burn.get(
            count.service, BurnEntry(service=count.service)
        )
        state.burn[count.service] = add_count(present, count, record.minute)
    _drop_removed_services(state)
    return None


def add_count(
    present: BurnEntry, count: ServiceCount, minute: int
) -> BurnEntry:
    """Return the buckets of a service with one more count added."""
    return BurnEntry(
        service=present.service,
        fine=_add_to_bucket(present.fine, count, minute, FINE_MINUTES)[
            -MAX_FINE_BUCKETS:
        ],
        hours=_add_to_bucket(present.hours, count, minute, HOUR_MINUTES)[
            -MAX_HOUR_BUCKETS:
        ],
        days=_drop_old_latency(
            _add_to_bucket(present.days, count, minute, MINUTES_PER_DAY)[
                -MAX_DAY_BUCKETS:
            ]
        ),
    )


def sum_latency_counts(counts: Iterable[LatencyCounts]) -> LatencyCounts:
    """Return the sum of latency counts, ordered by bucket."""
    total: Counter[int] = Counter()
    for pairs in counts:
        total.update(dict(pairs))
    return tuple(sorted(total.items()))


def _is_configured(state: State, service: str) -> bool:
    team, _, name = service.partition('/')
    settings = state.teams.get(team)
    return settings is not None and name in settings.services


def _drop_removed_services(state: State) -> None:
    known = sum(len(team.services) for team in state.teams.values())
    if len(state.burn) > known:
        for service in tuple(state.burn):
            if not _is_configured(state, service):
                state.burn.pop(service)


def _add_to_bucket(
    buckets: tuple[BurnBucket, ...],
    count: ServiceCount,
    minute: int,
    width: int,
) -> tuple[BurnBucket, ...]:
    start = minute - minute % width
    others = [bucket for bucket in buckets if bucket.start != start]
    present = next(
        (bucket for bucket in buckets if bucket.start == start),
        BurnBucket(start=start),
    )
    keeps_latency = width == MINUTES_PER_DAY
    causes = dict.fromkeys((*present.causes, *count.causes))
    added = BurnBucket(
        start=start,
        good=present.good + count.good,
        slow=present.slow + count.slow,
        bad=present.bad + count.bad,
        latency=sum_latency_counts((present.latency, count.latency))
        if keeps_latency
        else (),
        causes=tuple(causes)[:MAX_CAUSES],
    )
    return tuple(sorted((*others, added), key=_get_start))


def _drop_old_latency(days: tuple[BurnBucket, ...]) -> tuple[BurnBucket, ...]:
    first_kept = len(days) - MAX_LATENCY_DAYS
    return tuple(
        replace(day, latency=()) if day.latency and index < first_kept else day
        for index, day in enumerate(days)
    )


def _get_start(bucket: BurnBucket) -> int:
    return bucket.start


RULES: MappingProxyType[type, Rule] = MappingProxyType(
    {BurnReported: report_burn}
)

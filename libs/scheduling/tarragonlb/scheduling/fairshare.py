"""Weighted fair shares of the tenants in each pool.

Within a queue's priority, permanent steps and jobs that have begun come first,
as by rank.  Among the other steps of a pool, the next one is that of the tenant
with the smallest dominant share over its weight, and the steps of one tenant
stay in the order of their ranks.  Deferred steps follow in the same way, and
last come the jobs that were submitted beyond the rate of their tenant.

What a tenant occupies rises with each task placed in the round.  The order uses
nothing else, so a tenant that was idle is next as soon as it asks, and a new
owner arranges the steps as the former one did.  Nothing that runs is stopped
for a share.

The steps are sorted once.  A step whose tenant's share has risen since then
moves to a queue of its tenant when its turn comes.  A heap holds the first step
of each queue; only the tenant's own steps raise its share, so its entry is
renewed only when one has been taken.  A round costs about one sort, and a heap
operation for each step that moves.
"""

from collections import defaultdict, deque
from collections.abc import Container, Iterable, Iterator
from heapq import heappop, heappush, heapreplace
from itertools import chain
from typing import TypeAlias

from tarragonlb.scheduling.job import Demand, Moment, Step
from tarragonlb.scheduling.partitionstate import PartitionState
from tarragonlb.scheduling.policies import JobOrder
from tarragonlb.scheduling.poolshares import PoolShares, TenantShare
from tarragonlb.scheduling.readystep import ReadyStep
from tarragonlb.scheduling.submissionrate import SubmissionRates

# The classes of steps within a priority, in their order.  Permanent steps have
# four, by the middle of their rank.  Steps of one class differ in their ranks
# only by the last field, the time.
BEGUN = 4
ON_TIME = 5
DEFERRED_BEGUN = 6
DEFERRED = 7
BEYOND_RATE = 8
DEFERRED_BEYOND_RATE = 9
CLASS_COUNT = 10
SHARED_CLASSES = frozenset(
    (ON_TIME, DEFERRED, BEYOND_RATE, DEFERRED_BEYOND_RATE)
)

# Weighted share when the entry was made, time of the rank, a number that no
# other entry has, the step, and the share of its tenant.
Entry: TypeAlias = tuple[float, float, int, ReadyStep, TenantShare]
# The entries of each tenant that have moved, in their order.
Queues: TypeAlias = dict[TenantShare, deque[Entry]]
# Stands for all tenants in the classes that are not shared.
NO_SHARE = TenantShare(Demand(), 1.0)


class FairShareOrder(JobOrder):
    """Divides each pool among tenants by their weights."""

    __slots__ = ('_rates', '_shares')

    def __init__(self) -> None:
        """Start without knowing any job."""
        self._rates = SubmissionRates()
        self._shares: PoolShares | None = None

    def arrange(
        self, ready: Iterable[ReadyStep], partition: PartitionState, now: Moment
    ) -> Iterator[ReadyStep]:
        """Yield the steps by priority, class and share of their tenants."""
        self._rates.update(partition)
        shares = PoolShares(partition)
        self._shares = shares
        groups = _build_entries(ready, shares, self._rates.beyond)
        for step in chain.from_iterable(map(_take_in_order, groups)):
            if step.step.is_gang:
                # A gang that does not fit is placed in part and then undone,
                # so its tasks count only after the attempt.
                waiting = step.step_state.count_waiting()
                yield step
                placed = waiting - step.step_state.count_waiting()
                self._add_placed(step, placed)
            else:
                yield step

    def note_placed(self, ready: ReadyStep) -> None:
        """Count the task as occupied by its tenant."""
        if not ready.step.is_gang:
            self._add_placed(ready, 1)

    def _add_placed(self, ready: ReadyStep, count: int) -> None:
        if self._shares is not None:
            job = ready.job_state.job
            share = self._shares.get(job.pool, job.tenant)
            share.occupy(_get_occupied(ready.step), count)
            share.update()


def _build_entries(
    ready: Iterable[ReadyStep], shares: PoolShares, beyond: Container[str]
) -> list[list[Entry]]:
    """Return the sorted entries of each class of each priority, in order."""
    groups: dict[int, list[Entry]] = defaultdict(list)
    for number, step in enumerate(ready):
        group = _choose_group(step, beyond)
        share = NO_SHARE
        if group % CLASS_COUNT in SHARED_CLASSES:
            job = step.job_state.job
            share = shares.get(job.pool, job.tenant)
        groups[group].append(
            (share.weighted, step.rank[-1], number, step, share)
        )
    for entries in groups.values():
        entries.sort()
    return [groups[group] for group in sorted(groups)]


def _choose_group(ready: ReadyStep, beyond: Container[str]) -> int:
    """Return a number that rises with the priority, then with the class."""
    rank = ready.rank
    first = rank[0] * CLASS_COUNT
    if not rank[1]:
        return first + 2 * rank[2] + rank[3]
    on_time, deferred = ON_TIME, DEFERRED
    if ready.has_begun:
        on_time, deferred = BEGUN, DEFERRED_BEGUN
    elif ready.job_state.job.job_id in beyond:
        on_time, deferred = BEYOND_RATE, DEFERRED_BEYOND_RATE
    chosen = deferred if rank[2] else on_time
    return first + chosen


def _take_in_order(entries: Iterable[Entry]) -> Iterator[ReadyStep]:
    """Yield the steps of sorted entries, while the shares rise."""
    heads: list[Entry] = []
    queues: Queues = defaultdict(deque)
    for entry in entries:
        while heads and heads[0] < entry:
            yield from _take_first(heads, queues)
        if entry[-1].weighted == entry[0]:
            yield entry[-2]
        else:
            queue = queues[entry[-1]]
            queue.append(entry)
            if len(queue) == 1:
                heappush(heads, _renew(entry))
    while heads:
        yield from _take_first(heads, queues)


def _take_first(heads: list[Entry], queues: Queues) -> Iterator[ReadyStep]:
    """Yield the step of the first head, then replace it by the next one."""
    queue = queues[heads[0][-1]]
    yield queue.popleft()[-2]
    if queue:
        heapreplace(heads, _renew(queue[0]))
    else:
        heappop(heads)


def _renew(entry: Entry) -> Entry:
    return entry[-1].weighted, *entry[1:]


def _get_occupied(step: Step) -> Demand:
    """Return what a placed task occupies: no CPU if it scavenges."""
    if step.scavenges:
        return Demand(0, step.demand.memory_mb, step.demand.gpus)
    return step.demand

"""Latencies as counts of logarithmic buckets, those of the library ddsketch.

The buckets of all entry VMs are the same, so counts add up.  A quantile is
exact to a fifth of its size, which is enough to say whether callers waited.

>>> latencies = LatencyCounter()
>>> latencies.add(0.5)
>>> round(find_quantile(latencies.list_counts(), 0.5), 1)
0.5
"""

from collections import Counter

from ddsketch.mapping import LogarithmicMapping

from tarragonlb.model.burn import LatencyCounts

RELATIVE_ACCURACY = 0.2
MIN_SECONDS = 0.001
MAX_SECONDS = 3600.0
_MAPPING = LogarithmicMapping(RELATIVE_ACCURACY)


class LatencyCounter:
    """Counts latencies in seconds."""

    __slots__ = ('_counts',)

    def __init__(self) -> None:
        """Start without any."""
        self._counts: Counter[int] = Counter()

    def add(self, seconds: float) -> None:
        """Count one latency."""
        clamped = min(max(seconds, MIN_SECONDS), MAX_SECONDS)
        self._counts[_MAPPING.key(clamped)] += 1

    def list_counts(self) -> LatencyCounts:
        """Return pairs of bucket and count, in the order of the buckets."""
        return tuple(sorted(self._counts.items()))


def find_quantile(counts: LatencyCounts, share: float) -> float | None:
    """Return the latency in seconds that a share of answers stays below.

    The counts are in the order of their buckets; None if there are none.
    """
    rank = share * sum(count for _, count in counts)
    seen = 0
    for key, count in counts:
        seen += count
        if seen >= rank:
            seconds: float = _MAPPING.value(key)
            return seconds
    return None

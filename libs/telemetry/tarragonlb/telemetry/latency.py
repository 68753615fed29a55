"""Latency histograms with the logarithmic buckets of the library ddsketch.

All entry VMs use the same buckets, so their counts can be added.  A quantile
has a relative error of at most a fifth, which is enough to tell whether callers
had to wait.

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
_BUCKET_MAPPING = LogarithmicMapping(RELATIVE_ACCURACY)


class LatencyCounter:
    """Counts latencies per bucket."""

    __slots__ = ('_counts',)

    def __init__(self) -> None:
        """Create an empty histogram."""
        self._counts: Counter[int] = Counter()

    def add(self, seconds: float) -> None:
        """Count one latency, limited to the range of the buckets."""
        clamped = min(max(seconds, MIN_SECONDS), MAX_SECONDS)
        self._counts[_BUCKET_MAPPING.key(clamped)] += 1

    def list_counts(self) -> LatencyCounts:
        """Return pairs of bucket key and count, sorted by key."""
        return tuple(sorted(self._counts.items()))


def find_quantile(counts: LatencyCounts, share: float) -> float | None:
    """Return the latency in seconds that a share of answers stays below.

    ``counts`` must be sorted by bucket key.  Return None if it is empty.
    """
    rank = share * sum(count for _, count in counts)
    cumulative = 0
    for key, count in counts:
        cumulative += count
        if cumulative >= rank:
            seconds: float = _BUCKET_MAPPING.value(key)
            return seconds
    return None

"""How many requests one entry VM may have at the endpoints of a pool.

Several entry VMs share the slots of each endpoint and don't talk about it.
Each starts from a part of the declared slots, adds a little for every full
window of answers, and takes a tenth off when an endpoint refuses a request for
want of a slot.  The declared slots are the upper bound, so that no behaviour
goes beyond a setting; what endpoints really take is found below it.
"""

INITIAL_SHARE = 0.25
DECREASE_FACTOR = 0.9
MIN_LIMIT = 1.0
USED_SHARE = 0.8


class ConcurrencyLimit:
    """A limit between 1 and the declared slots; 0 with no endpoint."""

    __slots__ = ('_shrunk_at', '_size', 'declared')

    def __init__(self) -> None:
        """Start without any endpoint."""
        self.declared = 0
        self._size = 0.0
        self._shrunk_at = float('-inf')

    @property
    def size(self) -> int:
        """Return how many requests may be at endpoints at once."""
        return int(self._size)

    def declare(self, slots: int) -> None:
        """Take over the declared slots, in proportion to the old ones."""
        if self.declared and slots:
            scaled = self._size * slots / self.declared
        else:
            scaled = slots * INITIAL_SHARE
        lowest = min(MIN_LIMIT, slots)
        self.declared = slots
        self._size = min(max(scaled, lowest), slots)

    def grow(self, active: int) -> None:
        """Count an answer that came while so many requests were active."""
        if active >= self._size * USED_SHARE:
            self._size = min(self.declared, self._size + 1 / self._size)

    def shrink(self, now: float, service_seconds: float) -> None:
        """Count a refusal for want of a slot, once a service time."""
        if now - self._shrunk_at < service_seconds:
            return
        self._shrunk_at = now
        lowest = min(MIN_LIMIT, self.declared)
        self._size = max(lowest, self._size * DECREASE_FACTOR)

"""Concurrency limit of one entry VM for the endpoints of a pool.

Several entry VMs share the slots of each endpoint without coordination.  Each
starts with a part of the declared slots and reduces its limit by a twentieth
when an endpoint refuses a request for lack of a slot.  For every full window of
answers it raises the limit by a step.  The step doubles with each window and is
reset to its minimum by a refusal, so full endpoints are seldom probed for more
and free ones are found quickly.  The declared slots are the upper bound, so the
limit never exceeds a setting; what the endpoints really accept is found below
it.
"""

INITIAL_SHARE = 0.25
DECREASE_FACTOR = 0.95
MIN_LIMIT = 1.0
MIN_USED_SHARE = 0.8
MIN_STEP = 0.05
MAX_STEP = 2.0


class ConcurrencyLimit:
    """A limit between 1 and the declared slots; 0 without endpoints."""

    __slots__ = ('_shrunk_at', '_size', '_step', 'declared')

    def __init__(self) -> None:
        """Start without endpoints."""
        self.declared = 0
        self._size = 0.0
        self._shrunk_at = float('-inf')
        self._step = MAX_STEP

    @property
    def size(self) -> int:
        """Return how many requests may be active at once."""
        return int(self._size)

    def resize(self, slots: int) -> None:
        """Set the declared slots and scale the limit in proportion."""
        if self.declared and slots:
            scaled = self._size * slots / self.declared
        else:
            scaled = slots * INITIAL_SHARE
        minimum = min(MIN_LIMIT, slots)
        self.declared = slots
        self._size = min(max(scaled, minimum), slots)

    def grow(self, active: int) -> None:
        """Record an answer that came while so many requests were active."""
        if not self._size or active < self._size * MIN_USED_SHARE:
            return
        window = max(self._size, 1)
        self._size = min(self.declared, self._size + self._step / window)
        self._step = min(MAX_STEP, self._step * (1 + 1 / window))

    def shrink(self, now: float, service_seconds: float) -> None:
        """Record a refusal for lack of a slot.

        The limit shrinks at most once in ``service_seconds``.
        """
        if now - self._shrunk_at < service_seconds:
            return
        self._shrunk_at = now
        minimum = min(MIN_LIMIT, self.declared)
        self._size = max(minimum, self._size * DECREASE_FACTOR)
        self._step = MIN_STEP

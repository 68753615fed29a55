"""Backoff of a worker that refuses starts.

A worker may answer polls and refuse starts, as one that is unhealthy or takes
no more connections does.  It would stay the first choice, as it is empty.  A
start that it leaves unanswered counts like one that it refuses.

>>> backoff = StartBackoff()
>>> backoff.note_refusal(now=10.0, seconds=0.3)
>>> backoff.is_waiting(10.2), backoff.is_waiting(10.4), backoff.refusals
(True, False, 1)
"""

# Limits the backoff to 4 times the first one.
MAX_DOUBLINGS = 2


class StartBackoff:
    """When a worker that refused starts may be tried again.

    ``refusals`` counts them since the last start that the worker accepted;
    those that were on their way together count once.  ``accepted_at`` is when
    it accepted the last start, None if it has not.
    """

    __slots__ = ('_until', 'accepted_at', 'refusals')

    def __init__(self) -> None:
        """Begin without a refusal."""
        self.refusals = 0
        self._until = 0.0
        self.accepted_at: float | None = None

    def note_refusal(self, now: float, seconds: float) -> None:
        """Wait for ``seconds``, doubled for each refusal in a row."""
        if not self.is_waiting(now):
            doublings = min(self.refusals, MAX_DOUBLINGS)
            self.refusals += 1
            self._until = now + seconds * 2**doublings

    def note_start(self, now: float) -> None:
        """Forget the refusals, as a start was accepted."""
        self.refusals = 0
        self._until = 0
        self.accepted_at = now

    def is_waiting(self, now: float) -> bool:
        """Return whether no start may be tried yet."""
        return now < self._until

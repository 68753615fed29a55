"""Which workers are over because another one has their address.

A worker that is lost may begin again under its id, at its address, and execute
what was meant for it before.  Once the directory has shown another worker at
that address, a call that is still on its way is refused there.

>>> history = AddressHistory()
>>> history.note('w1', '10.0.0.1:80', now=0.0)
>>> history.note('w2', '10.0.0.1:80', now=5.0)
>>> list(history.replaced)
['w1']
"""

# Far longer than a call may be late.
RETENTION_SECONDS = 60.0
MAX_ADDRESSES = 100_000


class AddressHistory:
    """The last worker at each address, and those that it replaced.

    ``replaced`` maps the ids of replaced workers to when that was read, in
    seconds on one clock of the caller.
    """

    __slots__ = ('_last_ids', 'replaced')

    def __init__(self) -> None:
        """Start without any address."""
        self._last_ids: dict[str, str] = {}
        self.replaced: dict[str, float] = {}

    def note(self, worker_id: str, address: str, now: float) -> None:
        """Take note of an entry of the directory that was read at ``now``."""
        if not address:
            return
        former = self._last_ids.pop(address, worker_id)
        self._last_ids[address] = worker_id
        if former != worker_id:
            self.replaced[former] = now
            self._forget_old(now)
        self.replaced.pop(worker_id, None)

    def _forget_old(self, now: float) -> None:
        """Limit what is kept, the oldest first."""
        while len(self._last_ids) > MAX_ADDRESSES:
            self._last_ids.pop(next(iter(self._last_ids)))
        oldest = now - RETENTION_SECONDS
        self.replaced = {
            worker_id: read_at
            for worker_id, read_at in self.replaced.items()
            if read_at >= oldest
        }

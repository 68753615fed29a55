"""How many orders a daemon may have under way, by how long orders take.

Orders that are begun at once wait for each other and for the processor.  As
long as they are answered within a target, more of them are allowed; once they
take longer, fewer are.  Orders begun before the limit was lowered say nothing
about the lower limit, so they do not lower it again.
"""

from tarragonlb.controller.settings import ControllerSettings

START_LIMIT = 32
DECREASE_FACTOR = 0.7


class OrderLimit:
    """A limit that rises by one per quick order and falls by a factor.

    >>> limit.record(entered_at=1.0, under_way=32, now=1.02)  # doctest: +SKIP
    >>> limit.orders  # doctest: +SKIP
    33
    """

    __slots__ = ('_lowered_at', '_settings', 'orders')

    def __init__(self, settings: ControllerSettings) -> None:
        """Start between the bounds that ``settings`` give."""
        self._settings = settings
        self._lowered_at = 0.0
        self.orders = START_LIMIT

    def record(self, entered_at: float, under_way: int, now: float) -> None:
        """Record an order that was sent at ``entered_at`` and answered now.

        ``under_way`` orders, this one included, are under way.  The limit rises
        only while it is reached.
        """
        settings = self._settings
        if now - entered_at <= settings.order_target_seconds:
            if under_way >= self.orders:
                raised = self.orders + 1
                self.orders = min(raised, settings.max_orders_under_way)
        elif entered_at >= self._lowered_at:
            lowered = int(self.orders * DECREASE_FACTOR)
            self.orders = max(lowered, settings.min_orders_under_way)
            self._lowered_at = now

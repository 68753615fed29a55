"""What the calls of one owner to one worker may still do."""

from tarragonlb.controller.calllog import Call, CallLog
from tarragonlb.controller.lease import WorkerLease
from tarragonlb.controller.ports import OrderReply, StatusReply
from tarragonlb.scheduling.orders import OrderResult


class WorkerContact:
    """The calls to one worker, and what its incarnations have answered."""

    __slots__ = ('_incarnation', '_log', '_term', '_under_way', 'lease')

    def __init__(self, worker_id: str, term: int) -> None:
        """Start without contact; calls are sent under ``term``."""
        self._term = term
        self._log = CallLog(worker_id)
        self._incarnation: int | None = None
        self._under_way: list[Call] = []
        self.lease = WorkerLease()

    def begin(
        self, kind: str, lease_until_ms: int | None = None, attempt: str = ''
    ) -> Call:
        """Return a call that is about to be sent."""
        call = Call(
            kind, self._term, self._incarnation, lease_until_ms, attempt
        )
        self._under_way.append(call)
        return call

    def note_order_reply(
        self, call: Call, reply: OrderReply, now: float
    ) -> None:
        """Take note of what became of an order."""
        self._under_way.remove(call)
        if reply.result is OrderResult.UNANSWERED:
            self._log.note_unanswered(call, now)

    def note_report(self, call: Call, reply: StatusReply) -> None:
        """Take note of the answer to a status request."""
        self._under_way.remove(call)
        report = reply.report
        former, self._incarnation = self._incarnation, report.incarnation
        if former is not None and former != report.incarnation:
            self._log.log_incarnation(
                former, report.incarnation, self._under_way
            )
        self._log.log_collected(report.received_at)
        self.lease.record_reply(reply.clock_ms, report.received_at)

    def note_failure(
        self, call: Call, result: OrderResult, failures: int, now: float
    ) -> None:
        """Take note of a status request that failed.

        ``failures`` is how many failed in a row before it.
        """
        self._under_way.remove(call)
        if result is OrderResult.UNANSWERED and not failures:
            self._log.note_unanswered(call, now)

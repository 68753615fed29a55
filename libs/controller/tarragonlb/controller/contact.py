"""What the calls of one owner to one worker may still do.

A worker may restart under its id.  The next incarnation executes what was meant
for the former one, and knows nothing of before.  Which incarnation executed a
call is known only from the answer: a report names it, and the clock in the
answer to an order goes back.

The numbers of ends begin anew with each incarnation.  So ends are acknowledged
only while no call is open, that is, without an answer and not followed by a
report.  An acknowledgement is sent until a report has confirmed it: a request
that arrives late has then mostly nothing to acknowledge.
"""

from tarragonlb.controller.calllog import Call, CallLog
from tarragonlb.controller.lease import WorkerLease
from tarragonlb.controller.ports import OrderReply, StatusReply
from tarragonlb.scheduling.orders import OrderResult
from tarragonlb.scheduling.settings import SchedulingSettings
from tarragonlb.scheduling.worker import WorkerReport


class WorkerContact:
    """The calls to one worker, and what its incarnations have answered.

    An incarnation is read once a report of it has been received.
    """

    __slots__ = (
        '_acknowledged',
        '_confirmed_end',
        '_has_open_call',
        '_incarnation',
        '_log',
        '_settings',
        '_term',
        '_under_way',
        '_unread_at',
        'lease',
    )

    def __init__(
        self, worker_id: str, term: int, settings: SchedulingSettings
    ) -> None:
        """Start without contact; calls are sent under ``term``."""
        self._term = term
        self._settings = settings
        self._log = CallLog(worker_id)
        self._incarnation: int | None = None
        self._acknowledged: tuple[int | None, int] = (None, 0)
        self._confirmed_end = 0
        self._has_open_call = False
        self._under_way: list[Call] = []
        # When a call that carries a lease may last have been executed by an
        # incarnation that has not been read since.
        self._unread_at: float | None = None
        self.lease = WorkerLease()

    def acknowledge_ends(self, incarnation: int | None, number: int) -> None:
        """Acknowledge the ends of an incarnation up to ``number``."""
        self._acknowledged = (incarnation, number)

    def has_acknowledged(self, report: WorkerReport) -> bool:
        """Return whether all ends that a report lists are acknowledged."""
        last = (report.incarnation, report.ended[-1].number)
        return self._acknowledged == last

    def choose_acknowledged_end(self) -> int:
        """Return up to which number a status request acknowledges ends now."""
        incarnation, number = self._acknowledged
        if self._has_open_call or incarnation != self._incarnation:
            return 0
        return 0 if number <= self._confirmed_end else number

    def begin(
        self, kind: str, lease_until_ms: int | None = None, attempt: str = ''
    ) -> Call:
        """Return a call that is about to be sent."""
        call = Call(
            kind,
            self._term,
            self._incarnation,
            lease_until_ms,
            self.lease.clock_ms or 0,
            attempt,
        )
        self._under_way.append(call)
        return call

    def note_order_reply(
        self, call: Call, reply: OrderReply, now: float
    ) -> OrderResult:
        """Take note of what became of an order, and return its result.

        An order that another incarnation than the last one read has carried out
        counts as unanswered: only a report shows what that runs.
        """
        self._under_way.remove(call)
        if reply.result is OrderResult.UNANSWERED:
            self._note_unanswered(call, now)
        elif reply.result is OrderResult.DONE and _is_of_other(call, reply):
            self._note_unread(call, now)
            return OrderResult.UNANSWERED
        return reply.result

    def note_report(
        self, call: Call, reply: StatusReply, acknowledged_end: int
    ) -> None:
        """Take note of the answer to a status request.

        The request has acknowledged ends up to ``acknowledged_end``.
        """
        self._under_way.remove(call)
        report = reply.report
        former, self._incarnation = self._incarnation, report.incarnation
        is_new = former is not None and former != report.incarnation
        if former is not None and is_new:
            self._log.log_incarnation(
                former, report.incarnation, self._under_way
            )
            self.lease.forget()
            self._confirmed_end = 0
        else:
            self._confirmed_end = max(self._confirmed_end, acknowledged_end)
        self._log.log_collected(report.received_at)
        self.lease.record_reply(reply.clock_ms, report.received_at)
        if is_new or self._has_calls_for_former():
            self.lease.assume(self._settings.max_lease_seconds)
        self._unread_at = None
        self._has_open_call = False

    def note_failure(
        self, call: Call, result: OrderResult, failures: int, now: float
    ) -> None:
        """Take note of a status request that failed.

        ``failures`` is how many failed in a row before it.
        """
        self._under_way.remove(call)
        if result is not OrderResult.UNANSWERED:
            return
        if failures:
            self._note_unread(call, now)
        else:
            self._note_unanswered(call, now)

    def compute_unread_expiry(self) -> float:
        """Return when the leases of incarnations not read have expired.

        0 if no call has been left that such an incarnation may have executed.
        """
        if self._unread_at is None:
            return 0.0
        return self._unread_at + self._settings.compute_longest_lease()

    def _note_unanswered(self, call: Call, now: float) -> None:
        self._log.note_unanswered(call, now)
        self._note_unread(call, now)

    def _note_unread(self, call: Call, now: float) -> None:
        self._has_open_call = True
        if call.lease_until_ms is not None:
            self._unread_at = now

    def _has_calls_for_former(self) -> bool:
        return any(
            call.incarnation != self._incarnation for call in self._under_way
        )


def _is_of_other(call: Call, reply: OrderReply) -> bool:
    """Return whether the worker's clock went back after a call was sent."""
    return reply.clock_ms is not None and reply.clock_ms < call.sent_clock_ms

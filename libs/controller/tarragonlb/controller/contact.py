"""What the calls of one owner to one worker may still do.

A worker may restart under its id.  The next incarnation executes what was meant
for the former one, and knows nothing of before.  Which incarnation executed a
call is known only from the answer: a report names it, and the clock in the
answer to an order goes back.

A call without an answer may also be executed seconds later, after newer ones.
What shuts it out is a fencing token that is higher: each such call, and each
new incarnation, raises the token of all calls that follow.  A report under the
raised token is final.  What was sent under a lower one and is not listed never
runs on that incarnation.

The numbers of ends begin anew with each incarnation.  So ends are acknowledged
only while no call is open, that is, without an answer and not followed by a
final report.  An acknowledgement is sent until a report has confirmed it, so
most requests that arrive late have none.  One with an acknowledgement is
followed by a higher token, under which the next orders are sent: it can't make
an incarnation forget how those ended.
"""

from tarragonlb.controller.calllog import STATUS, Call, CallLog
from tarragonlb.controller.fencingtoken import FencingTokens
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
        '_incarnation',
        '_log',
        '_may_hold_former_lease',
        '_must_raise',
        '_open_token',
        '_read_token',
        '_settings',
        '_token',
        '_tokens',
        '_under_way',
        '_unread_at',
        'lease',
    )

    def __init__(
        self,
        worker_id: str,
        tokens: FencingTokens,
        settings: SchedulingSettings,
    ) -> None:
        """Start without contact; calls are sent under ``tokens``."""
        self._tokens = tokens
        self._token = 0
        self._must_raise = True
        # The highest tokens of an open call and of a report.
        self._open_token = 0
        self._read_token = 0
        self._settings = settings
        self._log = CallLog(worker_id)
        self._incarnation: int | None = None
        self._acknowledged: tuple[int | None, int] = (None, 0)
        self._confirmed_end = 0
        self._under_way: list[Call] = []
        # When a call that carries a lease may last have been executed by an
        # incarnation that has not been read since.
        self._unread_at: float | None = None
        self._may_hold_former_lease = True
        self.lease = WorkerLease()

    @property
    def has_open_calls(self) -> bool:
        """Return whether a call may be executed that no report has settled."""
        return self._read_token <= self._open_token

    def is_outdated(self, call: Call) -> bool:
        """Return whether a newer call may have shut out this one."""
        return call.token < self._token

    def acknowledge_ends(self, incarnation: int | None, number: int) -> None:
        """Acknowledge the ends of an incarnation up to ``number``."""
        self._acknowledged = (incarnation, number)

    def has_acknowledged(self, report: WorkerReport) -> bool:
        """Return whether all ends that a report lists are acknowledged."""
        last = (report.incarnation, report.ended[-1].number)
        return self._acknowledged == last

    def begin_order(
        self, kind: str, attempt: str, lease_until_ms: int | None
    ) -> Call:
        """Return an order that is about to be sent."""
        return self._begin(
            Call(
                kind,
                self._raise_token(),
                self._incarnation,
                lease_until_ms,
                self.lease.clock_ms or 0,
                attempt,
            )
        )

    def begin_status(self, lease_until_ms: int | None) -> Call:
        """Return a status request that is about to be sent."""
        acknowledged_end = self._choose_acknowledged_end()
        call = Call(
            STATUS,
            self._raise_token(),
            self._incarnation,
            lease_until_ms,
            acknowledged_end=acknowledged_end,
        )
        self._must_raise = bool(acknowledged_end)
        return self._begin(call)

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
        elif _is_of_other(call, reply):
            if not self.has_open_calls:
                self._log.log_other_incarnation(call, reply.clock_ms)
            self._note_unread(call, now)
            if reply.result is OrderResult.DONE:
                return OrderResult.UNANSWERED
        return reply.result

    def note_report(self, call: Call, reply: StatusReply) -> None:
        """Take note of the answer to a status request."""
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
            self._confirmed_end = max(
                self._confirmed_end, call.acknowledged_end
            )
        self._log.log_collected(report.received_at)
        self.lease.record_reply(reply.clock_ms, report.received_at)
        self._may_hold_former_lease |= is_new
        if self._may_hold_former_lease:
            self.lease.assume(self._settings.max_lease_seconds)
        if is_new:
            self._open(self._token)
        self._read_token = call.token
        if not self.has_open_calls:
            self._unread_at = None
            self._may_hold_former_lease = False

    def note_failure(
        self, call: Call, result: OrderResult, failures: int, now: float
    ) -> None:
        """Take note of a status request that failed.

        ``failures`` is how many failed in a row before it.
        """
        self._under_way.remove(call)
        if result is OrderResult.UNANSWERED and failures:
            self._note_unread(call, now)
        elif result is OrderResult.UNANSWERED:
            self._note_unanswered(call, now)

    def compute_unread_expiry(self) -> float:
        """Return when the leases of incarnations not read have expired.

        0 if no call has been left that such an incarnation may have executed.
        """
        if self._unread_at is None:
            return 0.0
        return self._unread_at + self._settings.compute_longest_lease()

    def _begin(self, call: Call) -> Call:
        self._under_way.append(call)
        return call

    def _raise_token(self) -> int:
        """Return the token of the next call, which may shut out others."""
        if self._must_raise:
            self._token = self._tokens.find_next()
            self._must_raise = False
        return self._token

    def _choose_acknowledged_end(self) -> int:
        incarnation, number = self._acknowledged
        if self.has_open_calls or incarnation != self._incarnation:
            return 0
        return 0 if number <= self._confirmed_end else number

    def _note_unanswered(self, call: Call, now: float) -> None:
        self._log.note_unanswered(call, now)
        self._note_unread(call, now)

    def _note_unread(self, call: Call, now: float) -> None:
        self._open(call.token)
        if call.lease_until_ms is not None:
            self._unread_at = now

    def _open(self, token: int) -> None:
        """Have later calls shut out those up to ``token``."""
        self._open_token = max(self._open_token, token)
        self._must_raise = True


def _is_of_other(call: Call, reply: OrderReply) -> bool:
    """Return whether the worker's clock went back after a call was sent."""
    return reply.clock_ms is not None and reply.clock_ms < call.sent_clock_ms

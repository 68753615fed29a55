"""State of a request from its admission to its end."""

from tarragonlb.model.invariant import ensure
from tarragonlb.model.verdict import Verdict
from tarragonlb.routing.balancer import Endpoint
from tarragonlb.routing.endpointhealth import Outcome
from tarragonlb.routing.request import RequestInfo

FINAL_OUTCOMES = frozenset(
    (Outcome.ANSWERED, Outcome.FAILED, Outcome.CUT, Outcome.ABANDONED)
)
OVERLOAD_OUTCOMES = frozenset((Outcome.BUSY, Outcome.TIMED_OUT))
CONNECTION_FAULTS = frozenset((Outcome.BROKEN, Outcome.SILENT))
_NEVER_RAN = frozenset((Outcome.BUSY, Outcome.NOT_SENT))
# The first may be a connection that was stale.
MAX_CONNECTION_FAULTS = 3


class RequestState:
    """A request that has not ended.

    ``verdict`` tells whether it may have run.  It is "may have run" while an
    attempt is in progress; if the endpoint refused the attempt before it ran,
    or was never reached, the previous verdict is restored.
    ``needs_new_connection`` is set once an attempt has failed.
    ``connection_faults`` counts attempts whose endpoint broke off or fell
    silent, which the request itself may have caused.
    """

    __slots__ = (
        '_previous_verdict',
        'connection_faults',
        'endpoint',
        'needs_new_connection',
        'refusals',
        'request',
        'sent_at',
        'tried_vm_ids',
        'verdict',
    )

    def __init__(self, request: RequestInfo) -> None:
        """Start without an attempt."""
        self.request = request
        self.verdict = Verdict.NOT_RUN
        self.endpoint: Endpoint | None = None
        self.sent_at = 0.0
        self.refusals = 0
        self.connection_faults = 0
        self.needs_new_connection = False
        self.tried_vm_ids: frozenset[str] = frozenset()
        self._previous_verdict = Verdict.NOT_RUN

    def can_send(self) -> bool:
        """Return whether the verdict and the faults allow another attempt."""
        if self.connection_faults >= MAX_CONNECTION_FAULTS:
            return False
        idempotent = self.request.idempotent
        return self.verdict.allows_retry(idempotent=idempotent)

    def start_attempt(self, endpoint: Endpoint, now: float) -> None:
        """Record the start of an attempt."""
        request_id = self.request.request_id
        ensure(self.can_send(), 'the verdict allows the attempt', request_id)
        ensure(
            self.endpoint is None,
            'a request has one attempt at a time',
            request_id,
        )
        self._previous_verdict = self.verdict
        self.verdict = Verdict.MAY_HAVE_RUN
        self.endpoint = endpoint
        self.sent_at = now
        self.tried_vm_ids |= {endpoint.vm_id}

    def end_attempt(self, outcome: Outcome) -> Endpoint | None:
        """Record the end of the attempt and return its endpoint, if any."""
        endpoint = self.endpoint
        self.endpoint = None
        self.refusals += outcome is Outcome.BUSY
        self.connection_faults += outcome in CONNECTION_FAULTS
        self.needs_new_connection |= outcome is not Outcome.BUSY
        if outcome in _NEVER_RAN:
            self.verdict = self._previous_verdict
        return endpoint

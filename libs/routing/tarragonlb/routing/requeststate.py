"""A request from its admission to its end, with what is known of it."""

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


class RequestState:
    """A request that has not ended.

    ``verdict`` is what is known of it.  While an attempt is on its way that is
    "may have run"; an endpoint that refused before it ran, or was never
    reached, takes it back to what it was before.  ``needs_fresh`` says that an
    attempt has failed, so that the next one takes a new connection.
    """

    __slots__ = (
        '_before',
        'endpoint',
        'needs_fresh',
        'refusals',
        'request',
        'sent_at',
        'tried',
        'verdict',
    )

    def __init__(self, request: RequestInfo) -> None:
        """Start without any attempt."""
        self.request = request
        self.verdict = Verdict.NOT_RUN
        self.endpoint: Endpoint | None = None
        self.sent_at = 0.0
        self.refusals = 0
        self.needs_fresh = False
        self.tried: frozenset[str] = frozenset()
        self._before = Verdict.NOT_RUN

    def may_send(self) -> bool:
        """Return whether the verdict allows an attempt."""
        idempotent = self.request.idempotent
        return self.verdict.allows_retry(idempotent=idempotent)

    def begin(self, endpoint: Endpoint, now: float) -> None:
        """Count an attempt that starts."""
        name = self.request.request_id
        ensure(self.may_send(), 'only what the verdict allows is sent', name)
        ensure(self.endpoint is None, 'one attempt at a time', name)
        self._before = self.verdict
        self.verdict = Verdict.MAY_HAVE_RUN
        self.endpoint = endpoint
        self.sent_at = now
        self.tried |= {endpoint.vm_id}

    def end(self, outcome: Outcome) -> Endpoint | None:
        """Count the end of the attempt and return where it was, if any."""
        endpoint = self.endpoint
        self.endpoint = None
        self.refusals += outcome is Outcome.BUSY
        self.needs_fresh |= outcome is not Outcome.BUSY
        if outcome in _NEVER_RAN:
            self.verdict = self._before
        return endpoint

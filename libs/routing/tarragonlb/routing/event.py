"""What the routing front is told."""

from dataclasses import dataclass
from typing import TypeAlias

from tarragonlb.routing.balancer import Endpoint
from tarragonlb.routing.endpointhealth import Outcome
from tarragonlb.routing.request import RequestInfo


@dataclass(frozen=True, slots=True)
class RequestArrived:
    """A caller has sent a request."""

    request: RequestInfo


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """An attempt has ended; ``replayable`` says the body is still at hand."""

    request_id: str
    outcome: Outcome
    reason: str = ''
    replayable: bool = True


@dataclass(frozen=True, slots=True)
class RequestCancelled:
    """The caller doesn't wait any more."""

    request_id: str


@dataclass(frozen=True, slots=True)
class DeadlinePassed:
    """The deadline of a request has passed, wherever it is."""

    request_id: str


@dataclass(frozen=True, slots=True)
class EndpointsChanged:
    """These endpoints may get new requests from now on."""

    endpoints: tuple[Endpoint, ...]


@dataclass(frozen=True, slots=True)
class TimePassed:
    """The time that ``find_next_wake`` has named is there."""


Event: TypeAlias = (
    RequestArrived
    | AttemptEnded
    | RequestCancelled
    | DeadlinePassed
    | EndpointsChanged
    | TimePassed
)

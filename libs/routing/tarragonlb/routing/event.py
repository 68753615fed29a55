"""Events that the router handles."""

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
    """An attempt has ended.

    ``replayable`` tells whether the request body can still be sent again.
    """

    request_id: str
    outcome: Outcome
    reason: str = ''
    replayable: bool = True


@dataclass(frozen=True, slots=True)
class RequestCancelled:
    """The caller no longer waits for an answer."""

    request_id: str


@dataclass(frozen=True, slots=True)
class DeadlinePassed:
    """The deadline of a request has passed, whether it is queued or sent."""

    request_id: str


@dataclass(frozen=True, slots=True)
class EndpointsChanged:
    """The set of endpoints that accept new requests has changed."""

    endpoints: tuple[Endpoint, ...]


@dataclass(frozen=True, slots=True)
class TimePassed:
    """The time returned by ``find_next_wake`` has come."""


Event: TypeAlias = (
    RequestArrived
    | AttemptEnded
    | RequestCancelled
    | DeadlinePassed
    | EndpointsChanged
    | TimePassed
)

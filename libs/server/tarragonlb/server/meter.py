"""Counts the connections of a server."""

import enum
from collections import Counter
from collections.abc import Iterable

from opentelemetry.metrics import CallbackOptions, Observation, get_meter

from tarragonlb.telemetry.metrics import CONNECTIONS, METER_NAME


class ConnectionEvent(enum.StrEnum):
    """What happened to a connection; a connection may have several."""

    OPENED = 'opened'
    # There was no room for the connection.
    REFUSED = 'refused'
    # It was idle and made room for another one.
    EVICTED = 'evicted'
    # It ended by an error of the program.
    FAILED = 'failed'
    # The client sent what is not HTTP/1.1, or closed amid a request.
    MALFORMED = 'malformed'
    # The client took too long to send a request.
    SLOW_REQUEST = 'slow_request'
    # The client took too long to read a response.
    SLOW_READER = 'slow_reader'
    # A request was not passed to the application, as the server stops.
    REJECTED = 'rejected'
    # A request was answered before it was done, as the server stops.
    CONCLUDED = 'concluded'
    # It ended before a whole request that had been read was answered.
    UNANSWERED = 'unanswered'


class ConnectionMeter:
    """The counts of this process, which are read when metrics are collected."""

    __slots__ = ('_counts',)

    def __init__(self) -> None:
        """Register the counts with the meter provider of the process."""
        self._counts: Counter[ConnectionEvent] = Counter()
        get_meter(METER_NAME).create_observable_counter(
            CONNECTIONS.name,
            [self.observe],
            CONNECTIONS.unit,
            CONNECTIONS.description,
        )

    def count(self, event: ConnectionEvent) -> None:
        """Add one connection to the count of an event."""
        self._counts[event] += 1

    def get_count(self, event: ConnectionEvent) -> int:
        """Return how many connections had an event."""
        return self._counts[event]

    def observe(self, options: CallbackOptions) -> Iterable[Observation]:
        """Yield the count of each event."""
        for event, number in self._counts.items():
            yield Observation(number, {'event': event.value})


CONNECTION_METER = ConnectionMeter()

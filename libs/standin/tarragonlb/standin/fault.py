"""Faults that can be enabled in the stand-ins.

The daemons of each availability zone call the stand-ins at a loopback address
of their own, so the stand-ins isolate a zone by the address that a call
arrives at.
"""

import enum
from dataclasses import dataclass
from typing import Generic, TypeVar

import trio

FaultsT = TypeVar('FaultsT')


@dataclass(frozen=True, slots=True, kw_only=True)
class PlatformFaults:
    """Faults of the platform stand-in.

    ``log_down`` refuses every call to the log, ``fleet_down`` every call to
    the fleet, and ``acts_down`` every action on the fleet.  ``slow_seconds``
    delays each call.  ``lose_answers`` is the number of responses to drop
    after an append or an action took effect.  Calls that arrive at
    ``cut_hosts`` get no response and, if they arrive during the fault, have
    no effect.  VMs in ``gone_racks`` are reported as gone and cannot be
    reached.
    """

    log_down: bool = False
    acts_down: bool = False
    fleet_down: bool = False
    slow_seconds: float = 0
    lose_answers: int = 0
    cut_hosts: tuple[str, ...] = ()
    gone_racks: tuple[str, ...] = ()


class EndpointMode(enum.StrEnum):
    """How an endpoint treats requests.

    A silent endpoint accepts requests and neither runs nor answers them.  A
    mute one runs them but does not answer.  A failing one responds with an
    error at once, a slow one responds late, and a truncating one closes the
    connection in the middle of the response.
    """

    HEALTHY = 'healthy'
    SILENT = 'silent'
    MUTE = 'mute'
    FAILING = 'failing'
    SLOW = 'slow'
    TRUNCATING = 'truncating'


@dataclass(frozen=True, slots=True, kw_only=True)
class EndpointFaults:
    """Faults of an endpoint; calls at ``cut_hosts`` get no response."""

    mode: EndpointMode = EndpointMode.HEALTHY
    cut_hosts: tuple[str, ...] = ()


class FaultSwitch(Generic[FaultsT]):
    """Holds the current faults and wakes waiting tasks when they change."""

    __slots__ = ('_changed', 'faults')

    def __init__(self, faults: FaultsT) -> None:
        """Start with the given faults."""
        self.faults = faults
        self._changed = trio.Event()

    def replace_faults(self, faults: FaultsT) -> None:
        """Replace the faults and wake the waiting tasks."""
        self.faults = faults
        self._changed.set()
        self._changed = trio.Event()

    async def wait_for_change(self) -> None:
        """Wait for the next change."""
        await self._changed.wait()

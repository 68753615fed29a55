"""PlatformFaults that can be switched on in the stand-ins.

Every availability zone calls the stand-ins at a loopback address of its own,
so a zone is cut off by the address at which its calls arrive.
"""

import enum
from dataclasses import dataclass
from typing import Generic, TypeVar

import trio

FaultsT = TypeVar('FaultsT')


@dataclass(frozen=True, slots=True, kw_only=True)
class PlatformFaults:
    """What goes wrong in the platform at present.

    ``log_down`` refuses every call to the log, ``fleet_down`` every other
    one, and ``acts_down`` those of them that change anything.
    ``slow_seconds`` delays each call, and ``lose_answers`` drops that many
    answers after an append or an act took effect.  Calls that arrive at
    ``cut_hosts`` have no effect and no answer.  VMs in ``gone_racks`` can't
    be seen or reached.
    """

    log_down: bool = False
    acts_down: bool = False
    fleet_down: bool = False
    slow_seconds: float = 0
    lose_answers: int = 0
    cut_hosts: tuple[str, ...] = ()
    gone_racks: tuple[str, ...] = ()


class EndpointMode(enum.StrEnum):
    """Say how an endpoint treats requests.

    A silent one accepts and neither runs nor answers, a mute one runs and
    doesn't answer, a failing one answers with an error at once, and a
    truncating one ends its connection in the middle of an answer.
    """

    HEALTHY = 'healthy'
    SILENT = 'silent'
    MUTE = 'mute'
    FAILING = 'failing'
    SLOW = 'slow'
    TRUNCATING = 'truncating'


@dataclass(frozen=True, slots=True, kw_only=True)
class EndpointFaults:
    """What goes wrong in an endpoint at present."""

    mode: EndpointMode = EndpointMode.HEALTHY
    cut_hosts: tuple[str, ...] = ()


class FaultSwitch(Generic[FaultsT]):
    """Holds the present faults, and wakes those who wait for a change."""

    __slots__ = ('_changed', 'faults')

    def __init__(self, faults: FaultsT) -> None:
        """Start with some faults."""
        self.faults = faults
        self._changed = trio.Event()

    def set_faults(self, faults: FaultsT) -> None:
        """Replace the faults."""
        self.faults = faults
        self._changed.set()
        self._changed = trio.Event()

    async def wait_for_change(self) -> None:
        """Wait for the next change."""
        await self._changed.wait()

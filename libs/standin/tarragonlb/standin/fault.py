"""Faults that can be switched on in the platform stand-in."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True, kw_only=True)
class Faults:
    """What goes wrong at present.

    ``log_down`` refuses every call to the log, ``slow_seconds`` delays each,
    and ``lose_answers`` drops that many answers after the call took effect.
    """

    log_down: bool = False
    fleet_down: bool = False
    slow_seconds: float = 0
    lose_answers: int = 0

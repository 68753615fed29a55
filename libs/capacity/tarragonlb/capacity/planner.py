"""One round of all decisions on capacity."""

from tarragonlb.capacity.action import Action
from tarragonlb.capacity.adoption import follow_list
from tarragonlb.capacity.maintenance import advance_waves
from tarragonlb.capacity.placement import follow_tasks, place_jobs
from tarragonlb.capacity.view import FleetView
from tarragonlb.model.scribe import Scribe


def decide_round(view: FleetView, scribe: Scribe, now: float) -> list[Action]:
    """Return all actions that the view gives reason for.

    ``now`` is the wall-clock time in seconds, which records carry for people.
    """
    return [
        *follow_list(view, scribe, now),
        *advance_waves(view, scribe, now),
        *follow_tasks(view, scribe, now),
        *place_jobs(view, scribe, now),
    ]

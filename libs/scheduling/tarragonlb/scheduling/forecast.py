"""When the attempts on workers are expected to end, for one round."""

import math

from tarragonlb.scheduling.durations import (
    DurationEstimate,
    DurationEstimates,
    estimate_remaining,
    find_kind,
)
from tarragonlb.scheduling.job import Demand
from tarragonlb.scheduling.partitionstate import PartitionState
from tarragonlb.scheduling.readystep import ReadyStep
from tarragonlb.scheduling.worker import Attachment, WorkerState


class EndForecast:
    """Expects ends by the learned durations, as of the last round's time."""

    __slots__ = (
        '_durations',
        '_estimate',
        '_estimated_step',
        '_last_ends',
        '_partition',
        'now',
    )

    def __init__(self, durations: DurationEstimates) -> None:
        """Use ``durations``, which learn from the partition's reports."""
        self._durations = durations
        self._partition: PartitionState | None = None
        self._last_ends: dict[str, tuple[int, float]] = {}
        self._estimated_step: ReadyStep | None = None
        self._estimate = DurationEstimate(0, 0)
        self.now = 0.0

    def begin_round(self, partition: PartitionState, now: float) -> None:
        """Forget the last round, and look at ``partition`` at ``now``."""
        self._partition = partition
        self._last_ends.clear()
        self._estimated_step = None
        self.now = now

    def estimate_step(self, ready: ReadyStep) -> DurationEstimate:
        """Return how long a task of a step would run."""
        if ready is not self._estimated_step:
            kind = find_kind(
                ready.step, ready.job_state.job.queue, ready.number
            )
            self._estimate = self._durations.estimate(
                kind, ready.step.estimate_seconds
            )
            self._estimated_step = ready
        return self._estimate

    def list_ends(self, worker: WorkerState) -> list[tuple[float, Demand]]:
        """Return the ends that can be expected, and what each sets free."""
        ends = [
            (self._expect_end(attachment), attachment.demand)
            for attachment in worker.attached.values()
        ]
        return sorted((end for end in ends if end[0] < math.inf), key=_get_time)

    def find_last_end(self, worker: WorkerState) -> float:
        """Return the last end that can be expected, or the present time."""
        worker_id = worker.entry.worker_id
        count, last_end = self._last_ends.get(worker_id, (0, self.now))
        if count != len(worker.attached):
            # Within a round, attempts are only added, at the end of the dict.
            added = list(worker.attached.values())[count:]
            known = [
                end for end in map(self._expect_end, added) if end < math.inf
            ]
            last_end = max([last_end, *known])
            self._last_ends[worker_id] = (len(worker.attached), last_end)
        return last_end

    def _expect_end(self, attachment: Attachment) -> float:
        step = attachment.step
        if step.is_permanent or self._partition is None:
            return math.inf
        job_id, _, number = attachment.step_key
        queue = self._partition.jobs[job_id].job.queue
        estimate = self._durations.estimate(
            find_kind(step, queue, number), step.estimate_seconds
        )
        return self.now + estimate_remaining(
            attachment.task, estimate, self.now
        )


def _get_time(end: tuple[float, Demand]) -> float:
    return end[0]

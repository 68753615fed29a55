"""An owner of the simulated partition: a scheduler and what it has granted."""

from collections import Counter

from tarragonlb.scheduling.job import Moment
from tarragonlb.scheduling.placement import PackNearData
from tarragonlb.scheduling.policies import SchedulingPolicies
from tarragonlb.scheduling.queue import Queue
from tarragonlb.scheduling.scheduler import Scheduler
from tarragonlb.scheduling.settings import SchedulingSettings

MEMBER_TTL_SECONDS = 1.6
QUEUE = Queue(name='q', host='h', path_prefix='/q/', pool='p', max_attempts=50)
SETTINGS = SchedulingSettings(
    max_lease_seconds=6.0,
    maintenance_seconds=2.0,
)


class SimulatedOwner:
    def __init__(self, fleet, term):
        self.term = term
        self.valid_until = fleet.now + MEMBER_TTL_SECONDS
        self.contact_at = fleet.now
        self.frozen_until = 0.0
        self.scheduler = Scheduler(
            SETTINGS,
            SchedulingPolicies(
                placement=PackNearData(), bounds_pending_starts=True
            ),
            fleet.now,
        )
        self.granted = {}
        self.clocks = {}
        self.end_acks = {}
        self.failures = Counter()
        self.pending = None
        state = self.scheduler.state
        state.inherit_bounds(fleet.list_bounds())
        state.queues = {'q': QUEUE}
        state.update_workers(worker.entry for worker in fleet.workers)
        for entry in fleet.job_index.list_jobs():
            state.add_job(entry.build_state(Moment(fleet.now)))

"""Metrics of a daemon and of the requests that it serves."""

from collections import Counter

from tarragonlb.daemon.access import AccessTable
from tarragonlb.daemon.burnreporter import BurnReporter
from tarragonlb.daemon.journal import Journal
from tarragonlb.daemon.requestmeter import RequestMeter
from tarragonlb.journal.state import State
from tarragonlb.settings.startup import DaemonSettings
from tarragonlb.telemetry.meter import BurnMeter
from tarragonlb.telemetry.metrics import (
    JOBS,
    LOG_OFFSET,
    VMS_UNAVAILABLE,
    Instruments,
)


class DaemonMetrics:
    """The meter of all requests and the reporter of their counts."""

    __slots__ = ('burn', 'requests')

    def __init__(
        self, settings: DaemonSettings, access: AccessTable, journal: Journal
    ) -> None:
        """Connect meter, reporter and instruments to the journal."""
        meter = BurnMeter()
        self.burn = BurnReporter(settings, journal, meter)
        instruments = Instruments()
        self.requests = RequestMeter(access, journal, meter, instruments)
        journal.observe_commit = instruments.observe_commit
        state = journal.state
        instruments.register_gauge(LOG_OFFSET, lambda: {'global': state.offset})
        instruments.register_gauge(
            VMS_UNAVAILABLE, lambda: count_unavailable(state)
        )
        instruments.register_gauge(JOBS, lambda: count_jobs(state))


def count_unavailable(state: State) -> Counter[str]:
    """Return the number of unavailable VMs by pool."""
    return Counter(vm.pool for vm in state.vms.values() if vm.charge)


def count_jobs(state: State) -> Counter[str]:
    """Return the number of jobs by phase."""
    return Counter(job.phase.value for job in state.jobs.values())

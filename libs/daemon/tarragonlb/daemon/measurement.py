"""What a daemon measures of the requests that it serves."""

from tarragonlb.daemon.access import AccessTable
from tarragonlb.daemon.burntask import BurnTask
from tarragonlb.daemon.journal import Journal
from tarragonlb.daemon.metering import RequestMeter
from tarragonlb.settings.schema import DaemonSettings
from tarragonlb.telemetry.meter import BurnMeter
from tarragonlb.telemetry.metrics import Instruments


class Measurement:
    """The meter that sees each request, and the task that sums up."""

    __slots__ = ('burn', 'requests')

    def __init__(
        self, settings: DaemonSettings, access: AccessTable, journal: Journal
    ) -> None:
        """Put both onto the same counts."""
        meter = BurnMeter()
        self.burn = BurnTask(settings, journal, meter)
        self.requests = RequestMeter(access, journal, meter, Instruments())

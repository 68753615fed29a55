"""Definitions and instruments of the job scheduling metrics.

A process records into one shared ``FLEET_METER``.  Until ``start_metrics`` is
called, its instruments discard their values at negligible cost.
"""

from opentelemetry.metrics import get_meter

from tarragonlb.telemetry.metrics import METER_NAME, Metric

JOB_REQUESTS = Metric(
    'tarragonlb.jobs.requests',
    'counter',
    '{request}',
    ('action', 'verdict'),
    'Jobs that clients handed in or cancelled, by what they were told.',
)
JOBS_REJECTED = Metric(
    'tarragonlb.jobs.rejected',
    'counter',
    '{job}',
    ('cause',),
    'Jobs that were rejected, as they would end too late, by cause.',
)
KEY_CHECKS = Metric(
    'tarragonlb.keys.checks',
    'counter',
    '{request}',
    ('outcome',),
    'Requests of clients whose API key was checked, by outcome.',
)
TASK_STARTS = Metric(
    'tarragonlb.tasks.starts',
    'counter',
    '{attempt}',
    (),
    'Attempts that were placed on a worker.',
)
TASK_STOPS = Metric(
    'tarragonlb.tasks.stops',
    'counter',
    '{order}',
    ('reason',),
    'Orders to stop an attempt, by reason; repeats count.',
)
TASK_ENDS = Metric(
    'tarragonlb.tasks.ends',
    'counter',
    '{attempt}',
    ('how',),
    'Attempts that workers listed as ended.',
)
TASK_RETURNS = Metric(
    'tarragonlb.tasks.returns',
    'counter',
    '{attempt}',
    ('reason',),
    'Tasks that wait again, by the reason that their attempt is over.',
)
TASKS_GIVEN_UP = Metric(
    'tarragonlb.tasks.given_up',
    'counter',
    '{task}',
    (),
    'Tasks that were given up, as workers crashed under them.',
)
WORKER_LOSSES = Metric(
    'tarragonlb.workers.losses',
    'counter',
    '{worker}',
    ('reason',),
    'Workers that were lost with attempts on them, by how that is known.',
)
RESERVATIONS = Metric(
    'tarragonlb.reservations',
    'counter',
    '{reservation}',
    ('event', 'reason'),
    'Reservations of workers for a waiting step that were made or ended.',
)
RESERVED_IDLE_SECONDS = Metric(
    'tarragonlb.reservations.idle',
    'histogram',
    's',
    ('event',),
    'Core-seconds that a reservation kept free, when it ended.',
)
VM_ORDERS = Metric(
    'tarragonlb.vms.orders',
    'counter',
    '{order}',
    ('action', 'result'),
    'VMs that were to be moved or maintained.',
)
TERMS = Metric(
    'tarragonlb.terms',
    'counter',
    '{term}',
    ('change',),
    'Partitions that this daemon began or ceased to own.',
)
TASK_FAILURES = Metric(
    'tarragonlb.process.task_failures',
    'counter',
    '{failure}',
    ('task',),
    'Tasks of the process that ended with an error and were started again.',
)
STORE_SECONDS = Metric(
    'tarragonlb.store.call.duration',
    'histogram',
    's',
    ('call', 'result'),
    'Calls to the store, from sending to the answer or the time-out.',
)
ROUND_SECONDS = Metric(
    'tarragonlb.round.duration',
    'histogram',
    's',
    (),
    'One round of scheduling decisions, without storing it.',
)
ROUND_DELAY_SECONDS = Metric(
    'tarragonlb.round.delay',
    'histogram',
    's',
    (),
    'How much later than planned a round of scheduling decisions started.',
)
REPORT_AGE_SECONDS = Metric(
    'tarragonlb.report.age',
    'histogram',
    's',
    (),
    'Age of the oldest report of a reachable worker, once a second.',
)
IDLE_JOB_SECONDS = Metric(
    'tarragonlb.job.idle',
    'histogram',
    's',
    (),
    'Longest time for which an open job had nothing running, once a second.',
)
STEPS_WAITING = Metric(
    'tarragonlb.steps.waiting',
    'histogram',
    '{step}',
    ('reason',),
    'Ready steps that have waited 2 s without a start, once a second.',
)
ADVICE_CALLS = Metric(
    'tarragonlb.advice.calls',
    'counter',
    '{call}',
    ('outcome',),
    'Calls to the placement policy service, by outcome.',
)
TICKETS_REFUSED = Metric(
    'tarragonlb.advice.tickets.refused',
    'counter',
    '{start}',
    (),
    'Starts that a worker refused for their ticket.',
)
TICKETS_HELD = Metric(
    'tarragonlb.advice.tickets.held',
    'histogram',
    '{ticket}',
    (),
    'Valid tickets that an owner holds, every 5 s.',
)
STEPS_UNADVISED = Metric(
    'tarragonlb.advice.steps.waiting',
    'histogram',
    '{step}',
    (),
    'Ready steps that wait and have no valid ticket, every 5 s.',
)
QUOTA_SHARES = Metric(
    'tarragonlb.quota.shares',
    'counter',
    '{share}',
    ('change',),
    'Shares of caps of tenants that the fleet owner raised or lowered.',
)
QUOTA_REPORTS = Metric(
    'tarragonlb.quota.reports',
    'counter',
    '{report}',
    (),
    'Reports of pool owners on what a tenant occupies and wants.',
)
FLEET_METRICS = (
    JOB_REQUESTS,
    JOBS_REJECTED,
    KEY_CHECKS,
    TASK_STARTS,
    TASK_STOPS,
    TASK_ENDS,
    TASK_RETURNS,
    TASKS_GIVEN_UP,
    WORKER_LOSSES,
    RESERVATIONS,
    RESERVED_IDLE_SECONDS,
    VM_ORDERS,
    TERMS,
    TASK_FAILURES,
    STORE_SECONDS,
    ROUND_SECONDS,
    ROUND_DELAY_SECONDS,
    REPORT_AGE_SECONDS,
    IDLE_JOB_SECONDS,
    STEPS_WAITING,
    ADVICE_CALLS,
    TICKETS_REFUSED,
    TICKETS_HELD,
    STEPS_UNADVISED,
    QUOTA_SHARES,
    QUOTA_REPORTS,
)


class FleetMeter:
    """Records values of the metrics in ``FLEET_METRICS``."""

    __slots__ = ('_counters', '_histograms')

    def __init__(self) -> None:
        """Create an instrument for each metric."""
        meter = get_meter(METER_NAME)
        self._counters = {
            metric.name: meter.create_counter(
                metric.name, metric.unit, metric.description
            )
            for metric in FLEET_METRICS
            if metric.kind == 'counter'
        }
        self._histograms = {
            metric.name: meter.create_histogram(
                metric.name, metric.unit, metric.description
            )
            for metric in FLEET_METRICS
            if metric.kind == 'histogram'
        }

    def count(self, metric: Metric, *labels: str, number: int = 1) -> None:
        """Add to a counter; ``labels`` are in the order of its attributes."""
        attributes = dict(zip(metric.attributes, labels, strict=True))
        self._counters[metric.name].add(number, attributes)

    def record(self, metric: Metric, seconds: float, *labels: str) -> None:
        """Record a duration in a histogram; see ``count`` for ``labels``."""
        attributes = dict(zip(metric.attributes, labels, strict=True))
        self._histograms[metric.name].record(seconds, attributes)


FLEET_METER = FleetMeter()

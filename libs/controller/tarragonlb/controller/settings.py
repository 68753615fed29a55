"""The settings of the controller."""

from dataclasses import dataclass

from tarragonlb.scheduling.settings import SchedulingSettings

# Partition of the records on VM maintenance; pools use the other partitions.
FLEET_PARTITION = 0


@dataclass(frozen=True, slots=True, kw_only=True)
class ControllerSettings:
    """The name, intervals and timeouts of a process.

    Fields without a default come from the platform's settings file.
    """

    name: str
    partitions: int
    holder_lease_seconds: float
    scheduling: SchedulingSettings
    # Clients belong to tenants, which the configuration lists.
    has_tenants: bool = False
    # Owners publish how long new jobs wait, and jobs that can't be done in time
    # are rejected.
    rejects_hopeless_jobs: bool = False
    # Known keys are refused too once the configuration was last confirmed
    # longer than this ago, so that a daemon that can't read the store stops
    # serving keys that were withdrawn.
    strict_revoke: bool = False
    revoke_seconds: float = 5.0
    # Capacity of the VM's processor for this process.
    processor_cores: float = 1.0
    # A member without a successful join for this long loses its partitions.
    # A shorter TTL speeds up takeovers; a longer one survives longer outages
    # of the store.
    member_ttl_seconds: float = 1.6
    # Allows four attempts to join within one TTL.
    join_interval_seconds: float = 0.4
    # Without contact for this long, the store counts as unavailable: two joins
    # have failed, and the outage may last for seconds.
    store_suspect_seconds: float = 0.9
    # Minimum time between scheduling rounds, so that one append stores several
    # decisions.
    min_round_interval_seconds: float = 0.02
    # Maximum time between scheduling rounds when there are no events.
    max_round_interval_seconds: float = 0.25
    # Minimum time between an owner's reads while records arrive.
    owner_read_interval_seconds: float = 0.04
    # Time between reads by a daemon that does not own the partition, unless a
    # query has read it meanwhile.  Clients are told that counts of pending jobs
    # may be this old.
    follower_read_interval_seconds: float = 1.8
    # How long a query of a job's state waits for newer records.  Several times
    # the usual response time of the store, and short for the client: the state
    # known before is a valid answer.
    state_read_seconds: float = 0.3
    # How long an owner's read waits for records.
    read_wait_seconds: float = 0.5
    # A configuration has to be applied within this time.
    configuration_apply_seconds: float = 2.0
    # Time between reads of the fleet partition, and of the worker directory by
    # an owner.  It must read entries of draining workers well within the drain
    # time.
    worker_read_interval_seconds: float = 0.25
    # Time between reads of the worker directory by a daemon that owns nothing.
    # It reads at once when it becomes an owner.
    follower_worker_interval_seconds: float = 4.0
    # A new owner waits this long for a read of the directory before it places
    # tasks by what it knows.
    max_directory_wait_seconds: float = 1.5
    # How long a worker may wait for an attempt to end before it replies to a
    # poll.
    poll_wait_seconds: float = 0.8
    # Shortest pause between two polls of a worker.
    poll_pause_seconds: float = 0.015
    # Longest pause; the end of a task is reported this much later at most.
    max_poll_pause_seconds: float = 0.1
    # Share of its processor that a daemon spends on polls before pauses grow.
    poll_processor_share: float = 0.15
    # Processor time of a poll on a whole core, with the handling of its report.
    poll_processor_seconds: float = 0.0004
    # A worker whose lease has less left is polled after the shortest pause.
    urgent_lease_seconds: float = 1.5
    # Pause before a worker that did not answer is polled again.
    poll_retry_seconds: float = 0.25
    # Maximum number of concurrent orders to one worker; each may keep a
    # connection open.
    order_senders: int = 3
    # Bounds of the number of concurrent orders of a daemon to all workers.  The
    # lower one keeps a processor busy while each is answered within a few ms.
    min_orders_under_way: int = 16
    max_orders_under_way: int = 256
    # Orders that take longer are too many at once.
    order_target_seconds: float = 0.1
    # An order that is unanswered for this long no longer counts.
    order_hold_seconds: float = 0.4
    # Pause before a call to the store that had no effect is retried.
    store_retry_seconds: float = 0.1
    # How long storing a client's job is retried before the job is rejected.
    submit_timeout_seconds: float = 1.2
    # A drained VM waits this long for a pool that lacks workers before it goes
    # to a standby pool, on the way to which it can't be moved elsewhere.
    standby_delay_seconds: float = 0
    # Time between two listings of the VMs.
    vm_list_interval_seconds: float = 0.25
    # Time between two listings by an owner that can't reach all its workers.
    vm_watch_interval_seconds: float = 0.5
    # Each such owner lists no more VMs a second, since the platform limits the
    # pages that all daemons together may read.
    max_watched_vms_per_second: float = 1000
    # A daemon without contact with the store for this long is not ready and
    # gets no new clients.
    store_unready_seconds: float = 2.5

    @property
    def operator_wait_seconds(self) -> float:
        """Return how long one read of the operators' topic waits for records.

        Its connection may be dead, which shows only after this time and the
        call's timeout; both together must stay well below the time in which a
        configuration has to be applied.
        """
        return 0.3 * self.configuration_apply_seconds

    @property
    def pool_partitions(self) -> range:
        """Return the partitions that pools may be assigned to."""
        return range(FLEET_PARTITION + 1, self.partitions)

"""The settings of the controller."""

import zlib
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
    grace_seconds: float
    holder_lease_seconds: float
    scheduling: SchedulingSettings
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
    # Time between reads by a daemon that does not own the partition.  Clients
    # are told that counts of pending jobs may be this old.
    follower_read_interval_seconds: float = 1.0
    # How long a query of a job's state waits for newer records.  Several times
    # the usual response time of the store, and short for the client: the state
    # known before is a valid answer.
    state_read_seconds: float = 0.3
    # How long an owner's read waits for records.
    read_wait_seconds: float = 0.5
    # How long one read of the operators' topic waits for records.  Together
    # with the call's timeout it must stay well below the time in which a
    # configuration has to be applied, since a connection may be dead.
    operator_wait_seconds: float = 0.5
    # Time between reads of the worker directory and of the fleet partition.  An
    # owner must read entries of draining workers well within the drain time.
    worker_read_interval_seconds: float = 0.25
    # How long a worker may wait for an attempt to end before it replies to a
    # poll.
    poll_wait_seconds: float = 0.8
    # Pause between polls, which limits their rate for a worker on which many
    # tasks end each second.
    poll_pause_seconds: float = 0.015
    # Pause before a worker that did not answer is polled again.
    poll_retry_seconds: float = 0.25
    # Maximum number of concurrent orders to one worker.
    order_senders: int = 6
    # Pause before a call to the store that had no effect is retried.
    store_retry_seconds: float = 0.1
    # How long storing a client's job is retried before the job is rejected.
    submit_timeout_seconds: float = 1.2
    # Time between two listings of the VMs.
    vm_list_interval_seconds: float = 0.25
    # A daemon without contact with the store for this long is not ready and
    # gets no new clients.
    store_unready_seconds: float = 2.5

    def find_partition(self, pool: str) -> int:
        """Return the partition of a pool's jobs."""
        pool_partitions = self.partitions - 1
        return zlib.crc32(pool.encode()) % pool_partitions + FLEET_PARTITION + 1

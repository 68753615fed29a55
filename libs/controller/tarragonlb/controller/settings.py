"""The settings of the controller, handed over whole."""

import zlib
from dataclasses import dataclass

from tarragonlb.scheduling.settings import SchedulingSettings

# Partition of the records on VM maintenance; pools use the others.
FLEET_PARTITION = 0


@dataclass(frozen=True, slots=True, kw_only=True)
class ControllerSettings:
    """The limits a process keeps, and how it is named.

    Those without a default come from the platform's settings file.
    """

    name: str
    partitions: int
    grace_seconds: float
    holder_lease_seconds: float
    scheduling: SchedulingSettings
    # A member that has not been heard of for so long loses its partitions.
    # Shorter takes over sooner; longer rides through outages of the store.
    member_ttl_seconds: float = 1.6
    # Four chances to be heard within one TTL.
    join_interval_seconds: float = 0.4
    # A store that has not answered for two joins may stay away for seconds.
    store_suspect_seconds: float = 0.9
    # Decisions are at least so far apart, so that one append carries many.
    min_round_interval_seconds: float = 0.02
    # Without events a round is made at least so often.
    max_round_interval_seconds: float = 0.25
    # An owner reads its partition at most so often, while records come.
    owner_read_interval_seconds: float = 0.04
    # Others may be as old as a client is told that counts may be.
    follower_read_interval_seconds: float = 1.0
    # How long a read waits for records.
    read_wait_seconds: float = 0.5
    # How long the operators' topic is waited for in one call.  Together with
    # its time-out well under the time in which a configuration must apply,
    # since a connection may have gone silent.
    operator_wait_seconds: float = 0.5
    # An owner needs entries of draining workers well within the drain time.
    worker_read_interval_seconds: float = 0.25
    # How long a worker may wait for an end before it answers a look.
    poll_wait_seconds: float = 0.8
    # A worker that ends many tasks a second is looked at not more often.
    poll_pause_seconds: float = 0.015
    # Pause before a worker that did not answer is asked again.
    poll_retry_seconds: float = 0.25
    # Orders to one worker that are under way at a time.
    order_senders: int = 6
    # Between attempts at the store that had no effect.
    store_retry_seconds: float = 0.1
    # How long a client's job is offered to the store before it is refused.
    submit_timeout_seconds: float = 1.2
    # Between two listings of VMs during a wave.
    vm_list_interval_seconds: float = 0.25
    # Without contact to the store for so long a daemon takes no new clients.
    store_unready_seconds: float = 2.5

    def find_partition(self, pool: str) -> int:
        """Return the partition of a pool's jobs."""
        others = self.partitions - 1
        return zlib.crc32(pool.encode()) % others + FLEET_PARTITION + 1

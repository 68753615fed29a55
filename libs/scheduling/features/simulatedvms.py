"""The platform's list of VMs in a simulated fleet."""

import functools
import random

from tarragonlb.scheduling.addresshistory import AddressHistory
from tarragonlb.scheduling.vmevidence import VmListing

INTERVAL_SECONDS = 0.5
MAX_DELAY_SECONDS = 1.0
# The platform may list a VM without its worker for this long.
UNLISTED_AFTER_START_SECONDS = 0.3


class VmListings:
    """Sends listings to owners that can't reach all their workers.

    With a loss probability, listings get lost or arrive late.
    """

    def __init__(self, seed, loss_probability):
        self.random = random.Random(seed)
        self.loss_probability = loss_probability
        self.next_at = 0.0
        self.addresses = AddressHistory()

    def send(self, fleet):
        if fleet.now < self.next_at:
            return
        self.next_at = fleet.now + INTERVAL_SECONDS
        listing = self._list(fleet)
        for owner in [fleet.owner, *fleet.former_owners]:
            if owner is None or not owner.scheduler.state.list_unreachable():
                continue
            apply = functools.partial(
                owner.scheduler.reconciler.apply_vm_listing, listing
            )
            if not self.loss_probability:
                apply()
            elif self.random.random() >= self.loss_probability:
                delay = self.random.uniform(0, MAX_DELAY_SECONDS)
                fleet.delayed_calls.append((fleet.now + delay, apply))

    def _list(self, fleet):
        started_before = fleet.now - UNLISTED_AFTER_START_SECONDS
        worker_ids = frozenset(
            worker.worker_id
            for worker in fleet.workers
            if worker.is_up and worker.started_at <= started_before
        )
        return VmListing(worker_ids, fleet.now)

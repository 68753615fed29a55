import math

import trio
import trio.testing
from behave import then, when
from fakeplatform import FakeClock, FakeVmApi
from simulation import SETTINGS

from tarragonlb.controller.vmwatch import VmWatch
from tarragonlb.scheduling.wave import Vm, VmStatus


class ListedVms(FakeVmApi):
    def __init__(self, workers):
        super().__init__()
        self.listed = tuple(
            Vm(vm_id=f'm-{name}', pool='p', status=VmStatus.UP, worker_id=name)
            for name in workers
        )

    async def list_vms(self):
        return self.listed


@when(
    'an owner without contact to a worker lists the VMs of the workers '
    '"{workers}"'
)
def list_once(context, workers):
    async def run():
        inbox, listings = trio.open_memory_channel(math.inf)
        watch = VmWatch(ListedVms(workers.split()), SETTINGS, FakeClock())
        with trio.move_on_after(1.5 * SETTINGS.vm_watch_interval_seconds):
            await watch.run(inbox, lambda: True)
        context.listings = listings.statistics().current_buffer_used

    trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0))


@then('it gets {count:d} listings')
def check_listings(context, count):
    assert context.listings == count, context.listings

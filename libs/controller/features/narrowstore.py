"""A store behind narrow links; all responses to a daemon share one."""

import trio
from fakeplatform import TIMEOUT_SECONDS, FakeStore, StoreAccess

from tarragonlb.controller.results import NotDone

BYTES_PER_SECOND = 1_000_000
# What the store sends on one connection before it waits for the daemon.
WINDOW_BYTES = 128_000


class NarrowLink:
    """Gives up on a response if a part of it is late, as the adapter."""

    def __init__(self):
        self.free_at = 0.0
        self.bytes_per_second = BYTES_PER_SECOND

    async def send(self, size):
        while size > 0:
            part = min(size, WINDOW_BYTES)
            now = trio.current_time()
            seconds = part / self.bytes_per_second
            self.free_at = max(self.free_at, now) + seconds
            if self.free_at > now + TIMEOUT_SECONDS:
                await trio.sleep(TIMEOUT_SECONDS)
                return False
            await trio.sleep_until(self.free_at)
            size -= part
        return True

    async def pass_on(self, result):
        size = 1 + sum(
            len(record.value) for record in getattr(result, 'records', ())
        )
        return result if await self.send(size) else NotDone('no answer')


class NarrowStore(FakeStore):
    """A store with a single daemon; some partitions may not be readable."""

    def __init__(self):
        super().__init__()
        self.link = NarrowLink()
        self.unreadable = frozenset()

    async def read_newest(self, topic, partition):
        if partition in self.unreadable:
            await trio.sleep(TIMEOUT_SECONDS)
            return NotDone('no answer')
        batch = await super().read_newest(topic, partition)
        return await self.link.pass_on(batch)

    async def join(self, partition, member, ttl_seconds, generation):
        assignment = await super().join(
            partition, member, ttl_seconds, generation
        )
        return await self.link.pass_on(assignment)


class NarrowAccess(StoreAccess):
    """The store as one of several daemons calls it, over its own link."""

    def __init__(self, store, reads):
        super().__init__(store, reads)
        self.link = NarrowLink()

    async def read(self, *arguments):
        return await self.link.pass_on(await super().read(*arguments))

    async def read_newest(self, *arguments):
        result = await self._store.read_newest(*arguments)
        return await self.link.pass_on(result)

    async def join(self, *arguments):
        return await self.link.pass_on(await self._store.join(*arguments))

    async def list_owners(self, partition):
        return await self.link.pass_on(await self._store.list_owners(partition))

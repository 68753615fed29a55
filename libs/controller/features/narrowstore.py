"""A store behind a narrow link, which all responses to one daemon share."""

import trio
from fakeplatform import TIMEOUT_SECONDS, FakeStore

from tarragonlb.controller.results import NotDone

BYTES_PER_SECOND = 1_000_000
# What the store sends on one connection before it waits for the daemon.
WINDOW_BYTES = 128_000


class NarrowStore(FakeStore):
    """Gives up on a call if a part of its response is late, as the adapter."""

    def __init__(self):
        super().__init__()
        self.free_at = 0.0

    async def read_newest(self, topic, partition):
        batch = await super().read_newest(topic, partition)
        size = sum(len(record.value) for record in batch.records)
        return batch if await self._send(size) else NotDone('no answer')

    async def join(self, partition, member, ttl_seconds, generation):
        assignment = await super().join(
            partition, member, ttl_seconds, generation
        )
        return assignment if await self._send(1) else NotDone('no answer')

    async def _send(self, size):
        while size > 0:
            part = min(size, WINDOW_BYTES)
            now = trio.current_time()
            self.free_at = max(self.free_at, now) + part / BYTES_PER_SECOND
            if self.free_at > now + TIMEOUT_SECONDS:
                await trio.sleep(TIMEOUT_SECONDS)
                return False
            await trio.sleep_until(self.free_at)
            size -= part
        return True

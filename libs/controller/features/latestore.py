"""A store that leaves appends unanswered and carries them out later."""

import trio
from fakeplatform import TIMEOUT_SECONDS, FakeStore

from tarragonlb.controller.ports import Topic
from tarragonlb.controller.results import Uncertain


class LateStore(FakeStore):
    """While ``is_late``, appends of daemons that are no owners are held."""

    def __init__(self):
        super().__init__()
        self.is_late = False
        self.held = []

    async def append(self, partition, records, append_key, topic=Topic.JOBS):
        if not self.is_late or append_key is not None or not partition:
            return await super().append(partition, records, append_key, topic)
        self.held.append(((topic, partition), records))
        await trio.sleep(TIMEOUT_SECONDS)
        return Uncertain('no answer')

    def carry_out(self):
        held, self.held = self.held, []
        for key, records in held:
            self.logs[key].extend(records)

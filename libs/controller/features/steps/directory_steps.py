from unittest.mock import patch

from behave import then
from fakeplatform import FakeStore

from tarragonlb.controller.ports import Topic


@then('the directory has been read {least:d} to {most:d} times')
def count_reads(context, least, most):
    topics = []
    read = FakeStore.read

    async def count(store, topic, *arguments):
        topics.append(topic)
        return await read(store, topic, *arguments)

    with patch.object(FakeStore, 'read', count):
        context.simulation.run()
    reads = topics.count(Topic.WORKERS)
    assert least <= reads <= most, reads

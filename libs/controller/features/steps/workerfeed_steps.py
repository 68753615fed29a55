import trio
import trio.testing
from behave import given, then, when
from fakedocuments import FakeDocumentDecoder
from fakeplatform import FakeClock, FakeStore
from simulation import SETTINGS

from tarragonlb.controller.feeds import WorkerFeed
from tarragonlb.controller.platformview import PlatformView
from tarragonlb.controller.ports import Topic
from tarragonlb.scheduling.records import KeyedRecord

DIRECTORY = (Topic.WORKERS, 0)
READ_SECONDS = 1.0


class StrictDecoder(FakeDocumentDecoder):
    def decode_worker_record(self, record):
        if record.value == b'invalid':
            return None
        return super().decode_worker_record(record)


def add(context, records):
    for text in records.split():
        key, _, value = text.partition('=')
        record = KeyedRecord(key, value.encode())
        context.directory_store.logs[DIRECTORY].append(record)


@given('a directory with the records "{records}"')
def begin(context, records):
    context.directory_store = FakeStore()
    context.view = PlatformView()
    context.worker_feed = WorkerFeed(
        context.directory_store,
        StrictDecoder(),
        SETTINGS,
        context.view,
        FakeClock(),
    )
    add(context, records)


@when('the records "{records}" are added')
def add_records(context, records):
    add(context, records)


@when('the records "{records}" are added and the former ones expire')
def replace_records(context, records):
    store = context.directory_store
    add(context, records)
    store.firsts[DIRECTORY] = len(store.logs[DIRECTORY])


@when('the directory is read')
def read(context):
    async def run():
        with trio.move_on_after(READ_SECONDS):
            await context.worker_feed.run()

    trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0))


@then('the workers "{names}" are known')
def check_workers(context, names):
    assert set(context.view.workers) == set(names.split()), context.view.workers

import trio
import trio.testing
from behave import given, then, when

from tarragonlb.controller.platformview import PlatformView

# The order in which trio resumes two tasks is random.
TRIALS = 20


@given('an owner that is told of changes of the view')
def begin(context):
    context.told = []


async def change_twice():
    """Return how many changes the owner is told of."""
    view = PlatformView()
    sender, receiver = trio.open_memory_channel(1)
    told = 0
    async with trio.open_nursery() as nursery:
        nursery.start_soon(view.forward_changes, sender)
        await trio.testing.wait_all_tasks_blocked()
        view.notify()
        with trio.move_on_after(1):
            async for _ in receiver:
                told += 1
                if told == 1:
                    view.notify()
        nursery.cancel_scope.cancel()
    return told


@when('the view changes twice, the second time as the owner takes note')
def change_several_times(context):
    for _ in range(TRIALS):
        clock = trio.testing.MockClock(autojump_threshold=0)
        context.told.append(trio.run(change_twice, clock=clock))


@then('the owner is told of both changes')
def check_told(context):
    assert context.told == [2] * TRIALS, context.told

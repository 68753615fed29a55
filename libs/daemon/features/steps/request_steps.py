"""Steps for requests through the dispatcher, on a mock clock."""

import trio
from behave import given, then, when
from dispatcher_harness import TIMEOUT_SECONDS, DispatcherHarness

from tarragonlb.daemon.exchange import ResponseCutError
from tarragonlb.model.errors import RefusedError


@given('an endpoint with behavior "{behavior}"')
def start(context, behavior):
    context.harness = DispatcherHarness([behavior])


@given('an endpoint with behavior "{first}" once and then "{second}" once')
def start_two(context, first, second):
    context.harness = DispatcherHarness([first, second, 'answer'])


@when('a caller sends an unrepeatable request and disconnects')
def leave(context):
    async def scenario(harness):
        caller = harness.add_caller(idempotent=False)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(harness.serve, caller)
            await trio.sleep(1)
            assert not harness.network.closed.is_set()
            caller.add_event({'type': 'http.disconnect'})
            with trio.move_on_after(1):
                await harness.network.closed.wait()
        context.closed_at_once = trio.current_time() < TIMEOUT_SECONDS

    context.harness.run(scenario)


@then('the endpoint sees its connection closed')
def check_closed(context):
    assert context.harness.network.closed.is_set()
    assert context.closed_at_once


@when('a caller sends an {kind} request')
def send(context, kind):
    async def scenario(harness):
        await harness.serve(harness.add_caller(idempotent=kind == 'idempotent'))

    context.harness.run(scenario)


@when('an {kind} request is answered and another one follows')
def send_two(context, kind):
    async def scenario(harness):
        for _ in range(2):
            await harness.serve(
                harness.add_caller(idempotent=kind == 'idempotent')
            )
        context.started = len(harness.network.started)
        context.opened = harness.network.opened
        await harness.serve(harness.add_caller(idempotent=False))
        context.last = harness.callers.pop()

    context.harness.run(scenario)


@when('3 requests are answered at once and all connections go silent')
def silence_connections(context):
    async def scenario(harness):
        async with trio.open_nursery() as nursery:
            for _ in range(3):
                nursery.start_soon(
                    harness.serve, harness.add_caller(idempotent=False)
                )
        assert harness.network.opened > 1, harness.network.opened
        harness.network.silence_connections()

    context.first_scenarios = [scenario]


@when('an unrepeatable request detects this and 3 more follow')
def send_after_silence(context):
    async def scenario(harness):
        await context.first_scenarios[0](harness)
        for _ in range(4):
            await harness.serve(harness.add_caller(idempotent=False))

    context.harness.run(scenario)


@then('the 3 that follow are answered')
def check_followers(context):
    completed = [caller.is_complete for caller in context.harness.callers]
    assert completed == [True] * 3 + [False] + [True] * 3, completed


@then('the caller receives the complete response')
def check_whole(context):
    caller = context.harness.callers[-1]
    assert caller.is_complete and caller.body == b'hello', caller.sent
    assert not context.harness.errors, context.harness.errors


@then('the endpoint was sent {requests:d} requests over {count:d} connections')
def check_sent(context, requests, count):
    network = context.harness.network
    started = getattr(context, 'started', len(network.started))
    opened = getattr(context, 'opened', network.opened)
    assert (started, opened) == (requests, count), (started, opened)


@then('a third request is answered over a new connection')
def check_third(context):
    assert context.last.is_complete and context.last.body == b'hello'
    assert context.harness.network.opened == 2


@then('the caller is refused with {status:d} and "{verdict}"')
def check_refused(context, status, verdict):
    error = context.harness.errors[0]
    assert isinstance(error, RefusedError), repr(error)
    assert (error.status, error.verdict.value) == (status, verdict), error
    assert not context.harness.callers[-1].sent


@then('the caller can tell that the response was cut off')
def check_cut(context):
    assert isinstance(context.harness.errors[0], ResponseCutError)
    caller = context.harness.callers[0]
    assert caller.body == b'hello'
    assert not caller.is_complete, caller.sent


@when('a caller sends a part of a request and disconnects')
def send_partial_request(context):
    async def scenario(harness):
        caller = harness.add_caller(
            idempotent=False, chunks=(b'one', b'two', b'')
        )
        last = caller.receiver
        events = [last.receive_nowait() for _ in range(3)]
        caller.add_event(events[0])
        caller.add_event(events[1])
        caller.add_event({'type': 'http.disconnect'})
        await harness.serve(caller)
        await trio.sleep(1)

    context.harness.run(scenario)


@when('a caller sends a body over the limit in chunks')
def send_large(context):
    async def scenario(harness):
        chunks = (b'x' * 600, b'x' * 600, b'')
        await harness.serve(harness.add_caller(idempotent=False, chunks=chunks))
        await trio.sleep(1)

    context.harness.run(scenario)


@then('the endpoint has run no request')
def check_nothing_ran(context):
    assert context.harness.network.started
    assert not context.harness.network.ran


@then('the endpoint receives a timeout of "{seconds}"')
def check_timeout(context, seconds):
    timeout = context.harness.network.headers[0][b'tarragon-timeout']
    assert timeout == seconds.encode(), timeout

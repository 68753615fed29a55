"""Steps for requests through the dispatcher, on a mock clock."""

import trio
from behave import given, then, when
from scene import TIMEOUT_SECONDS, Scene

from tarragonlb.daemon.exchange import ResponseCutError
from tarragonlb.model.errors import RefusedError


@given('an endpoint that is "{manner}"')
def start(context, manner):
    context.scene = Scene([manner])


@given('an endpoint that is "{first}" once and then "{second}" once')
def start_two(context, first, second):
    context.scene = Scene([first, second, 'answer'])


@when('a caller sends an unrepeatable request and leaves')
def leave(context):
    async def act(scene):
        caller = scene.add(idempotent=False)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(scene.serve, caller)
            await trio.sleep(1)
            assert not scene.network.closed.is_set()
            caller.put({'type': 'http.disconnect'})
            with trio.move_on_after(1):
                await scene.network.closed.wait()
        context.closed_at_once = trio.current_time() < TIMEOUT_SECONDS

    context.scene.play(act)


@then('the endpoint sees its connection closed')
def check_closed(context):
    assert context.scene.network.closed.is_set()
    assert context.closed_at_once


@when('a caller sends an {kind} request')
def send(context, kind):
    async def act(scene):
        await scene.serve(scene.add(idempotent=kind == 'idempotent'))

    context.scene.play(act)


@when('an {kind} request is answered and another one follows')
def send_two(context, kind):
    async def act(scene):
        for _ in range(2):
            await scene.serve(scene.add(idempotent=kind == 'idempotent'))
        context.started = len(scene.network.started)
        context.opened = scene.network.opened
        await scene.serve(scene.add(idempotent=False))
        context.last = scene.callers.pop()

    context.scene.play(act)


@when('3 requests are answered at once and all connections go silent')
def lose_connections(context):
    async def act(scene):
        async with trio.open_nursery() as nursery:
            for _ in range(3):
                nursery.start_soon(scene.serve, scene.add(idempotent=False))
        assert scene.network.opened > 1, scene.network.opened
        scene.network.lose_connections()

    context.acts = [act]


@when('an unrepeatable request finds it out and 3 more follow')
def find_out(context):
    async def act(scene):
        await context.acts[0](scene)
        for _ in range(4):
            await scene.serve(scene.add(idempotent=False))

    context.scene.play(act)


@then('the 3 that follow are answered')
def check_followers(context):
    whole = [caller.is_whole for caller in context.scene.callers]
    assert whole == [True] * 3 + [False] + [True] * 3, whole


@then('the caller has the whole answer')
def check_whole(context):
    caller = context.scene.callers[-1]
    assert caller.is_whole and caller.body == b'hello', caller.sent
    assert not context.scene.errors, context.scene.errors


@then('the endpoint was sent {requests:d} requests over {count:d} connections')
def check_sent(context, requests, count):
    network = context.scene.network
    started = getattr(context, 'started', len(network.started))
    opened = getattr(context, 'opened', network.opened)
    assert (started, opened) == (requests, count), (started, opened)


@then('a third request is answered over a new connection')
def check_third(context):
    assert context.last.is_whole and context.last.body == b'hello'
    assert context.scene.network.opened == 2


@then('the caller is refused with {status:d} and "{verdict}"')
def check_refused(context, status, verdict):
    error = context.scene.errors[0]
    assert isinstance(error, RefusedError), repr(error)
    assert (error.status, error.verdict.value) == (status, verdict), error
    assert not context.scene.callers[-1].sent


@then('the caller is told that the answer was cut')
def check_cut(context):
    assert isinstance(context.scene.errors[0], ResponseCutError)
    caller = context.scene.callers[0]
    assert caller.body == b'hello'
    assert not caller.is_whole, caller.sent


@when('a caller sends a part of a request and leaves')
def break_off(context):
    async def act(scene):
        caller = scene.add(idempotent=False, pieces=(b'one', b'two', b''))
        last = caller.receiver
        events = [last.receive_nowait() for _ in range(3)]
        caller.put(events[0])
        caller.put(events[1])
        caller.put({'type': 'http.disconnect'})
        await scene.serve(caller)
        await trio.sleep(1)

    context.scene.play(act)


@when('a caller sends a body over the limit in pieces')
def send_large(context):
    async def act(scene):
        pieces = (b'x' * 600, b'x' * 600, b'')
        await scene.serve(scene.add(idempotent=False, pieces=pieces))
        await trio.sleep(1)

    context.scene.play(act)


@then('the endpoint has run nothing')
def check_nothing_ran(context):
    assert context.scene.network.started
    assert not context.scene.network.ran


@then('the endpoint was told a timeout of "{seconds}"')
def check_timeout(context, seconds):
    told = context.scene.network.headers[0][b'tarragon-timeout']
    assert told == seconds.encode(), told

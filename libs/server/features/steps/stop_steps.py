"""Steps for requests around the stop of a server."""

import trio
from behave import then, when
from connection_steps import run
from serverharness import GET, list_sentences, open_connection


@when('the server is cancelled while {what}')
def cancel(context, what):
    path = b'wait' if what == 'a request is in progress' else b'a'

    async def main(application):
        async with trio.open_nursery() as nursery:
            stream = open_connection(nursery, application)
            await stream.send_all(GET % path)
            await application.begun.wait()
            if path == b'a':
                await stream.receive_some()
            nursery.cancel_scope.cancel()

    run(context, main)


@then('a line says that "{path}" ends without an answer')
def check_unanswered(context, path):
    lines = [
        line
        for line in context.lines
        if line.get('sentence') == 'server: A request ends without an answer.'
    ]
    assert [line['path'] for line in lines] == [path], list_sentences(
        context.lines
    )
    assert lines[0]['method'] == 'GET', lines

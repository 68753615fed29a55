"""Steps that run the command-line tool inside this process."""

import contextlib
import hashlib
import io
import json
import os
import signal
import socket
import sys
import threading
from collections import Counter
from functools import partial
from pathlib import Path
from unittest import mock

import hypothesis
from behave import given, then, when
from hypothesis import strategies

from tarragonlb.cli.command import main
from tarragonlb.settings.reader import read_settings
from tarragonlb.standin.apiclient import ApiClient, poll
from tarragonlb.standin.fleetfile import FleetFile

EXAMPLES = Path(__file__).parents[4] / 'examples'
STARTUP = (
    'name: entry-1\nzone: z\nlisten: 127.0.0.1:1\n'
    'peer_listen: 127.0.0.1:2\nplatform: 127.0.0.1:3'
)
REQUEST_SECONDS = 18
SLOW_SECONDS = 2.3
SHA256 = hashlib.sha256(b'a team').hexdigest()


def run_tool(server, token, arguments):
    printed = io.StringIO()
    code = 0
    environment = {'TARRAGONLB_SERVER': server, 'TARRAGONLB_TOKEN': token}
    with (
        mock.patch.object(sys, 'argv', ['tarragonlb', *arguments]),
        mock.patch.dict(os.environ, environment),
        contextlib.redirect_stdout(printed),
        contextlib.redirect_stderr(printed),
    ):
        try:
            main()
        except SystemExit as error:
            code = error.code or 0
    return code, printed.getvalue()


def serve_one_answer(answer):
    listener = socket.create_server(('127.0.0.1', 0))

    def serve():
        with listener, listener.accept()[0] as connection:
            connection.recv(65_536)
            connection.sendall(answer)

    threading.Thread(target=serve, daemon=True).start()
    address = listener.getsockname()
    return f'http://{address[0]}:{address[1]}'


def substitute(context, text):
    text = text.replace('FOLDER', str(context.folder))
    text = text.replace('OTHER', getattr(context, 'other', ''))
    text = text.replace('{start}', STARTUP).replace('EXAMPLES', str(EXAMPLES))
    return text.replace('{token}', SHA256).replace('\\n', '\n')


@given('the file "{name}" with "{text}"')
def write_file(context, name, text):
    path = context.folder / name
    path.parent.mkdir(exist_ok=True)
    path.write_text(substitute(context, text))


@given('requests through the first entry VM, one of them too slow')
def send_requests(context):
    client = ApiClient(context.server.removeprefix('http://'), 'a team')
    poll(partial(get_if_successful, client, '/call/warm/x'), REQUEST_SECONDS)
    for delay in (0, 0, 0, SLOW_SECONDS):
        answer = client.get(f'/call/s/x?seconds={delay}&mark=m')
        assert answer.fields['mark'] == 'm', answer


def get_if_successful(client, path):
    answer = client.get(path)
    return answer if answer.status == 200 else None


@when('the first entry VM is stopped')
def stop_first_entry_vm(context):
    name = next(iter(context.cluster.addresses))
    context.cluster.send_signal(name, signal.SIGTERM)
    assert context.cluster.wait_for_exit(name) == 0
    context.server = context.other


@then('the page "{name}" contains "{text}"')
def check_page(context, name, text):
    page = (context.folder / name).read_text()
    assert text in page, page[:3000]


@given('a server that reads the request and closes the connection')
def start_server(context):
    context.server = serve_one_answer(b'')


@when('"{command}" is run')
def run(context, command):
    arguments = substitute(context, command).split()
    context.code, context.printed = run_tool(
        context.server, context.token, arguments
    )


@then('it exits with {code:d}')
def check_code(context, code):
    assert context.code == code, (context.code, context.printed)


@then('it prints "{text}"')
def check_text(context, text):
    printed = ' '.join(context.printed.split())
    expected = ' '.join(substitute(context, text).split())
    assert expected in printed, context.printed


@then('it prints JSON')
def check_json(context):
    json.loads(context.printed)


@then('it prints JSON with {count:d} items')
def check_item_count(context, count):
    assert len(json.loads(context.printed)) == count, context.printed


@then('the tool exits with a known code for any answer')
def check_arbitrary_answers(context):
    bodies = strategies.one_of(
        strategies.binary(max_size=40),
        strategies.recursive(
            strategies.none() | strategies.integers() | strategies.text(),
            lambda inner: (
                strategies.lists(inner, max_size=3)
                | strategies.dictionaries(
                    strategies.sampled_from(('reason', 'verdict', 'text')),
                    inner,
                )
            ),
        ).map(lambda tree: json.dumps(tree).encode()),
    )
    commands = strategies.sampled_from(
        ('status', 'settings get /fleet', 'settings list', 'job list')
    )

    @hypothesis.settings(
        max_examples=60, derandomize=True, deadline=None, database=None
    )
    @hypothesis.given(
        strategies.sampled_from((200, 202, 400, 404, 409, 500, 503)),
        bodies,
        commands,
    )
    def check(status, body, command):
        head = f'HTTP/1.1 {status} x\r\ncontent-length: {len(body)}\r\n\r\n'
        server = serve_one_answer(head.encode() + body)
        code, printed = run_tool(server, 'token', command.split())
        assert code in {0, 1, 2, 4}, (code, printed)

    check()


@then(
    'the platform file of "{user}" has {vms:d} VMs in {zones:d} zones, '
    'at most {size:d} to a rack'
)
def check_platform(context, user, vms, zones, size):
    path = EXAMPLES / user / 'platform.yaml'
    fleet = read_settings(path.read_text(), str(path), FleetFile)
    assert len(fleet.vms) == vms
    assert len({vm.zone for vm in fleet.vms}) == zones
    racks = Counter(vm.rack for vm in fleet.vms)
    assert max(racks.values()) <= size, racks

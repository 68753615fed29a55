"""Steps for the messages between peers."""

import cbor2
import hypothesis
from behave import given, then
from hypothesis import strategies

from tarragonlb.journal import peer
from tarragonlb.journal.replica import Replica
from tarragonlb.model.errors import JournalError

# What the library refuses with errors of other families, or decodes to an
# object that refers to itself.
ODD_BLOBS = (
    b'\x81' * 5000,
    b'\xd8\x1c\x81\xd8\x1d\x00',
    b'\xc2\x59\x10\x00' + b'\xff' * 4096,
    b'\xc1\xfb\x7f\xef\xff\xff\xff\xff\xff\xff',
    b'\x82\x81\xa0\x80',
)
SETTINGS = hypothesis.settings(
    max_examples=300, derandomize=True, deadline=None, database=None
)


def make_heartbeat(member, digest=b'same'):
    return peer.Heartbeat(
        member=member, incarnation='1', offset=7, digest=digest
    )


@given(
    '{count:d} peers, of which {odd:d} has another digest at the same offset'
)
def exchange_heartbeats(context, count, odd):
    digests = [b'other' if index < odd else b'same' for index in range(count)]
    context.tables = []
    for own_index, own in enumerate(digests):
        table = peer.PeerTable()
        for index, digest in enumerate(digests):
            if index != own_index:
                table.add_heartbeat(
                    make_heartbeat(f'peer-{index}', digest), own, 0
                )
        context.tables.append(table)


@then('{count:d} of them finds a differing majority')
@then('{count:d} of them find a differing majority')
def check_majority(context, count):
    majorities = [table.find_differing_majority(1) for table in context.tables]
    assert sum(map(bool, majorities)) == count, majorities
    assert all(table.list_differing(1) for table in context.tables)


@given('a peer at an offset whose digest is not stored')
def add_uncompared_peer(context):
    context.peers = peer.PeerTable()
    context.peers.add_heartbeat(make_heartbeat('b'), None, 0)


@then('it is live and does not differ')
def check_not_compared(context):
    assert context.peers.list_live(1) == ['b']
    assert context.peers.list_differing(1) == []


@given('a peer whose heartbeat was received 15 seconds ago')
def add_silent_peer(context):
    context.peers = peer.PeerTable()
    context.peers.add_heartbeat(make_heartbeat('b'), b'other', 0)


@then('it is not live')
def check_silent(context):
    assert context.peers.list_live(14.9) == ['b']
    assert context.peers.list_live(15) == []
    assert context.peers.list_differing(15) == []


@then('any bytes are a message or raise a JournalError')
def check_bytes(context):
    trees = strategies.recursive(
        strategies.none()
        | strategies.integers()
        | strategies.binary()
        | strategies.sampled_from(('heartbeat', 'ask', 'part', 'end')),
        lambda children: strategies.lists(children, max_size=5),
    )
    blobs = (
        strategies.binary()
        | trees.map(cbor2.dumps)
        | strategies.sampled_from(ODD_BLOBS)
        | strategies.text()
    )

    @SETTINGS
    @hypothesis.given(blobs)
    def check(blob):
        try:
            message = peer.decode_message(blob)
        except JournalError:
            return
        assert peer.decode_message(peer.encode_message(message)) == message

    check()


@then('a state whose bytes were changed in transit is rejected')
def check_changed(context):
    replica = Replica()
    replica.state.keys['team', 'key'] = 'job'
    *parts, end = peer.make_state_messages(replica)
    bodies = [part.body for part in parts]
    whole = peer.restore_peer_state(bodies, end)
    assert whole.keys == replica.state.keys

    @SETTINGS
    @hypothesis.given(
        strategies.integers(0, len(bodies[0]) - 1), strategies.integers(1, 255)
    )
    def check(place, change):
        body = bytearray(bodies[0])
        body[place] ^= change
        try:
            state = peer.restore_peer_state([bytes(body)], end)
        except JournalError:
            return
        assert state.keys == replica.state.keys

    check()

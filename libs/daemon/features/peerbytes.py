"""Bytes that a connection may send to the server for peers."""

import struct

import cbor2
import hypothesis
from hypothesis import strategies as st
from websockets.frames import Opcode

HANDSHAKE = (
    b'GET %s HTTP/1.1\r\nHost: x\r\nUpgrade: websocket\r\n'
    b'Connection: Upgrade\r\nSec-WebSocket-Key: AAAAAAAAAAAAAAAAAAAAAA==\r\n'
    b'Sec-WebSocket-Version: %s\r\n%s\r\n'
)
QUESTION = cbor2.dumps({'number': 1, 'key': 'k', 'team': 't', 'ran': None})
PAYLOADS = st.one_of(
    st.just(QUESTION),
    st.binary(max_size=20),
    st.sampled_from(
        (
            b'',
            bytes(200),
            cbor2.dumps({'number': 10**30, 'key': 'k', 'team': 't'}),
            cbor2.dumps({'number': 1, 'key': '\x00' * 900, 'team': ''}),
            b'\x9b' + b'\xff' * 8,
            b'\x81' * 5000,
            b'\xd8\x1c\x80\xd8\x1d\x00',
            bytes(5000),
        )
    ),
)


@st.composite
def draw_frame(draw):
    """Return a masked frame, sound or not."""
    if draw(st.integers(0, 5)) == 0:
        return draw(
            st.one_of(
                st.binary(max_size=20),
                st.just(b'\x82\xff' + b'\x7f' * 8 + bytes(4)),
                st.just(b'\x82\xfe\xff\xff' + bytes(4) + bytes(65_535)),
            )
        )
    opcode = draw(st.sampled_from((*Opcode, 3, 11, *(Opcode.BINARY,) * 4)))
    is_final = draw(st.sampled_from((True, True, False)))
    is_masked = draw(st.sampled_from((True, True, False)))
    payload = draw(PAYLOADS)
    size = len(payload)
    head = bytes((is_final << 7 | opcode,))
    mask_bit = is_masked << 7
    if size < 126:
        head += bytes((mask_bit | size,))
    else:
        head += struct.pack('!BH', mask_bit | 126, size)
    # A mask of zeros leaves the payload as it is.
    return head + bytes(4 * is_masked) + payload


@st.composite
def draw_content(draw):
    """Return a handshake and frames, cut anywhere."""
    path = draw(
        st.sampled_from((*(b'/keys',) * 6, b'/other', b'/\xff', b'', b'*'))
    )
    version = draw(st.sampled_from((b'13', b'13', b'13', b'8', b'x')))
    header = draw(
        st.sampled_from(
            (
                *(b'',) * 6,
                b'X: \xff\xfe\r\n',
                b'Content-Length: 9\r\n',
                b'Upgrade: h2c\r\n',
                b'Sec-WebSocket-Protocol: \xe9\r\n',
                b'Sec-WebSocket-Extensions: permessage-deflate; x="\r\n',
                b'no colon\r\n',
                b'X: ' + b'x' * 20_000 + b'\r\n',
                b'X: 1\r\n' * 300,
            )
        )
    )
    content = HANDSHAKE % (path, version, header)
    content += b''.join(draw(st.lists(draw_frame(), max_size=4)))
    if draw(st.integers(0, 3)) == 0:
        content = content[: draw(st.integers(0, len(content)))]
    return content


CONNECTIONS = st.tuples(
    st.one_of(draw_content(), draw_content(), st.binary(max_size=40)),
    st.integers(0, 200),
    st.sampled_from(('close', 'reset', 'half close')),
)


def draw_connections(examples, seed):
    """Return generated connections."""
    found = []

    @hypothesis.seed(seed)
    @hypothesis.settings(
        max_examples=examples,
        database=None,
        deadline=None,
        suppress_health_check=list(hypothesis.HealthCheck),
    )
    @hypothesis.given(CONNECTIONS)
    def draw(connection):
        found.append(connection)

    draw()
    return found

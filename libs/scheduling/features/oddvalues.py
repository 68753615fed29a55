"""Values that a record may hold after another program has written it."""

import cbor2
from hypothesis import settings
from hypothesis import strategies as st

SETTINGS = settings(
    max_examples=400, derandomize=True, deadline=None, database=None
)
HUGE = 10**400
INTEGERS = st.one_of(
    st.integers(0, 5),
    st.sampled_from((1, -1, 10**5, 2**31, 10**15, 2**53 - 1)),
    st.sampled_from((-5, 2**53, 10**16, 2**63, 2**64, -(2**64), HUGE, -HUGE)),
)
NUMBERS = st.one_of(
    INTEGERS,
    st.sampled_from((0.5, -0.0, 1e16, 1e308, -1e308)),
    st.floats(),
)
TEXTS = st.one_of(
    st.sampled_from(('', ' ', '\x00', '\r\n', '\xe9', 'x' * 300)),
    st.text(max_size=5),
)
SCALARS = st.one_of(
    NUMBERS,
    st.none(),
    st.booleans(),
    st.text(max_size=5),
    st.binary(max_size=5),
)
VALUES = st.recursive(
    SCALARS,
    lambda inner: st.one_of(
        st.lists(inner, max_size=6),
        st.dictionaries(st.text(max_size=3), inner, max_size=3),
    ),
    max_leaves=12,
)
# Texts whose decoding fails in the library, or gives an object that refers to
# itself, and what breaks off.
ODD_TEXTS = st.sampled_from(
    (
        b'\x81' * 5000,
        b'\xd8\x1c\x81\xd8\x1d\x00',
        b'\xd8\x1c\x88\xd8\x1d\x00' + b'\xd8\x1d\x00' * 7,
        b'\xc2\x59\x10\x00' + b'\xff' * 4096,
        b'\xc1\xfb\x7f\xef\xff\xff\xff\xff\xff\xff',
        b'\x9b\xff\xff\xff\xff\xff\xff\xff\xff',
        b'\xa1\x81\xa0\x01',
        b'\xd8\x24\x61x',
        b'\xff',
    )
)

REPLACEMENTS = (
    (bool, st.booleans()),
    (int, INTEGERS),
    (float, NUMBERS),
    (str, TEXTS),
    (bytes, st.binary(max_size=5)),
    (
        list,
        st.one_of(
            st.lists(st.integers(0, 3), max_size=3),
            st.lists(INTEGERS, max_size=6),
            st.lists(TEXTS, max_size=6),
        ),
    ),
)


def list_places(value):
    """Yield the container and the key of each part of a value, at any depth."""
    if isinstance(value, dict):
        parts = sorted(value.items())
    elif isinstance(value, list):
        parts = list(enumerate(value))
    else:
        return
    for place, part in parts:
        yield value, place
        yield from list_places(part)


@st.composite
def change_row(draw, row):
    """Return a sound row with one part replaced by any value.

    All parts are drawn equally often, however deep they are.
    """
    changed = cbor2.loads(cbor2.dumps(row))
    places = list(list_places(changed))
    if not places:
        return draw(VALUES)
    container, place = places[draw(st.integers(0, len(places) - 1))]
    container[place] = draw(draw_replacement(container[place]))
    return changed


def draw_replacement(value):
    """Return a strategy of values in place of one, most of the same kind."""
    for kind, replacements in REPLACEMENTS:
        if isinstance(value, kind):
            return draw_mostly(replacements, VALUES)
    return VALUES


@st.composite
def draw_mostly(draw, usual, other):
    """Return a value of the first strategy, one in five of the second."""
    return draw(usual if draw(st.integers(0, 4)) else other)


def encode_odd(*rows):
    """Return a strategy of encoded values: changed rows, and odd ones."""
    changed = st.one_of([change_row(row) for row in rows])
    return draw_mostly(
        st.builds(cbor2.dumps, changed),
        st.one_of(
            st.builds(cbor2.dumps, VALUES), st.binary(max_size=12), ODD_TEXTS
        ),
    )

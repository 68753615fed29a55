"""Values that a record may hold after another program has written it."""

import cbor2
from hypothesis import settings
from hypothesis import strategies as st

SETTINGS = settings(
    max_examples=400, derandomize=True, deadline=None, database=None
)
HUGE = 10**400
NUMBERS = st.one_of(
    st.sampled_from((-1, 0, 2**31, 2**53, 2**63, 2**64, -(2**64), 10**30)),
    st.sampled_from((HUGE, -HUGE, 0.5, -0.0, 1e308, -1e308)),
    st.floats(),
    st.integers(-5, 5),
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


@st.composite
def change_row(draw, row):
    """Return a sound row with one part replaced by any value."""
    changed = cbor2.loads(cbor2.dumps(row))
    path = changed
    while True:
        if isinstance(path, dict) and path:
            place = draw(st.sampled_from(sorted(path)))
        elif isinstance(path, list) and path:
            place = draw(st.integers(0, len(path) - 1))
        else:
            return draw(VALUES)
        inner = path[place]
        is_last = not isinstance(inner, dict | list) or not inner
        if is_last or draw(st.integers(0, 3)) == 0:
            is_number = isinstance(inner, int | float)
            path[place] = draw(
                st.one_of(NUMBERS, NUMBERS, VALUES) if is_number else VALUES
            )
            return changed
        path = inner


def encode_odd(*rows):
    """Return a strategy of encoded values: changed rows, and odd ones."""
    changed = st.one_of([change_row(row) for row in rows])
    encoded = st.builds(cbor2.dumps, changed)
    return st.one_of(
        encoded,
        encoded,
        encoded,
        st.builds(cbor2.dumps, VALUES),
        st.binary(max_size=12),
        ODD_TEXTS,
    )

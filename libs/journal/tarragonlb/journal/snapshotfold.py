"""Rules for snapshots: one is open at a time, and it is closed when complete.

The content of the chunks does not affect the state.  The fold only counts the
chunks, so that all daemons agree on which snapshots are complete.
"""

from dataclasses import replace
from types import MappingProxyType

from tarragonlb.journal.rule import Reason, Rule
from tarragonlb.journal.state import State
from tarragonlb.model.snapshot import (
    SnapshotChunk,
    SnapshotClosed,
    SnapshotEntry,
    SnapshotOpened,
)


def open_snapshot(
    state: State, record: SnapshotOpened, offset: int
) -> Reason | None:
    """Open a snapshot; one that is still open is abandoned."""
    opened = state.stream.snapshot.opened
    if record.expected_opened != opened:
        return f'the latest snapshot was opened at offset {opened}'
    latest = SnapshotEntry(snapshot_id=record.head.record_id, opened=offset)
    state.stream = replace(state.stream, snapshot=latest)
    return None


def count_chunk(
    state: State, record: SnapshotChunk, offset: int
) -> Reason | None:
    """Count a chunk of the open snapshot."""
    rejection = _check_open(state, record.snapshot_id)
    if rejection:
        return rejection
    latest = state.stream.snapshot
    latest = replace(latest, chunks=latest.chunks + 1)
    state.stream = replace(state.stream, snapshot=latest)
    return None


def close_snapshot(
    state: State, record: SnapshotClosed, offset: int
) -> Reason | None:
    """Close the open snapshot if all of its chunks were counted."""
    rejection = _check_open(state, record.snapshot_id)
    if rejection:
        return rejection
    latest = state.stream.snapshot
    if record.chunks != latest.chunks:
        return f'{latest.chunks} of {record.chunks} chunks were written'
    latest = replace(latest, closed=offset)
    state.stream = replace(state.stream, snapshot=latest)
    return None


def _check_open(state: State, snapshot_id: str) -> Reason | None:
    current = state.stream.snapshot
    if current.snapshot_id != snapshot_id or current.closed:
        return f'snapshot {snapshot_id} is not open'
    return None


RULES: MappingProxyType[type, Rule] = MappingProxyType(
    {
        SnapshotOpened: open_snapshot,
        SnapshotChunk: count_chunk,
        SnapshotClosed: close_snapshot,
    }
)

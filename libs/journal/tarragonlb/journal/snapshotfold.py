"""Rules for snapshots: one open at a time, closed once it is complete.

The content of the chunks doesn't touch the state.  The fold only counts them,
so that all daemons agree which snapshot is complete.
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
    state: State, entry: SnapshotOpened, offset: int
) -> Reason | None:
    """Begin a snapshot; one that was left open before is given up."""
    opened = state.snapshot.opened
    if entry.expected_opened != opened:
        return f'the latest snapshot was opened at offset {opened}'
    state.snapshot = SnapshotEntry(
        snapshot_id=entry.head.record_id, opened=offset
    )
    return None


def count_chunk(
    state: State, entry: SnapshotChunk, offset: int
) -> Reason | None:
    """Count a chunk of the snapshot that is open."""
    refusal = _check_open(state, entry.snapshot_id)
    if refusal:
        return refusal
    state.snapshot = replace(state.snapshot, chunks=state.snapshot.chunks + 1)
    return None


def close_snapshot(
    state: State, entry: SnapshotClosed, offset: int
) -> Reason | None:
    """Close the snapshot that is open if all its chunks were counted."""
    refusal = _check_open(state, entry.snapshot_id)
    if refusal:
        return refusal
    if entry.chunks != state.snapshot.chunks:
        return f'{state.snapshot.chunks} of {entry.chunks} chunks were written'
    state.snapshot = replace(state.snapshot, closed=offset)
    return None


def _check_open(state: State, snapshot_id: str) -> Reason | None:
    current = state.snapshot
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

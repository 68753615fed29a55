"""Spreads what every member may do, so that mostly one of them does it."""

import zlib

SPREAD_SECONDS = 30
MAX_CHECKSUM = 0xFFFFFFFF


def choose_wait(member: str) -> float:
    """Return how many seconds a member waits, always the same for it."""
    return zlib.crc32(member.encode()) / MAX_CHECKSUM * SPREAD_SECONDS

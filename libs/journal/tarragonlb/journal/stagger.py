"""Staggered delays, so that usually one member does what any member may do."""

import zlib

SPREAD_SECONDS = 30
MAX_CHECKSUM = 0xFFFFFFFF


def choose_delay(member: str) -> float:
    """Return the delay of a member in seconds, always the same for it."""
    return zlib.crc32(member.encode()) / MAX_CHECKSUM * SPREAD_SECONDS

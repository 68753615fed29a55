"""Staggered delays for actions that any member may carry out.

Usually only the member with the shortest delay acts, as the others see its
record before their own delay has passed.
"""

import zlib

MAX_DELAY_SECONDS = 30
MAX_CHECKSUM = 0xFFFFFFFF


def choose_delay(member: str) -> float:
    """Return the delay of a member in seconds, which depends on its name."""
    return zlib.crc32(member.encode()) / MAX_CHECKSUM * MAX_DELAY_SECONDS

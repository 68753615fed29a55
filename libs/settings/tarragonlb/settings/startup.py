"""The schema of a daemon's start-up file: where it runs, and its operators.

The file is read once, when the daemon starts.
"""

import enum
from dataclasses import dataclass

from tarragonlb.settings.schema import Address, Digest, Name, Positive


class Role(enum.StrEnum):
    """The permissions of an operator."""

    ADMIN = 'admin'
    VIEWER = 'viewer'


@dataclass(frozen=True, slots=True, kw_only=True)
class OperatorSettings:
    """One operator, identified by the hash of a token.

    A viewer can only read.
    """

    name: Name
    token_sha256: Digest
    role: Role = Role.ADMIN


@dataclass(frozen=True, slots=True, kw_only=True)
class DaemonSettings:
    """A daemon's start-up file."""

    name: Name
    zone: Name
    listen: Address
    peer_listen: Address
    platform: Address
    peers: tuple[Address, ...] = ()
    operators: tuple[OperatorSettings, ...] = ()
    stop_limit_seconds: Positive = 60

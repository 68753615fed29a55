"""The shape of a daemon's start-up file: where it runs, and who operates it."""

import enum
from dataclasses import dataclass

from tarragonlb.settings.schema import Address, Digest, Name, Positive


class Role(enum.StrEnum):
    """Say what an operator may do."""

    ADMIN = 'admin'
    VIEWER = 'viewer'


@dataclass(frozen=True, slots=True, kw_only=True)
class OperatorSettings:
    """One operator, by the hash of a token; a viewer changes nothing."""

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

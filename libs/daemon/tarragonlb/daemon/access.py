"""Authentication and authorization by bearer tokens of teams and operators.

Settings hold only hashes of tokens.  A token belongs to one team, which may
read and write its own subtree of the settings, or to an operator.  An operator
with the role viewer may read everything, one with the role admin may also
change it.
"""

import hashlib
from dataclasses import dataclass

from tarragonlb.daemon.ratelimit import RateLimiter
from tarragonlb.journal.state import State
from tarragonlb.model.errors import RefusedError
from tarragonlb.model.verdict import Verdict
from tarragonlb.settings.startup import DaemonSettings, Role

STATUS_UNAUTHORIZED = 401
STATUS_FORBIDDEN = 403
STATUS_TOO_MANY_REQUESTS = 429
BEARER = 'Bearer '


@dataclass(frozen=True, slots=True)
class Identity:
    """An authenticated team, or an operator if ``team`` is empty."""

    name: str
    team: str = ''
    role: Role = Role.ADMIN

    def require_admin(self) -> None:
        """Raise ``RefusedError`` for an operator with the role viewer."""
        if self.role is Role.VIEWER:
            raise RefusedError(
                f'operator {self.name} is a viewer and may change nothing',
                verdict=Verdict.NOT_RUN,
                status=STATUS_FORBIDDEN,
            )

    def require_operator(self) -> None:
        """Raise ``RefusedError`` unless this is an operator."""
        if self.team:
            raise RefusedError(
                f'team {self.team} is not an operator',
                verdict=Verdict.NOT_RUN,
                status=STATUS_FORBIDDEN,
            )

    def require_team(self, team: str) -> None:
        """Raise ``RefusedError`` unless this is ``team`` or an operator."""
        if self.team not in {'', team}:
            raise RefusedError(
                f'team {self.team} may not see team {team}',
                verdict=Verdict.NOT_RUN,
                status=STATUS_FORBIDDEN,
            )


class AccessTable:
    """Index of valid token hashes, rebuilt when the settings change."""

    __slots__ = (
        '_identities',
        '_indexed_offset',
        '_limiter',
        '_operators',
        '_state',
    )

    def __init__(self, settings: DaemonSettings, state: State) -> None:
        """Take operators from the start-up file and teams from the state."""
        self._operators = settings.operators
        self._state = state
        self._limiter = RateLimiter()
        self._indexed_offset = -1
        self._identities: dict[str, Identity] = {}

    def identify(self, authorization: str) -> Identity:
        """Return the identity that an ``Authorization`` header proves.

        Raise ``RefusedError`` if the token is missing or unknown.
        """
        token = authorization.removeprefix(BEARER)
        digest = hashlib.sha256(token.encode()).hexdigest()
        identity = self._get_identities().get(digest)
        if identity is None or not authorization.startswith(BEARER):
            raise RefusedError(
                'the token is missing or not known, '
                'expected the bearer token of a team or operator',
                verdict=Verdict.NOT_RUN,
                status=STATUS_UNAUTHORIZED,
            )
        return identity

    def enforce_rate_limit(self, identity: Identity, now: float) -> None:
        """Count one call of the administration API.

        Raise ``RefusedError`` if the identity exceeds its request rate.
        """
        rate = self._state.fleet.api_requests_per_second
        wait = self._limiter.take(str(identity), rate=rate, now=now)
        if wait is not None:
            raise RefusedError(
                f'{identity.name} may call {rate:g} times a second '
                '(/fleet api_requests_per_second)',
                verdict=Verdict.NOT_RUN,
                status=STATUS_TOO_MANY_REQUESTS,
                retry_after=wait,
            )

    def _get_identities(self) -> dict[str, Identity]:
        if self._indexed_offset != self._state.settings_offset:
            self._indexed_offset = self._state.settings_offset
            self._identities = self._index_tokens()
        return self._identities

    def _index_tokens(self) -> dict[str, Identity]:
        identities = {
            digest: Identity(name=team, team=team)
            for team, settings in self._state.teams.items()
            for digest in settings.tokens
        }
        for operator in self._operators:
            identities[operator.token_sha256] = Identity(
                name=operator.name, role=operator.role
            )
        return identities

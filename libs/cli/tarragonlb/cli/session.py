"""Options shared by all commands that call the API."""

import sys
from dataclasses import dataclass
from typing import Annotated, Any

import cyclopts

from tarragonlb.cli.client import Server
from tarragonlb.cli.output import OutputFormat, format_answer


@cyclopts.Parameter(name='*')
@dataclass(frozen=True, slots=True, kw_only=True)
class Session:
    """Address of the API, token of the caller, and output format."""

    server: Annotated[
        str,
        cyclopts.Parameter(
            help='Address of an entry VM.', env_var='TARRAGONLB_SERVER'
        ),
    ] = 'http://127.0.0.1:8080'
    token: Annotated[
        str,
        cyclopts.Parameter(
            help='Bearer token of a team or an operator.',
            env_var='TARRAGONLB_TOKEN',
            show_default=False,
        ),
    ] = ''
    output: Annotated[
        OutputFormat, cyclopts.Parameter(help='Shape of the answer.')
    ] = OutputFormat.TEXT

    def connect(self) -> Server:
        """Return a client for the server."""
        return Server(url=self.server, token=self.token)

    def show(self, answer: Any) -> None:
        """Print an answer in the chosen format."""
        sys.stdout.write(f'{format_answer(answer, self.output)}\n')

    def get(self, path: str) -> None:
        """Get a path and print the answer."""
        self.show(self.connect().call('GET', path))


DEFAULT_SESSION = Session()

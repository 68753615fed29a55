"""Callers that keep asking while faults happen, and note what they are told.

Callers of unrepeatable work lose patience early and ask again elsewhere with
the same key, while the first try may still be on its way.  Each try has a
mark of its own, by which the endpoints' journals say whether it ran.
"""

import functools
import itertools
import threading
from collections.abc import Callable, Mapping
from dataclasses import dataclass

import httpcore

from tarragonlb.standin.apiclient import TIMEOUT_SECONDS, ApiClient, ApiResponse

PAUSE_SECONDS = 0.1
CALL_SECONDS = 0.2
ANSWER_BYTES = 20_000
PATIENCE_SECONDS = 2
STATUS_OK = 200
STATUS_NONE = 0


@dataclass(frozen=True, slots=True)
class Try:
    """One try of a request: what its caller was told.

    ``status`` is 0 where the answer did not arrive as a whole.  ``own`` says
    that a whole answer with status 200 is the one to this very request.
    """

    mark: str
    key: str
    entry: str
    status: int
    verdict: str = ''
    own: bool = False


class Load:
    """Owns the threads of the callers of an installation."""

    __slots__ = ('_addresses', '_stopped', '_threads', '_token', 'tries')

    def __init__(self, addresses: Mapping[str, str], token: str) -> None:
        """Call the entry VMs at these addresses as one team."""
        self._addresses = addresses
        self._token = token
        self._stopped = threading.Event()
        self._threads: list[threading.Thread] = []
        self.tries: list[Try] = []

    def start(self) -> None:
        """Start one caller for each entry VM, and one of unrepeatable work."""
        for entry in self._addresses:
            self._start(functools.partial(self._repeat, entry))
        self._start(self._run_once_each)

    def start_long(self, entry: str, seconds: float, mark: str) -> None:
        """Start one request that takes long."""
        self._start(
            functools.partial(self._ask, entry, 'transcribe', mark, '', seconds)
        )

    def find(self, mark: str) -> Try | None:
        """Return the try with a mark, once it has ended."""
        return next((one for one in self.tries if one.mark == mark), None)

    def stop(self) -> None:
        """Stop asking and wait for the last answers."""
        self._stopped.set()
        for thread in self._threads:
            thread.join()

    def _start(self, work: Callable[[], object]) -> None:
        thread = threading.Thread(target=work, daemon=True)
        self._threads.append(thread)
        thread.start()

    def _repeat(self, entry: str) -> None:
        for number in itertools.count():
            if self._stopped.wait(PAUSE_SECONDS):
                return
            self._ask(entry, 'transcribe', f'{entry}-{number}', '')

    def _run_once_each(self) -> None:
        entries = itertools.cycle(self._addresses)
        for number in itertools.count():
            if self._stopped.wait(PAUSE_SECONDS):
                return
            self._run_once(f'key-{number}', entries)

    def _run_once(self, key: str, entries: 'itertools.cycle[str]') -> None:
        for attempt, entry in enumerate(itertools.islice(entries, 4)):
            mark = f'{key}-{attempt}'
            told = self._ask(entry, 'dispatch-booklet', mark, key)
            if told.status == STATUS_OK:
                return

    def _ask(
        self,
        entry: str,
        service: str,
        mark: str,
        key: str,
        seconds: float = CALL_SECONDS,
    ) -> Try:
        caller = ApiClient(self._addresses[entry], self._token)
        query = f'mark={mark}&seconds={seconds}&size={ANSWER_BYTES}'
        headers = {'idempotency-key': key} if key else {}
        try:
            answer = caller.request(
                'POST',
                f'/call/{service}/x?{query}',
                mark.encode(),
                headers,
                PATIENCE_SECONDS if key else TIMEOUT_SECONDS,
            )
        except (httpcore.NetworkError, httpcore.ProtocolError):
            told = Try(mark, key, entry, STATUS_NONE)
        except httpcore.TimeoutException:
            told = Try(mark, key, entry, STATUS_NONE)
        else:
            told = _judge(mark, key, entry, answer)
        self.tries.append(told)
        return told


def _judge(mark: str, key: str, entry: str, answer: ApiResponse) -> Try:
    verdict = answer.headers.get('tarragon-verdict', '')
    own = answer.status == STATUS_OK and _is_own(mark, answer)
    return Try(mark, key, entry, answer.status, verdict, own)


def _is_own(mark: str, answer: ApiResponse) -> bool:
    filler = (mark * ANSWER_BYTES)[:ANSWER_BYTES]
    body = answer.fields
    seen = (body.get('mark'), body.get('body'), body.get('filler'))
    return seen == (mark, mark, filler)

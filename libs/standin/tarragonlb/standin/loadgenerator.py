"""Load generator that sends requests during faults and records the responses.

For unrepeatable requests it uses a short timeout and retries at another entry
VM with the same idempotency key while the first try may still be running.
Each try carries its own mark, so that the endpoints' journals show whether it
ran.
"""

import functools
import itertools
import threading
from collections.abc import Callable, Mapping
from dataclasses import dataclass

import httpcore

from tarragonlb.standin.apiclient import TIMEOUT_SECONDS, ApiClient, ApiResponse

SEND_INTERVAL_SECONDS = 0.1
REQUEST_SECONDS = 0.2
RESPONSE_BYTES = 20_000
UNREPEATABLE_TIMEOUT_SECONDS = 2
STATUS_OK = 200
STATUS_NO_RESPONSE = 0


@dataclass(frozen=True, slots=True)
class RequestRecord:
    """One try of a request and the response to it.

    ``status`` is 0 if no complete response arrived.  ``matches`` is true if a
    complete response with status 200 belongs to this very request.
    """

    mark: str
    key: str
    entry: str
    status: int
    verdict: str = ''
    matches: bool = False


class LoadGenerator:
    """Runs the client threads of an installation and keeps their records."""

    __slots__ = ('_addresses', '_stopped', '_threads', '_token', 'records')

    def __init__(self, addresses: Mapping[str, str], token: str) -> None:
        """Send to the entry VMs at ``addresses`` with the token of a team."""
        self._addresses = addresses
        self._token = token
        self._stopped = threading.Event()
        self._threads: list[threading.Thread] = []
        self.records: list[RequestRecord] = []

    def start(self) -> None:
        """Start a client per entry VM, and one for unrepeatable requests."""
        for entry in self._addresses:
            self._start(functools.partial(self._send_repeatedly, entry))
        self._start(self._send_unrepeatable)

    def start_long_request(self, entry: str, seconds: float, mark: str) -> None:
        """Start a single request that runs for ``seconds``."""
        self._start(
            functools.partial(
                self._send, entry, 'transcribe', mark, '', seconds
            )
        )

    def find_record(self, mark: str) -> RequestRecord | None:
        """Return the record with a mark, or None before the try has ended."""
        return next(
            (record for record in self.records if record.mark == mark), None
        )

    def stop(self) -> None:
        """Stop sending and wait for the outstanding responses."""
        self._stopped.set()
        for thread in self._threads:
            thread.join()

    def _start(self, function: Callable[[], object]) -> None:
        thread = threading.Thread(target=function, daemon=True)
        self._threads.append(thread)
        thread.start()

    def _send_repeatedly(self, entry: str) -> None:
        for number in itertools.count():
            if self._stopped.wait(SEND_INTERVAL_SECONDS):
                return
            self._send(entry, 'transcribe', f'{entry}-{number}', '')

    def _send_unrepeatable(self) -> None:
        entries = itertools.cycle(self._addresses)
        for number in itertools.count():
            if self._stopped.wait(SEND_INTERVAL_SECONDS):
                return
            self._send_with_retries(f'key-{number}', entries)

    def _send_with_retries(
        self, key: str, entries: 'itertools.cycle[str]'
    ) -> None:
        for attempt, entry in enumerate(itertools.islice(entries, 4)):
            mark = f'{key}-{attempt}'
            record = self._send(entry, 'dispatch-booklet', mark, key)
            if record.status == STATUS_OK:
                return

    def _send(
        self,
        entry: str,
        service: str,
        mark: str,
        key: str,
        seconds: float = REQUEST_SECONDS,
    ) -> RequestRecord:
        client = ApiClient(self._addresses[entry], self._token)
        query = f'mark={mark}&seconds={seconds}&size={RESPONSE_BYTES}'
        headers = {'idempotency-key': key} if key else {}
        try:
            response = client.request(
                'POST',
                f'/call/{service}/x?{query}',
                mark.encode(),
                headers,
                UNREPEATABLE_TIMEOUT_SECONDS if key else TIMEOUT_SECONDS,
            )
        except (httpcore.NetworkError, httpcore.ProtocolError):
            record = RequestRecord(mark, key, entry, STATUS_NO_RESPONSE)
        except httpcore.TimeoutException:
            record = RequestRecord(mark, key, entry, STATUS_NO_RESPONSE)
        else:
            record = _make_record(mark, key, entry, response)
        self.records.append(record)
        return record


def _make_record(
    mark: str, key: str, entry: str, response: ApiResponse
) -> RequestRecord:
    verdict = response.headers.get('tarragon-verdict', '')
    matches = response.status == STATUS_OK and _matches_request(mark, response)
    return RequestRecord(mark, key, entry, response.status, verdict, matches)


def _matches_request(mark: str, response: ApiResponse) -> bool:
    filler = (mark * RESPONSE_BYTES)[:RESPONSE_BYTES]
    fields = response.fields
    received = (fields.get('mark'), fields.get('body'), fields.get('filler'))
    return received == (mark, mark, filler)

"""Watches what every entry VM shows, to see whether anything reverts."""

import threading
from collections.abc import Mapping

import httpcore

from tarragonlb.standin.apiclient import ApiClient, ApiResponse

PAUSE_SECONDS = 0.2
STATUS_OK = 200


class Observer:
    """Owns one thread for each entry VM.

    ``versions`` holds, for each, the versions of a path in the order seen,
    and ``pools`` every different answer about VMs and their pools.
    """

    __slots__ = (
        '_addresses',
        '_path',
        '_stopped',
        '_threads',
        '_token',
        'pools',
        'versions',
    )

    def __init__(
        self, addresses: Mapping[str, str], token: str, path: str
    ) -> None:
        """Watch one path of the settings as an operator."""
        self._addresses = addresses
        self._token = token
        self._path = path
        self._stopped = threading.Event()
        self._threads: list[threading.Thread] = []
        self.versions: dict[str, list[int]] = {
            entry: [0] for entry in addresses
        }
        self.pools: set[tuple[tuple[str, str], ...]] = set()

    def start(self) -> None:
        """Start to watch all entry VMs."""
        for entry in self._addresses:
            thread = threading.Thread(
                target=self._watch, args=(entry,), daemon=True
            )
            self._threads.append(thread)
            thread.start()

    def has_version(self, version: int) -> bool:
        """Return whether every entry VM shows at least a version by now."""
        return all(seen[-1] >= version for seen in self.versions.values())

    def stop(self) -> None:
        """Stop to watch."""
        self._stopped.set()
        for thread in self._threads:
            thread.join()

    def _watch(self, entry: str) -> None:
        caller = ApiClient(self._addresses[entry], self._token)
        while not self._stopped.wait(PAUSE_SECONDS):
            shown = try_get(caller, self._path)
            if shown:
                seen = self.versions[entry]
                seen.append(_read_version(shown, seen[-1]))
            vms = try_get(caller, '/v1/vms')
            if vms and vms.status == STATUS_OK:
                rows = sorted((row['vm_id'], row['pool']) for row in vms.rows)
                self.pools.add(tuple(rows))


def try_get(caller: ApiClient, path: str) -> ApiResponse | None:
    """Return an answer, or None where none arrived."""
    try:
        return caller.get(path)
    except (httpcore.NetworkError, httpcore.ProtocolError):
        return None
    except httpcore.TimeoutException:
        return None


def _read_version(shown: ApiResponse, before: int) -> int:
    if shown.status == STATUS_OK:
        return int(shown.fields['version'])
    refused = shown.headers.get('tarragon-verdict') == 'not-run'
    known = shown.status in {401, 404}
    return 0 if known or not refused else before

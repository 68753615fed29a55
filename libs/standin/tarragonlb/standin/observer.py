"""Polls settings and VMs on all entry VMs, to detect versions that revert."""

import threading
from collections.abc import Mapping

import httpcore

from tarragonlb.standin.apiclient import ApiClient, ApiResponse

POLL_INTERVAL_SECONDS = 0.2
STATUS_OK = 200


class Observer:
    """Polls each entry VM in a thread of its own.

    ``versions`` lists the versions of a settings document per entry VM, in
    the order received.  ``vm_pools`` is the set of distinct listings of VMs
    with their pools.
    """

    __slots__ = (
        '_addresses',
        '_path',
        '_stopped',
        '_threads',
        '_token',
        'versions',
        'vm_pools',
    )

    def __init__(
        self, addresses: Mapping[str, str], token: str, path: str
    ) -> None:
        """Poll the settings document at ``path`` with an operator's token."""
        self._addresses = addresses
        self._token = token
        self._path = path
        self._stopped = threading.Event()
        self._threads: list[threading.Thread] = []
        self.versions: dict[str, list[int]] = {
            entry: [0] for entry in addresses
        }
        self.vm_pools: set[tuple[tuple[str, str], ...]] = set()

    def start(self) -> None:
        """Start to poll all entry VMs."""
        for entry in self._addresses:
            thread = threading.Thread(
                target=self._poll_entry, args=(entry,), daemon=True
            )
            self._threads.append(thread)
            thread.start()

    def has_version(self, version: int) -> bool:
        """Return whether every entry VM shows at least a version by now."""
        return all(
            versions[-1] >= version for versions in self.versions.values()
        )

    def stop(self) -> None:
        """Stop polling and wait for the threads."""
        self._stopped.set()
        for thread in self._threads:
            thread.join()

    def _poll_entry(self, entry: str) -> None:
        client = ApiClient(self._addresses[entry], self._token)
        while not self._stopped.wait(POLL_INTERVAL_SECONDS):
            settings = try_get(client, self._path)
            if settings:
                versions = self.versions[entry]
                versions.append(_read_version(settings, versions[-1]))
            vms = try_get(client, '/v1/vms')
            if vms and vms.status == STATUS_OK:
                rows = sorted((row['vm_id'], row['pool']) for row in vms.rows)
                self.vm_pools.add(tuple(rows))


def try_get(client: ApiClient, path: str) -> ApiResponse | None:
    """Return the response, or None if no complete one arrived."""
    try:
        return client.get(path)
    except (httpcore.NetworkError, httpcore.ProtocolError):
        return None
    except httpcore.TimeoutException:
        return None


def _read_version(settings: ApiResponse, previous: int) -> int:
    if settings.status == STATUS_OK:
        return int(settings.fields['version'])
    refused = settings.headers.get('tarragon-verdict') == 'not-run'
    known = settings.status in {401, 404}
    return 0 if known or not refused else previous

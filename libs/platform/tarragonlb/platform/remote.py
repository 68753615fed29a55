"""Implementations of the log and the fleet over the platform's HTTP API."""

from collections.abc import Sequence
from typing import Any, TypeVar

import msgspec

from tarragonlb.journal.log import LogEntry, RecordLog
from tarragonlb.model.decoding import Count, DecodingError, convert
from tarragonlb.model.errors import PlatformError
from tarragonlb.model.fleet import FleetReading
from tarragonlb.platform.client import CALL_TIMEOUT_SECONDS, PlatformClient
from tarragonlb.platform.fleet import Fleet, TaskOrder

Content = TypeVar('Content')


def _convert(tree: Any, expected: type[Content]) -> Content:
    """Return a response's content; raise ``PlatformError`` if invalid."""
    try:
        return convert(tree, expected)
    except DecodingError as error:
        raise PlatformError(f'the response is invalid: {error}') from error


class RemoteLog(RecordLog):
    """Reads and appends records through the platform's HTTP API."""

    __slots__ = ('_client',)

    def __init__(self, client: PlatformClient) -> None:
        """Send all calls through ``client``."""
        self._client = client

    async def append(self, blobs: Sequence[bytes]) -> None:
        """Append records in the given order."""
        await self._client.call('/log/append', list(blobs))

    async def read(self, after: int, wait_seconds: float) -> list[LogEntry]:
        """Return the records after an offset."""
        rows = await self._client.call(
            '/log/read',
            {'after': after, 'wait_seconds': wait_seconds},
            timeout_seconds=wait_seconds + CALL_TIMEOUT_SECONDS,
        )
        entries = _convert(rows, list[tuple[Count, bytes]])
        return [LogEntry(offset, blob) for offset, blob in entries]


class RemoteFleet(Fleet):
    """Reads and controls VMs and tasks through the platform's HTTP API."""

    __slots__ = ('_client',)

    def __init__(self, client: PlatformClient) -> None:
        """Send all calls through ``client``."""
        self._client = client

    async def read(self, after: int, wait_seconds: float) -> FleetReading:
        """Return the changes of the platform's list."""
        tree = await self._client.call(
            '/fleet/read',
            {'after': after, 'wait_seconds': wait_seconds},
            timeout_seconds=wait_seconds + CALL_TIMEOUT_SECONDS,
        )
        return _convert(tree, FleetReading)

    async def drain(self, vm_id: str, boot: int) -> None:
        """Drain a VM."""
        await self._client.call('/fleet/drain', {'vm_id': vm_id, 'boot': boot})

    async def reboot(self, vm_id: str, boot: int) -> None:
        """Reboot a drained VM."""
        await self._client.call('/fleet/reboot', {'vm_id': vm_id, 'boot': boot})

    async def move(self, vm_id: str, boot: int, pool: str) -> None:
        """Move a drained VM to another pool."""
        order = {'vm_id': vm_id, 'boot': boot, 'pool': pool}
        await self._client.call('/fleet/move', order)

    async def start_task(self, order: TaskOrder) -> None:
        """Start a task on a worker, or renew its lease."""
        await self._client.call('/fleet/start_task', msgspec.to_builtins(order))

    async def stop_task(self, vm_id: str, boot: int, task_id: str) -> None:
        """Stop a task, or prevent it from ever starting."""
        order = {'vm_id': vm_id, 'boot': boot, 'task_id': task_id}
        await self._client.call('/fleet/stop_task', order)


class RemotePlatform:
    """The log, fleet and traffic counter of the platform at one address."""

    __slots__ = ('fleet', 'log', 'traffic')

    def __init__(self, address: str) -> None:
        """Create a client for ``address``, an ``ip:port``."""
        client = PlatformClient(address)
        self.log = RemoteLog(client)
        self.fleet = RemoteFleet(client)
        self.traffic = client.traffic

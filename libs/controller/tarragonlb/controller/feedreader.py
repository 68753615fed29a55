"""Reads a partition into the indexes of a feed.

The feed's own task reads, and so do tasks that need what is stored now.  An
error, whoever meets it, is that of the feed's task: what was read so far is
discarded, every read fails, and the task ends with the error.  When it is
started again, reading begins with a snapshot.
"""

from collections.abc import Callable, Iterable

from tarragonlb.controller.partitionreader import PartitionReader, RecordUpdate
from tarragonlb.controller.ports import Store, Topic
from tarragonlb.controller.results import NotDone
from tarragonlb.scheduling.records import KeyedRecord


class FeedRestartedError(Exception):
    """The records that an owner relies on are being read anew."""


class FeedReader:
    """Reads one partition; several reads may run concurrently.

    ``apply`` is called with the records of each read.  ``discard`` is called
    after an error, when the indexes may lack some of the records; it has to
    replace them by empty ones.
    """

    __slots__ = (
        '_apply',
        '_discard',
        '_failure',
        '_partition',
        '_reader',
        '_store',
        '_topic',
    )

    def __init__(
        self,
        store: Store,
        topic: Topic,
        partition: int,
        apply: Callable[[RecordUpdate], None],
        discard: Callable[[], None],
    ) -> None:
        """Start with a snapshot of the partition."""
        self._store = store
        self._topic = topic
        self._partition = partition
        self._apply = apply
        self._discard = discard
        self._failure: Exception | None = None
        self._reader = self._create_reader()

    @property
    def next_offset(self) -> int:
        """Return the end of the records that were read."""
        return self._reader.next_offset or 0

    def start(self) -> None:
        """Read again after an error; called by the feed's task."""
        self._failure = None

    def check(self) -> None:
        """Raise the error of a read or of another task, if there was one."""
        if self._failure is not None:
            raise self._failure

    async def read(self, wait_seconds: float) -> RecordUpdate | NotDone:
        """Read and apply new records, or return why that failed.

        Without new records the read waits up to ``wait_seconds``.
        """
        if self._failure is not None:
            return NotDone('an error ended the reading')
        reader = self._reader
        try:
            update = await reader.poll(wait_seconds)
        except Exception as error:
            return self._fail(error)
        if isinstance(update, NotDone):
            return update
        if reader is not self._reader:
            return NotDone('the records are read anew')
        # Concurrent reads continue where this one ended, so its records have to
        # be applied before the next call to the store.
        return self._try_apply(update, self._apply)

    def apply_stored(
        self,
        records: Iterable[KeyedRecord],
        first: int,
        apply: Callable[[RecordUpdate], object],
    ) -> None:
        """Apply records that this process has stored at offset ``first``.

        After an error they are found in the store instead.
        """
        if self._failure is not None:
            return
        update = RecordUpdate(
            tuple(
                KeyedRecord(record.key, record.value, offset)
                for offset, record in enumerate(records, first)
            )
        )
        self._try_apply(update, apply)

    def _try_apply(
        self, update: RecordUpdate, apply: Callable[[RecordUpdate], object]
    ) -> RecordUpdate | NotDone:
        try:
            apply(update)
        except Exception as error:
            return self._fail(error)
        return update

    def _fail(self, error: Exception) -> NotDone:
        self._failure = error
        self._reader = self._create_reader()
        self._discard()
        return NotDone(f'unexpected: {error!r}')

    def _create_reader(self) -> PartitionReader:
        return PartitionReader(self._store, self._topic, self._partition)

"""Stores the records of requests about jobs, and says what became of them."""

import itertools
from collections.abc import Mapping
from dataclasses import dataclass

import trio

from tarragonlb.controller.groupcommit import GroupCommit
from tarragonlb.controller.partition import PartitionFeed
from tarragonlb.controller.platformview import PlatformView
from tarragonlb.controller.ports import Clock, Store
from tarragonlb.controller.results import NotDone, Stored
from tarragonlb.controller.settings import ControllerSettings
from tarragonlb.model.verdict import Verdict
from tarragonlb.scheduling.records import KeyedRecord

# Long enough for another daemon to reach the store, short compared with the
# deadlines of clients.
RETRY_AFTER_SECONDS = 1
# After two rejections the store counts as down for this daemon; another daemon
# may still reach it.
MAX_REJECTIONS = 2


@dataclass(frozen=True, slots=True)
class RequestOutcome:
    """The outcome of a request to submit or cancel a job.

    RAN: the request is stored.  NOT_RUN: it was rejected and may be retried
    after ``retry_after`` seconds.  MAY_HAVE_RUN: the outcome is unknown.
    ``reason`` is the store's last error.  ``is_conflict`` means that the id is
    that of another tenant's job, so the same request never succeeds.
    """

    verdict: Verdict
    retry_after: int = 0
    reason: str = ''
    is_conflict: bool = False


class JobAppender:
    """Appends to the partitions of jobs, for all clients of a daemon."""

    __slots__ = (
        '_clock',
        '_commits',
        '_feeds',
        '_settings',
        '_store',
        '_view',
    )

    def __init__(
        self,
        store: Store,
        feeds: Mapping[int, PartitionFeed],
        settings: ControllerSettings,
        clock: Clock,
        view: PlatformView,
    ) -> None:
        """Append to ``store``, and show in ``feeds`` what is stored."""
        self._store = store
        self._feeds = feeds
        self._settings = settings
        self._clock = clock
        self._view = view
        self._commits: dict[int, GroupCommit] = {}

    def refuse_without_contact(self) -> RequestOutcome | None:
        """Return a refusal if the store may be unavailable, else None."""
        contact_age = self._view.compute_contact_age(
            self._clock.read_boottime()
        )
        if contact_age <= self._settings.store_suspect_seconds:
            return None
        reason = f'no contact with the store for {contact_age:.1f} s'
        return RequestOutcome(Verdict.NOT_RUN, RETRY_AFTER_SECONDS, reason)

    async def append(
        self, partition: int, record: KeyedRecord
    ) -> RequestOutcome:
        """Append a record to a partition; retry while the result is unknown."""
        refused = self.refuse_without_contact()
        if refused is not None:
            return refused
        verdict = Verdict.NOT_RUN
        reason = ''
        deadline = (
            self._clock.read_monotonic() + self._settings.submit_timeout_seconds
        )
        for attempt in itertools.count(1):
            result = await self._get_group_commit(partition).append(record)
            if isinstance(result, Stored):
                self._apply_stored(partition, record, result.first)
                return RequestOutcome(Verdict.RAN)
            reason = result.reason
            if not isinstance(result, NotDone):
                verdict = Verdict.MAY_HAVE_RUN
            is_expired = self._clock.read_monotonic() >= deadline
            is_rejected = (
                verdict is Verdict.NOT_RUN and attempt >= MAX_REJECTIONS
            )
            if is_expired or is_rejected:
                break
            await trio.sleep(self._settings.store_retry_seconds)
        return RequestOutcome(verdict, RETRY_AFTER_SECONDS, reason)

    def _get_group_commit(self, partition: int) -> GroupCommit:
        commit = self._commits.get(partition)
        if commit is None:
            commit = GroupCommit(self._store, partition)
            self._commits[partition] = commit
        return commit

    def _apply_stored(
        self, partition: int, record: KeyedRecord, first: int
    ) -> None:
        feed = self._feeds.get(partition)
        if feed is not None:
            feed.apply_stored((record,), first)

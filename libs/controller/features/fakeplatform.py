"""In-memory platform: implements the interfaces of the controller's ports."""

from collections import Counter, defaultdict

import trio

from tarragonlb.controller.ports import (
    OrderReply,
    StatusReply,
    Store,
    Topic,
    VmApi,
    WorkerApi,
)
from tarragonlb.controller.results import (
    Assignment,
    Batch,
    Fenced,
    NotDone,
    Stored,
    Trimmed,
    Uncertain,
)
from tarragonlb.scheduling.orders import OrderResult
from tarragonlb.scheduling.queue import Queue
from tarragonlb.scheduling.records import KeyedRecord
from tarragonlb.scheduling.wave import Vm, VmStatus
from tarragonlb.scheduling.worker import (
    EndedAttempt,
    RunningAttempt,
    WorkerReport,
)

PARTITIONS = 4
CALL_SECONDS = 0.005
SLOW_APPEND_SECONDS = 0.12
MAX_QUEUED_APPENDS = 8
TASK_SECONDS = 1.0
POLL_SECONDS = 0.01
# The adapter's timeout for a call, in addition to a read's wait.
TIMEOUT_SECONDS = 0.8
QUEUE = Queue(
    name='q', host='h', path_prefix='/q/', pool='pool', max_attempts=3
)


class FakeClock:
    def read_monotonic(self):
        return trio.current_time()

    read_boottime = read_monotonic
    read_wall = read_monotonic


class FakeStore(Store):
    """A store in memory; its ``mode`` is up, refuse, lose, hang or slow.

    "refuse" rejects calls, "lose" carries out appends but loses the responses,
    "hang" lets appends time out, and "slow" delays appends.  Fencing and
    joining fail in every mode but "up".
    """

    def __init__(self):
        self.logs = defaultdict(list)
        self.epochs = defaultdict(int)
        self.append_offsets = {}
        self.groups = defaultdict(dict)
        self.holders = defaultdict(dict)
        self.revoked = defaultdict(set)
        self.cut_members = set()
        self.generations = defaultdict(int)
        self.calls = Counter()
        self.mode = 'up'
        self.firsts = defaultdict(int)
        self.waves = {}
        self.connections = defaultdict(object)
        self.read_seconds = defaultdict(lambda: CALL_SECONDS)
        self.append_locks = defaultdict(trio.Lock)

    async def append(self, partition, records, append_key, topic=Topic.JOBS):
        if self.mode == 'hang':
            await trio.sleep(TIMEOUT_SECONDS)
            return Uncertain('no answer')
        if self.mode == 'slow':
            # A partition processes one append after the other.
            lock = self.append_locks[partition]
            if lock.statistics().tasks_waiting >= MAX_QUEUED_APPENDS:
                return NotDone('try later')
            async with lock:
                await trio.sleep(SLOW_APPEND_SECONDS)
        await trio.sleep(CALL_SECONDS)
        if self.mode == 'refuse':
            return NotDone('busy')
        key = (topic, partition)
        if append_key is not None:
            if append_key.term < self.epochs[key]:
                return Fenced('fenced')
            append_id = (key, append_key.term, append_key.sequence)
            if append_id in self.append_offsets:
                return Stored(self.append_offsets[append_id])
            self.epochs[key] = append_key.term
            self.append_offsets[append_id] = len(self.logs[key])
        first = len(self.logs[key])
        self.logs[key].extend(records)
        if self.mode == 'lose':
            return Uncertain('no answer')
        return Stored(first)

    async def fence(self, partition, term, topic=Topic.JOBS):
        await trio.sleep(CALL_SECONDS)
        if self.mode != 'up':
            return NotDone('busy')
        if term < self.epochs[topic, partition]:
            return Fenced('fenced')
        self.epochs[topic, partition] = term
        return Stored(-1)

    async def read(self, topic, partition, offset, wait_seconds):
        await trio.sleep(self.read_seconds[topic])
        if self.mode == 'refuse':
            return NotDone('busy')
        key = (topic, partition)
        if offset < self.firsts[key]:
            return Trimmed(self.firsts[key])
        connection = self.connections[topic]
        for _ in range(int(wait_seconds / POLL_SECONDS)):
            if (
                len(self.logs[key]) > offset
                and connection is self.connections[topic]
            ):
                break
            await trio.sleep(POLL_SECONDS)
        if connection is not self.connections[topic]:
            await trio.sleep(TIMEOUT_SECONDS)
            return NotDone('no answer')
        log = self.logs[key]
        records = tuple(
            KeyedRecord(record.key, record.value, number)
            for number, record in enumerate(log)
            if number >= offset
        )
        return Batch(records, len(log), len(log))

    def drop_pending_reads(self, topic):
        """Let the pending reads of a topic time out without a response."""
        self.connections[topic] = object()

    async def read_newest(self, topic, partition):
        await trio.sleep(CALL_SECONDS)
        if self.mode == 'refuse':
            return NotDone('busy')
        log = self.logs[topic, partition]
        newest = {
            record.key: KeyedRecord(record.key, record.value, number)
            for number, record in enumerate(log)
        }
        kept = tuple(r for r in newest.values() if r.value)
        return Batch(kept, len(log), len(log))

    async def join(self, partition, member, ttl_seconds, generation):
        self.calls['join'] += 1
        await trio.sleep(CALL_SECONDS)
        if self.mode != 'up' or member in self.cut_members:
            return NotDone('busy')
        members = self.groups[partition]
        self._expire_members(partition)
        is_new = member not in members
        members[member] = trio.current_time() + ttl_seconds
        if is_new:
            self._note_change(partition)
        self._deal(member, partition)
        mine = frozenset(
            dealt
            for dealt, holder in self.holders[partition].items()
            if holder == member
        )
        return Assignment(self.generations[partition], mine)

    def _deal(self, member, partition):
        """Give a joining member what is its own and nobody else holds.

        What was to go to another member, even for a moment, is given back by
        one join before a later one may get it again.
        """
        names = sorted(self.groups[partition])
        holders, revoked = self.holders[partition], self.revoked[partition]
        for dealt in range(PARTITIONS):
            holder = holders.get(dealt)
            if holder == member and dealt in revoked:
                revoked.discard(dealt)
                holders[dealt] = None
            elif holder == member or holder not in names:
                is_mine = names[dealt % len(names)] == member
                holders[dealt] = member if is_mine else None
                revoked.discard(dealt)

    def _note_change(self, partition):
        self.generations[partition] += 1
        names = sorted(self.groups[partition])
        for dealt, holder in self.holders[partition].items():
            if names and names[dealt % len(names)] != holder:
                self.revoked[partition].add(dealt)

    async def leave(self, partition, member):
        if self.groups[partition].pop(member, None) is not None:
            self._note_change(partition)

    async def list_owners(self, partition):
        self.calls['list_owners'] += 1
        await trio.sleep(CALL_SECONDS)
        if self.mode != 'up':
            return NotDone('busy')
        self._expire_members(partition)
        return frozenset(self.groups[partition])

    def _expire_members(self, partition):
        now = trio.current_time()
        members = self.groups[partition]
        for name, until in tuple(members.items()):
            if until <= now:
                members.pop(name)
                self._note_change(partition)

    async def publish_wave_status(self, wave, *, is_complete):
        self.waves[wave] = is_complete
        return Stored(0)


class StoreAccess:
    """The store as one daemon calls it, with the time of each of its reads."""

    def __init__(self, store, reads):
        self._store = store
        self._reads = reads

    def __getattr__(self, name):
        return getattr(self._store, name)

    async def read(self, topic, partition, offset, wait_seconds):
        self._reads.append((trio.current_time(), (topic, partition)))
        return await self._store.read(topic, partition, offset, wait_seconds)


class FakeWorkerApi(WorkerApi):
    """Workers that run each task for a second and share one clock."""

    def __init__(self):
        self.runs = defaultdict(dict)
        self.ended = defaultdict(list)
        self.fences = defaultdict(int)
        self.starts = []
        self.most_runs = 0
        self.unreachable = set()
        self.last_end_numbers = defaultdict(int)

    async def poll_status(self, request):
        worker_id = request.worker.worker_id
        started_at = trio.current_time()
        if worker_id in self.unreachable:
            await trio.sleep(TIMEOUT_SECONDS)
            return OrderResult.UNANSWERED
        if request.token < self.fences[worker_id]:
            return OrderResult.FENCED
        self.fences[worker_id] = request.token
        wait_until = started_at + request.wait_seconds
        self._advance(worker_id)
        while not self._has_new_ends(worker_id, request.acknowledged_end):
            if trio.current_time() >= wait_until:
                break
            await trio.sleep(0.02)
            self._advance(worker_id)
        if worker_id in self.unreachable:
            await trio.sleep(TIMEOUT_SECONDS)
            return OrderResult.UNANSWERED
        await trio.sleep(CALL_SECONDS)
        now = trio.current_time()
        report = WorkerReport(
            worker_id=worker_id,
            requested_at=started_at,
            received_at=now,
            incarnation=1,
            running=tuple(
                RunningAttempt(key, attempt, '', int(now * 10), 0)
                for key, (attempt, _) in self.runs[worker_id].items()
            ),
            ended=tuple(
                end
                for end in self.ended[worker_id]
                if end.number > request.acknowledged_end
            ),
            token=request.token,
        )
        return StatusReply(report, int(now * 1000))

    async def start(self, worker, order, token, lease_until_ms):
        if worker.worker_id in self.unreachable:
            await trio.sleep(TIMEOUT_SECONDS)
            return OrderReply(OrderResult.UNANSWERED)
        await trio.sleep(CALL_SECONDS)
        if token < self.fences[worker.worker_id]:
            return OrderReply(OrderResult.FENCED)
        self.starts.append((order.key, worker.worker_id))
        self.runs[worker.worker_id][order.key] = (
            order.attempt,
            trio.current_time() + TASK_SECONDS,
        )
        running = len(self.runs[worker.worker_id])
        self.most_runs = max(self.most_runs, running)
        return OrderReply(OrderResult.DONE)

    async def stop(self, worker, order, token):
        await trio.sleep(CALL_SECONDS)
        run = self.runs[worker.worker_id].pop(order.key, None)
        if run is not None:
            self._end(worker.worker_id, order.key, run[0], 'stopped')
        return OrderReply(OrderResult.DONE)

    async def pace(self, worker, order, token):
        return OrderReply(OrderResult.DONE)

    def _advance(self, worker_id):
        now = trio.current_time()
        for key, (attempt, ends_at) in tuple(self.runs[worker_id].items()):
            if now >= ends_at:
                self.runs[worker_id].pop(key)
                self._end(worker_id, key, attempt, 'done')

    def _has_new_ends(self, worker_id, acknowledged_end):
        return any(
            end.number > acknowledged_end for end in self.ended[worker_id]
        )

    def _end(self, worker_id, key, attempt, outcome):
        self.last_end_numbers[worker_id] += 1
        number = self.last_end_numbers[worker_id]
        self.ended[worker_id].append(
            EndedAttempt(number, key, attempt, outcome, '')
        )


class FakeVmApi(VmApi):
    """Lists a VM for each worker; those in ``ended`` run no worker."""

    def __init__(self, workers=0):
        self.workers = workers
        self.ended = set()

    async def list_vms(self):
        await trio.sleep(CALL_SECONDS)
        names = [f'w{number}' for number in range(self.workers)]
        return tuple(
            Vm(
                vm_id=f'm-{name}',
                pool='pool',
                status=VmStatus.DOWN if name in self.ended else VmStatus.UP,
                worker_id='' if name in self.ended else name,
            )
            for name in names
        )

    async def maintain(self, vm, wave, holder, term):
        return OrderResult.DONE

    async def move(self, vm, pool, holder, term):
        return OrderResult.DONE

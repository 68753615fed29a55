"""Workers that restart under their ids, are cut off, and act on late calls.

The next incarnation of a worker knows nothing of before, and executes what was
meant for the former one: calls that waited while the worker was down, and calls
that are let through later.
"""

import itertools
import math
from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial

import trio
from fakeplatform import CALL_SECONDS

from tarragonlb.controller.ports import OrderReply, StatusReply, WorkerApi
from tarragonlb.scheduling.job import TaskKey
from tarragonlb.scheduling.orders import OrderResult
from tarragonlb.scheduling.worker import (
    EndedAttempt,
    RunningAttempt,
    WorkerReport,
)

MAX_LEASE_MS = 6000
CLOCK_RATE = 0.981
TIMEOUT_SECONDS = 0.4
STOP_SECONDS = 0.4
SLICE_SECONDS = 0.02
# After an answer, the next status request is surely under way.
ANSWERED_SECONDS = 0.2
UNANSWERED = OrderReply(OrderResult.UNANSWERED)


@dataclass
class Run:
    """An attempt that ran, or runs, on an incarnation of a worker."""

    key: TaskKey
    attempt: int
    place: tuple[str, int]
    began_at: float
    ends_at: float
    ended_at: float | None = None
    how: str = ''
    stops_at: float = math.inf
    is_noted: bool = False
    # Whether the lease ran out after the end and before that was noted.
    has_lapsed_since: bool = False


@dataclass
class Incarnation:
    """What an incarnation of a worker runs and knows."""

    number: int
    born_at: float
    runs: dict = field(default_factory=dict)
    ends: list = field(default_factory=list)
    barred: dict = field(default_factory=dict)
    last_end: int = 0
    token: int = 0
    lease_ms: float = 0.0

    def read_clock(self, now):
        return int((now - self.born_at) * CLOCK_RATE * 1000)

    def accepts(self, token):
        self.token = max(self.token, token)
        return token == self.token

    def extend(self, until_ms, now):
        longest = self.read_clock(now) + MAX_LEASE_MS
        self.lease_ms = max(self.lease_ms, min(until_ms, longest))


@dataclass(frozen=True)
class HeldCall:
    """A start order on its way."""

    worker_id: str
    key: TaskKey
    execute: Callable[[], None]


class RestartingWorkerApi(WorkerApi):
    """Workers whose tasks take ``seconds``, or last if that is None.

    A worker in ``cut`` gets no call and goes on.  Start orders to workers in
    ``holding`` get no answer and are executed when they are let through.  The
    others take one of ``delays`` in turn to arrive.
    """

    def __init__(self, seconds=0.4):
        self.seconds = seconds
        self.present = {}
        self.numbers = {}
        self.cut = set()
        self.holding = set()
        self.held = []
        self.waiting = []
        self.delays = itertools.repeat(0)
        self.refuses_starts = False
        self.fenced = 0
        self.runs = []
        self.starts = []
        self.answered = defaultdict(trio.Event)

    def find(self, worker_id):
        if worker_id not in self.numbers:
            self.restart(worker_id)
        return self.present.get(worker_id)

    def crash(self, worker_id):
        incarnation = self.find(worker_id)
        now = trio.current_time()
        self._advance(worker_id)
        for run in incarnation.runs.values():
            run.ended_at, run.how = now, 'gone'
        self.present.pop(worker_id)

    def restart(self, worker_id, *, is_late=False):
        """Begin an incarnation; ``is_late`` if held starts come first."""
        number = self.numbers.get(worker_id, 0) + 1
        self.numbers[worker_id] = number
        self.present[worker_id] = Incarnation(number, trio.current_time())
        if is_late:
            self.let_through()
        waiting = [row for row in self.waiting if row[0] == worker_id]
        self.waiting = [row for row in self.waiting if row[0] != worker_id]
        for _, execute in waiting:
            execute()

    async def wait_for_answer(self, worker_id):
        """Wait until just after the worker has answered a status request."""
        answered = self.answered[worker_id] = trio.Event()
        await answered.wait()
        await trio.sleep(ANSWERED_SECONDS)

    def let_through(self):
        """Execute the start orders that were held back.

        A worker that can't be reached executes them, too.
        """
        held, self.held = self.held, []
        for held_call in held:
            if self.present.get(held_call.worker_id):
                held_call.execute()

    def drop_done(self, worker_id):
        """Forget the held starts of tasks that are done.

        The next incarnation would execute them, which nothing guards against.
        """
        self._advance(worker_id)
        done = {run.key for run in self.runs if run.how == 'done'}
        self.held = [
            held_call
            for held_call in self.held
            if held_call.worker_id != worker_id or held_call.key not in done
        ]

    async def poll_status(self, request):
        worker_id = request.worker.worker_id
        seconds = TIMEOUT_SECONDS + request.wait_seconds
        execute = partial(self._check, request)
        reply = await self._call(worker_id, seconds, execute)
        if reply is not True:
            return OrderResult.FENCED if reply is False else UNANSWERED.result
        incarnation = self.present[worker_id]
        sent_at = trio.current_time()
        deadline = sent_at + request.wait_seconds
        while self.present.get(worker_id) is incarnation:
            self._advance(worker_id)
            if incarnation.ends or trio.current_time() >= deadline:
                break
            await trio.sleep(SLICE_SECONDS)
        if self._is_dark(worker_id, incarnation):
            left = sent_at + seconds - trio.current_time()
            await trio.sleep(max(left, 0))
            return OrderResult.UNANSWERED
        self.answered[worker_id].set()
        return self._report(request, incarnation, sent_at)

    async def start(self, worker, order, token, lease_until_ms):
        execute = partial(
            self._start, worker.worker_id, order, token, lease_until_ms
        )
        if worker.worker_id in self.holding:
            self.find(worker.worker_id)
            self.held.append(HeldCall(worker.worker_id, order.key, execute))
            await trio.sleep(TIMEOUT_SECONDS)
            return UNANSWERED
        await trio.sleep(next(self.delays))
        return await self._order(worker.worker_id, execute)

    async def stop(self, worker, order, token):
        execute = partial(self._stop, worker.worker_id, order, token)
        return await self._order(worker.worker_id, execute)

    async def pace(self, worker, order, token):
        return OrderReply(OrderResult.DONE)

    def find_overlaps(self):
        """Return pairs of runs of one task that overlap, on sound workers."""
        now = trio.current_time()
        for worker_id in self.present:
            self._advance(worker_id)
        return [
            (run, later)
            for run in self.runs
            for later in self.runs
            if later is not run
            and later.key == run.key
            and run.began_at <= later.began_at < (run.ended_at or now)
        ]

    def find_repeated(self):
        """Return runs that began after the task had been done."""
        return [
            (run, later)
            for run in self.runs
            for later in self.runs
            if run.how == 'done'
            and run.is_noted
            and not run.has_lapsed_since
            and later.key == run.key
            and later.began_at > run.ended_at
        ]

    async def _order(self, worker_id, execute):
        result = await self._call(worker_id, TIMEOUT_SECONDS, execute)
        if result is None:
            return UNANSWERED
        now = trio.current_time()
        return OrderReply(result, self.present[worker_id].read_clock(now))

    async def _call(self, worker_id, seconds, execute):
        """Return the result of a call, None if the worker does not answer."""
        await trio.sleep(CALL_SECONDS)
        if worker_id in self.cut:
            await trio.sleep(seconds)
            return None
        if self.find(worker_id) is not None:
            return execute()
        results = []
        answered = trio.Event()

        def answer():
            results.append(execute())
            answered.set()

        entry = (worker_id, answer)
        self.waiting.append(entry)
        with trio.move_on_after(seconds):
            await answered.wait()
            return results[0]
        self.waiting.remove(entry)
        return None

    def _is_dark(self, worker_id, incarnation):
        if worker_id in self.cut:
            return True
        return self.present.get(worker_id) is not incarnation

    def _check(self, request):
        worker_id = request.worker.worker_id
        incarnation = self.present[worker_id]
        self._advance(worker_id)
        if not incarnation.accepts(request.token):
            return False
        for end, run in incarnation.ends:
            run.is_noted |= end.number <= request.acknowledged_end
        incarnation.ends = [
            row for row in incarnation.ends if not row[1].is_noted
        ]
        if request.lease_until_ms is not None:
            incarnation.extend(request.lease_until_ms, trio.current_time())
        return True

    def _report(self, request, incarnation, sent_at):
        now = trio.current_time()
        report = WorkerReport(
            worker_id=request.worker.worker_id,
            requested_at=sent_at,
            received_at=now,
            incarnation=incarnation.number,
            running=tuple(
                RunningAttempt(key, run.attempt, '', int(now * 10), 0)
                for key, run in incarnation.runs.items()
            ),
            ended=tuple(end for end, _ in incarnation.ends),
            token=request.token,
        )
        return StatusReply(report, incarnation.read_clock(now))

    def _start(self, worker_id, order, token, lease_until_ms):
        now = trio.current_time()
        incarnation = self.present[worker_id]
        self._advance(worker_id)
        if not incarnation.accepts(token):
            self.fenced += 1
            return OrderResult.FENCED
        if self.refuses_starts:
            return OrderResult.REFUSED
        if lease_until_ms <= incarnation.read_clock(now):
            return OrderResult.REFUSED
        incarnation.extend(lease_until_ms, now)
        known = incarnation.runs.get(order.key)
        if known is not None and known.attempt == order.attempt:
            return OrderResult.DONE
        if order.attempt <= incarnation.barred.get(order.key, 0):
            return OrderResult.REFUSED
        ends_at = math.inf if self.seconds is None else now + self.seconds
        place = (worker_id, incarnation.number)
        run = Run(order.key, order.attempt, place, now, ends_at)
        incarnation.runs[order.key] = run
        self.runs.append(run)
        self.starts.append((order.key, worker_id))
        return OrderResult.DONE

    def _stop(self, worker_id, order, token):
        incarnation = self.present[worker_id]
        self._advance(worker_id)
        if not incarnation.accepts(token):
            return OrderResult.FENCED
        run = incarnation.runs.get(order.key)
        if run is not None and run.attempt == order.attempt:
            stops_at = trio.current_time() + STOP_SECONDS
            run.stops_at = min(run.stops_at, stops_at)
        else:
            incarnation.barred[order.key] = order.attempt
        return OrderResult.DONE

    def _advance(self, worker_id):
        now = trio.current_time()
        incarnation = self.present[worker_id]
        lapses_at = incarnation.born_at + incarnation.lease_ms / (
            1000 * CLOCK_RATE
        )
        for run in tuple(incarnation.runs.values()):
            if run.ends_at <= min(now, lapses_at):
                self._end(incarnation, run, 'done', run.ends_at)
            elif lapses_at < now:
                self._end(incarnation, run, 'lapsed', lapses_at)
            elif run.stops_at < now:
                self._end(incarnation, run, 'stopped', run.stops_at)
        if incarnation.lease_ms and lapses_at < now:
            for _, run in incarnation.ends:
                run.has_lapsed_since = True

    def _end(self, incarnation, run, how, at):
        incarnation.runs.pop(run.key)
        incarnation.last_end += 1
        incarnation.barred[run.key] = run.attempt
        run.ended_at, run.how = at, how
        end = EndedAttempt(incarnation.last_end, run.key, run.attempt, how, '')
        incarnation.ends.append((end, run))

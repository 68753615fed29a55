"""A runner stand-in: the lifetimes of one runner at one address.

It does what PROTOCOL.md says of runners: it obeys the highest fence number that
it has seen, holds everything that runs under a lease on its own clock, and
lists ends until they are acknowledged.  A new lifetime holds and knows nothing
of the one before, and its clock and its numbers start anew.
"""

import time
import tomllib
from pathlib import Path

import msgspec
import trio

from server import Response, Server

W = tomllib.loads(Path(__file__).with_name('wire.toml').read_text())
MAX_HOLD_MS = 6000
STOP_SECONDS = 0.1
STARTUP_SECONDS = 0.3
MAX_WAIT_MS = 2000
GANG_TIMEOUT_SECONDS = 3.0


class Run:
    def __init__(self, lifetime, task, number, seconds, checkpoint):
        self.lifetime = lifetime
        self.task = task
        self.number = number
        self.seconds = seconds
        self.checkpoint = checkpoint
        self.begun_at = trio.current_time()
        self.ended_at = None
        self.how = ''
        self.noted_at = None
        self.end_number = None
        self.is_stopping = False

    @property
    def percent(self):
        worked = trio.current_time() - self.begun_at
        total = self.seconds or STARTUP_SECONDS
        return min(int(100 * worked / total), 100)


class Lifetime:
    def __init__(self, runner, runner_id):
        self.runner = runner
        self.id = runner_id
        self.born = int(time.time() * 1000)
        self.begun_at = trio.current_time()
        self.is_up = True
        self.is_draining = False
        self.runs = {}
        self.ends = []
        self.highest = {}
        self.fence = 0
        self.lease_ms = 0
        self.next_number = 1
        self.changed = trio.Event()

    @property
    def clock_ms(self):
        return int((trio.current_time() - self.begun_at) * 1000)


class Runner:
    """One runner; ``note`` gets the lines of the record.

    ``find_seconds`` returns how long a work unit has to run, None if it lasts.
    """

    # Jobs that can never be done: their work units always fail, for all.
    failing = set()
    # Numbers of members by job, time and step, and who has come, for all.
    gangs = {}
    members = {}

    def __init__(self, name, pool, zone, rack, cpu, nursery, note, find_seconds):
        self.name = name
        self.pool = pool
        self.zone = zone
        self.rack = rack
        self.cpu = cpu
        self.machine = f'm-{name}'
        self.state = 'up'
        self.server = Server(self.handle)
        self.nursery = nursery
        self.note = note
        self.find_seconds = find_seconds
        self.history = []
        self.late_seconds = 0.0
        # Answers each start with 503 and does nothing.
        self.is_unhealthy = False
        self.sequence = 0
        # Set when the next status request arrives.
        self.polled = trio.Event()
        self.life = Lifetime(self, name)

    def crash(self, why='crash'):
        """End without a word; its network path answers nothing any more."""
        self.server.cut()
        life = self.life
        life.is_up = False
        for run in list(life.runs.values()):
            run.how = why
            run.ended_at = trio.current_time()
            self.note(f'{life.id} {why}: {run.task} run {run.number} is gone')
        life.runs.clear()
        life.changed.set()
        self.note(f'{life.id} is down ({why})')

    def begin(self, runner_id=None):
        """Start a new lifetime, by default under the id that it had."""
        self.life = Lifetime(self, runner_id or self.life.id)
        self.server.restore()
        self.note(f'{self.life.id} has started, born {self.life.born}')

    def check_lease(self):
        life = self.life
        if life.is_up and life.runs and life.clock_ms > life.lease_ms:
            for run in list(life.runs.values()):
                self._end(life, run, 'lapsed')

    async def handle(self, request):
        life = self.life
        if not life.is_up:
            return None
        wanted = request.headers.get('x-expect-instance')
        if wanted not in (None, life.id):
            return Response(421)
        body = request.decode()
        if request.path == W['hold']:
            return await self._hold(life, body)
        if self.is_unhealthy and request.path == W['start']:
            self.note(f'{life.id} answers 503 to {body["task"]}')
            return Response(503)
        if self.late_seconds:
            self.nursery.start_soon(self._execute_late, life, request.path, body)
            return None
        return self._execute(life, request.path, body)

    async def _execute_late(self, life, path, body):
        await trio.sleep(self.late_seconds)
        if life.is_up and life is self.life:
            self._execute(life, path, body)

    def _answer(self, life, status, **fields):
        return Response(status, {'clockMs': life.clock_ms, **fields})

    def _is_fenced(self, life, body):
        token = body.get(W['fence'], 0)
        if token < life.fence:
            return True
        life.fence = token
        return False

    def _extend(self, life, until):
        if until is not None:
            longest = life.clock_ms + MAX_HOLD_MS
            life.lease_ms = max(life.lease_ms, min(until, longest))

    def _execute(self, life, path, body):
        if self._is_fenced(life, body):
            return self._answer(life, 409, reason='fence')
        if path == W['start']:
            reason = self._start(life, body)
            if reason:
                return self._answer(life, 409, reason=reason)
        elif path == W['stop']:
            self._stop(life, body['task'], body['runId'])
        elif path != W['pace']:
            return self._answer(life, 400)
        return self._answer(life, 200)

    def _start(self, life, body):
        task, number = body['task'], body['runId']
        if body[W['until']] <= life.clock_ms:
            return 'late'
        self._extend(life, body[W['until']])
        if (task, number) in life.runs:
            return ''
        if number <= life.highest.get(task, 0):
            return 'old'
        seconds = self.find_seconds(task)
        run = Run(life, task, number, seconds, body.get('checkpoint', ''))
        life.runs[task, number] = run
        self.history.append(run)
        self.note(
            f'{life.id} (born {life.born}) starts {task} run {number}, fence'
            f' {body.get(W["fence"], 0)}, clock {life.clock_ms}, until'
            f' {body[W["until"]]}, lease {life.lease_ms}'
        )
        if task.rpartition('.')[0] in self.gangs:
            self._join_gang(life, run)
        elif seconds is not None:
            self.nursery.start_soon(self._work, life, run)
        return ''

    def _join_gang(self, life, run):
        """Work once all are present; end alone after `gangTimeoutMs`."""
        key = run.task.rpartition('.')[0], run.number
        members = self.members.setdefault(key, [])
        members.append((self, life, run))
        if len(members) == self.gangs[key[0]]:
            self.nursery.start_soon(self._work_together, members)
        self.nursery.start_soon(self._end_alone, members, life, run)

    async def _end_alone(self, members, life, run):
        await trio.sleep(GANG_TIMEOUT_SECONDS)
        if len(members) < self.gangs[run.task.rpartition('.')[0]]:
            self._end(life, run, 'alone')

    async def _work_together(self, members):
        await trio.sleep(self.find_seconds(members[0][2].task))
        is_whole = all(not run.how for _, _, run in members)
        for runner, life, run in members:
            runner._end(life, run, 'done' if is_whole else 'broken')

    async def _work(self, life, run):
        await trio.sleep(run.seconds)
        is_bad = run.task.partition('.')[0] in self.failing
        self._end(life, run, 'failed' if is_bad else 'done')

    def _stop(self, life, task, number):
        self.note(f'{life.id} is told to stop {task} run {number}')
        run = life.runs.get((task, number))
        if run is None:
            life.highest[task] = max(life.highest.get(task, 0), number)
        elif not run.is_stopping:
            run.is_stopping = True
            self.nursery.start_soon(self._finish_stop, life, run)

    async def _finish_stop(self, life, run):
        await trio.sleep(STOP_SECONDS)
        self._end(life, run, 'stopped')

    def _end(self, life, run, how):
        if life.runs.pop((run.task, run.number), None) is None:
            return
        run.how = how
        run.ended_at = trio.current_time()
        run.end_number = life.next_number
        life.next_number += 1
        known = life.highest.get(run.task, 0)
        life.highest[run.task] = max(known, run.number)
        life.ends.append(run)
        life.changed.set()
        life.changed = trio.Event()
        self.note(
            f'{life.id} ends {run.task} run {run.number}: {how}, end number'
            f' {run.end_number}'
        )

    async def _hold(self, life, body):
        if self._is_fenced(life, body):
            return self._answer(life, 409, reason='fence')
        self.polled.set()
        self.polled = trio.Event()
        acked = body.get(W['acked'], 0)
        for run in [run for run in life.ends if run.end_number <= acked]:
            life.ends.remove(run)
            run.noted_at = trio.current_time()
            self.note(
                f'{life.id} is told that ends up to {acked} are known: forgets'
                f' {run.task} run {run.number} ({run.how})'
            )
        before = life.lease_ms
        self._extend(life, body.get(W['until']))
        if not before and life.lease_ms:
            self.note(
                f'{life.id} (born {life.born}) gets its first lease: clock'
                f' {life.clock_ms}, asked until {body.get(W["until"])}, lease'
                f' {life.lease_ms}'
            )
        with trio.move_on_after(min(body.get('waitMs', 0), MAX_WAIT_MS) / 1000):
            while life.is_up and not life.ends:
                await life.changed.wait()
        if not life.is_up:
            return None
        return self._answer(
            life,
            200,
            born=life.born,
            running=[
                [run.task, run.number, run.checkpoint, run.percent, 100]
                for run in life.runs.values()
            ],
            **{
                W['ended']: [
                    [run.end_number, run.task, run.number, run.how, '']
                    for run in life.ends[:500]
                ]
            },
        )

    def build_entry(self):
        self.sequence += 1
        life = self.life
        return msgspec.json.encode(
            {
                'service': self.pool,
                'address': self.server.address,
                'zone': self.zone,
                'version': 'v1',
                'slots': 8,
                'state': 'draining' if life.is_draining else 'ready',
                W['cold']: 0,
                'capacity': {'cpu': self.cpu, 'memMb': 65536},
                'labels': ['a', self.rack],
                'born': life.born,
                'clockMs': life.clock_ms,
                'seq': self.sequence,
            }
        )

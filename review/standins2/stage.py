"""The stage of a case: a store, runners, a VM service, and real daemons.

The daemons are processes of the project's own program, started as the deploy
file says.  The store is that of the project's fault soak.
"""

import os
import random
import shutil
import signal
import sys
import tempfile
import time
from pathlib import Path

import msgspec
import trio

from faultsoak.httpserver import Response as StoreResponse
from faultsoak.log import split_records
from faultsoak.store import Store
from daemon import HOST_NAME, ZONES, Daemon, end_processes
from runner import Runner, W
from server import HOST, Response, Server, call

PARTS = 12
RECORD_BYTES = 262144
HEARTBEAT_SECONDS = 1.5
ENTRY_SECONDS = 3 * HEARTBEAT_SECONDS


class BoundedStore(Store):
    """The soak's store, which also bounds the bytes of a record."""

    refused = None

    async def handle(self, request):
        if request.method == 'POST' and 'part' in request.query:
            longest = max(map(len, split_records(request.body)), default=0)
            if longest > RECORD_BYTES:
                self.refused = longest
                return StoreResponse(400)
        return await super().handle(request)


class Stage:
    def __init__(self, nursery, daemons, record):
        self.nursery = nursery
        self.record = record
        self.lines = []
        self.began = trio.current_time()
        self.folder = Path(tempfile.mkdtemp(prefix='review-'))
        self.store = BoundedStore(PARTS, random.Random(1))
        self.runners = []
        self.seconds = {}
        self.vm_server = Server(self._serve_vms)
        self.daemons = [Daemon(self, number) for number in range(daemons)]
        self.entries = {}
        self.beats = {}
        self.version = 0

    def note(self, text):
        self.lines.append(f'{trio.current_time() - self.began:8.3f} s  {text}')

    def write_record(self):
        self.record.write_text('\n'.join(self.lines) + '\n')

    def find_seconds(self, task):
        """Return how long a work unit runs; by its job and step.

        With two bounds it is drawn between them, by the name of the work unit.
        """
        job, _, step, _ = task.split('.')
        seconds = self.seconds[job, int(step)]
        if isinstance(seconds, tuple):
            return random.Random(task).uniform(*seconds)
        return seconds

    def add_runner(self, name, pool, rack='r1', cpu=16000):
        zone = ZONES[len(self.runners) % len(ZONES)]
        runner = Runner(
            name, pool, zone, rack, cpu, self.nursery, self.note,
            self.find_seconds,
        )
        self.runners.append(runner)
        return runner

    def write_config(self, queues, max_attempts=3):
        """Write the next config; ``queues`` maps names to prefix and pool."""
        self.version += 3
        pools = sorted({pool for _, pool in queues.values()})
        content = {
            'version': self.version,
            'routes': [
                {
                    'name': name,
                    'host': HOST_NAME,
                    W['path_prefix']: prefix,
                    'service': pool,
                    'kind': 'non_idempotent',
                    'priority': 0,
                    'maxAttempts': max_attempts,
                    'stretch': 1.6,
                    'timeoutMs': 3000,
                    'sloMs': 600,
                }
                for name, (prefix, pool) in queues.items()
            ],
            'services': [{'name': pool} for pool in pools],
            'limits': {'maxBodyBytes': 262144},
        }
        self.store.put('keyed.op', 'config', msgspec.json.encode(content))
        self.note(f'config {self.version} is acknowledged: {queues}')

    async def start(self):
        await self.vm_server.open(self.nursery)
        for runner in self.runners:
            await runner.server.open(self.nursery)
            self.beat(runner)
        self.nursery.start_soon(self._run)
        for daemon in self.daemons:
            await daemon.store.open(self.nursery)
            daemon.start()
        for daemon in self.daemons:
            await self.wait_ready(daemon)
        self.note('all daemons are ready')

    async def wait_ready(self, daemon, seconds=40):
        with trio.fail_after(seconds):
            while True:
                address = f'{HOST}:{daemon.ready}'
                status, _ = await call(address, 'GET', '/ready')
                if status == 200:
                    return
                await trio.sleep(0.1)

    def close(self):
        for daemon in self.daemons:
            daemon.end()
        if os.environ.get('KEEP'):
            print(self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)

    async def submit(self, daemon, prefix, job, steps, seconds):
        """Hand a job in; ``seconds`` are those of the work units by step."""
        for number, step_seconds in enumerate(seconds):
            self.seconds[job, number] = step_seconds
        body = {'spec': f'run {job}', 'steps': steps}
        status, _ = await daemon.call('POST', prefix + job, body)
        self.note(f'{daemon.name}: POST {job} -> {status}')
        return status

    async def ask(self, daemon, prefix, job, method='GET'):
        status, content = await daemon.call(method, prefix + job)
        state = content.get('state', '')
        self.note(f'{daemon.name}: {method} {job} -> {status} {state}')
        return status, state

    def list_runs(self, job=''):
        runs = [run for runner in self.runners for run in runner.history]
        found = [run for run in runs if run.task.startswith(job)]
        return sorted(found, key=lambda run: run.begun_at)

    async def serve_store(self, request):
        response = await self.store.handle(request)
        if response is None:
            return None
        assert isinstance(response, StoreResponse)
        return Response(response.status, response.content)

    def beat(self, runner):
        self.beats[runner.name] = trio.current_time()
        self.entries[runner.life.id] = trio.current_time()
        self.store.put(W['directory'], runner.life.id, runner.build_entry())

    def remove_entry(self, runner_id):
        if self.entries.pop(runner_id, None) is not None:
            self.store.put(W['directory'], runner_id, b'')

    async def _run(self):
        while True:
            await trio.sleep(0.02)
            now = trio.current_time()
            for runner in self.runners:
                runner.check_lease()
                # A runner whose machine is cut off doesn't reach the store.
                is_heard = runner.life.is_up and not runner.server.is_cut
                due = self.beats.get(runner.name, 0) + HEARTBEAT_SECONDS
                if is_heard and now >= due:
                    self.beat(runner)
            for runner_id, beat_at in list(self.entries.items()):
                if now - beat_at > ENTRY_SECONDS:
                    self.remove_entry(runner_id)

    async def _serve_vms(self, request):
        if request.path != W['list']:
            return Response(409, {'reason': 'busy'})
        rows = [
            {
                'machine': runner.machine,
                'pool': runner.pool,
                'state': runner.state if runner.life.is_up else 'down',
                'zone': runner.zone,
                'labels': ['a', runner.rack],
                'capacity': {'cpu': runner.cpu, 'memMb': 65536, 'gpu': 0},
                'id': runner.life.id if runner.life.is_up else '',
            }
            for runner in self.runners
        ]
        return Response(200, {'machines': rows, 'nextToken': None})


def _give_up(*_):
    end_processes()
    os._exit(2)


def run_case(play, daemons, folder):
    """Play a case and exit with 1 if a rule was broken, 0 if none, 2 if unable.

    ``play`` gets the stage and whether to disrupt; it returns what broke.
    """
    is_disrupted = os.environ.get('TROUBLE', '1') != '0'
    record = Path(folder) / 'record.txt'
    code = 2
    began = time.monotonic()
    signal.signal(signal.SIGTERM, _give_up)

    async def main():
        nonlocal code
        async with trio.open_nursery() as nursery:
            stage = Stage(nursery, daemons, record)
            try:
                with trio.fail_after(115):
                    broken = await play(stage, is_disrupted)
                for text in broken:
                    stage.note(f'BROKEN  {text}')
                if not broken:
                    stage.note('held: no rule was broken')
                code = 1 if broken else 0
            except Exception as error:
                stage.note(f'could not run: {error!r}')
                raise
            finally:
                stage.close()
                stage.write_record()
            nursery.cancel_scope.cancel()

    try:
        trio.run(main)
    except BaseException as error:
        print(f'could not run: {error!r}', file=sys.stderr)
        code = 2
    print(f'exit {code} after {time.monotonic() - began:.1f} s')
    sys.exit(code)

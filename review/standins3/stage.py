"""A small deployment: real daemons, stand-ins of the platform, one client.

Clients, workers, the store and the VM service are those of the project's own
fault soak; what they see is checked by its ledger (``faultsoak.promises``).
"""

import os
import random
import signal
import socket
import subprocess
import tempfile
import time
from pathlib import Path

import msgspec
import trio
from faultsoak.activefaults import ActiveFaults
from faultsoak.httpserver import open_server
from faultsoak.ledger import JobFacts
from faultsoak.link import HOST, Link
from faultsoak.plans import HOST as CLIENT_HOST
from faultsoak.plans import JobPlan, QueuePlan
from faultsoak.promises import Promises
from faultsoak.store import Store
from faultsoak.vms import Fleet

ROOT = Path(__file__).parents[2]
TEMPLATE = (Path(__file__).parent / 'node.toml').read_text()
PARTITIONS = 12
CALL_SECONDS = 3.0
READY_SECONDS = 30.0
PORTS = (10_000, 30_000)
EXIT_HELD, EXIT_BROKEN, EXIT_FAILED = 0, 1, 2


def is_troubled() -> bool:
    """Return whether the disruption is to be played."""
    return os.environ.get('TROUBLE', '1') != '0'


class Daemon:
    """A real daemon, started as the deploy file says."""

    def __init__(self, name: str, zone: str, folder: Path) -> None:
        """Prepare a daemon whose settings and log lie in ``folder``."""
        self.name = name
        self.zone = zone
        self.front, self.ready, self.metrics = find_ports(3)
        self.store_link = Link(f'{name} to store', random.Random(name))
        self.vm_link = Link(f'{name} to VM service', random.Random(name))
        # Of the placement policy service, empty without one.
        self.advisor_address = ''
        self.process: subprocess.Popen[bytes] | None = None
        self._settings = folder / f'{name}.toml'
        self.log = folder / f'{name}.log'

    def start(self) -> None:
        """Start the process."""
        text = TEMPLATE
        for field, value in (
            ('name', self.name),
            ('zone', self.zone),
            ('front', self.front),
            ('ready', self.ready),
            ('store', self.store_link.address),
            ('vms', self.vm_link.address),
            ('advisor', self.advisor_address),
        ):
            text = text.replace(f'{{{field}}}', str(value))
        self._settings.write_text(text)
        environment = {
            'PATH': os.environ['PATH'],
            'HOME': os.environ.get('HOME', '/'),
            'PYTHONPATH': str(ROOT / 'target/deps'),
            'TARRAGONLB_BOOT': str(self._settings),
        }
        with self.log.open('ab') as log:
            self.process = subprocess.Popen(
                [
                    'python3',
                    '-P',
                    '-m',
                    'tarragonlb.adapter',
                    str(self.metrics),
                ],
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    def send(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def kill(self) -> None:
        """End the process at once."""
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()


def find_ports(count: int) -> list[int]:
    """Return free ports, below those of outgoing connections."""
    found: list[int] = []
    while len(found) < count:
        port = random.randint(*PORTS)
        with socket.socket() as holder:
            try:
                holder.bind((HOST, port))
            except OSError:
                continue
        found.append(port)
    return found


class Stage:
    """All parts of one play, and its record."""

    fleet_type: type[Fleet] = Fleet

    def __init__(self, folder: Path, nursery: trio.Nursery) -> None:
        """Prepare a play whose record goes to ``folder``."""
        self.faults = ActiveFaults()
        self.promises = Promises(self.faults)
        self.store = Store(PARTITIONS, random.Random('store'))
        self.nursery = nursery
        self.fleet = self.fleet_type(
            self.store, self.promises, nursery, random.Random('fleet')
        )
        self.daemons: list[Daemon] = []
        self.broken: list[str] = []
        self._folder = folder
        self._temporary = tempfile.TemporaryDirectory()
        self._record = (folder / 'record.txt').open('w')
        self._begin = trio.current_time()
        self._version = 0
        self._watch_promises()
        mode = 'with' if is_troubled() else 'without'
        self.say(f'begins {mode} the disruption, at {time.time():.0f}')

    def say(self, text: str) -> None:
        """Write a line with the time since the beginning."""
        line = f'{trio.current_time() - self._begin:8.3f} s  {text}'
        print(line, file=self._record, flush=True)
        print(line, flush=True)

    def break_rule(self, rule: str, evidence: str) -> None:
        """Note a broken rule."""
        self.broken.append(rule)
        self.say(f'BROKEN {rule}: {evidence}')

    def _watch_promises(self) -> None:
        """Record each start, end and broken promise as it is noticed."""
        promises = self.promises
        note_start, note_end = promises.note_start, promises.note_end

        def start(worker, run, order, *, is_late):
            who = worker.identity.worker_id
            self.say(f'{who} starts {run.task} run {run.number}')
            note_start(worker, run, order, is_late=is_late)

        def end(worker, run):
            who = worker.identity.worker_id
            self.say(f'{who} ends {run.task} run {run.number}: {run.how}')
            note_end(worker, run)

        promises.note_start, promises.note_end = start, end
        promises.report = self.break_rule

    def write_configuration(
        self, queues: list[QueuePlan], standby: tuple[str, ...] = ()
    ) -> None:
        """Write a configuration with these queues."""
        self._version += 1
        pools = sorted({queue.pool for queue in queues} | set(standby))
        content = {
            'version': self._version,
            'routes': queues,
            'services': [
                {'name': pool, 'standby': pool in standby} for pool in pools
            ],
            'limits': {'maxBodyBytes': 262144},
        }
        self.store.put('keyed.op', 'config', msgspec.json.encode(content))

    async def start(self, daemons: int, pools: dict[str, int]) -> None:
        """Start everything and wait until all daemons are ready."""
        for pool, count in pools.items():
            for number in range(count):
                await self.fleet.add_vm(pool, f'z{number % 2}', f'{pool}-r')
        store_port = await open_server(self.store.handle, self.nursery)
        vm_port = await open_server(self.fleet.handle, self.nursery)
        self.nursery.start_soon(self.fleet.run)
        for number in range(daemons):
            daemon = Daemon(
                f'edge-{number}', f'z{number % 2}', Path(self._temporary.name)
            )
            await daemon.store_link.open(store_port, self.nursery)
            await daemon.vm_link.open(vm_port, self.nursery)
            await self.prepare(daemon)
            self.daemons.append(daemon)
            daemon.start()
        with trio.fail_after(READY_SECONDS):
            for daemon in self.daemons:
                await self.wait_until_ready(daemon)

    async def prepare(self, daemon: Daemon) -> None:
        """Add to a daemon before it starts."""

    async def wait_until_ready(self, daemon: Daemon) -> None:
        """Wait until a daemon says that it is ready."""
        while (await self.call(daemon, 'GET', '/ready', quiet=True))[0] != 200:
            await trio.sleep(0.1)

    async def call(
        self,
        daemon: Daemon,
        method: str,
        path: str,
        body: bytes = b'',
        *,
        quiet: bool = False,
    ) -> tuple[int, bytes]:
        """Send a request on a connection of its own; status 0 is no answer."""
        head = (
            f'{method} {path} HTTP/1.1\r\nHost: {CLIENT_HOST}\r\n'
            f'Content-Type: application/json\r\nX-Deadline: 3000\r\n'
            f'Content-Length: {len(body)}\r\nConnection: close\r\n\r\n'
        )
        answer = b''
        with trio.move_on_after(CALL_SECONDS):
            try:
                stream = await trio.open_tcp_stream(HOST, daemon.front)
                async with stream:
                    await stream.send_all(head.encode() + body)
                    async for part in stream:
                        answer += part
            except (OSError, trio.BrokenResourceError):
                pass
        words = answer.split(maxsplit=2)
        status = int(words[1]) if len(words) > 1 else 0
        content = answer.partition(b'\r\n\r\n')[2]
        if not quiet:
            self.say(
                f'{daemon.name} {method} {path}: {status} {content.decode()}'
            )
        return status, content

    async def submit(self, plan: JobPlan, daemon: Daemon) -> JobFacts:
        """Submit a job until it is accepted."""
        job = JobFacts(plan)
        self.promises.jobs[plan.job_id] = job
        path = plan.queue.prefix + plan.job_id
        while True:
            status, _ = await self.call(daemon, 'POST', path, plan.encode())
            if status == 200:
                job.accepted_at = trio.current_time()
                return job
            await trio.sleep(0.5)

    async def ask(self, job: JobFacts, daemon: Daemon) -> str:
        """Return the state of a job, which is compared with the ledger."""
        path = job.plan.queue.prefix + job.plan.job_id
        sent = trio.current_time()
        status, content = await self.call(daemon, 'GET', path)
        if status not in {200, 410}:
            return ''
        state = msgspec.json.decode(content).get('state', '')
        self.promises.note_state(job, status, state, daemon.name, sent)
        return state

    async def wait_for_state(
        self, job: JobFacts, daemon: Daemon, states: set[str], seconds: float
    ) -> str:
        """Ask for a job's state until it is one of ``states``."""
        state = ''
        with trio.move_on_after(seconds):
            while state not in states:
                await trio.sleep(0.5)
                state = await self.ask(job, daemon)
        return state

    def end(self) -> None:
        """End all processes that were started."""
        for daemon in self.daemons:
            daemon.kill()
        if os.environ.get('KEEP_LOGS'):
            for daemon in self.daemons:
                target = Path(os.environ['KEEP_LOGS']) / daemon.log.name
                target.write_bytes(daemon.log.read_bytes())
        self._temporary.cleanup()
        self._record.close()


def play(folder: Path, script, stage_type: type[Stage] = Stage) -> int:
    """Run ``script`` with a stage; return the exit code."""

    async def main() -> int:
        async with trio.open_nursery() as nursery:
            stage = stage_type(folder, nursery)
            code = EXIT_FAILED
            try:
                with trio.fail_after(110):
                    await script(stage)
                code = EXIT_BROKEN if stage.broken else EXIT_HELD
                stage.say(f'rules broken: {stage.broken or "none"}')
            except Exception as error:
                stage.say(f'the case could not run: {error!r}')
            finally:
                stage.end()
                nursery.cancel_scope.cancel()
        return code

    return trio.run(main)

"""A daemon of a case: one process of the program that the deploy file starts."""

import atexit
import os
import random
import signal
import socket
import subprocess
import sys
from pathlib import Path

from runner import W
from server import HOST, Server, call

ROOT = Path(__file__).resolve().parents[2]
HOST_NAME = 'review.example'
ZONES = ('zone-a', 'zone-b', 'zone-c')
SETTINGS = """nodeName = "{name}"
role = "daemon"
machineClass = "edge"
serves = ["edge"]
ip = "127.0.0.1"
zone = "{zone}"
region = "region-a"
portRange = [7060,7075]
seeds = []
bootstrap = true
discovery = "platform"
entry = "vip"
heartbeatMs = 1500
contracts = ["base","drain","config","cost","recover","sched","platform","upkeep","sharing"]
{control_mode} = "invoke"
[listen]
front = "127.0.0.1:{front}"
ready = "127.0.0.1:{ready}"
[limits]
{cpu_share} = 1.0
cores = 1
memoryMb = 300
maxFds = 4100
[bounds]
seedLagS = 3
addrReuseS = 2
contactMs = 3000
ackMs = 4000
catchUpS = 4
drainMs = 2000
graceS = 6
lossSlackMs = 200
configApplyMs = 2000
rollbackSlackMs = 250
maxStretchMs = 5000
recoveryS = 12
maxHoldMs = 6000
stopGraceMs = 400
gangTimeoutMs = 3000
cancel_ms = 3000
visible_ms = 3000
early_ms = 250
finish_s = 14
status_s = 120
remoteFactor = 1.5
checkpointS = 0.5
restoreMs = 600
noticeMs = 4500
migrateS = 1.5
maintenanceS = 2
requireFencing = false
leaseMs = 3000
thawMs = 300
paceMs = 100
impactMs = 4000
[platform]
address = "{store}"
form = "log"
writesPerS = 800
readsPerS = 2000
parts = 12
appendMs = 2.0
recordBytes = 262144
requestBytes = 2097152
keep_s = 300
minTtlMs = 1000
[{vm_service}]
address = "{vms}"
ratePerS = 64.0
dutyPerS = 64.0
"""


STARTED = []


@atexit.register
def end_processes():
    """End all daemons that are left, however the case has ended."""
    for process in STARTED:
        if process.poll() is None:
            process.kill()
            process.wait()


def reserve_port():
    """Return a port, and a socket that keeps others from it.

    The daemon can listen there; a socket that doesn't listen is no hindrance.
    The kernel gives a port of this range to no outgoing connection.
    """
    while True:
        holder = socket.socket()
        try:
            holder.bind((HOST, random.randint(10_000, 30_000)))
        except OSError:
            holder.close()
            continue
        holder.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        return holder.getsockname()[1], holder


class Daemon:
    """One process of the deployed program, with a store path of its own."""

    def __init__(self, stage, number):
        self.stage = stage
        self.name = f'edge-{number}'
        self.zone = ZONES[number % len(ZONES)]
        reserved = [reserve_port() for _ in range(3)]
        self.front, self.ready, self.metrics = (port for port, _ in reserved)
        self.holders = [holder for _, holder in reserved]
        self.store = Server(stage.serve_store)
        self.process = None

    @property
    def address(self):
        return f'{HOST}:{self.front}'

    def start(self):
        stage = self.stage
        path = stage.folder / f'{self.name}.toml'
        path.write_text(
            SETTINGS.format(
                name=self.name,
                zone=self.zone,
                front=self.front,
                ready=self.ready,
                store=self.store.address,
                vms=stage.vm_server.address,
                vm_service=W['vm_service'],
                cpu_share=W['cpu_share'],
                control_mode=W['control_mode'],
            )
        )
        names = ('PATH', 'HOME', 'LANG')
        environment = {n: os.environ[n] for n in names if n in os.environ}
        environment['TARRAGONLB_BOOT'] = str(path)
        environment['PYTHONPATH'] = str(ROOT / 'target' / 'deps')
        log = (stage.folder / f'{self.name}.log').open('ab')
        self.process = subprocess.Popen(
            [
                sys.executable,
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
        STARTED.append(self.process)
        log.close()

    def send(self, number):
        self.stage.note(f'{self.name} gets {signal.Signals(number).name}')
        self.process.send_signal(number)

    def end(self):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()

    async def call(self, method, path, body=None, seconds=3.0):
        return await call(
            self.address, method, path, body, HOST_NAME, seconds
        )

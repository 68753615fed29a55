"""Runs a small installation on loopback, for tests and the demo.

The processes are a platform stand-in, one process for all endpoints, and a
daemon for each availability zone.  Only these processes are ever stopped.
"""

import os
import signal
import socket
import subprocess
import sys
import time
from dataclasses import asdict
from pathlib import Path

import cbor2
import httpcore
import msgspec
import yaml

from tarragonlb.standin.endpointapp import EndpointEvent
from tarragonlb.standin.fault import EndpointFaults, PlatformFaults
from tarragonlb.standin.fleetfile import FleetFile, VmSpec
from tarragonlb.standin.violation import PlatformReport

OPERATOR_TOKEN = 'demo-operator'
OPERATOR_SHA256 = (
    '9437e87fae95c03d3778f2575bb18ce30e647e51d86a8c37963364e1fc4f374e'
)
START_TIMEOUT_SECONDS = 30
POLL_INTERVAL_SECONDS = 0.05
STOP_TIMEOUT_SECONDS = 30
STATUS_OK = 200
FIRST_ZONE_HOST_NUMBER = 2
ZONES = ('colombo', 'negombo', 'kandy')
_reserved_sockets: list[socket.socket] = []


def reserve_port() -> int:
    """Return a loopback port that no other process is assigned.

    A socket bound to the port stays open, with address reuse, so that servers
    can listen on the port and no outgoing connection is assigned it while a
    server restarts.
    """
    reserved = socket.socket()
    reserved.bind(('127.0.0.1', 0))
    reserved.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    _reserved_sockets.append(reserved)
    return int(reserved.getsockname()[1])


def make_fleet(pools: dict[str, int]) -> FleetFile:
    """Return a fleet with the given VM count per pool, spread over zones."""
    vms = [
        VmSpec(
            vm_id=f'{pool}-{index}',
            pool=pool,
            zone=ZONES[index % len(ZONES)],
            rack=f'rack-{index % len(ZONES)}',
            cores=16,
            memory_gb=64,
            address=f'127.0.0.1:{reserve_port()}',
        )
        for pool, count in pools.items()
        for index in range(count)
    ]
    return FleetFile(vms=tuple(vms), hosts=list_listen_hosts())


def list_listen_hosts() -> tuple[str, ...]:
    """Return the addresses that the stand-ins listen on."""
    return ('127.0.0.1', *(get_zone_host(zone) for zone in ZONES))


def get_zone_host(zone: str) -> str:
    """Return the address through which a zone's daemons reach the stand-ins."""
    return f'127.0.0.{ZONES.index(zone) + FIRST_ZONE_HOST_NUMBER}'


def get_entry_zone(entry: str) -> str:
    """Return the zone of an entry VM."""
    return entry.removeprefix('entry-')


class Cluster:
    """Starts and stops the processes of one installation.

    Settings files and logs are written to ``folder``.
    """

    __slots__ = (
        '_folder',
        '_processes',
        'addresses',
        'fleet',
        'peers',
        'platform',
    )

    def __init__(self, folder: Path, fleet: FleetFile) -> None:
        """Reserve the addresses; ``start`` starts the processes."""
        self._folder = folder
        self._processes: dict[str, subprocess.Popen[bytes]] = {}
        self.fleet = fleet
        self.platform = f'127.0.0.1:{reserve_port()}'
        self.peers = {
            f'entry-{zone}': f'127.0.0.1:{reserve_port()}' for zone in ZONES
        }
        self.addresses = {
            f'entry-{zone}': f'127.0.0.1:{reserve_port()}' for zone in ZONES
        }

    def start(self) -> None:
        """Start all processes and wait until the daemons are ready."""
        path = self._folder / 'fleet.yaml'
        path.write_text(yaml.safe_dump(_to_plain(asdict(self.fleet))))
        self._spawn(
            'platform',
            'tarragonlb-standin',
            'platform',
            str(path),
            self.platform,
        )
        self._spawn('endpoints', 'tarragonlb-standin', 'endpoints', str(path))
        for name in self.addresses:
            self.start_daemon(name)
        for name in self.addresses:
            self.wait_until_ready(name)

    def start_daemon(self, name: str) -> None:
        """Start the daemon of one entry VM."""
        zone = get_entry_zone(name)
        port = self.platform.partition(':')[2]
        settings = {
            'name': name,
            'zone': zone,
            'listen': self.addresses[name],
            'peer_listen': self.peers[name],
            'peers': [
                peer for other, peer in self.peers.items() if other != name
            ],
            'platform': f'{get_zone_host(zone)}:{port}',
            'operators': [
                {'name': 'operator', 'token_sha256': OPERATOR_SHA256}
            ],
        }
        path = self._folder / f'{name}.yaml'
        path.write_text(yaml.safe_dump(settings))
        self._spawn(name, 'tarragonlbd', '--settings', str(path))

    def wait_until_ready(self, name: str) -> None:
        """Wait until a daemon reports that it is ready."""
        deadline = time.monotonic() + START_TIMEOUT_SECONDS
        while time.monotonic() < deadline:
            if self._is_ready(name):
                return
            time.sleep(POLL_INTERVAL_SECONDS)
        raise TimeoutError(
            f'{name} is not ready: see {self.get_log_path(name)}'
        )

    def get_log_path(self, name: str) -> Path:
        """Return the path of the log file of a process."""
        return self._folder / f'{name}.log'

    def get_pid(self, name: str) -> int:
        """Return the process id of a running process."""
        return self._processes[name].pid

    def send_signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to a process."""
        self._processes[name].send_signal(number)

    def pause(self, name: str) -> None:
        """Pause a process with SIGSTOP and wait until it is stopped."""
        self.send_signal(name, signal.SIGSTOP)
        os.waitpid(self._processes[name].pid, os.WUNTRACED)

    def wait_for_exit(self, name: str) -> int:
        """Wait until a process exits and return its exit code."""
        return self._processes.pop(name).wait(STOP_TIMEOUT_SECONDS)

    def set_faults(self, faults: PlatformFaults) -> None:
        """Replace the faults of the platform stand-in."""
        httpcore.request(
            'POST',
            f'http://{self.platform}/faults',
            content=cbor2.dumps(asdict(faults)),
        )

    def set_endpoint_faults(self, address: str, faults: EndpointFaults) -> None:
        """Replace the faults of one endpoint."""
        httpcore.request(
            'POST',
            f'http://{address}/faults',
            content=msgspec.json.encode(faults),
        )

    def read_report(self) -> PlatformReport:
        """Return the platform stand-in's report of actions and violations."""
        response = httpcore.request(
            'POST',
            f'http://{self.platform}/violations',
            content=cbor2.dumps(()),
        )
        return msgspec.convert(cbor2.loads(response.content), PlatformReport)

    def read_events(self) -> list[EndpointEvent]:
        """Return the events of all endpoints, sorted by time."""
        events: list[EndpointEvent] = []
        for vm in self.fleet.vms:
            response = httpcore.request('GET', f'http://{vm.address}/events')
            endpoint_events = msgspec.json.decode(
                response.content, type=list[EndpointEvent]
            )
            events.extend(endpoint_events)
        return sorted(events, key=lambda event: event.at)

    def stop(self) -> None:
        """Kill all processes, paused ones included, and wait for their exit."""
        for process in self._processes.values():
            process.send_signal(signal.SIGCONT)
            process.kill()
        for process in self._processes.values():
            process.wait(STOP_TIMEOUT_SECONDS)

    def _is_ready(self, name: str) -> bool:
        try:
            response = httpcore.request(
                'GET', f'http://{self.addresses[name]}/ready'
            )
        except (httpcore.NetworkError, httpcore.ProtocolError):
            return False
        return response.status == STATUS_OK

    def _spawn(self, name: str, command: str, *arguments: str) -> None:
        path = Path(sys.executable).parent / command
        with self.get_log_path(name).open('ab') as log:
            self._processes[name] = subprocess.Popen(
                [str(path), *arguments], stderr=log, stdout=log
            )


def _to_plain(tree: object) -> object:
    if isinstance(tree, dict):
        return {key: _to_plain(child) for key, child in tree.items()}
    if isinstance(tree, (tuple, list)):
        return [_to_plain(child) for child in tree]
    return tree

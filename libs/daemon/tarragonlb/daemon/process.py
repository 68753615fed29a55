"""The daemon process: creates its tasks, runs and stops them."""

import random
import uuid

import trio

from tarragonlb.daemon.access import AccessTable
from tarragonlb.daemon.api import make_handlers
from tarragonlb.daemon.application import Application
from tarragonlb.daemon.claims import Claims
from tarragonlb.daemon.daemonmetrics import DaemonMetrics
from tarragonlb.daemon.dispatcher import Dispatcher
from tarragonlb.daemon.fleetwatcher import FleetWatcher
from tarragonlb.daemon.gateway import Gateway
from tarragonlb.daemon.journal import Journal
from tarragonlb.daemon.keyservice import KeyService
from tarragonlb.daemon.pauseguard import PauseGuard
from tarragonlb.daemon.peers import PeerTask
from tarragonlb.daemon.peerserver import PeerServer
from tarragonlb.daemon.plannertask import PlannerTask
from tarragonlb.daemon.pools import PoolTask
from tarragonlb.daemon.server import Server
from tarragonlb.model.recordhead import HeadFactory
from tarragonlb.platform.remote import RemotePlatform
from tarragonlb.settings.startup import DaemonSettings
from tarragonlb.telemetry.eventloop import ProcessTasks
from tarragonlb.telemetry.log import Log
from tarragonlb.telemetry.supervision import Task, supervise

STOP_NOTICE_SECONDS = 1
# Time for all that a stop does beside draining requests.
STOP_MARGIN_SECONDS = 5


class Process:
    """The tasks of one daemon; ``application`` is its ASGI application."""

    __slots__ = (
        '_claims',
        '_emit',
        '_fleet_watcher',
        '_journal',
        '_key_service',
        '_metrics',
        '_pause_guard',
        '_peer_server',
        '_peers',
        '_planner',
        '_pools',
        '_server',
        '_settings',
        'application',
    )

    def __init__(self, settings: DaemonSettings) -> None:
        """Create all components without running them."""
        self._settings = settings
        self._emit = Log('process').emit
        platform = RemotePlatform(settings.platform)
        head_factory = HeadFactory(settings.name, uuid.uuid4().hex)
        self._journal = Journal(platform.log, head_factory)
        self._peers = PeerTask(settings, self._journal)
        self._fleet_watcher = FleetWatcher(platform.fleet)
        self._planner = PlannerTask(
            self._journal,
            self._fleet_watcher,
            platform.fleet,
            head_factory,
            settings.name,
        )
        dispatcher = Dispatcher(settings.zone, random.Random())
        self._pools = PoolTask(self._journal, self._fleet_watcher, dispatcher)
        self._pause_guard = PauseGuard(self._fleet_watcher, self._pools.update)
        access = AccessTable(settings, self._journal.state)
        self._key_service = KeyService(settings)
        self._peer_server = PeerServer(
            settings.peer_listen,
            {
                '/state': self._peers.serve_connection,
                '/keys': self._key_service.serve_connection,
            },
        )
        self._claims = Claims(settings.name, self._journal, self._key_service)
        gateway = Gateway(access, self._journal, dispatcher, self._claims)
        self._metrics = DaemonMetrics(settings, access, self._journal)
        self.application = Application(
            gateway,
            self._metrics.requests,
            make_handlers(
                settings.name,
                access,
                self._journal,
                self._fleet_watcher,
                self._key_service,
                platform.traffic,
            ),
            self._pause_guard,
        )
        self._server = Server(self.application, settings)

    async def run(self, process_tasks: ProcessTasks) -> None:
        """Run until a signal to stop, then drain requests and stop."""
        self._emit('The daemon is starting.', name=self._settings.name)
        stopping = trio.Event()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(process_tasks.watch_signals, stopping.set)
            for name, task in self._build_tasks().items():
                nursery.start_soon(supervise, name, task)
            nursery.start_soon(
                process_tasks.run,
                self._server.run,
            )
            await self._wait_for_stop(stopping)
            await self._drain_requests()
            await self._server.close()
            await self._metrics.burn.flush()
            nursery.cancel_scope.cancel()
        self._emit('The daemon has stopped.', name=self._settings.name)

    def _build_tasks(self) -> dict[str, Task]:
        return {
            'readiness': self._wait_until_ready,
            'pause guard': self._pause_guard.run,
            'journal': self._journal.run,
            'peer server': self._peer_server.run,
            'peers': self._peers.run,
            'fleet watcher': self._fleet_watcher.run,
            'planner': self._planner.run,
            'pools': self._pools.run,
            'key service': self._key_service.run,
            'claims': self._claims.run,
            'burn reporter': self._metrics.burn.run,
        }

    async def _wait_until_ready(self) -> None:
        await self._journal.wait_until_caught_up()
        self.application.ready = True
        self._emit('The daemon is ready.', offset=self._journal.state.offset)

    async def _wait_for_stop(self, stopping: trio.Event) -> None:
        await stopping.wait()
        self.application.stopping = True
        self._emit('The daemon received a signal to stop.')
        self._server.announce_end(
            trio.current_time()
            + STOP_NOTICE_SECONDS
            + self._settings.stop_limit_seconds
        )
        await trio.sleep(STOP_NOTICE_SECONDS)

    async def _drain_requests(self) -> None:
        with trio.move_on_after(self._settings.stop_limit_seconds) as limit:
            await self.application.wait_idle()
        if limit.cancelled_caught:
            self._emit(
                'Requests were still in progress at the stop limit.',
                active=self.application.active,
                setting='stop_limit_seconds',
            )

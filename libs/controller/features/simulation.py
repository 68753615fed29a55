"""Runs several controllers on one in-memory platform in virtual time."""

from dataclasses import replace

import trio
import trio.testing
from fakedocuments import FakeDocumentDecoder
from fakeplatform import (
    PARTITIONS,
    FakeClock,
    FakeStore,
    FakeVmApi,
    FakeWorkerApi,
    StoreAccess,
)

from tarragonlb.controller.looplag import LoopLag
from tarragonlb.controller.ports import Topic
from tarragonlb.controller.process import Controller, Platform
from tarragonlb.controller.settings import ControllerSettings
from tarragonlb.scheduling.job import Demand, Job, JobSpec, Step
from tarragonlb.scheduling.records import KeyedRecord
from tarragonlb.scheduling.settings import SchedulingSettings

SETTLE_SECONDS = 3.0
# Clients are served for this long after a daemon was told to stop.
SERVED_SECONDS = 4.5
SETTINGS = ControllerSettings(
    name='vm',
    partitions=PARTITIONS,
    holder_lease_seconds=3.0,
    scheduling=SchedulingSettings(
        max_lease_seconds=6.0,
        maintenance_seconds=2.0,
    ),
)


class FakeLag(LoopLag):
    """An event loop that is behind for a share of the time, from now on."""

    def __init__(self):
        super().__init__()
        self.share = 0
        self.since = 0

    def set_share(self, share):
        self.share, self.since = share, trio.current_time()

    def read_total(self, now):
        return (now - self.since) * self.share


class Simulation:
    """Collects actions; each run carries out all of them in virtual time."""

    settings = SETTINGS
    create_store = FakeStore
    create_access = StoreAccess
    create_vms = FakeVmApi
    create_documents = FakeDocumentDecoder

    def __init__(
        self,
        daemons,
        workers,
        cores=None,
        create_worker_api=FakeWorkerApi,
        settings=SETTINGS,
        decoder=None,
    ):
        self.settings = settings
        self.decoder = decoder
        self.cores = cores or [SETTINGS.processor_cores] * daemons
        self.workers = workers
        self.create_worker_api = create_worker_api
        self.actions = []

    def run(self):
        trio.run(self._run, clock=trio.testing.MockClock(autojump_threshold=0))

    async def _run(self):
        self.store = self.create_store()
        self.worker_api = self.create_worker_api()
        self.vms = self.create_vms(self.workers)
        self.fill_store()
        self.jobs = []
        async with trio.open_nursery() as nursery:
            self.nursery = nursery
            self.controllers = {}
            self.reads = {}
            self.accesses = {}
            self.lags = {}
            self.scopes = {}
            self.stops = {}
            self.ended = {}
            for number, cores in enumerate(self.cores):
                self._start(nursery, f'd{number}', cores)
            await trio.sleep(SETTLE_SECONDS)
            for action in self.actions:
                await action(self)
            nursery.cancel_scope.cancel()

    def fill_store(self):
        log = self.store.logs
        log[Topic.OPERATORS, 0].append(KeyedRecord('config', b'1'))
        for number in range(self.workers):
            log[Topic.WORKERS, 0].append(KeyedRecord(f'w{number}', b'x'))

    def _start(
        self, nursery, name, cores=SETTINGS.processor_cores, member=None
    ):
        self.reads[name] = []
        self.accesses[name] = self.create_access(self.store, self.reads[name])
        platform = Platform(
            self.accesses[name],
            self.decoder or self.create_documents(),
            self.worker_api,
            self.vms,
            getattr(self.worker_api, 'advisor', None),
        )
        settings = replace(self.settings, processor_cores=cores, name=name)
        self.lags[name] = FakeLag()
        controller = Controller(
            platform, settings, member or name, FakeClock(), self.lags[name]
        )
        scope = trio.CancelScope()
        stopped = trio.Event()

        ended = trio.Event()

        async def serve(served):
            await stopped.wait()
            await trio.sleep(SERVED_SECONDS)
            served.set()

        async def run():
            served = trio.Event()
            async with trio.open_nursery() as tasks:
                tasks.start_soon(serve, served)
                with scope:
                    await controller.run(stopped, served)
                tasks.cancel_scope.cancel()
            ended.set()

        nursery.start_soon(run)
        self.controllers[name] = controller
        self.scopes[name] = scope
        self.stops[name] = stopped
        self.ended[name] = ended

    async def sleep(self, seconds):
        await trio.sleep(seconds)

    def find_owner(self):
        partition = self.find_partition('pool')
        for name, owned in self.list_owners():
            if owned.partition == partition:
                return name
        raise AssertionError('no daemon owns the pool')

    def list_owners(self):
        return [
            (name, owned)
            for name, controller in self.controllers.items()
            for owned in controller._owners
        ]

    def find_partition(self, pool):
        controller = next(iter(self.controllers.values()))
        return controller.view.find_partition(pool)

    def add_job(self, tasks, queue='q', pool='pool'):
        job_id = f'{len(self.jobs):016x}'
        step = Step(width=tasks, demand=Demand(500, 100, 0))
        job = Job(
            job_id=job_id,
            queue=queue,
            pool=pool,
            spec=JobSpec(payload='x', steps=(step,)),
        )
        self.jobs.append(job_id)
        return job

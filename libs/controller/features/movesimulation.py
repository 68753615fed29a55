"""Daemons with a queue that moves between pools, in virtual time.

A configuration is its version, the pool that the queue has, and all pools.  The
queue's name contains its pool, so it changes as well.
"""

from dataclasses import replace

import trio
from fakeplatform import QUEUE, FakeStore, FakeWorkerApi, StoreAccess
from simulation import Simulation

from tarragonlb.controller.jobservice import StoreUnavailable
from tarragonlb.controller.ports import Configuration, DocumentDecoder, Topic
from tarragonlb.scheduling.job import Demand, Job, JobSpec, Step
from tarragonlb.scheduling.queue import QueueTable
from tarragonlb.scheduling.records import KeyedRecord
from tarragonlb.scheduling.worker import Worker

WORKERS_PER_POOL = 2
RETRY_SECONDS = 0.2
REQUEST_SECONDS = 12.0


class MoveDecoder(DocumentDecoder):
    def __init__(self):
        self.millicores = 4000

    def decode_operator_record(self, record):
        version, pool, *pools = record.value.decode().split()
        queues = [replace(QUEUE, name=f'q-{pool}', pool=pool)]
        queues.extend(
            replace(QUEUE, name=f'o-{name}', path_prefix=f'/{name}/', pool=name)
            for name in pools
        )
        return Configuration(int(version), QueueTable(queues), 1000)

    def decode_worker_record(self, record):
        return record.value and Worker(
            worker_id=record.key,
            pool=record.value.decode(),
            address='x:1',
            capacity=Demand(self.millicores, 8000, 0),
        )


class LaggingAccess(StoreAccess):
    """The store as a daemon calls it that may get configurations late."""

    lags_until = 0.0

    async def read(self, topic, partition, offset, wait_seconds):
        batch = await super().read(topic, partition, offset, wait_seconds)
        while (
            topic is Topic.OPERATORS and trio.current_time() < self.lags_until
        ):
            await trio.sleep_until(self.lags_until)
            batch = await super().read(topic, partition, offset, wait_seconds)
        return batch


class MoveSimulation(Simulation):
    create_access = LaggingAccess
    create_store = FakeStore

    def __init__(self, daemons, pools):
        super().__init__(
            daemons,
            0,
            create_worker_api=FakeWorkerApi,
            decoder=MoveDecoder(),
        )
        self.pools = pools
        self.version = 0
        self.cancelled = set()
        self.accepted = set()
        self.restarts = 0

    def fill_store(self):
        self.move(self.pools[0])
        log = self.store.logs[Topic.WORKERS, 0]
        for pool in self.pools:
            for number in range(WORKERS_PER_POOL):
                log.append(KeyedRecord(f'{pool}-{number}', pool.encode()))

    def move(self, pool):
        # Versions rise in uneven steps.
        self.version += 1 + self.version % 3
        text = f'{self.version} {pool} {" ".join(self.pools)}'
        log = self.store.logs[Topic.OPERATORS, 0]
        log.append(KeyedRecord('config', text.encode()))

    def restart(self, name):
        self.scopes[name].cancel()
        self.restarts += 1
        # A member is a process, so a restart is a new one.
        member = f'{name}-{self.restarts}'
        self._start(self.nursery, name, member=member)

    def find_queue(self, name):
        configuration = self.controllers[name].view.configuration
        return configuration and configuration.queues.find('h', '/q/x')

    def build_job(self, job_id, queue):
        step = Step(width=1, demand=Demand(500, 100, 0))
        return Job(
            job_id=job_id,
            queue=queue.name,
            pool=queue.pool,
            spec=JobSpec(payload='x', steps=(step,)),
        )

    async def submit(self, name, job_id=None):
        """Submit a job as a client does, until it is accepted."""
        if job_id is None:
            job_id = f'{len(self.jobs):016x}'
            self.jobs.append(job_id)
        with trio.fail_after(REQUEST_SECONDS):
            while True:
                queue = self.find_queue(name)
                if queue is not None:
                    service = self.controllers[name].job_service
                    outcome = await service.submit(
                        self.build_job(job_id, queue)
                    )
                    if outcome.verdict.value == 'ran':
                        self.accepted.add(job_id)
                        return job_id
                await trio.sleep(RETRY_SECONDS)

    async def cancel(self, name, job_id):
        """Cancel a job as a client does, until that is accepted."""
        with trio.fail_after(REQUEST_SECONDS):
            while True:
                queue = self.find_queue(name)
                if queue is not None:
                    service = self.controllers[name].job_service
                    outcome = await service.cancel(queue, job_id)
                    assert outcome is not None, (name, job_id)
                    if outcome.verdict.value == 'ran':
                        self.cancelled.add(job_id)
                        return
                await trio.sleep(RETRY_SECONDS)

    async def describe(self, name, job_id):
        """Return a job's state as a daemon shows it, '' if it can't now."""
        queue = self.find_queue(name)
        if queue is None:
            return ''
        service = self.controllers[name].job_service
        state = await service.describe(queue, job_id)
        assert state is not None, f'{name} says there is no job {job_id}'
        return '' if isinstance(state, StoreUnavailable) else state

    def check_starts(self):
        keys = [key for key, _ in self.worker_api.starts]
        assert len(keys) == len(set(keys)), sorted(keys)
        started = {key.job_id for key in keys}
        missing = set(self.jobs) - self.cancelled - started
        assert not missing, missing

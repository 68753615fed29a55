"""A start order arrives late, at a worker that has crashed and is back."""

import random
import sys
from pathlib import Path

import trio
from faultsoak.httpserver import Request, Response
from faultsoak.plans import JobPlan, QueuePlan, StepPlan
from faultsoak.vms import Fleet, Vm
from stage import Stage, is_troubled, play

QUEUE = QueuePlan('strike', '/strike/', 'desk', max_attempts=3)
# The worker crashes after the daemon has given the call up, and is away for so
# long; both pages and bench have workers away for several seconds.
CRASH_AFTER_SECONDS = 0.6
AWAY_SECONDS = 2.5
# The call is carried out so soon after the worker is back.
ARRIVES_AFTER_SECONDS = 0.01


class LateFleet(Fleet):
    """A fleet that delays one start order and crashes its worker."""

    armed = False

    async def _serve(self, vm: Vm, request: Request) -> Response | None:
        if self.armed and request.path.endswith('start'):
            self.armed = False
            self._nursery.start_soon(self._delay, vm, request)
            await trio.sleep_forever()
        return await super()._serve(vm, request)

    async def _delay(self, vm: Vm, request: Request) -> None:
        worker_id = vm.worker.identity.worker_id
        task = request.decode()['task']
        self.say(f'the order to start {task} on {worker_id} is delayed')
        await trio.sleep(CRASH_AFTER_SECONDS)
        self.halt(vm)
        self.say(f'{worker_id} has crashed, its VM is listed as down')
        await trio.sleep(AWAY_SECONDS)
        self.boot(vm, worker_id)
        self.say(f'{worker_id} is back under its id, a new lifetime')
        await trio.sleep(ARRIVES_AFTER_SECONDS)
        response = await vm.handle(request)
        self.say(f'the delayed order arrives, answer {response.status}')


class LateStage(Stage):
    """A stage with such a fleet."""

    fleet_type = LateFleet


def build_job(number: int, duration_ms: int) -> JobPlan:
    """Return a job of one task."""
    step = StepPlan(count=1, cpu=1000, mem_mb=256, duration_ms=duration_ms)
    job_id = f'{random.Random(number).getrandbits(64):016x}'
    return JobPlan(job_id=job_id, queue=QUEUE, steps=(step,))


async def run(stage: Stage) -> None:
    """Play a first job without trouble, then one whose order is late."""
    stage.fleet.say = stage.say
    stage.write_configuration([QUEUE])
    await stage.start(daemons=2, pools={'desk': 3})
    first = await stage.submit(build_job(1, 300), stage.daemons[0])
    await stage.wait_for_state(first, stage.daemons[0], {'completed'}, 10)
    stage.fleet.armed = is_troubled()
    job = await stage.submit(build_job(2, 6000), stage.daemons[0])
    await stage.wait_for_state(
        job, stage.daemons[0], {'completed', 'failed'}, 40
    )
    if not job.is_done:
        stage.break_rule('LOST', 'the job is not done')


if __name__ == '__main__':
    sys.exit(play(Path(sys.argv[1]), run, LateStage))

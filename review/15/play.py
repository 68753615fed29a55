"""A job whose submission is stored late is cancelled before that."""

import math
import random
import sys
from pathlib import Path

import trio
from faultsoak.httpserver import Request, Response
from faultsoak.ledger import JobFacts
from faultsoak.plans import JobPlan, QueuePlan, StepPlan
from faultsoak.store import Store
from stage import Stage, is_troubled, play

QUEUE = QueuePlan('strike', '/strike/', 'desk')
LOST_SECONDS = 2.0
# Writes without an answer are done so much later, of at most this share.
LATE_SECONDS = 5.9
MAX_SHARE = 0.35
# The client leaves after that time, and cancels later.
LEAVES_SECONDS = 0.9
CANCELS_SECONDS = 2.2
CANCEL_SECONDS = 3.0
WATCH_SECONDS = 8.0


class LateStore(Store):
    """A store that may leave writes unanswered and carry them out late."""

    is_troubled = False
    writes = 0
    lost = 0
    nursery: trio.Nursery
    say = print

    async def _append(self, request: Request) -> Response:
        is_submission = 'producer' not in request.query and (
            request.query['part'] != '0'
        )
        self.writes += self.is_troubled
        if self.is_troubled and is_submission:
            self.lost += 1
            self.nursery.start_soon(self._append_late, request)
            await trio.sleep_forever()
        return await super()._append(request)

    async def _append_late(self, request: Request) -> None:
        await trio.sleep(LATE_SECONDS)
        response = await super()._append(request)
        self.say(f'the store carries out a lost append: {response.status}')

    async def _join(self, request: Request) -> Response:
        self.writes += self.is_troubled
        return await super()._join(request)


class LateStage(Stage):
    """A stage with such a store."""

    def __init__(self, folder: Path, nursery: trio.Nursery) -> None:
        """Prepare a play."""
        super().__init__(folder, nursery)
        self.store.__class__ = LateStore
        self.store.nursery = nursery
        self.store.say = self.say
        self.cancelled_at = math.inf

    def _watch_promises(self) -> None:
        super()._watch_promises()
        note_start = self.promises.note_start

        def start(worker, run, order, *, is_late):
            late = trio.current_time() - self.cancelled_at
            if late > CANCEL_SECONDS:
                self.break_rule(
                    'UNASKED',
                    f'{run.task} starts {late:.2f} s after its cancelling '
                    'was acknowledged',
                )
            note_start(worker, run, order, is_late=is_late)

        self.promises.note_start = start


def build_job(number: int) -> JobPlan:
    """Return a job of one task."""
    step = StepPlan(count=1, cpu=1000, mem_mb=256, duration_ms=500)
    job_id = f'{random.Random(number).getrandbits(64):016x}'
    return JobPlan(job_id=job_id, queue=QUEUE, steps=(step,))


async def lose_writes(stage: Stage) -> None:
    """Leave some writes unanswered for a while."""
    store = stage.store
    store.is_troubled = True
    stage.say('the store answers some writes not, and does them later')
    await trio.sleep(LOST_SECONDS)
    store.is_troubled = False
    share = store.lost / max(store.writes, 1)
    stage.say(f'the store is sound; {store.lost} of {store.writes} were lost')
    if not 0 < share <= MAX_SHARE:
        raise ValueError(f'a share of {share:.2f} was lost')


async def cancel(stage: Stage, job: JobFacts, path: str) -> None:
    """Cancel a job until that is acknowledged."""
    status = 0
    job.is_cancel_sent = True
    while status not in {200, 410}:
        status, _ = await stage.call(stage.daemons[1], 'DELETE', path)
        await trio.sleep(0.1)
    stage.cancelled_at = trio.current_time() - 0.1


async def run(stage: Stage) -> None:
    """Submit a job, leave without an answer, and cancel it."""
    stage.write_configuration([QUEUE])
    await stage.start(daemons=2, pools={'desk': 3})
    daemon = stage.daemons[0]
    first = await stage.submit(build_job(1), daemon)
    await stage.wait_for_state(first, daemon, {'completed'}, 10)
    if is_troubled():
        stage.nursery.start_soon(lose_writes, stage)
        await trio.sleep(0.05)
    plan = build_job(2)
    path = plan.queue.prefix + plan.job_id
    job = stage.promises.jobs[plan.job_id] = JobFacts(plan)
    with trio.move_on_after(LEAVES_SECONDS) as scope:
        await stage.call(daemon, 'POST', path, plan.encode())
    stage.say(f'the client has left: {scope.cancelled_caught}')
    await trio.sleep(CANCELS_SECONDS - LEAVES_SECONDS)
    await cancel(stage, job, path)
    await trio.sleep(WATCH_SECONDS)
    await stage.call(daemon, 'GET', path)


if __name__ == '__main__':
    sys.exit(play(Path(sys.argv[1]), run, LateStage))

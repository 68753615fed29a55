"""An owner, its workers and a placement policy service, in virtual time.

The service answers one call after the other, as slowly as the queue's
configuration says.  It checks the bounds of the calls; workers check tickets.
"""

import random
from collections import Counter
from dataclasses import replace

from tarragonlb.scheduling.advice import (
    AdviceAnswer,
    AdviceCallLimit,
    AdviceOutcome,
)
from tarragonlb.scheduling.adviceplanner import AdvicePlanner
from tarragonlb.scheduling.job import Demand, Job, JobSpec, Moment
from tarragonlb.scheduling.jobstate import JobState
from tarragonlb.scheduling.orders import OrderResult
from tarragonlb.scheduling.placement import PackNearData
from tarragonlb.scheduling.policies import SchedulingPolicies
from tarragonlb.scheduling.queue import Advice, Queue
from tarragonlb.scheduling.scheduler import Scheduler
from tarragonlb.scheduling.settings import SchedulingSettings
from tarragonlb.scheduling.ticketbook import TicketBook
from tarragonlb.scheduling.worker import (
    EndedAttempt,
    RunningAttempt,
    Worker,
    WorkerReport,
)

TICK_SECONDS = 0.01
# From the decision to the arrival of a start.
START_SECONDS = 0.05
TASK_SECONDS = 1.0
SETTINGS = SchedulingSettings(max_lease_seconds=6.0, maintenance_seconds=2.0)
ADVICE = Advice(
    decision_seconds=0.05, per_worker_seconds=0.01, valid_seconds=3.0
)
FREE = Queue(name='free', host='h', path_prefix='/free/', pool='p')


class AdviceSimulation:
    def __init__(self, workers, millicores, advised=('q',), advice=ADVICE):
        self.now = 0.0
        self.queues = {'free': FREE} | {
            name: replace(FREE, name=name, path_prefix=name, advice=advice)
            for name in advised
        }
        self.valid_ms = 1000 * advice.valid_seconds
        self.workers = {}
        self.incarnations = Counter()
        self.runs = {}
        self.ends = {}
        # Whether a worker may run a step, by step and worker; yes if missing.
        self.denied = set()
        self.jobs = 0
        # The service: calls not answered yet, with when they are answered.
        self.mode = 'good'
        self.pending = []
        self.busy_until = 0.0
        self.calls = []
        self.issued = {}
        self.most_under_way = 0
        self.refused = 0
        self.started_at = {}
        self.ready_at = {}
        self.orders = []
        for number in range(workers):
            self.add_worker(f'w{number}', millicores)
        self.take_over()

    def take_over(self):
        """Begin a term; nothing of the former owner's tickets is known."""
        jobs = [] if not hasattr(self, 'scheduler') else self.scheduler.state
        self.limit = AdviceCallLimit()
        self.pending.clear()
        self.book = TicketBook()
        self.planner = AdvicePlanner(self.book, self.limit, random.Random(1))
        policies = SchedulingPolicies(
            placement=PackNearData(), filters=(self.book,)
        )
        self.scheduler = Scheduler(SETTINGS, policies, self.now)
        self.scheduler.state.queues = self.queues
        self.scheduler.state.update_workers(self.workers.values())
        if jobs:
            for job_state in jobs.jobs.values():
                self.scheduler.state.add_job(job_state)

    def add_worker(self, name, millicores):
        self.workers[name] = Worker(
            worker_id=name,
            pool='p',
            address='x:1',
            capacity=Demand(millicores, 64000, 0),
        )
        self.incarnations[name] += 1
        self.runs[name], self.ends[name] = {}, []
        if hasattr(self, 'scheduler'):
            self.scheduler.state.update_workers(self.workers.values())

    def submit(self, queue, *steps):
        job_id = f'{self.jobs:016x}'
        self.jobs += 1
        spec = JobSpec(payload='x', steps=steps)
        job = Job(job_id=job_id, queue=queue, pool='p', spec=spec)
        state = JobState(job, Moment(self.now))
        self.scheduler.state.add_job(state)
        state.add_due_occurrences(0)
        return state

    def run(self, seconds):
        end = self.now + seconds
        while self.now < end:
            self.step()

    def step(self):
        self.now += TICK_SECONDS
        self._report()
        self._answer_calls()
        decision = self.scheduler.decide(Moment(self.now))
        self._note_ready()
        self.scheduler.note_stored(decision, self.now)
        for order in decision.starts:
            self.orders.append((self.now + START_SECONDS, order))
            self.started_at.setdefault(order.key, self.now)
        for at, order in tuple(self.orders):
            if at <= self.now:
                self.orders.remove((at, order))
                self._start(order)
        for call in self.planner.plan(self.scheduler.state, Moment(self.now)):
            self._receive(call)

    def _note_ready(self):
        for state in self.scheduler.state.open_jobs.values():
            for occurrence, number, _ in state.list_steps():
                if state.is_ready(occurrence, number):
                    key = (state.job.job_id, occurrence, number)
                    self.ready_at.setdefault(key, self.now)

    def _report(self):
        for name, runs in self.runs.items():
            ended = [
                key for key, (_, until) in runs.items() if until < self.now
            ]
            for key in ended:
                attempt, _ = runs.pop(key)
                number = len(self.ends[name]) + 1
                self.ends[name].append(
                    EndedAttempt(number, key, attempt, 'done', '')
                )
            self.scheduler.reconciler.apply_report(
                WorkerReport(
                    worker_id=name,
                    requested_at=self.now,
                    received_at=self.now,
                    incarnation=self.incarnations[name],
                    running=tuple(
                        RunningAttempt(
                            key, attempt, '', int(self.now * 100) % 100, 0
                        )
                        for key, (attempt, _) in runs.items()
                    ),
                    ended=tuple(self.ends[name]),
                )
            )

    def _start(self, order):
        step_key = tuple(order.key[:3])
        queue = self.scheduler.state.jobs[order.key.job_id].job.queue
        name = (step_key, order.worker_id, self.incarnations[order.worker_id])
        valid_until = self.issued.get((*name, order.ticket), 0.0)
        result = OrderResult.DONE
        if queue == 'free':
            assert not order.ticket, order
        elif valid_until < self.now:
            result = OrderResult.TICKET_REFUSED
            self.refused += 1
            self.book.drop_ticket(order)
        if result is OrderResult.DONE:
            self.runs[order.worker_id][order.key] = (
                order.attempt,
                self.now + TASK_SECONDS,
            )
        self.scheduler.apply_order_result(order, result, self.now)

    # The service.

    def _receive(self, call):
        assert 0 < len(call.workers) <= 100, call
        names = [worker.worker_id for worker in call.workers]
        assert len(set(names)) == len(names), names
        assert call.queue not in {other.queue for _, other, _ in self.pending}
        assert self.queues[call.queue].advice is not None, call.queue
        for name in names:
            assert (call.step_key, name, 'denied') not in self.issued, name
        self.calls.append((self.now, call))
        self.busy_until = max(self.busy_until, self.now) + call.expected_seconds
        answer_at = self.busy_until
        if self.mode == 'slow':
            answer_at += 2 * call.timeout_seconds
        if self.mode == 'silent':
            answer_at = self.now + 2 * call.timeout_seconds
        self.pending.append((answer_at, call, self.now))
        self.most_under_way = max(self.most_under_way, len(self.pending))
        assert len(self.pending) <= 8, len(self.pending)

    def _answer_calls(self):
        for entry in tuple(self.pending):
            answer_at, call, sent_at = entry
            is_late = self.now > sent_at + call.timeout_seconds
            if answer_at > self.now and not is_late:
                continue
            self.pending.remove(entry)
            self.limit.leave(call.queue)
            answer = AdviceAnswer(AdviceOutcome.SILENT)
            if not is_late:
                answer = self._answer(call)
            self.planner.apply_answer(call, answer, sent_at, self.now)
            self.scheduler.state.changed_pools.add(call.pool)

    def _answer(self, call):
        if self.mode == 'refusing':
            return AdviceAnswer(AdviceOutcome.BUSY)
        rows = tuple(
            (worker.worker_id, self._issue(call.step_key, worker.worker_id))
            for worker in call.workers
            if (call.step_key[0], worker.worker_id) not in self.denied
        )
        if self.mode in {'good', 'slow', 'silent'}:
            listed = dict(rows)
            for worker in call.workers:
                if worker.worker_id not in listed:
                    denial = (call.step_key, worker.worker_id, 'denied')
                    self.issued[denial] = 0.0
        tickets, valid_ms = {
            'unknown': ((*rows, ('w-unknown', 't')), self.valid_ms),
            'twice': ((*rows, *rows[:1], *rows[:1]), self.valid_ms),
            'empty': ((*rows[1:], (call.workers[0].worker_id, '')), 1000),
            'expired': (rows, 0),
            'negative': (rows, -5),
        }.get(self.mode, (rows, self.valid_ms))
        return AdviceAnswer(AdviceOutcome.ANSWERED, tickets, valid_ms / 1000)

    def _issue(self, step_key, worker_id):
        text = f't{len(self.issued)}'
        name = (step_key, worker_id, self.incarnations[worker_id], text)
        self.issued[name] = self.now + self.valid_ms / 1000
        return text

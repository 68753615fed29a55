import sys
from dataclasses import replace
from pathlib import Path

from behave import given, step, then, when
from hypothesis import HealthCheck, Phase, seed, settings
from hypothesis import given as given_examples
from hypothesis import strategies as st

sys.path.insert(0, str(Path(__file__).parent.parent))

import advicesimulation  # noqa: E402
from advicesimulation import ADVICE, AdviceSimulation  # noqa: E402

from tarragonlb.scheduling.advice import (  # noqa: E402
    AdviceAnswer,
    AdviceCall,
    AdviceOutcome,
    NamedWorker,
)
from tarragonlb.scheduling.job import Demand, Step  # noqa: E402
from tarragonlb.scheduling.ticketbook import TicketBook  # noqa: E402

EXAMPLES = 30
MODES = (
    'good',
    'slow',
    'silent',
    'refusing',
    'unknown',
    'twice',
    'empty',
    'expired',
    'negative',
)


def make_step(width, **fields):
    return Step(
        width=width,
        demand=Demand(1000, 100, 0),
        estimate_seconds=advicesimulation.TASK_SECONDS,
        **fields,
    )


@given('{count:d} workers with {millicores:d} millicores')
def start_pool(context, count, millicores):
    context.fleet = context.sim = AdviceSimulation(count, millicores)
    context.advised = []


@given(
    '{count:d} workers with {millicores:d} millicores and no queue with advice'
)
def start_plain_pool(context, count, millicores):
    context.fleet = context.sim = AdviceSimulation(
        count, millicores, advised=()
    )


@given('{count:d} tasks of {seconds:g} seconds that need no ticket')
def occupy(context, count, seconds):
    sim = context.sim
    sim.submit('free', make_step(count))
    sim.run(0.1)
    for runs in sim.runs.values():
        for key, (attempt, _) in runs.items():
            runs[key] = (attempt, seconds)
    context.room_at = seconds


@step('the service is {mode}')
def set_mode(context, mode):
    context.sim.mode = mode


@given('no worker may run the first job')
def deny_all(context):
    deny(context, ' '.join(context.sim.workers))


@given('the workers "{names}" may not run the first job')
def deny(context, names):
    context.sim.denied.update((f'{0:016x}', name) for name in names.split())


@when('{count:d} jobs of {tasks:d} tasks are submitted')
def submit(context, count, tasks):
    for _ in range(count):
        context.advised.append(context.sim.submit('q', make_step(tasks)))


@when(
    '{count:d} jobs of {first:d} tasks followed by {second:d} tasks are '
    'submitted'
)
def submit_two(context, count, first, second):
    for _ in range(count):
        steps = make_step(first), make_step(second, prerequisites=(0,))
        context.advised.append(context.sim.submit('q', *steps))


@when('a permanent task of the queue with advice waits')
def submit_permanent(context):
    context.advised.append(
        context.sim.submit('q', make_step(1, is_permanent=True))
    )


@when('a gang of {tasks:d} tasks is submitted')
def submit_gang(context, tasks):
    context.advised.append(
        context.sim.submit('q', make_step(tasks, is_gang=True))
    )


@when('{tasks:d} tasks are submitted that need no ticket')
def submit_free(context, tasks):
    context.free = context.sim.submit('free', make_step(tasks))
    context.submitted_at = context.sim.now


@when('worker "{name}" joins the pool')
@when('worker "{name}" restarts')
def restart(context, name):
    context.sim.add_worker(name, 4000)


@when('the service withdraws all tickets')
def withdraw(context):
    context.sim.issued.clear()


@when('an owner without tickets takes over')
def take_over(context):
    context.sim.take_over()


def list_starts(context, states):
    keys = [key for state in states for key, _ in state.list_tasks()]
    return [context.sim.started_at.get(key) for key in keys]


@then('all tasks have started')
def check_started(context):
    for state in context.advised:
        for key, task in state.list_tasks():
            assert task.attempt, key


@then('all tasks have started and no start was refused')
def check_all(context):
    check_started(context)
    assert not context.sim.refused, context.sim.refused


@then('no task of the queue with advice has started')
def check_none(context):
    assert not any(list_starts(context, context.advised))


@then('the {count:d} tasks have started within {seconds:g} seconds')
def check_free(context, count, seconds):
    starts = list_starts(context, [context.free])
    assert len(starts) == count
    assert max(starts) <= context.submitted_at + seconds, starts


@then('a call named at most {most:d} workers')
def check_named(context, most):
    named = max(len(call.workers) for _, call in context.sim.calls)
    assert named <= most, named


@then('at most {most:d} calls were made')
def check_calls(context, most):
    assert len(context.sim.calls) <= most, len(context.sim.calls)


@then('at most {most:d} starts were refused')
def check_refused(context, most):
    assert context.sim.refused <= most, context.sim.refused


@then('every second step started in the round in which it became ready')
def check_round(context):
    sim = context.sim
    for state in context.advised:
        ready_at = sim.ready_at[state.job.job_id, 0, 1]
        starts = {
            at
            for key, at in sim.started_at.items()
            if key[:3] == (state.job.job_id, 0, 1)
        }
        assert starts == {ready_at}, (starts, ready_at)


@then('the tasks started within {seconds:g} seconds of room')
def check_room(context, seconds):
    starts = list_starts(context, context.advised)
    assert max(starts) <= context.room_at + seconds, starts


@then('the gang started in one round')
def check_gang(context):
    assert len(set(list_starts(context, context.advised))) == 1


def run_until_started(sim, states):
    for _ in range(40):
        if all(
            any(task.attempt for _, task in state.list_tasks())
            for state in states
        ):
            return True
        sim.run(0.5)
    return False


@when('random fleets run with random answers')
def run_random(context):
    context.unstarted = []
    modes = st.lists(st.sampled_from(MODES), min_size=1, max_size=6)

    @settings(
        max_examples=EXAMPLES,
        deadline=None,
        database=None,
        # Runs are long, so a failing example is not shrunk.
        phases=(Phase.generate,),
        suppress_health_check=list(HealthCheck),
    )
    @seed(11)
    @given_examples(
        st.integers(1, 130),
        st.integers(1, 12),
        st.randoms(use_true_random=False),
        modes,
    )
    def run_fleet(workers, queues, source, script):
        names = [f'q{number}' for number in range(queues)]
        advice = replace(ADVICE, valid_seconds=source.choice((0.3, 1.0, 3.0)))
        sim = AdviceSimulation(workers, 2000, names, advice)
        # Asks for more workers than a call may name if the pool is large.
        states = [sim.submit(names[0], make_step(250))]
        for mode in script:
            sim.mode = mode
            for _ in range(source.randint(0, 4)):
                width = source.choice((1, 2, 8, 60))
                states.append(
                    sim.submit(source.choice(names), make_step(width))
                )
            denied = source.sample(sorted(sim.workers), len(sim.workers) // 3)
            sim.denied.update(
                (state.job.job_id, name)
                for state in states[-2:]
                for name in denied
                if not sim.calls
            )
            if source.random() < 0.2:
                sim.add_worker(source.choice(sorted(sim.workers)), 2000)
            sim.run(0.4)
        sim.mode = 'good'
        # A small pool may need minutes for all its tasks.
        if workers > 20 and not run_until_started(sim, states):
            context.unstarted.append((workers, queues, script))

    run_fleet()


@then('every job has started its tasks at the end')
def check_unstarted(context):
    assert not context.unstarted, context.unstarted[:3]


@then(
    'a ticket for {valid:g} s of a call sent at {sent:g} s counts at {last:g} '
    's, not at {first:g} s'
)
def check_margin(context, valid, sent, last, first):
    call = AdviceCall(
        queue='q',
        pool='p',
        step_key=('ab', 0, 0),
        workers=(NamedWorker('w0', 1),),
        advice=ADVICE,
    )
    answer = AdviceAnswer(AdviceOutcome.ANSWERED, (('w0', 't'),), valid)
    book = TicketBook()
    book.apply_answer(call, answer, sent)
    assert (book.count_tickets(last), book.count_tickets(first)) == (1, 0)

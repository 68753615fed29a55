from collections import Counter

import trio
from behave import then, when
from fakeplatform import FakeStore
from log_steps import run_and_collect_lines

from tarragonlb.controller.results import NotDone

TENANT = 'harbour'


class StuckStore(FakeStore):
    """A store that takes no decisions, or begins no term, from a moment on."""

    takes_decisions = True
    begins_terms = True

    async def append(self, partition, records, append_key, *topic):
        if append_key is not None and not self.takes_decisions:
            await trio.sleep_forever()
        return await super().append(partition, records, append_key, *topic)

    async def fence(self, partition, *arguments):
        if partition and not self.begins_terms:
            return NotDone('busy')
        return await super().fence(partition, *arguments)


@when('the store no longer takes decisions')
def refuse_decisions(context):
    use_stuck_store(context, 'takes_decisions')


@when('the store answers no owner')
def refuse_owners(context):
    use_stuck_store(context, 'begins_terms')


def use_stuck_store(context, name):
    async def action(sim):
        setattr(sim.store, name, False)

    context.simulation.create_store = StuckStore
    context.simulation.actions.append(action)


@when(
    '{count:d} jobs of {tasks:d} tasks are submitted over {seconds:g} seconds'
)
def submit_jobs(context, count, tasks, seconds):
    async def action(sim):
        controller = next(iter(sim.controllers.values()))
        for _ in range(count):
            job = sim.add_job(tasks)
            sim.nursery.start_soon(controller.job_service.submit, job)
            await trio.sleep(seconds / count)

    context.simulation.actions.append(action)


def find_lines(context, sentence):
    return [
        line
        for line in context.lines
        if line.get('sentence') == f'owner: {sentence}'
    ]


@then('the log says once that the job waits, with "{reason}"')
def check_line(context, reason):
    context.lines = run_and_collect_lines(context.simulation)
    (context.line,) = find_lines(context, 'A ready step waits.')
    assert context.line['job'] == context.simulation.jobs[0], context.line
    assert context.line['reason'] == reason, context.line
    assert 2 <= context.line['waited_seconds'] < 4, context.line


@then('the line names the tenant and {count:d} waiting tasks')
def check_tenant(context, count):
    assert context.line['tenant'] == TENANT, context.line
    assert context.line['phases']['waiting'] == count, context.line


@then(
    'at most {most:d} lines a second say that a step waits, and {ends:d} that '
    'it no longer does'
)
def check_volume(context, most, ends):
    context.lines = run_and_collect_lines(context.simulation)
    states = find_lines(context, 'State of the partition.')
    for sentence, limit in (
        ('A ready step waits.', most),
        ('A step no longer waits.', ends),
    ):
        lines = find_lines(context, sentence)
        assert lines, sentence
        assert len(lines) <= limit * len(states), (sentence, len(lines))
        looks = Counter(
            states.index(next_state(context, number))
            for number, line in enumerate(context.lines)
            if line in lines
        )
        assert max(looks.values()) <= limit, (sentence, looks)


def next_state(context, number):
    """Return the line of the partition that the same look wrote."""
    sentence = 'owner: State of the partition.'
    return next(
        line
        for line in context.lines[number:]
        if line.get('sentence') == sentence
    )


@then('the lines count more than {count:d} steps with "{reason}"')
def check_counts(context, count, reason):
    states = find_lines(context, 'State of the partition.')
    most = max(state['waiting_steps'].get(reason, 0) for state in states)
    assert most > count, most
    others = max(
        line['others'] for line in find_lines(context, 'A ready step waits.')
    )
    assert others > count, others


@then(
    'the last line of its term lists {count:d} open jobs, as does the first of '
    'the next'
)
def check_terms(context, count):
    simulation = context.simulation
    context.lines = run_and_collect_lines(simulation)
    partition = simulation.find_partition('pool')
    ended, started = (
        [
            line
            for line in find_lines(context, sentence)
            if line['partition'] == partition
        ]
        for sentence in ('Term ended.', 'Term started.')
    )
    following = next(
        line for line in started if line['term'] > ended[0]['term']
    )
    for line in (ended[0], following):
        assert line['open_jobs'] == count, line
        assert sorted(line['oldest_open']) == sorted(simulation.jobs), line


@then(
    '{least:d} to {most:d} lines say that the records of the partition are not '
    'read yet'
)
def check_reading(context, least, most):
    context.lines = run_and_collect_lines(context.simulation)
    lines = find_lines(
        context, 'The records of the partition are not read yet.'
    )
    partition = context.simulation.find_partition('pool')
    counts = Counter(line['partition'] for line in lines)
    assert least <= counts[partition] <= most, counts

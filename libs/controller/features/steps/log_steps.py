import eliot
from behave import then


def run_and_collect_lines(simulation):
    """Run the simulation and return the lines that it logs."""
    lines = []
    eliot.add_destinations(lines.append)
    # Eliot passes messages logged earlier to the first destination.
    lines.clear()
    try:
        simulation.run()
    finally:
        eliot.remove_destination(lines.append)
    return lines


@then(
    'the log reports once that "{name}" is unavailable and once that it '
    'recovered'
)
def check_lines(context, name):
    lines = run_and_collect_lines(context.simulation)
    sentences = [
        line['sentence'] for line in lines if line.get('dependency') == name
    ]
    assert sentences == [
        'dependency: Dependency unavailable.',
        'dependency: Dependency available again.',
    ], sentences


@then('the log has {least:d} to {most:d} lines on the state of the partition')
def collect_states(context, least, most):
    lines = run_and_collect_lines(context.simulation)
    context.states = [
        line
        for line in lines
        if line.get('sentence') == 'owner: State of the partition.'
    ]
    assert least <= len(context.states) <= most, len(context.states)


@then('each of them counts {workers:d} workers and {silent:d} silent ones')
def check_states(context, workers, silent):
    counts = {(line['workers'], line['silent']) for line in context.states}
    assert counts == {(workers, silent)}, counts


@then(
    'the log lists the ends of {tasks:d} tasks, each with its worker, in at '
    'most {most:d} lines'
)
def check_ends(context, tasks, most):
    lines = run_and_collect_lines(context.simulation)
    ended = [
        line for line in lines if line.get('sentence') == 'owner: Tasks ended.'
    ]
    rows = [row for line in ended for row in line['ends']]
    assert len({row[0] for row in rows}) == len(rows) == tasks, len(rows)
    assert all(row[3].startswith('w') for row in rows), rows
    assert len(ended) <= most, len(ended)


@then('the log names the lost worker once, with its attempts and their ages')
def check_losses(context):
    lines = run_and_collect_lines(context.simulation)
    losses = [
        loss
        for line in lines
        if line.get('sentence') == 'owner: Workers lost.'
        for loss in line['workers']
    ]
    assert len(losses) == 1, losses
    (loss,) = losses
    assert loss['worker'] in context.simulation.vms.ended, loss
    assert loss['reason'] == 'no VM runs the worker any more', loss
    job_id = context.simulation.jobs[0]
    tasks = {f'{job_id}.0.0.{index}' for index in range(6)}
    assert loss['attempts'], loss
    for name, attempt, age, known in loss['attempts']:
        assert known in {'answered', 'listed'}, (name, known)
        assert name in tasks and attempt == 1, loss
        # From 0.4 s before the crash to the detection.
        assert 0.4 < age < 4, loss

from behave import then
from log_steps import run_and_collect_lines

# From the beginning of the first submission to the end of the run.
PEAK_SECONDS = 6


def collect(context):
    if not hasattr(context, 'lines'):
        context.lines = run_and_collect_lines(context.simulation)
    return context.lines


def list_rows(context, sentence, field):
    return [
        row
        for line in collect(context)
        if line.get('sentence') == sentence
        for row in line[field]
    ]


@then('the log has at most {most:d} lines a second')
def check_volume(context, most):
    lines = collect(context)
    sentences = [line.get('sentence') for line in lines]
    first = sentences.index('desk: Jobs submitted.')
    assert len(lines) - first <= most * PEAK_SECONDS, len(lines) - first


@then('each job was logged as submitted once, with its verdict')
def check_submissions(context):
    rows = list_rows(context, 'desk: Jobs submitted.', 'jobs')
    logged = sorted(job_id for job_id, _ in rows)
    assert logged == sorted(context.simulation.jobs), len(logged)
    assert all(0 <= age <= 1.01 for _, age in rows), rows
    assert all(
        line['verdict'] == 'ran' and line['queue'] == 'q'
        for line in context.lines
        if line.get('sentence') == 'desk: Jobs submitted.'
    )


@then(
    'each start and each end is logged once, at most {seconds:g} seconds late'
)
def check_attempts(context, seconds):
    starts = list_rows(context, 'owner: Starting tasks.', 'starts')
    ends = list_rows(context, 'owner: Tasks ended.', 'ends')
    started = {row[:3] for row in starts}
    assert len(started) == len(starts) > 1000, len(starts)
    placed_at = context.simulation.worker_api.started_at
    assert {row[0] for row in starts} >= {str(key) for key, _ in placed_at}
    ended = {(row[0], row[1], row[3]) for row in ends}
    assert len(ended) == len(ends) > 500, len(ends)
    assert ended <= started, ended - started
    assert all(0 <= row[-1] <= seconds for row in starts + ends)


@then('the line was written at once')
def check_immediate(context):
    rows = list_rows(context, 'desk: Jobs submitted.', 'jobs')
    assert [age for _, age in rows] == [0.0], rows

from behave import then


@then('the job has {count:d} occurrences')
def check_occurrences(context, count):
    (state,) = context.scheduler.state.jobs.values()
    assert len(state.occurrences) == count, len(state.occurrences)

from behave import then, when


@when('the queue "{name}" is removed')
def remove_queue(context, name):
    state = context.scheduler.state
    state.queues = {
        other: queue for other, queue in state.queues.items() if other != name
    }


@then('{count:d} tasks were started since')
def check_attempts_begun(context, count):
    begun = sum(
        task.attempt
        for job_state in context.scheduler.state.jobs.values()
        for _, task in job_state.list_tasks()
    )
    assert begun == count, begun

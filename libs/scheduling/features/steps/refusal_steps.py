from behave import then, when
from decision_steps import report, run_round

from tarragonlb.scheduling.orders import OrderResult
from tarragonlb.scheduling.worker import WorkerReport


@when('for {seconds:g} seconds worker "{name}" answers starts with "{result}"')
def run_with_answers(context, seconds, name, result):
    context.accepted = {}
    end_at = context.now + seconds
    while context.now < end_at:
        run_round(context)
        for order in context.round.starts:
            answer_start(context, order, {name: OrderResult(result)})
        for worker_id in context.directory:
            report(context, worker_id)


def answer_start(context, order, results):
    answer = results.get(order.worker_id, OrderResult.DONE)
    if answer is OrderResult.DONE:
        context.accepted[order.key] = order.worker_id
    context.scheduler.apply_order_result(order, answer, context.now)


@then('all tasks have started on "{name}"')
def check_started_on(context, name):
    waiting = [
        key
        for state in context.scheduler.state.jobs.values()
        for key, _ in state.list_tasks()
        if context.accepted.get(key) != name
    ]
    assert not waiting, waiting


@when('for {seconds:g} seconds worker "{name}" leaves all starts unanswered')
def run_without_answers(context, seconds, name):
    """Play a worker that answers polls and stops, and starts nothing."""
    context.accepted = {}
    end_at = context.now + seconds
    while context.now < end_at:
        run_round(context)
        for order in context.round.starts:
            answer_start(context, order, {name: OrderResult.UNANSWERED})
        for stop in context.round.stops:
            context.scheduler.apply_order_result(
                stop, OrderResult.DONE, context.now
            )
        for worker_id in context.directory:
            if worker_id == name:
                report_nothing(context, worker_id)
            else:
                report(context, worker_id)


def report_nothing(context, worker_id):
    context.now += 0.01
    context.scheduler.reconciler.apply_report(
        WorkerReport(
            worker_id=worker_id,
            requested_at=context.now,
            received_at=context.now,
            incarnation=1,
        )
    )

from behave import given, then, when

from tarragonlb.controller.patience import Patience


@given('a store whose answers were waited for {seconds:g} seconds')
def begin_patience(context, seconds):
    context.patience = Patience()
    assert context.patience.seconds == seconds


@when('{count:d} calls get no answer')
def lose_answers(context, count):
    for _ in range(count):
        context.patience.note_silence()


@when('an answer takes {seconds:g} seconds')
def get_answer(context, seconds):
    context.patience.note_answer(seconds)


@then('answers are waited for {seconds:g} seconds')
def check_patience(context, seconds):
    assert abs(context.patience.seconds - seconds) < 0.001

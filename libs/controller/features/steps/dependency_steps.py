import eliot
from behave import then


@then('the log says once that "{name}" was lost and once that it is back')
def check_lines(context, name):
    lines = []
    eliot.add_destinations(lines.append)
    # The first destination is given what was said before.
    lines.clear()
    try:
        context.story.play()
    finally:
        eliot.remove_destination(lines.append)
    said = [
        line['sentence'] for line in lines if line.get('dependency') == name
    ]
    assert said == ['dependency: Lost.', 'dependency: Regained.'], said

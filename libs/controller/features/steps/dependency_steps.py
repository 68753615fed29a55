import eliot
from behave import then


@then(
    'the log reports once that "{name}" is unavailable and once that it '
    'recovered'
)
def check_lines(context, name):
    lines = []
    eliot.add_destinations(lines.append)
    # Eliot passes messages logged earlier to the first destination.
    lines.clear()
    try:
        context.simulation.run()
    finally:
        eliot.remove_destination(lines.append)
    sentences = [
        line['sentence'] for line in lines if line.get('dependency') == name
    ]
    assert sentences == [
        'dependency: Dependency unavailable.',
        'dependency: Dependency available again.',
    ], sentences

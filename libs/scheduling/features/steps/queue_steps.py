from behave import given, then, when
from hypothesis import given as for_all
from hypothesis import seed, settings
from hypothesis import strategies as st

from tarragonlb.scheduling.queue import Queue, QueueTable

WORDS = st.text('/ab', max_size=4)
QUEUES = st.lists(st.tuples(st.sampled_from('uvwxyz'), WORDS), max_size=8)


class CountingPath(str):
    """Counts how often a look-up compares or slices the path."""

    examined = 0

    def startswith(self, *args):
        self.examined += 1
        return super().startswith(*args)

    def __getitem__(self, index):
        self.examined += 1
        return super().__getitem__(index)


def build_queue(name, prefix):
    return Queue(name=name, host='H', path_prefix=prefix, pool='p')


def scan(queues, path):
    """Return the queue as it was found before there was an index."""
    by_name = {queue.name: queue for queue in queues}
    listed = sorted(by_name.values(), key=lambda queue: -len(queue.path_prefix))
    fitting = (one for one in listed if path.startswith(one.path_prefix))
    return next(fitting, None)


@given('sets of queues with prefixes that overlap, also of equal names')
def describe_queues(context):
    context.cases = (QUEUES, WORDS)


@then('each look-up returns the queue that a scan of all prefixes returns')
def check_lookups(context):
    @seed(20)
    @settings(max_examples=300, deadline=None, database=None)
    @for_all(*context.cases)
    def check(rows, path):
        queues = [build_queue(*row) for row in rows]
        assert QueueTable(queues).find('h', path) == scan(queues, path)
        assert QueueTable(queues).find('other', path) is None

    check()


@given('a host with {count:d} queues whose prefixes have 4 lengths')
def create_table(context, count):
    context.last = build_queue(f'q{count}', f'/{count}/')
    queues = [build_queue(f'q{n}', f'/{n}/') for n in range(count)]
    context.queue_table = QueueTable([*queues, context.last])


@when('the last queue and an unknown path are looked up')
def look_up(context):
    context.paths = [CountingPath('/1400/1f'), CountingPath('/unknown/1f')]
    found = [context.queue_table.find('h', path) for path in context.paths]
    assert found == [context.last, None], found


@then('each look-up has examined the path at most {most:d} times')
def check_examined(context, most):
    examined = [path.examined for path in context.paths]
    assert max(examined) <= most, examined

from behave import given, then, when


@given('pool "{pool}" is set to "{text}"')
@when('pool "{pool}" is set to "{text}"')
def set_pool(context, pool, text):
    context.world.publish_pool(pool, text)


@given('jobs fill pool "{pool}"')
def fill_pool(context, pool):
    for _ in range(4):
        context.world.submit(pool, 4, idempotent=False, urgent=False)
    for _ in range(3):
        context.world.run_rounds(context.daemon, 1)
    assert len(context.world.platform.list_running()) == 4


@then('pool "{first}" has {count:d} VMs and pool "{second}" has {rest:d}')
def check_sizes(context, first, count, second, rest):
    vms = context.world.truth.vms
    sizes = (vms.count_pool_vms(first), vms.count_pool_vms(second))
    assert sizes == (count, rest), sizes


@then('{count:d} moves were started')
def check_moves(context, count):
    assert context.world.moves == count, context.world.moves

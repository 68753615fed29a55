import random
from collections import Counter

from behave import given, step, then, when

from tarragonlb.scheduling.fleetrecords import (
    DrainRequest,
    PoolLoad,
    VmOrder,
    build_drain_record,
    build_drained_record,
    build_load_record,
    build_maintenance_begun_record,
    build_maintenance_done_record,
    build_order_record,
    build_reopen_record,
)
from tarragonlb.scheduling.fleetstate import FleetState
from tarragonlb.scheduling.rebalancing import PoolRebalancer
from tarragonlb.scheduling.records import KeyedRecord
from tarragonlb.scheduling.wave import (
    UNKNOWN_WORKER,
    Vm,
    VmStatus,
    Wave,
    WaveCoordinator,
)

STANDBY = frozenset(('off',))
MAINTENANCE_SECONDS = 2.0
TICK_SECONDS = 0.25


def publish(context, *records):
    for record in records:
        context.fleet_state.apply(
            [KeyedRecord(record.key, record.value, context.offset)],
            context.now,
        )
        context.offset += 1


def publish_load(context, pool, wanted, minimum, **more):
    load = PoolLoad(
        wanted_workers=wanted,
        needed_workers=more.pop('needed_workers', wanted),
        min_workers=minimum,
        **more,
    )
    publish(context, build_load_record(pool, load))


@given('VMs "{text}"')
def list_vms(context, text):
    context.fleet_state = FleetState()
    context.offset = 0
    context.now = 0.0
    context.rebalancer = PoolRebalancer()
    context.is_lossy = False
    context.hides_maintenance = False
    context.owner_seconds = float('inf')
    context.pending = frozenset()
    context.vms = {}
    context.number = 0
    for part in text.split(', '):
        count, pool = part.split(' of ')
        for number in range(int(count)):
            vm_id = f'{pool}{number}'
            worker = '' if pool in STANDBY else f'i-{vm_id}'
            context.vms[vm_id] = Vm(
                vm_id=vm_id, pool=pool, status=VmStatus.UP, worker_id=worker
            )


@step('pool "{pool}" wants {wanted:d} workers and needs at least {minimum:d}')
def set_load(context, pool, wanted, minimum):
    publish_load(context, pool, wanted, minimum)


@step(
    'pool "{pool}" wants {wanted:d} workers, needs at least {minimum:d}, '
    'and "{candidates}" can be drained'
)
def set_load_with_candidates(context, pool, wanted, minimum, candidates):
    workers = tuple(f'i-{vm_id}' for vm_id in candidates.split())
    publish_load(context, pool, wanted, minimum, drain_candidates=workers)


@step('pool "{pool}" wants {wanted:d} workers and has tasks for {needed:d}')
def set_needed_only(context, pool, wanted, needed):
    publish_load(context, pool, wanted, 2, needed_workers=needed)


@step(
    'pool "{pool}" wants {wanted:d} workers, has tasks for {needed:d}, '
    'and "{candidates}" can be drained'
)
def set_needed(context, pool, wanted, needed, candidates):
    workers = tuple(f'i-{vm_id}' for vm_id in candidates.split())
    publish_load(
        context,
        pool,
        wanted,
        2,
        needed_workers=needed,
        drain_candidates=workers,
    )


@given(
    'pool "{pool}" wants {wanted:d} workers, needs at least {minimum:d}, '
    'and "{hosts}" run permanent tasks'
)
def set_load_with_permanent(context, pool, wanted, minimum, hosts):
    workers = tuple(f'i-{vm_id}' for vm_id in hosts.split())
    publish_load(context, pool, wanted, minimum, with_permanent_tasks=workers)


@given('the owner changes every {seconds:d} seconds')
def set_owner_seconds(context, seconds):
    context.owner_seconds = seconds


@given('the VM "{vm_id}" is being drained for a move')
def request_drain(context, vm_id):
    context.number += 1
    publish(
        context,
        build_drain_record(
            DrainRequest(vm_id, f'i-{vm_id}', 0, context.number)
        ),
    )


@given('"{vm_id}" had a drain request of the wave for a former worker')
def request_drain_of_former(context, vm_id):
    publish(context, build_drain_record(DrainRequest(vm_id, 'former', 1, 999)))


@given('a wave of "{vm_ids}" within {seconds:d} seconds, {cap:d} at once')
def start_wave(context, vm_ids, seconds, cap):
    wave = Wave(
        number=1,
        vm_ids=tuple(vm_ids.split()),
        within_seconds=seconds,
        cap=cap,
    )
    context.wave_read_at = context.now
    context.coordinator = WaveCoordinator(
        wave, MAINTENANCE_SECONDS, context.wave_read_at
    )
    context.pending = frozenset(wave.vm_ids)


@given('rows of VMs in maintenance can not be read')
def hide_maintenance(context):
    context.hides_maintenance = True


@given('half of the orders get no answer')
def lose_answers(context):
    context.is_lossy = True


@when('a rebalancing round runs')
def run_rebalancing(context):
    context.decided = context.rebalancer.decide(
        context.vms.values(),
        context.fleet_state,
        STANDBY,
        frozenset(),
        context.pending,
        context.now,
    )
    for vm in context.decided.drain:
        request_drain(context, vm.vm_id)


@when('they have been drained')
def confirm_drains(context):
    for request in context.fleet_state.drain_requests.values():
        publish(context, build_drained_record(request))


@when('the clock advances by {seconds:d} s')
def advance_clock(context, seconds):
    context.now += seconds


@when(
    'the wave runs for {seconds:d} seconds with workers that drain '
    'in {drain_seconds:d} second'
)
def run_wave(context, seconds, drain_seconds):
    rng = random.Random(3)
    down = {}
    drained_at = {}
    context.maintenance_counts = Counter()
    owner_until = context.owner_seconds
    context.max_down = 0
    context.complete_at = None
    while context.now < seconds:
        context.now += TICK_SECONDS
        for vm_id, until in tuple(down.items()):
            if context.now >= until:
                down.pop(vm_id)
                vm = context.vms[vm_id]
                worker = f'{vm.worker_id}+' if vm.worker_id else ''
                context.vms[vm_id] = replace(vm, VmStatus.UP, worker)
        for vm_id, at in tuple(drained_at.items()):
            if (
                context.now >= at
                and vm_id in context.fleet_state.drain_requests
            ):
                publish(
                    context,
                    build_drained_record(
                        context.fleet_state.drain_requests[vm_id]
                    ),
                )
                drained_at.pop(vm_id)
        if context.now >= owner_until:
            owner_until += context.owner_seconds
            context.coordinator = WaveCoordinator(
                context.coordinator.wave,
                MAINTENANCE_SECONDS,
                context.wave_read_at,
            )
        decided = run_wave_round(context)
        for vm in decided.drain:
            context.number += 1
            request = DrainRequest(vm.vm_id, vm.worker_id, 1, context.number)
            publish(context, build_drain_record(request))
            drained_at[vm.vm_id] = context.now + drain_seconds
        for vm_id in decided.maintained:
            publish(
                context,
                build_maintenance_done_record(vm_id, 1),
                build_reopen_record(vm_id),
            )
        for vm in decided.maintain:
            context.coordinator.note_ordered(vm, context.now)
            if vm.vm_id not in down:
                context.maintenance_counts[vm.vm_id] += 1
                down[vm.vm_id] = context.now + MAINTENANCE_SECONDS
                context.vms[vm.vm_id] = replace(
                    vm, VmStatus.IN_MAINTENANCE, vm.worker_id
                )
            if not context.is_lossy or rng.random() < 0.5:
                context.coordinator.note_begun(vm, context.now)
                publish(
                    context,
                    build_maintenance_begun_record(vm.vm_id, 1, vm.worker_id),
                )
        context.max_down = max(context.max_down, len(down))
        if decided.is_complete and context.complete_at is None:
            context.complete_at = context.now


def run_wave_round(context, reserved=frozenset()):
    return context.coordinator.decide(
        [show_row(context, vm) for vm in context.vms.values()],
        context.now,
        context.fleet_state,
        STANDBY,
        reserved,
        context.now,
    )


def show_row(context, vm):
    is_down = vm.status is VmStatus.IN_MAINTENANCE
    if context.hides_maintenance and is_down:
        return Vm(
            vm_id='',
            pool='',
            status=VmStatus.DOWN,
            worker_id=UNKNOWN_WORKER,
        )
    return vm


@when('a round of the wave runs')
def run_one_wave_round(context):
    context.decided = run_wave_round(context)


@when(
    "a round of the wave runs while another owner's order for "
    '"{vm_id}" is recent'
)
def run_reserved_wave_round(context, vm_id):
    context.decided = run_wave_round(context, frozenset((vm_id,)))


@then('the maintenance of "{vm_ids}" is ordered')
def check_maintained(context, vm_ids):
    ordered = [vm.vm_id for vm in context.decided.maintain]
    assert ordered == vm_ids.split(), ordered


@then('the first VM to be drained is "{vm_id}"')
def check_first(context, vm_id):
    drained = [vm.vm_id for vm in context.decided.drain]
    assert drained[0] == vm_id, drained


@then('the VMs "{vm_ids}" move')
def check_moved(context, vm_ids):
    moved = sorted(move.vm.vm_id for move in context.decided.moves)
    assert moved == vm_ids.split(), moved


@then('no VM was maintained twice')
def check_once(context):
    assert set(context.maintenance_counts.values()) == {1}, (
        context.maintenance_counts
    )


def replace(vm, power, worker_id):
    return Vm(vm_id=vm.vm_id, pool=vm.pool, status=power, worker_id=worker_id)


@then('{count:d} VMs of "{source}" move to "{target}"')
def check_moves(context, count, source, target):
    moves = [
        move
        for move in context.decided.moves
        if move.vm.pool == source and move.pool == target
    ]
    assert len(moves) == count, context.decided.moves


@then('the VMs "{vm_ids}" are to be drained')
def check_drained(context, vm_ids):
    drained = sorted(vm.vm_id for vm in context.decided.drain)
    assert drained == vm_ids.split(), drained


@then('no VM is to be drained')
def check_none_drained(context):
    assert not context.decided.drain, context.decided.drain


@then('no VM is reopened')
def check_none_reopened(context):
    assert not context.decided.reopen, context.decided.reopen


@then('the VM "{vm_id}" is reopened')
def check_reopened(context, vm_id):
    assert [vm.vm_id for vm in context.decided.reopen] == [vm_id]


@then('at most {cap:d} VMs were down at a time')
def check_cap(context, cap):
    assert context.max_down <= cap, context.max_down


@then('every VM of the wave was maintained')
def check_all_maintained(context):
    assert set(context.maintenance_counts) == set(
        context.coordinator.wave.vm_ids
    )
    assert context.complete_at is not None


@then('the wave was complete within {seconds:d} seconds')
def check_wave_time(context, seconds):
    assert context.complete_at <= seconds, context.complete_at


@given(
    'the owner of term {term:d} sent orders for "{one}" at {first:d} s '
    'and "{two}" at {second:d} s'
)
def store_orders(context, term, one, first, two, second):
    for vm_id, at in ((one, first), (two, second)):
        publish(context, build_order_record(vm_id, VmOrder(term, at * 1000)))


@then(
    'for the owner of term {term:d} the VMs "{vm_ids}" are reserved at {at:d} s'
)
@then('for the owner of term {term:d} the VMs "" are reserved at {at:d} s')
def check_reserved(context, term, at, vm_ids=''):
    reserved = context.fleet_state.list_recently_ordered(term, at * 1000, 3000)
    assert reserved == frozenset(vm_ids.split()), reserved

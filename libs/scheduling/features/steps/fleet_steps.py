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
from tarragonlb.scheduling.wave import Vm, VmStatus, Wave, WaveCoordinator

STANDBY = frozenset(('off',))
MAINTENANCE_SECONDS = 2.0
TICK = 0.25


def publish(context, *records):
    for record in records:
        context.board.apply(
            [KeyedRecord(record.key, record.value, context.offset)]
        )
        context.offset += 1


@given('VMs "{text}"')
def list_vms(context, text):
    context.board = FleetState()
    context.offset = 0
    context.now = 0.0
    context.lender = PoolRebalancer()
    context.is_lossy = False
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


@step('pool "{pool}" wants {wanted:d} workers and has a floor of {floor:d}')
def set_load(context, pool, wanted, floor):
    publish(context, build_load_record(pool, PoolLoad(wanted, floor)))


@step(
    'pool "{pool}" wants {wanted:d} workers, has a floor of {floor:d}, '
    'and "{idle}" are idle'
)
def set_idle_load(context, pool, wanted, floor, idle):
    workers = tuple(f'i-{vm_id}' for vm_id in idle.split())
    publish(context, build_load_record(pool, PoolLoad(wanted, floor, workers)))


@given(
    'pool "{pool}" wants {wanted:d} workers, has a floor of {floor:d}, '
    'and "{holding}" hold permanent tasks'
)
def set_holding_load(context, pool, wanted, floor, holding):
    workers = tuple(f'i-{vm_id}' for vm_id in holding.split())
    publish(
        context, build_load_record(pool, PoolLoad(wanted, floor, (), workers))
    )


@given('the owner changes every {seconds:d} seconds')
def change_owners(context, seconds):
    context.owner_seconds = seconds


@given('the VM "{vm_id}" is closed for lending')
def close_vm(context, vm_id):
    context.number += 1
    publish(
        context,
        build_drain_record(
            DrainRequest(vm_id, f'i-{vm_id}', 0, context.number)
        ),
    )


@given('"{vm_id}" was closed for the wave when it had another worker')
def close_former(context, vm_id):
    publish(context, build_drain_record(DrainRequest(vm_id, 'former', 1, 999)))


@given('a wave of "{vm_ids}" within {seconds:d} seconds, {cap:d} at once')
def order_wave(context, vm_ids, seconds, cap):
    wave = Wave(
        number=1,
        vm_ids=tuple(vm_ids.split()),
        within_seconds=seconds,
        cap=cap,
    )
    context.coordinator = WaveCoordinator(wave, MAINTENANCE_SECONDS, 0.0)
    context.pending = frozenset(wave.vm_ids)


@given('half of the orders get no answer')
def lose_answers(context):
    context.is_lossy = True


@when('the lender decides')
def decide(context):
    context.decided = context.lender.decide(
        context.vms.values(),
        context.board,
        STANDBY,
        frozenset(),
        context.pending,
        context.now,
    )
    for vm in context.decided.drain:
        close_vm(context, vm.vm_id)


@when('they are handed over empty')
def hand_over(context):
    for closing in context.board.closing.values():
        publish(context, build_drained_record(closing))


@when('the clock goes on by {seconds:d} s')
def wait(context, seconds):
    context.now += seconds


@when(
    'the wave runs for {seconds:d} seconds with workers that are emptied '
    'in {empty_seconds:d} second'
)
def run_wave(context, seconds, empty_seconds):
    chance = random.Random(3)
    down = {}
    empty_at = {}
    context.had = Counter()
    owner_until = context.owner_seconds
    context.most_down = 0
    context.complete_at = None
    while context.now < seconds:
        context.now += TICK
        for vm_id, until in tuple(down.items()):
            if context.now >= until:
                down.pop(vm_id)
                vm = context.vms[vm_id]
                worker = f'{vm.worker_id}+' if vm.worker_id else ''
                context.vms[vm_id] = replace(vm, VmStatus.UP, worker)
        for vm_id, at in tuple(empty_at.items()):
            if context.now >= at and vm_id in context.board.closing:
                publish(
                    context, build_drained_record(context.board.closing[vm_id])
                )
                empty_at.pop(vm_id)
        if context.now >= owner_until:
            owner_until += context.owner_seconds
            context.coordinator = WaveCoordinator(
                context.coordinator.wave, MAINTENANCE_SECONDS, context.now
            )
        decided = decide_wave(context)
        for vm in decided.drain:
            context.number += 1
            closing = DrainRequest(vm.vm_id, vm.worker_id, 1, context.number)
            publish(context, build_drain_record(closing))
            empty_at[vm.vm_id] = context.now + empty_seconds
        for vm_id in decided.maintained:
            publish(
                context,
                build_maintenance_done_record(vm_id, 1),
                build_reopen_record(vm_id),
            )
        for vm in decided.maintain:
            context.coordinator.note_ordered(vm, context.now)
            if vm.vm_id not in down:
                context.had[vm.vm_id] += 1
                down[vm.vm_id] = context.now + MAINTENANCE_SECONDS
                context.vms[vm.vm_id] = replace(
                    vm, VmStatus.IN_MAINTENANCE, vm.worker_id
                )
            if not context.is_lossy or chance.random() < 0.5:
                context.coordinator.note_begun(vm, context.now)
                publish(
                    context,
                    build_maintenance_begun_record(vm.vm_id, 1, vm.worker_id),
                )
        context.most_down = max(context.most_down, len(down))
        if decided.is_complete and context.complete_at is None:
            context.complete_at = context.now


def decide_wave(context):
    return context.coordinator.decide(
        context.vms.values(),
        context.now,
        context.board,
        STANDBY,
        context.now,
    )


@when('the wave is decided on')
def decide_once(context):
    context.decided = decide_wave(context)


@then('the first VM to be closed is "{vm_id}"')
def check_first(context, vm_id):
    closed = [vm.vm_id for vm in context.decided.drain]
    assert closed[0] == vm_id, closed


@then('the VMs "{vm_ids}" move')
def check_moved(context, vm_ids):
    moved = sorted(move.vm.vm_id for move in context.decided.moves)
    assert moved == vm_ids.split(), moved


@then('no VM had it twice')
def check_once(context):
    assert set(context.had.values()) == {1}, context.had


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


@then('the VMs "{vm_ids}" are closed')
def check_closed(context, vm_ids):
    closed = sorted(vm.vm_id for vm in context.decided.drain)
    assert closed == vm_ids.split(), closed


@then('no VM is closed')
def check_none_closed(context):
    assert not context.decided.drain, context.decided.drain


@then('the VM "{vm_id}" is opened again')
def check_reopened(context, vm_id):
    assert [vm.vm_id for vm in context.decided.reopen] == [vm_id]


@then('at most {cap:d} VMs were down at a time')
def check_cap(context, cap):
    assert context.most_down <= cap, context.most_down


@then('every VM of the wave had its maintenance')
def check_wave(context):
    assert set(context.had) == set(context.coordinator.wave.vm_ids)
    assert context.complete_at is not None


@then('the wave was complete within {seconds:d} seconds')
def check_time(context, seconds):
    assert context.complete_at <= seconds, context.complete_at


@given(
    'the owner of term {term:d} ordered something for "{one}" at {first:d} s '
    'and "{two}" at {second:d} s'
)
def order_vms(context, term, one, first, two, second):
    for vm_id, at in ((one, first), (two, second)):
        publish(context, build_order_record(vm_id, VmOrder(term, at * 1000)))


@then('for the owner of term {term:d} the VMs "{vm_ids}" are taken at {at:d} s')
@then('for the owner of term {term:d} the VMs "" are taken at {at:d} s')
def check_taken(context, term, at, vm_ids=''):
    taken = context.board.list_recently_ordered(term, at * 1000, 3000)
    assert taken == frozenset(vm_ids.split()), taken

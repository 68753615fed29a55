"""Steps for records with odd values."""

import sys
from pathlib import Path

import cbor2
from behave import given, then, when
from hypothesis import given as for_all
from hypothesis import strategies as st

sys.path.insert(0, str(Path(__file__).parent.parent))
from oddvalues import SETTINGS, encode_odd  # noqa: E402

from tarragonlb.scheduling.fleetrecords import (  # noqa: E402
    DrainRequest,
    PoolLoad,
    VmOrder,
    build_drain_record,
    build_drained_record,
    build_load_record,
    build_maintenance_begun_record,
    build_maintenance_done_record,
    build_order_record,
)
from tarragonlb.scheduling.fleetstate import FleetState  # noqa: E402
from tarragonlb.scheduling.job import Demand  # noqa: E402
from tarragonlb.scheduling.ownership import (  # noqa: E402
    Bidder,
    CapacityBidPolicy,
    OwnershipBids,
)
from tarragonlb.scheduling.ownershiprecords import (  # noqa: E402
    OwnerOffer,
    OwnerStatus,
    build_offer_record,
    build_owner_record,
    build_pool_record,
)
from tarragonlb.scheduling.poolassignment import (  # noqa: E402
    assign_pools,
    weigh_pools,
)
from tarragonlb.scheduling.rebalancing import PoolRebalancer  # noqa: E402
from tarragonlb.scheduling.records import KeyedRecord  # noqa: E402
from tarragonlb.scheduling.waitforecast import PoolWaits  # noqa: E402
from tarragonlb.scheduling.waitrecords import (  # noqa: E402
    StoredWaits,
    build_wait_record,
)
from tarragonlb.scheduling.wave import (  # noqa: E402
    Vm,
    VmStatus,
    Wave,
    WaveCoordinator,
)

DRAIN = DrainRequest('m1', 'w1', 1, 7)
STATUS = OwnerStatus(
    partition=3, member='vm-1', term=7, number=1, processor_cores=2.0
)
OFFER = OwnerOffer(partition=3, member='vm-2', term=7, number=1)
WAITS = PoolWaits({'q': 1.0}, {('q', 't'): 2.0}, 3.0, 4.0, Demand(1, 2, 3))
SOUND = (
    build_load_record('p', PoolLoad(3, 1, 2, ('w1',), ('w2',))),
    build_drain_record(DRAIN),
    build_drained_record(DRAIN),
    build_order_record('m1', VmOrder(7, 1e12)),
    build_maintenance_begun_record('m1', 1, 'w1'),
    build_maintenance_done_record('m2', 1),
    build_pool_record('p', 3),
    build_owner_record(STATUS),
    build_offer_record(OFFER),
    build_wait_record('p', StoredWaits(7, WAITS)),
)
VMS = tuple(
    Vm(vm_id=f'm{number}', pool='p', status=VmStatus.UP, worker_id=f'w{number}')
    for number in range(4)
)
KEYS = st.one_of(
    st.sampled_from(
        ('load/x', 'close/m3', 'empty/m3', 'order/m3', 'begun/1/m3', 'wait/x')
    ),
    st.sampled_from(('pool/x', 'owner/4', 'offer/4', 'begun/x/m3', 'owner/x')),
    st.sampled_from(('through/x', 'owner/' + '9' * 5000, 'odd', '', '/')),
    st.text(max_size=8),
)


def decide(fleet_state):
    """Make the decisions that rest on the records of the fleet partition."""
    now = 10.0
    wave = Wave(number=1, vm_ids=('m0', 'm1', 'm3'), within_seconds=9, cap=1)
    WaveCoordinator(wave, 2.0, 0.0).decide(
        VMS, 9.0, fleet_state, frozenset(), frozenset(), now
    )
    fleet_state.list_recently_ordered(9, 1e12, 3000.0)
    PoolRebalancer().decide(
        VMS, fleet_state, frozenset(), frozenset(), frozenset(), now
    )
    weights = weigh_pools(VMS, fleet_state.loads)
    assigned = assign_pools(
        ('new',), fleet_state.partitions, weights, range(1, 12)
    )
    assert assigned['new'] in range(1, 12)
    bids = OwnershipBids(CapacityBidPolicy())
    bids.observe(fleet_state.owner_statuses, range(1, 12), now)
    due_at, _ = bids.find_next(Bidder('vm-9', 1.0, frozenset()))
    assert due_at < now + 60, due_at
    for pool in ('p', 'x'):
        fleet_state.waits.find(pool, now)


@given('records of the fleet partition')
def list_sound_records(context):
    context.sound = SOUND


@then('each is in force among any odd ones, and decisions can rest on them')
def check_fleet_records(context):
    values = encode_odd(
        *(cbor2.loads(record.value) for record in context.sound)
    )

    @SETTINGS
    @for_all(st.lists(st.tuples(KEYS, values), min_size=1, max_size=4))
    def read(rows):
        fleet_state = FleetState(range(1, 12))
        odd = [KeyedRecord(key, value, 0) for key, value in rows]
        sound = [
            KeyedRecord(record.key, record.value, 1) for record in context.sound
        ]
        fleet_state.apply([*odd, *sound], 9.5)
        check_sound(fleet_state)
        decide(fleet_state)

    read()


def check_sound(fleet_state):
    assert fleet_state.loads['p'].wanted_workers == 3
    assert fleet_state.drain_requests['m1'] == DRAIN
    assert fleet_state.drained['m1'] == DRAIN
    assert fleet_state.orders['m1'] == VmOrder(7, 1e12)
    assert fleet_state.maintenance_begun[1, 'm1'] == 'w1'
    assert (1, 'm2') in fleet_state.maintenance_done
    assert fleet_state.partitions['p'] == 3
    assert fleet_state.owner_statuses[3] == STATUS
    assert fleet_state.owner_offers[3] == OFFER
    assert fleet_state.waits.is_stored('p')


@given('a fleet state for the partitions {first:d} to {last:d}')
def create_state(context, first, last):
    context.fleet_state = FleetState(range(first, last + 1))


@when('a record assigns the pool "{pool}" to partition {partition:d}')
def assign_pool(context, pool, partition):
    record = build_pool_record(pool, partition)
    context.fleet_state.apply([KeyedRecord(record.key, record.value, 0)], 0.0)


@then('the pool "{pool}" has partition {partition:d}')
def check_partition(context, pool, partition):
    assert context.fleet_state.partitions == {pool: partition}


@then('the pool "{pool}" has no partition')
def check_no_partition(context, pool):
    assert context.fleet_state.partitions == {}, context.fleet_state.partitions
    assert context.fleet_state.errors

from behave import given, step, then, when

from tarragonlb.scheduling.handover import HandoverOffers, LagMeter
from tarragonlb.scheduling.ownership import Bidder, CapacityBidPolicy
from tarragonlb.scheduling.ownershiprecords import OwnerOffer, OwnerStatus

TICK_SECONDS = 0.5
TERM = 5


@given(
    'an owner with {cores:g} cores and {owned:d} partitions that is behind for '
    '{share:g} of the time'
)
def start(context, cores, owned, share):
    context.status = OwnerStatus(
        partition=1,
        member='owner',
        term=TERM,
        number=1,
        processor_cores=cores,
        lag_share=share,
        owned_partitions=owned,
    )
    context.offers = HandoverOffers(CapacityBidPolicy())
    context.offers.observe([context.status], {}, 0)


@given(
    'a bidder with {cores:g} cores, {owned:d} partitions and a lag of {lag:g}'
)
def set_bidder(context, cores, owned, lag):
    context.bidder = Bidder('me', cores, frozenset(range(owned)))
    context.lag_share = lag


@when('another daemon offers to own the partition')
def offer(context, term=TERM):
    made = OwnerOffer(partition=1, member='other', term=term, number=1)
    context.offers.observe([context.status], {1: made}, 0)


@when('another daemon offers to own the partition after an earlier term')
def offer_late(context):
    offer(context, TERM - 1)


@then('{seconds:g} s later it makes {count:d} offers')
def check_offers(context, seconds, count):
    made = context.offers.choose_offer(
        context.bidder, context.lag_share, {1: context.status}, seconds
    )
    assert (made is not None) == bool(count), made
    if made is not None:
        assert (made.member, made.term) == ('me', TERM), made


@given('a daemon that is behind for {share:g} of the time during {seconds:g} s')
def start_meter(context, share, seconds):
    context.meter = LagMeter(0.0)
    context.now = 0.0
    context.total = 0.0
    run_meter(context, share, seconds)


@when('it is behind for {share:g} of the time during {seconds:g} s')
def run_meter(context, share, seconds):
    for _ in range(int(seconds / TICK_SECONDS)):
        context.now += TICK_SECONDS
        context.total += TICK_SECONDS * share
        context.meter.note_total(context.total, context.now)


@step('it is overloaded')
def check_overloaded(context):
    assert context.meter.is_overloaded(context.now), context.meter.share


@step('it is not overloaded')
def check_not_overloaded(context):
    assert not context.meter.is_overloaded(context.now), context.meter.share

"""Scripts of faults that a fleet in virtual time runs through.

    python bench/soak.py --seed 1 --steps 200000

plays many of them; the scenarios play some with fixed seeds.
"""

import random

from fleetworld import FleetWorld, make_step

LONG_ENOUGH_SECONDS = 60
LONG_SHARE = 0.4
FAULTS = (
    'kill',
    'freeze',
    'cut',
    'cut',
    'cut and kill',
    'crash',
    'store',
    'fail',
    'still',
    'cancel',
)
STEPS_A_RUN = 900
MAX_FAULTS = 14


def run_scripts(seed, steps):
    """Run fleets with random faults for at least so many steps."""
    chance = random.Random(seed)
    done = 0
    while done < steps:
        number = chance.randrange(10**6)
        faults = [
            (chance.randrange(250), chance.choice(FAULTS))
            for _ in range(chance.randrange(MAX_FAULTS))
        ]
        left = run_script(number, faults)
        assert not left, left[0]
        done += STEPS_A_RUN
    return done


def run_script(number, faults):
    """Run one fleet through its faults; return the jobs left open."""
    world = FleetWorld(number, long_share=LONG_SHARE)
    by_tick = {}
    for tick, fault in faults:
        by_tick.setdefault(tick, []).append(fault)
    for tick in range(300):
        if tick % 25 == 0 and tick < 250:
            copies = tick % 50 == 0
            world.submit(
                [
                    make_step(5, allows_copies=copies),
                    make_step(3, prerequisites=(0,)),
                ]
            )
        for fault in by_tick.get(tick, ()):
            strike(world, fault, tick)
        world.step()
    for worker in world.workers:
        heal(worker)
    world.is_store_up = True
    world.run(LONG_ENOUGH_SECONDS)
    return [(number, faults, job_id) for job_id in world.list_open()]


def strike(world, fault, tick):
    worker = world.workers[tick % len(world.workers)]
    match fault:
        case 'kill' if world.owner:
            world.kill_owner()
        case 'freeze' if world.owner:
            world.freeze_owner(4.0)
        case 'cut':
            worker.is_reachable = not worker.is_reachable
        case 'cut and kill' if world.owner:
            worker.is_reachable = False
            world.kill_owner()
        case 'crash':
            if worker.is_up:
                worker.crash(world.log)
            else:
                worker.restart()
        case 'store':
            world.is_store_up = not world.is_store_up
        case 'fail':
            worker.fails_all = not worker.fails_all
        case 'still':
            worker.stands_still = not worker.stands_still
        case 'cancel' if world.list_open():
            world.cancel(world.list_open()[0])


def heal(worker):
    worker.is_reachable = True
    worker.fails_all = False
    worker.stands_still = False
    if not worker.is_up:
        worker.restart()

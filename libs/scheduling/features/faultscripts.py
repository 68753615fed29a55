"""Runs simulated fleets through scripts of faults.

    python bench/soak.py --seed 1 --steps 200000

runs many random scripts; the scenarios run some with fixed seeds.
"""

import random

from fleetsimulation import FleetSimulation, make_step

from tarragonlb.scheduling.job import TaskKey

RECOVERY_SECONDS = 60
LONG_SHARE = 0.4
FAULTS = (
    'kill',
    'freeze',
    'hand over',
    'cut',
    'cut',
    'cut and kill',
    'crash',
    'store',
    'fail',
    'stall',
    'cancel',
)
# Faults of workers and tasks that are played beside those.
ROOM_FAULTS = (*FAULTS, 'shrink', 'shrink', 'shrink', 'grow', 'crash')
SHRUNK_MILLICORES = 1500
FULL_MILLICORES = 4000
# After the third crash a deadly task is started at most two times more.
MAX_CRASHES = 5
STEPS_PER_RUN = 900
MAX_FAULTS = 14


def run_scripts(seed, steps):
    """Run fleets with random faults for at least ``steps`` steps."""
    rng = random.Random(seed)
    done = 0
    while done < steps:
        number = rng.randrange(10**6)
        faults = [
            (rng.randrange(250), rng.choice(FAULTS))
            for _ in range(rng.randrange(MAX_FAULTS))
        ]
        open_jobs = run_script(number, faults)
        assert not open_jobs, open_jobs[0]
        done += STEPS_PER_RUN
    return done


def run_script(number, faults, fuse=None):
    """Run one fleet through its faults; return the jobs that are still open.

    With a ``fuse`` in seconds, one job has a task that crashes its workers.
    """
    fleet = FleetSimulation(number, long_share=LONG_SHARE)
    if fuse is not None:
        fleet.crashes.has_new_ids = number % 2 == 0
        job_id = fleet.submit([make_step(3, allows_copies=number % 3 == 0)])
        fleet.crashes.fuses[TaskKey(job_id, 0, 0, 0)] = fuse
    by_tick = {}
    for tick, fault in faults:
        by_tick.setdefault(tick, []).append(fault)
    for tick in range(300):
        if tick % 25 == 0 and tick < 250:
            copies = tick % 50 == 0
            fleet.submit(
                [
                    make_step(5, allows_copies=copies),
                    make_step(3, prerequisites=(0,)),
                ]
            )
        for fault in by_tick.get(tick, ()):
            inject_fault(fleet, fault, tick)
        fleet.step()
    for worker in fleet.workers:
        clear_faults(worker, fleet.now)
    fleet.is_store_up = True
    fleet.run(RECOVERY_SECONDS)
    for key, crashes in fleet.crashes.counts.items():
        assert crashes <= MAX_CRASHES, f'{key} crashed {crashes} workers'
    return [(number, faults, job_id) for job_id in fleet.list_open()]


def inject_fault(fleet, fault, tick):
    worker = fleet.workers[tick % len(fleet.workers)]
    match fault:
        case 'kill' if fleet.owner:
            fleet.kill_owner()
        case 'freeze' if fleet.owner:
            fleet.freeze_owner(4.0)
        case 'hand over' if fleet.owner:
            fleet.hand_over()
        case 'cut':
            worker.is_reachable = not worker.is_reachable
        case 'cut and kill' if fleet.owner:
            worker.is_reachable = False
            fleet.kill_owner()
        case 'crash':
            if worker.is_up:
                worker.crash(fleet.log)
            else:
                worker.restart(fleet.now)
        case 'store':
            fleet.is_store_up = not fleet.is_store_up
        case 'fail':
            worker.fails_all = not worker.fails_all
        case 'shrink':
            worker.resize(SHRUNK_MILLICORES, fleet.now)
        case 'grow':
            worker.resize(FULL_MILLICORES, fleet.now)
        case 'stall':
            worker.is_stalled = not worker.is_stalled
        case 'cancel' if fleet.list_open():
            fleet.cancel(fleet.list_open()[0])


def clear_faults(worker, now):
    worker.is_reachable = True
    worker.fails_all = False
    worker.is_stalled = False
    if worker.former:
        worker.resize(FULL_MILLICORES, now)
    if not worker.is_up:
        worker.restart(now)

"""A state machine that drives the simulated world, run with a seed."""

import hypothesis
from hypothesis import strategies
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
    run_state_machine_as_test,
)
from world import POOLS, World

from tarragonlb.model.fleet import TaskPhase, VmPhase
from tarragonlb.model.wave import WaveStatus

INDEX = strategies.integers(0, 9)
DAEMON_INDEX = strategies.integers(0, 1)
POOL = strategies.sampled_from(POOLS)
LAG = strategies.integers(0, 6)
MAX_OUTBOX = 40


class StepCounter:
    """Counts the steps of all runs."""

    steps = 0


class CapacityMachine(RuleBasedStateMachine):
    """Each rule is one step; ``teardown`` checks that everything ends."""

    @initialize(
        budget=strategies.integers(0, 2), is_prepared=strategies.booleans()
    )
    def start(self, budget, is_prepared):
        self.world = World(budget)
        self.world.publish_fleet()
        self.world.take_term(self.world.daemons[0])
        if not is_prepared:
            return
        self.world.run_rounds(self.world.daemons[0], 2)
        for pool in POOLS:
            self.world.submit(pool, 1, idempotent=False, urgent=False)
            self.world.plan_wave(pool, 2)

    @rule(daemon_index=DAEMON_INDEX, blobs_behind=LAG, changes_behind=LAG)
    def plan(self, daemon_index, blobs_behind, changes_behind):
        daemon = self.world.daemons[daemon_index]
        self.world.catch_up(daemon, blobs_behind, changes_behind)
        self.world.decide(daemon)
        del self.world.outbox[:-MAX_OUTBOX]

    @rule(daemon_index=DAEMON_INDEX, rounds=strategies.integers(1, 4))
    def run_rounds(self, daemon_index, rounds):
        self.world.run_rounds(self.world.daemons[daemon_index], rounds)

    @rule(daemon_index=DAEMON_INDEX, rounds=strategies.integers(1, 4))
    def take_over(self, daemon_index, rounds):
        daemon = self.world.daemons[daemon_index]
        self.world.take_term(daemon)
        self.world.run_rounds(daemon, rounds)

    @precondition(lambda self: self.world.outbox)
    @rule(index=strategies.integers(0, MAX_OUTBOX), keep=strategies.booleans())
    def carry_out(self, index, keep):
        self.world.carry_out(index % len(self.world.outbox), keep=keep)

    @precondition(lambda self: self.world.outbox)
    @rule(index=strategies.integers(0, MAX_OUTBOX))
    def lose(self, index):
        self.world.outbox.pop(index % len(self.world.outbox))

    @rule(ticks=strategies.sampled_from((1, 1, 2, 40)))
    def pass_time(self, ticks):
        self.world.platform.pass_time(ticks)

    @rule(
        pool=POOL,
        cores=strategies.sampled_from((1, 1, 2, 4, 9)),
        idempotent=strategies.booleans(),
        urgent=strategies.booleans(),
    )
    def submit(self, pool, cores, idempotent, urgent):
        self.world.submit(pool, cores, idempotent=idempotent, urgent=urgent)

    @precondition(lambda self: self.world.jobs)
    @rule(number=INDEX)
    def cancel(self, number):
        self.world.cancel(number % self.world.jobs + 1)

    @rule(index=INDEX, succeeds=strategies.booleans())
    def end_task(self, index, succeeds):
        phase = TaskPhase.SUCCEEDED if succeeds else TaskPhase.FAILED
        self.world.end_task(index, phase)

    @rule(index=INDEX)
    def crash(self, index):
        self.world.crash(index, VmPhase.REBOOTING)

    @rule(index=INDEX)
    def lose_vm(self, index):
        self.world.crash(index, VmPhase.GONE)

    @rule(index=strategies.integers(0, 3))
    def crash_rack(self, index):
        self.world.crash_rack(index)

    @rule()
    def replace_gone(self):
        self.world.replace_gone()

    @rule(pool=POOL, at_once=strategies.integers(1, 3))
    def plan_wave(self, pool, at_once):
        self.world.plan_wave(pool, at_once)

    @rule(
        status=strategies.sampled_from(
            (WaveStatus.RUNNING, WaveStatus.PAUSED, WaveStatus.ABORTED)
        )
    )
    def steer_wave(self, status):
        self.world.steer_waves(status)

    @rule(peak=strategies.integers(0, 6), spare=strategies.booleans())
    def publish_peak(self, peak, spare):
        self.world.publish_pool('a', f'peak_vms: {peak}')
        self.world.publish_pool('b', f'spare: {str(spare).lower()}')

    @rule(budget=strategies.integers(0, 3))
    def publish(self, budget):
        self.world.publish(budget)

    @invariant()
    def check(self):
        StepCounter.steps += 1
        if hasattr(self, 'world'):
            self.world.check()

    def teardown(self):
        if hasattr(self, 'world'):
            self.world.settle()


def run_machine(examples, steps, seed=None):
    """Run the machine; equal arguments give the same run.

    With ``seed`` None, Hypothesis makes its own fixed choices.
    """
    machine = CapacityMachine
    if seed is not None:
        machine = hypothesis.seed(seed)(machine)
    run_state_machine_as_test(
        machine,
        settings=hypothesis.settings(
            max_examples=examples,
            stateful_step_count=steps,
            derandomize=seed is None,
            deadline=None,
            database=None,
            suppress_health_check=list(hypothesis.HealthCheck),
        ),
    )

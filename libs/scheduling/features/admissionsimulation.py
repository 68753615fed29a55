"""Adds admission control to the simulated peaks of one pool.

A peak is five times the mean for ten seconds.  A rejected job does not return.
"""

import random

from peaksimulation import PeakSimulation

from tarragonlb.scheduling.hopelessjobs import find_rejection
from tarragonlb.scheduling.job import Moment
from tarragonlb.scheduling.poolbacklog import BacklogMeter
from tarragonlb.scheduling.waitforecast import NO_WAITS, WaitForecast

PEAK_BEGIN, PEAK_END = 5.0, 15.0
PEAK_FACTOR = 5
# Measured each 0.2 s, and read up to 0.25 s later.
FIGURE_SECONDS = 0.2
READ_DELAY_SECONDS = 0.25


class AdmissionSimulation(PeakSimulation):
    """One pool; jobs are rejected, or only noted if not ``is_enforced``."""

    def __init__(self, seed, vm_count, traffic, is_enforced):
        super().__init__(seed, vm_count, {'a': traffic}, 10.0)
        self.is_enforced = is_enforced
        self.meter = BacklogMeter('a', 0.0)
        self.forecast = WaitForecast()
        self.measured = []
        self.figures = None
        self.draws = random.Random(seed)
        self.rejections = {}
        self.longest_wait = 0.0

    def compute_rate(self, index, pool):
        is_peak = PEAK_BEGIN <= self.now < PEAK_END
        mean = pool.traffic.peak_rate / PEAK_FACTOR
        return pool.traffic.peak_rate if is_peak else mean

    def admits(self, pool, job):
        queue = pool.scheduler.state.queues['a']
        rejection = find_rejection(job, queue, self.figures, self.draws.random)
        if rejection is None:
            return True
        self.rejections[job.job_id] = rejection
        return not self.is_enforced

    def step(self):
        super().step()
        if self._is_turn(FIGURE_SECONDS):
            state = self.pools['a'].scheduler.state
            backlog = self.meter.measure(state, Moment(self.now))
            waits = self.forecast.forecast(
                backlog, state.queues.values(), state.tenants, self.now
            )
            self.longest_wait = max(self.longest_wait, waits.queues.get('a', 0))
            self.measured.append((self.now, waits))
        while self.measured:
            if self.measured[0][0] + READ_DELAY_SECONDS > self.now:
                break
            _, waits = self.measured.pop(0)
            is_clear = waits is NO_WAITS
            self.figures = None if is_clear else waits

    def count_in_time(self):
        return sum(result.earned == 1 for result in self.results.values())

    def count_worth(self):
        return sum(result.earned for result in self.results.values())

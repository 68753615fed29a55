"""Workers of a simulated fleet that crash, and tasks that crash them."""

from collections import Counter

RESTART_SECONDS = 3.0


class SimulatedCrashes:
    """Crashes workers, which are back after some seconds.

    ``fuses`` maps deadly tasks to the seconds from their start to the crash.
    So many of the next start orders, ``starts_to_lose``, find a worker that has
    just crashed.
    """

    def __init__(self, fleet):
        self.fleet = fleet
        self.fuses = {}
        self.counts = Counter()
        self.has_new_ids = False
        self.starts_to_lose = 0
        # For how long the list of VMs is away after a deadly task's crash.
        self.listing_gap_seconds = 0

    def note_order(self, worker):
        if self.starts_to_lose and worker.is_up:
            self.starts_to_lose -= 1
            self.crash(worker)

    def note_start(self, worker, key):
        if key not in self.fuses:
            return
        incarnation = worker.incarnation
        attempt = worker.runs[key].attempt

        def explode():
            run = worker.runs.get(key)
            is_there = run is not None and run.attempt == attempt
            if worker.incarnation == incarnation and is_there:
                self.counts[key] += 1
                self.crash(worker)
                if self.listing_gap_seconds:
                    back_at = self.fleet.now + self.listing_gap_seconds
                    self.fleet.vm_listings.next_at = back_at

        if self.fuses[key]:
            at = self.fleet.now + self.fuses[key]
            self.fleet.delayed_calls.append((at, explode))
        else:
            explode()

    def crash(self, worker):
        worker.crash(self.fleet.log)

        def restart():
            if not worker.is_up:
                new_id = None
                if self.has_new_ids:
                    name = worker.worker_id.partition('-')[0]
                    new_id = f'{name}-{worker.incarnation + 1}'
                worker.restart(self.fleet.now, new_id)

        at = self.fleet.now + RESTART_SECONDS
        self.fleet.delayed_calls.append((at, restart))

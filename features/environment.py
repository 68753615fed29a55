"""Runs the trials of a feature side by side, each on processes of its own."""

import dataclasses
import functools
import tempfile
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

from tarragonlb.standin.cluster import Cluster, make_fleet
from tarragonlb.standin.faultinjection import FAULT_INJECTIONS
from tarragonlb.standin.installation import Documents, Installation
from tarragonlb.standin.trial import Trial

DATA = Path(__file__).parent / 'data'
PARALLEL_TRIALS = 3
DOCUMENTS = Documents(
    team=(DATA / 'team.yaml').read_bytes(),
    pool=(DATA / 'pool.yaml').read_bytes(),
    fleet=(DATA / 'fleet.yaml').read_bytes(),
)


def run_trial(folder, fault):
    """Run the trial of one fault and return its evidence."""
    scratch = Path(folder) / fault.replace(' ', '-')
    scratch.mkdir()
    races = fault == 'racing operators'
    return Trial(scratch, FAULT_INJECTIONS[fault], DOCUMENTS, races=races).run()


def start_installation(context, **changes):
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    fleet = dataclasses.replace(make_fleet({'transcription': 6}), **changes)
    context.cluster = Cluster(Path(folder.name), fleet)
    context.add_cleanup(context.cluster.stop)
    context.installation = Installation(context.cluster)
    context.installation.start(DOCUMENTS)


def before_scenario(context, scenario):
    context.start = functools.partial(start_installation, context)


def before_feature(context, feature):
    if feature.name != 'Promises under failure':
        return
    chosen = {
        scenario.steps[0].name
        for scenario in feature.walk_scenarios()
        if scenario.should_run(context.config)
    }
    context.scratch = tempfile.TemporaryDirectory()
    context.workers = ThreadPoolExecutor(PARALLEL_TRIALS)
    context.trials = {
        fault: context.workers.submit(run_trial, context.scratch.name, fault)
        for fault in FAULT_INJECTIONS
        if f'the trial under "{fault}"' in chosen
    }


def after_feature(context, feature):
    if feature.name == 'Promises under failure':
        context.workers.shutdown()
        context.scratch.cleanup()

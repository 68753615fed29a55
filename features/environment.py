"""Runs the trials of a feature in parallel, each with processes of its own."""

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
    """Run a trial under a fault and return its evidence."""
    trial_folder = Path(folder) / fault.replace(' ', '-')
    trial_folder.mkdir()
    races = fault == 'racing operators'
    return Trial(
        trial_folder, FAULT_INJECTIONS[fault], DOCUMENTS, races=races
    ).run()


def start_installation(context, **fleet_changes):
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    fleet = dataclasses.replace(
        make_fleet({'transcription': 6}), **fleet_changes
    )
    context.cluster = Cluster(Path(folder.name), fleet)
    context.add_cleanup(context.cluster.stop)
    context.installation = Installation(context.cluster)
    context.installation.start(DOCUMENTS)


def before_scenario(context, scenario):
    context.start = functools.partial(start_installation, context)


def before_feature(context, feature):
    if feature.name != 'Promises under failure':
        return
    first_steps = {
        scenario.steps[0].name
        for scenario in feature.walk_scenarios()
        if scenario.should_run(context.config)
    }
    context.folder = tempfile.TemporaryDirectory()
    context.workers = ThreadPoolExecutor(PARALLEL_TRIALS)
    context.trials = {
        fault: context.workers.submit(run_trial, context.folder.name, fault)
        for fault in FAULT_INJECTIONS
        if f'the trial under "{fault}"' in first_steps
    }


def after_feature(context, feature):
    if feature.name == 'Promises under failure':
        context.workers.shutdown()
        context.folder.cleanup()

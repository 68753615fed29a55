"""Starts a small cluster for the features with the tag ``cluster``."""

import tempfile
from functools import partial
from pathlib import Path

from behave import fixture, use_fixture

from tarragonlb.standin.apiclient import ApiClient, poll
from tarragonlb.standin.cluster import OPERATOR_TOKEN, Cluster, make_fleet

VM_COUNT = 3
ADOPTION_SECONDS = 30


def has_all_vms(client):
    return len(client.get('/v1/vms').rows) == VM_COUNT


@fixture
def run_cluster(context):
    with tempfile.TemporaryDirectory() as folder:
        cluster = Cluster(Path(folder), make_fleet({'transcription': VM_COUNT}))
        try:
            cluster.start()
            for address in cluster.addresses.values():
                client = ApiClient(address, OPERATOR_TOKEN)
                poll(partial(has_all_vms, client), ADOPTION_SECONDS)
            yield cluster
        finally:
            cluster.stop()


@fixture
def make_folder(context):
    with tempfile.TemporaryDirectory() as folder:
        yield Path(folder)


def before_feature(context, feature):
    context.token = 'demo-operator'
    context.server = 'http://127.0.0.1:1'
    if 'cluster' in feature.tags:
        context.cluster = use_fixture(run_cluster, context)
        addresses = list(context.cluster.addresses.values())
        context.server = f'http://{addresses[0]}'
        context.other = f'http://{addresses[1]}'


def before_scenario(context, scenario):
    context.folder = use_fixture(make_folder, context)

"""Decodes the documents of the in-memory platform.

A configuration is its version, followed by names of pools and by keys, such as
``harbour=k1``.
"""

from dataclasses import replace

from fakeplatform import QUEUE

from tarragonlb.controller.keyindex import KeyEntry, KeyIndex, compute_digest
from tarragonlb.controller.ports import Configuration, DocumentDecoder
from tarragonlb.scheduling.job import Demand
from tarragonlb.scheduling.queue import QueueTable
from tarragonlb.scheduling.worker import Worker


class FakeDocumentDecoder(DocumentDecoder):
    def decode_operator_record(self, record):
        if record.key != 'config':
            return None
        version, *words = record.value.decode().split()
        pools = [word for word in words if '=' not in word]
        keys = [word.split('=') for word in words if '=' in word]
        queues = [QUEUE]
        queues.extend(
            replace(QUEUE, name=pool, path_prefix=f'/{pool}/', pool=pool)
            for pool in pools
        )
        entries = (
            KeyEntry(compute_digest(key.encode()), tenant)
            for tenant, key in keys
        )
        return Configuration(
            int(version), QueueTable(queues), 1000, keys=KeyIndex(entries)
        )

    def decode_worker_record(self, record):
        if not record.value:
            return None
        return Worker(
            worker_id=record.key,
            pool='pool',
            address=f'x:{record.key}',
            is_draining=record.value == b'drains',
            capacity=Demand(
                int(record.value) if record.value.isdigit() else 4000, 8000, 0
            ),
        )

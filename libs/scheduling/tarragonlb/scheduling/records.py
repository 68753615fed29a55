"""Records about jobs in the store, and their CBOR encoding.

A job has up to four kinds of records, distinguished by the last letter of their
key: the submission, a cancellation, the progress that the partition's owner
writes, and a mark that the submission was forwarded to another partition, see
``tarragonlb.scheduling.queuemoves``.  The newest record of each kind counts.  A
job that is cancelled before it is known has more keys, see
``tarragonlb.scheduling.earlycancellation``.  A
progress record replaces the previous one, so recovery needs only the newest
records.
"""

from dataclasses import dataclass
from typing import Any, TypeVar

import cbor2
import msgspec

from tarragonlb.model.decoding import (
    Amount,
    DecodingError,
    convert,
    decode_cbor,
)
from tarragonlb.scheduling.job import MAX_STORED_TASKS, Job, JobSpec

SUBMISSION = 'j'
CANCELLATION = 'c'
PROGRESS = 'p'
FORWARDING = 'f'
EARLY_CANCELLATION = 'x'
KINDS = frozenset(
    (SUBMISSION, CANCELLATION, PROGRESS, FORWARDING, EARLY_CANCELLATION)
)
SUBMISSION_KINDS = frozenset((SUBMISSION, EARLY_CANCELLATION))
# Between the id of a job and the rest of a key, of the kinds with several keys.
SEPARATOR = '-'
# Those of a job that was not forwarded.
COMMON_KINDS = (CANCELLATION, SUBMISSION, PROGRESS)
SUBMISSION_FIELDS = ('queue', 'pool', 'spec', 'handed_in_ms', 'tenant')
# The longest record that the store takes, less its key.
MAX_VALUE_BYTES = 261_888
CANCELLED_VALUE = cbor2.dumps([])
Content = TypeVar('Content')


class RecordError(ValueError):
    """A record that cannot be used, since its key or value is invalid."""


class KeyedRecord(msgspec.Struct, frozen=True):
    """A record of a topic that keeps the newest value of each key.

    An empty value removes the key.
    """

    key: str
    value: bytes
    offset: int = -1


def build_submission_record(job: Job, covers: int = -1) -> KeyedRecord:
    """Return the record that accepts a job.

    ``covers`` is the last round of early cancellations of the job that the
    writer had read, -1 if it had read none.
    """
    spec = msgspec.to_builtins(job.spec)
    spec['steps'] = [_drop_defaults(step) for step in spec['steps']]
    content = [job.queue, job.pool, cbor2.dumps(spec), job.handed_in_ms]
    if job.tenant:
        content.append(job.tenant)
    key = job.job_id + build_submission_tail(covers)
    return KeyedRecord(key, cbor2.dumps(content))


def build_submission_tail(covers: int) -> str:
    """Return what follows the job's id in the key of a submission."""
    return SUBMISSION if covers < 0 else f'{SEPARATOR}{covers}{SUBMISSION}'


def build_cancellation_record(job_id: str) -> KeyedRecord:
    """Return the record that cancels a job."""
    return KeyedRecord(job_id + CANCELLATION, CANCELLED_VALUE)


def build_removal_records(job_id: str) -> list[KeyedRecord]:
    """Return the records that remove a job."""
    return [KeyedRecord(job_id + kind, b'') for kind in COMMON_KINDS]


@dataclass(frozen=True, slots=True)
class SubmissionHead:
    """A decoded submission, with the specification still encoded."""

    queue: str
    pool: str
    spec: bytes
    handed_in_ms: Amount
    tenant: str = ''


def decode_submission_head(value: bytes) -> SubmissionHead:
    """Decode a submission except its specification.

    Raise ``RecordError`` if that is impossible.
    """
    content = decode_value(value)
    if not isinstance(content, list):
        raise RecordError('submission: expected a row')
    # Jobs of no tenant have no last field.
    fields = SUBMISSION_FIELDS[: len(content)]
    try:
        return convert(dict(zip(fields, content, strict=True)), SubmissionHead)
    except ValueError as error:
        raise RecordError(f'submission: {error}') from error


def decode_spec(encoded: bytes) -> JobSpec:
    """Decode a job specification, or raise ``RecordError``."""
    spec = decode_content(encoded, JobSpec, 'specification')
    problem = spec.find_problem(MAX_STORED_TASKS)
    if problem is not None:
        raise RecordError(f'specification: {problem}')
    return spec


def decode_content(value: bytes, expected: type[Content], name: str) -> Content:
    """Decode a record's value into a type.

    Raise ``RecordError`` if that is impossible; its message begins with
    ``name``.
    """
    try:
        return convert(decode_cbor(value), expected)
    except DecodingError as error:
        raise RecordError(f'{name}: {error}') from error


def decode_value(value: bytes) -> Any:
    """Decode the CBOR of a record's value, or raise ``RecordError``."""
    try:
        return decode_cbor(value)
    except DecodingError as error:
        raise RecordError(str(error)) from error


def _drop_defaults(step: dict[str, Any]) -> dict[str, Any]:
    return {
        name: content
        for name, content in step.items()
        if content or name == 'disruption_budget' and content is not None
    }

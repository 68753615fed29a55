"""Request and response types of each operation of the HTTP interfaces.

The OpenAPI document is built from this table and from the routes.
"""

from dataclasses import dataclass
from types import MappingProxyType
from typing import Any

from tarragonlb.capacity.forecast import WaveCost
from tarragonlb.daemon.apifleet import (
    PoolAnswer,
    StatusAnswer,
    SteerRequest,
    WaveAnswer,
    WaveRequest,
)
from tarragonlb.daemon.apijobs import CancelRequest, JobAnswer, JobRequest
from tarragonlb.daemon.apikeys import KeyBatch, KeyRequest
from tarragonlb.daemon.apisettings import ExplainAnswer
from tarragonlb.daemon.apitraffic import TrafficAnswer
from tarragonlb.model.entry import SettingEntry, VmEntry, WaveEntry
from tarragonlb.telemetry.burnreport import ServiceReport

IF_MATCH = 'If-Match: the version to replace, 0 for a new path.'
SOURCE = 'Tarragon-Source: name of the file that the text was read from.'
IDEMPOTENCY_KEY = (
    'Idempotency-Key: repeating a key of the team returns the same job.'
)
CALL_HEADERS = (
    'Tarragon-Timeout: request timeout of the caller in seconds.',
    'Idempotency-Key: the request runs at most once for this key.',
)


@dataclass(frozen=True, slots=True, kw_only=True)
class RefusalAnswer:
    """Body of a refusal; ``verdict`` is not-run or may-have-run."""

    reason: str
    verdict: str


@dataclass(frozen=True, slots=True, kw_only=True)
class Operation:
    """Types, headers and status of one method of a path.

    ``is_open`` marks an operation that needs no token.
    """

    body: Any = None
    answer: Any = None
    headers: tuple[str, ...] = ()
    status: int = 200
    is_open: bool = False


OPERATIONS: MappingProxyType[str, Operation] = MappingProxyType(
    {
        'get /health': Operation(is_open=True),
        'get /ready': Operation(is_open=True),
        'get /v1/settings': Operation(answer=list[SettingEntry]),
        'get /v1/settings/{path}': Operation(answer=SettingEntry),
        'put /v1/settings/{path}': Operation(
            answer=SettingEntry, headers=(IF_MATCH, SOURCE)
        ),
        'get /v1/history/{path}': Operation(answer=list[SettingEntry]),
        'get /v1/explain/{path}': Operation(answer=ExplainAnswer),
        'post /v1/jobs': Operation(
            body=JobRequest,
            answer=JobAnswer,
            headers=(IDEMPOTENCY_KEY,),
            status=202,
        ),
        'get /v1/jobs': Operation(answer=list[JobAnswer]),
        'get /v1/jobs/{job_id}': Operation(answer=JobAnswer),
        'post /v1/jobs/cancel': Operation(
            body=CancelRequest, answer=list[JobAnswer]
        ),
        'get /v1/status': Operation(answer=StatusAnswer),
        'get /v1/vms': Operation(answer=list[VmEntry]),
        'get /v1/pools': Operation(answer=list[PoolAnswer]),
        'post /v1/waves': Operation(body=WaveRequest, answer=WaveEntry),
        'get /v1/waves': Operation(answer=list[WaveEntry]),
        'post /v1/waves/plan': Operation(body=WaveRequest, answer=WaveCost),
        'get /v1/waves/{wave_id}': Operation(answer=WaveAnswer),
        'put /v1/waves/{wave_id}': Operation(
            body=SteerRequest, answer=WaveEntry
        ),
        'get /v1/burn': Operation(answer=list[ServiceReport]),
        'get /v1/traffic': Operation(answer=TrafficAnswer),
        'post /v1/keys': Operation(body=KeyRequest, answer=KeyBatch),
    }
)
DEFAULT_OPERATION = Operation()

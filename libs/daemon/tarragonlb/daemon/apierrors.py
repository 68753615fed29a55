"""Exception handlers that turn errors into JSON responses."""

import math

from starlette.exceptions import HTTPException
from starlette.requests import Request
from starlette.responses import JSONResponse

from tarragonlb.model.errors import (
    CommitUnknownError,
    RecordRejectedError,
    RefusedError,
    TarragonError,
)
from tarragonlb.model.verdict import Verdict
from tarragonlb.settings.problem import SettingsError

STATUS_CONFLICT = 409
STATUS_UNPROCESSABLE = 422
STATUS_UNAVAILABLE = 503
RETRY_AFTER_SECONDS = '2'


async def handle_refused(request: Request, error: Exception) -> JSONResponse:
    """Report the status, verdict and reason of a refusal."""
    if not isinstance(error, RefusedError):
        raise error
    response = _make_error_response(error.status, error.verdict, str(error))
    if error.retry_after is not None:
        seconds = max(1, math.ceil(error.retry_after))
        response.headers['retry-after'] = str(seconds)
    return response


async def handle_http_error(request: Request, error: Exception) -> JSONResponse:
    """Report that no route has this method and path."""
    if not isinstance(error, HTTPException):
        raise error
    reason = f'{request.method} {request.url.path} does not exist'
    return _make_error_response(error.status_code, Verdict.NOT_RUN, reason)


async def handle_rejected_record(
    request: Request, error: Exception
) -> JSONResponse:
    """Report a conflict with a change that came first."""
    return _make_error_response(STATUS_CONFLICT, Verdict.NOT_RUN, str(error))


async def handle_unknown_outcome(
    request: Request, error: Exception
) -> JSONResponse:
    """Report that a change may still come into force."""
    response = _make_error_response(
        STATUS_UNAVAILABLE, Verdict.MAY_HAVE_RUN, str(error)
    )
    response.headers['retry-after'] = RETRY_AFTER_SECONDS
    return response


async def handle_invalid_settings(
    request: Request, error: Exception
) -> JSONResponse:
    """Report every problem of a settings document."""
    if not isinstance(error, SettingsError):
        raise error
    problems = [
        {
            'source': problem.source,
            'line': problem.line,
            'field': problem.field,
            'message': problem.message,
        }
        for problem in error.problems
    ]
    return _make_error_response(
        STATUS_UNPROCESSABLE, Verdict.NOT_RUN, str(error), problems
    )


def _make_error_response(
    status: int, verdict: Verdict, reason: str, problems: object = ()
) -> JSONResponse:
    body = {'reason': reason, 'verdict': verdict.value, 'problems': problems}
    headers = {'tarragon-verdict': verdict.value}
    return JSONResponse(body, status_code=status, headers=headers)


EXCEPTION_HANDLERS = (
    (HTTPException, handle_http_error),
    (RefusedError, handle_refused),
    (RecordRejectedError, handle_rejected_record),
    (CommitUnknownError, handle_unknown_outcome),
    (SettingsError, handle_invalid_settings),
    (TarragonError, handle_unknown_outcome),
)

"""Errors of the API, as answers that say what went wrong and where."""

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


async def answer_refused(request: Request, error: Exception) -> JSONResponse:
    """Answer with what a refusal says."""
    if not isinstance(error, RefusedError):
        raise error
    response = _answer(error.status, error.verdict, str(error))
    if error.retry_after is not None:
        seconds = max(1, math.ceil(error.retry_after))
        response.headers['retry-after'] = str(seconds)
    return response


async def answer_route(request: Request, error: Exception) -> JSONResponse:
    """Answer that no handler has this method and path."""
    if not isinstance(error, HTTPException):
        raise error
    reason = f'{request.method} {request.url.path} does not exist'
    return _answer(error.status_code, Verdict.NOT_RUN, reason)


async def answer_void(request: Request, error: Exception) -> JSONResponse:
    """Answer that a change lost against another one."""
    return _answer(STATUS_CONFLICT, Verdict.NOT_RUN, str(error))


async def answer_unknown(request: Request, error: Exception) -> JSONResponse:
    """Answer that a change may still come into force."""
    response = _answer(STATUS_UNAVAILABLE, Verdict.MAY_HAVE_RUN, str(error))
    response.headers['retry-after'] = RETRY_AFTER_SECONDS
    return response


async def answer_settings(request: Request, error: Exception) -> JSONResponse:
    """Answer with every problem of a document."""
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
    return _answer(STATUS_UNPROCESSABLE, Verdict.NOT_RUN, str(error), problems)


def _answer(
    status: int, verdict: Verdict, reason: str, problems: object = ()
) -> JSONResponse:
    body = {'reason': reason, 'verdict': verdict.value, 'problems': problems}
    headers = {'tarragon-verdict': verdict.value}
    return JSONResponse(body, status_code=status, headers=headers)


ANSWERS = (
    (HTTPException, answer_route),
    (RefusedError, answer_refused),
    (RecordRejectedError, answer_void),
    (CommitUnknownError, answer_unknown),
    (SettingsError, answer_settings),
    (TarragonError, answer_unknown),
)

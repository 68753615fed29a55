"""Commands that report how well service-level objectives were met."""

import time
from collections.abc import Sequence
from pathlib import Path
from typing import Any

import cyclopts
import msgspec

from tarragonlb.cli.client import (
    EXIT_BAD_INPUT,
    EXIT_UNKNOWN,
    CallError,
    read_rows,
)
from tarragonlb.cli.output import OutputFormat, format_time
from tarragonlb.cli.session import DEFAULT_SESSION, Session
from tarragonlb.telemetry.burnrate import Budget
from tarragonlb.telemetry.burnreport import ServiceReport
from tarragonlb.telemetry.page import render_page

PERCENT = 100

application = cyclopts.App(name='report', help='Report on objectives.')


@application.command
def burn(
    *, html: Path | None = None, session: Session = DEFAULT_SESSION
) -> None:
    """Show the objectives of each service and how well they were met.

    Parameters
    ----------
    html
        Also write an HTML page with plots to this file.

    """
    rows = read_rows(session.connect().call('GET', '/v1/burn'))
    reports = _read_reports(rows)
    if html:
        _write_html(html, reports, session)
    if session.output is OutputFormat.JSON:
        session.show(rows)
    else:
        session.show([_summarize(report) for report in reports])


def _read_reports(rows: Sequence[dict[str, Any]]) -> list[ServiceReport]:
    try:
        return msgspec.convert(rows, list[ServiceReport])
    except msgspec.ValidationError as error:
        message = f'the answer is not a burn report: {error}'
        raise CallError(message, EXIT_UNKNOWN) from error


def _write_html(
    path: Path, reports: Sequence[ServiceReport], session: Session
) -> None:
    written = f'Written on {format_time(time.time())} from {session.server}.'
    try:
        path.write_text(render_page(reports, written), encoding='utf-8')
    except OSError as error:
        message = f'{path}: {error.strerror}'
        raise CallError(message, EXIT_BAD_INPUT) from error


def _summarize(report: ServiceReport) -> dict[str, Any]:
    return {
        'service': report.service,
        'requests': report.requests,
        'bad': report.bad,
        'late': report.slow,
        'answered': _describe(report.availability),
        'in time': _describe(report.latency),
        'burn 1h': f'{report.availability.rates.one_hour:.1f}',
        'days left': _format_days(report.availability.days_left),
    }


def _describe(budget: Budget) -> str:
    promised = f'{budget.promised * PERCENT:.5g}%'
    if budget.seen is None:
        return f'{promised}, {budget.status.value}'
    seen = f'{budget.seen * PERCENT:.5g}%'
    return f'{seen} of {promised}, {budget.status.value}'


def _format_days(days: float | None) -> str:
    return '-' if days is None else f'{days:.0f}'

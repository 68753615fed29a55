"""Renders the burn report as a self-contained HTML page for managers.

The page begins with the number of objectives that were met.  For each service
it shows the objectives, the results, and the known causes of failures.  It
loads nothing over the network and contains no script.
"""

import html
from collections.abc import Sequence
from types import MappingProxyType

from tarragonlb.telemetry.burnrate import Budget, PromiseStatus
from tarragonlb.telemetry.burnreport import ReportDay, ServiceReport
from tarragonlb.telemetry.plot import (
    PERCENT,
    draw_budget,
    draw_days,
    format_day,
)

STYLE = """
body { font: 16px/1.5 sans-serif; color: #222; max-width: 52rem;
  margin: 2rem auto; padding: 0 1rem; }
h2 { margin-top: 3rem; border-top: 1px solid #ccc; padding-top: 1rem; }
table { border-collapse: collapse; width: 100%; }
th, td { text-align: left; padding: .3rem .6rem;
  border-bottom: 1px solid #ddd; }
.kept { background: #e3f1e5; } .at-risk { background: #fdf3d7; }
.broken { background: #f7dcdc; }
svg { width: 100%; height: auto; }
"""
STATUS_TEXTS = MappingProxyType(
    {
        PromiseStatus.UNUSED: 'not put to use',
        PromiseStatus.KEPT: 'kept',
        PromiseStatus.AT_RISK: 'kept, but soon broken if it goes on like this',
        PromiseStatus.BROKEN: 'broken',
    }
)


STATUS_ORDER = (
    PromiseStatus.BROKEN,
    PromiseStatus.AT_RISK,
    PromiseStatus.KEPT,
    PromiseStatus.UNUSED,
)


def render_page(reports: Sequence[ServiceReport], written: str) -> str:
    """Return the page; ``written`` says when and from where it was made."""
    parts = [
        '<!DOCTYPE html><html lang="en"><head><meta charset="utf-8">',
        f'<title>Promises and what happened</title><style>{STYLE}</style>',
        '</head><body><h1>Promises and what happened</h1>',
        f'<p>{html.escape(written)}</p>',
        _render_summary(reports),
        *map(_render_service, sorted(reports, key=_get_rank)),
        '</body></html>',
    ]
    return '\n'.join(parts)


def _render_summary(reports: Sequence[ServiceReport]) -> str:
    statuses = [
        budget.status
        for report in reports
        for budget in (report.availability, report.latency)
    ]
    used = len(statuses) - statuses.count(PromiseStatus.UNUSED)
    rows = '\n'.join(_render_row(report) for report in reports)
    return (
        f'<p><strong>{statuses.count(PromiseStatus.KEPT)} of {used} promises '
        'are kept, '
        f'{statuses.count(PromiseStatus.AT_RISK)} are at risk, '
        f'{statuses.count(PromiseStatus.BROKEN)} are broken.</strong> '
        f'{len(statuses) - used} were not put to use.</p>'
        '<table><tr><th>Service</th><th>Requests</th><th>Answered</th>'
        f'<th>In time</th></tr>{rows}</table>'
    )


def _get_rank(report: ServiceReport) -> int:
    """Return a sort key: broken objectives first, unused ones last."""
    return min(
        STATUS_ORDER.index(budget.status)
        for budget in (report.availability, report.latency)
    )


def _render_row(report: ServiceReport) -> str:
    return (
        f'<tr><td>{html.escape(report.service)}</td>'
        f'<td>{report.requests:,}</td>'
        f'{_render_cell(report.availability)}{_render_cell(report.latency)}</tr>'
    )


def _render_cell(budget: Budget) -> str:
    style = budget.status.value.replace(' ', '-')
    promised = f'{_format_share(budget.promised)} promised'
    if budget.seen is None:
        return f'<td class="{style}">{promised}, {budget.status.value}</td>'
    seen = _format_share(budget.seen)
    return (
        f'<td class="{style}">{seen} of {promised}: {budget.status.value}</td>'
    )


def _render_service(report: ServiceReport) -> str:
    parts = [
        f'<h2>{html.escape(report.service)}</h2>',
        f'<p>{_describe_objectives(report)}</p>',
        f'<p>{_describe_result(report)}</p>',
    ]
    if report.days:
        parts.extend(
            (
                '<h3>Requests that did not go well, day by day</h3>',
                draw_days(report),
                '<h3>Allowed failures that were left</h3>',
                draw_budget(report),
            )
        )
    causes = list_failure_days(report)
    if causes:
        items = ''.join(f'<li>{html.escape(line)}</li>' for line in causes)
        parts.append(
            f'<h3>What was going on when it went wrong</h3><ul>{items}</ul>'
        )
    return '\n'.join(parts)


def _describe_objectives(report: ServiceReport) -> str:
    return (
        f'<strong>Promised:</strong> over {report.window_days} days, '
        f'{_format_share(report.availability.promised)} of requests are '
        f'answered, and {_format_share(report.latency.promised)} of the '
        f'answers come within {report.latency_seconds:g} seconds.'
    )


def _describe_result(report: ServiceReport) -> str:
    if not report.requests:
        return '<strong>What happened:</strong> there was no request.'
    return (
        f'<strong>What happened:</strong> of {report.requests:,} requests, '
        f'{report.bad:,} were refused or failed and {report.slow:,} were '
        'answered late. The promise to answer is '
        f'{_describe_budget(report.availability)} The promise to answer in '
        f'time is {_describe_budget(report.latency)}'
    )


def _describe_budget(budget: Budget) -> str:
    left = max(budget.left, 0) * PERCENT
    text = (
        f'{STATUS_TEXTS[budget.status]}: {left:.0f}% of what may fail is left'
    )
    if budget.days_left:
        return (
            f'{text}, enough for {budget.days_left:.0f} days at the rate of '
            'the last three days.'
        )
    return f'{text}.'


def list_failure_days(report: ServiceReport) -> list[str]:
    """Return a line for each day that exceeded its share of the error budget.

    Days with a known cause of failed or late requests are listed as well.
    """
    return [
        f'{format_day(day)}: {day.bad:,} refused or failed, {day.slow:,} late. '
        f'Going on at the time: {"; ".join(day.causes) or "nothing known"}.'
        for day in report.days
        if day.causes or _exceeds_budget(report, day)
    ]


def _exceeds_budget(report: ServiceReport, day: ReportDay) -> bool:
    allowed_bad = (1 - report.availability.promised) * day.requests
    allowed_slow = (1 - report.latency.promised) * (day.requests - day.bad)
    return day.bad > allowed_bad or day.slow > allowed_slow


def _format_share(share: float) -> str:
    return f'{share * PERCENT:.5g}%'

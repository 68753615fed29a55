"""Draws the plots of the burn report as SVG text with matplotlib.

The plots are meant for readers who see them once: each shows one thing with
few words, and the colours also differ in brightness.
"""

import datetime
import io
from collections.abc import Sequence

import matplotlib as mpl
from matplotlib.figure import Figure

from tarragonlb.telemetry.burnreport import ReportDay, ServiceReport

WIDTH_INCHES = 7.2
HEIGHT_INCHES = 2.4
LATE_COLOUR = '#e3a008'
BAD_COLOUR = '#9b1c1c'
LINE_COLOUR = '#1f3a5f'
PERCENT = 100
MAX_TICK_LABELS = 7


def draw_days(report: ServiceReport) -> str:
    """Return plots of the share of failed and of late requests per day."""
    figure = Figure(figsize=(WIDTH_INCHES, HEIGHT_INCHES), layout='tight')
    failed, late = figure.subplots(1, 2)
    shares = [_compute_percentage(day.bad, day.requests) for day in report.days]
    _draw_shares(failed, shares, BAD_COLOUR, report.availability.promised)
    failed.set_ylabel('% refused or failed')
    shares = [
        _compute_percentage(day.slow, day.requests) for day in report.days
    ]
    _draw_shares(late, shares, LATE_COLOUR, report.latency.promised)
    late.set_ylabel('% answered late')
    for axes in (failed, late):
        _format_axes(axes, report.days)
    return _render_svg(figure, report.service)


def draw_budget(report: ServiceReport) -> str:
    """Return a plot of the error budget that was left each day."""
    figure = Figure(figsize=(WIDTH_INCHES, HEIGHT_INCHES), layout='tight')
    axes = figure.subplots()
    axes.plot(
        range(len(report.days)),
        list_budget_left(report),
        color=LINE_COLOUR,
        marker='o',
    )
    axes.axhline(0, color=BAD_COLOUR, linestyle='--', label='nothing left')
    axes.set_ylabel('% left')
    _format_axes(axes, report.days)
    return _render_svg(figure, f'{report.service}-left')


def list_budget_left(report: ServiceReport) -> list[float]:
    """Return the percentage of the error budget that was left each day.

    The budget is computed from all requests of the window, so the last point
    equals the value that the report shows as left.
    """
    allowed = (1 - report.availability.promised) * report.requests
    used = 0
    left = []
    for day in report.days:
        used += day.bad
        left.append((1 - used / allowed) * PERCENT if allowed else PERCENT)
    return left


def _draw_shares(
    axes: mpl.axes.Axes,
    shares: Sequence[float],
    colour: str,
    promised: float,
) -> None:
    axes.bar(range(len(shares)), shares, color=colour)
    allowed = (1 - promised) * PERCENT
    axes.axhline(
        allowed,
        color=LINE_COLOUR,
        linestyle='--',
        label=f'allowed on average: {allowed:.3g}%',
    )


def _format_axes(axes: mpl.axes.Axes, days: Sequence[ReportDay]) -> None:
    step = max(1, len(days) // MAX_TICK_LABELS)
    names = [format_day(day) for day in days]
    axes.set_xticks(range(0, len(days), step), names[::step])
    axes.legend(
        frameon=False,
        fontsize='small',
        loc='lower right',
        bbox_to_anchor=(1, 1),
    )
    axes.spines[['top', 'right']].set_visible(False)
    axes.tick_params(axis='x', rotation=45, labelsize='small')


def _render_svg(figure: Figure, hash_salt: str) -> str:
    buffer = io.StringIO()
    with mpl.rc_context({'svg.hashsalt': hash_salt, 'svg.fonttype': 'none'}):
        figure.savefig(buffer, format='svg', metadata={'Date': None})
    svg = buffer.getvalue()
    return svg[svg.index('<svg') :]


def _compute_percentage(count: int, total: int) -> float:
    return count / total * PERCENT if total else 0


def format_day(day: ReportDay) -> str:
    """Return the date of a day without the year."""
    date = datetime.datetime.fromtimestamp(day.start, datetime.UTC)
    return f'{date:%d %b}'

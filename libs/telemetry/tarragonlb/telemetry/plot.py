"""Plots of the burn report as SVG text, drawn by matplotlib.

Each plot is drawn for people who see it once: one message, few words, colours
that differ in brightness, too.
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
MAX_LABELS = 7


def draw_days(report: ServiceReport) -> str:
    """Return plots of the share of each day that failed, and that was late."""
    figure = Figure(figsize=(WIDTH_INCHES, HEIGHT_INCHES), layout='tight')
    failed, late = figure.subplots(1, 2)
    shares = [_measure_share(day.bad, day.requests) for day in report.days]
    _draw_shares(failed, shares, BAD_COLOUR, report.availability.promised)
    failed.set_ylabel('% refused or failed')
    shares = [_measure_share(day.slow, day.requests) for day in report.days]
    _draw_shares(late, shares, LATE_COLOUR, report.latency.promised)
    late.set_ylabel('% answered late')
    for axes in (failed, late):
        _finish(axes, report.days)
    return _write(figure, report.service)


def draw_budget(report: ServiceReport) -> str:
    """Return a plot of the allowed failures that were left each day."""
    figure = Figure(figsize=(WIDTH_INCHES, HEIGHT_INCHES), layout='tight')
    axes = figure.subplots()
    axes.plot(
        range(len(report.days)),
        list_left(report),
        color=LINE_COLOUR,
        marker='o',
    )
    axes.axhline(0, color=BAD_COLOUR, linestyle='--', label='nothing left')
    axes.set_ylabel('% left')
    _finish(axes, report.days)
    return _write(figure, f'{report.service}-left')


def list_left(report: ServiceReport) -> list[float]:
    """Return the allowed failures that were left each day, in percent.

    All requests of the window count for what is allowed, so the last point is
    what the report says is left.
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


def _finish(axes: mpl.axes.Axes, days: Sequence[ReportDay]) -> None:
    step = max(1, len(days) // MAX_LABELS)
    names = [name_day(day) for day in days]
    axes.set_xticks(range(0, len(days), step), names[::step])
    axes.legend(
        frameon=False,
        fontsize='small',
        loc='lower right',
        bbox_to_anchor=(1, 1),
    )
    axes.spines[['top', 'right']].set_visible(False)
    axes.tick_params(axis='x', rotation=45, labelsize='small')


def _write(figure: Figure, salt: str) -> str:
    target = io.StringIO()
    with mpl.rc_context({'svg.hashsalt': salt, 'svg.fonttype': 'none'}):
        figure.savefig(target, format='svg', metadata={'Date': None})
    svg = target.getvalue()
    return svg[svg.index('<svg') :]


def _measure_share(count: int, total: int) -> float:
    return count / total * PERCENT if total else 0


def name_day(day: ReportDay) -> str:
    """Return the date of a day, without its year."""
    moment = datetime.datetime.fromtimestamp(day.start, datetime.UTC)
    return f'{moment:%d %b}'

"""Render a replay as a self-contained HTML page."""

from html import escape

from .expectations import ExpectationResult
from .tally import Tally
from .trace import Trace

CHART_WIDTH_PX = 900
CHART_HEIGHT_PX = 260
CHART_MARGIN_PX = 40
POLICY_COLOURS = ("#0b6e99", "#c2410c", "#6b7280")


def render_report(
    trace: Trace, runs: list[tuple[str, Tally]], results: list[ExpectationResult]
) -> str:
    """Return a page with each policy's goodput over time and the checked outcomes."""
    rows = "".join(
        f"<tr><td>{'holds' if v.is_met else 'broken'}</td>"
        f"<td>{escape(v.expectation)}</td><td>{escape(v.measured)}</td></tr>"
        for v in results
    )
    legend = " ".join(
        f'<span style="color:{colour}">&#9632; {escape(name)}</span>'
        for (name, _), colour in zip(runs, POLICY_COLOURS, strict=False)
    )
    return (
        "<!doctype html><html lang='en'><meta charset='utf-8'>"
        f"<title>{escape(trace.header.name)}</title>"
        "<style>body{font:15px sans-serif;margin:2em;color:#111}"
        "td{padding:.2em 1em .2em 0}</style>"
        f"<h1>{escape(trace.header.name)}</h1>"
        f"<p>Whole answers a second; grey is what was offered. {legend}</p>"
        f"{_draw_chart(trace, runs)}<table>{rows}</table></html>"
    )


def _draw_chart(trace: Trace, runs: list[tuple[str, Tally]]) -> str:
    seconds = max(1, int(trace.header.seconds))
    offered = _count_per_second(runs[0][1], seconds, offered=True)
    max_count = max([1, *offered])
    polylines = [_draw_polyline(offered, max_count, "#d1d5db", 3)]
    for (_, tally), colour in zip(runs, POLICY_COLOURS, strict=False):
        polylines.append(
            _draw_polyline(
                _count_per_second(tally, seconds, False), max_count, colour, 2
            )
        )
    event_marks = "".join(
        f'<rect x="{_scale_x(e.at, seconds):.1f}" y="{CHART_MARGIN_PX}" '
        'fill="#fde68a" '
        f'opacity=".5" height="{CHART_HEIGHT_PX - 2 * CHART_MARGIN_PX}" '
        f'width="{_scale_x(e.until, seconds) - _scale_x(e.at, seconds):.1f}"/>'
        for e in trace.events
        if e.until > e.at
    )
    return (
        f'<svg viewBox="0 0 {CHART_WIDTH_PX} {CHART_HEIGHT_PX}" '
        f'width="{CHART_WIDTH_PX}" role="img">{event_marks}'
        f'{"".join(polylines)}<text x="2" y="{CHART_MARGIN_PX}">{max_count}</text>'
        f'<text x="2" y="{CHART_HEIGHT_PX - CHART_MARGIN_PX}">0</text>'
        f'<text x="{CHART_WIDTH_PX - 60}" y="{CHART_HEIGHT_PX - 10}">'
        f"{seconds} s</text></svg>"
    )


def _count_per_second(tally: Tally, seconds: int, offered: bool) -> list[int]:
    counts = [0] * seconds
    for class_tally in tally.classes.values():
        for second, count in (
            class_tally.offered if offered else class_tally.whole
        ).items():
            if second < seconds:
                counts[second] += count
    return counts


def _draw_polyline(
    counts: list[int], max_count: int, colour: str, stroke_width: int
) -> str:
    points = " ".join(
        f"{_scale_x(second, len(counts)):.1f},{_scale_y(count, max_count):.1f}"
        for second, count in enumerate(counts)
    )
    return (
        f'<polyline fill="none" stroke="{colour}" stroke-width="{stroke_width}" '
        f'points="{points}"/>'
    )


def _scale_x(second: float, seconds: int) -> float:
    return CHART_MARGIN_PX + second / seconds * (CHART_WIDTH_PX - 2 * CHART_MARGIN_PX)


def _scale_y(count: int, max_count: int) -> float:
    return (
        CHART_HEIGHT_PX
        - CHART_MARGIN_PX
        - count / max_count * (CHART_HEIGHT_PX - 2 * CHART_MARGIN_PX)
    )

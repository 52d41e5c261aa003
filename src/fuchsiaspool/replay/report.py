"""Draw a replay as one self-contained HTML page."""

from html import escape

from .tally import Tally
from .trace import Trace
from .verdicts import Verdict

WIDTH = 900
HEIGHT = 260
MARGIN = 40
COLOURS = ("#0b6e99", "#c2410c", "#6b7280")


def draw_report(
    trace: Trace, runs: list[tuple[str, Tally]], verdicts: list[Verdict]
) -> str:
    """Return a page with goodput over time for each policy, and the verdicts."""
    rows = "".join(
        f"<tr><td>{'holds' if v.holds else 'broken'}</td>"
        f"<td>{escape(v.stated)}</td><td>{escape(v.found)}</td></tr>"
        for v in verdicts
    )
    legend = " ".join(
        f'<span style="color:{colour}">&#9632; {escape(name)}</span>'
        for (name, _), colour in zip(runs, COLOURS, strict=False)
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
    offered = _count(runs[0][1], seconds, offered=True)
    top = max([1, *offered])
    lines = [_draw_line(offered, top, "#d1d5db", 3)]
    for (_, tally), colour in zip(runs, COLOURS, strict=False):
        lines.append(_draw_line(_count(tally, seconds, False), top, colour, 2))
    marks = "".join(
        f'<rect x="{_x(e.at, seconds):.1f}" y="{MARGIN}" fill="#fde68a" '
        f'opacity=".5" height="{HEIGHT - 2 * MARGIN}" '
        f'width="{_x(e.until, seconds) - _x(e.at, seconds):.1f}"/>'
        for e in trace.events
        if e.until > e.at
    )
    return (
        f'<svg viewBox="0 0 {WIDTH} {HEIGHT}" width="{WIDTH}" role="img">{marks}'
        f'{"".join(lines)}<text x="2" y="{MARGIN}">{top}</text>'
        f'<text x="2" y="{HEIGHT - MARGIN}">0</text>'
        f'<text x="{WIDTH - 60}" y="{HEIGHT - 10}">{seconds} s</text></svg>'
    )


def _count(tally: Tally, seconds: int, offered: bool) -> list[int]:
    counts = [0] * seconds
    for found in tally.classes.values():
        for second, count in (found.offered if offered else found.whole).items():
            if second < seconds:
                counts[second] += count
    return counts


def _draw_line(counts: list[int], top: int, colour: str, width: int) -> str:
    points = " ".join(
        f"{_x(second, len(counts)):.1f},{_y(count, top):.1f}"
        for second, count in enumerate(counts)
    )
    return (
        f'<polyline fill="none" stroke="{colour}" stroke-width="{width}" '
        f'points="{points}"/>'
    )


def _x(second: float, seconds: int) -> float:
    return MARGIN + second / seconds * (WIDTH - 2 * MARGIN)


def _y(count: int, top: int) -> float:
    return HEIGHT - MARGIN - count / top * (HEIGHT - 2 * MARGIN)

#!/usr/bin/env python3
"""Draws briarwind-bench reports as one HTML page of SVG bar charts.

usage: plot.py PAGE REPORT.json...
"""

import html
import json
import sys

FIGURES = [
    ("completion.all.mean", "Completion time, mean (s)"),
    ("completion.all.p99", "Completion time, p99 (s)"),
    ("wait.largest.p99", "Wait of the largest gangs, p99 (s)"),
    ("withdrawalWork", "Work done during withdrawal and return (share)"),
    ("fragmentation", "Free accelerators that the largest waiting gang cannot use (share)"),
    ("reclaim.p99", "Reclaim time of claims, p99 (s)"),
    ("urgentStart.p99", "Urgent start, p99 (s)"),
    ("decisionMicros.p99", "Decision time, p99 (microseconds)"),
    ("coreMegabytes", "Memory of the core in the middle of the run (MB)"),
]
WIDTH = 640
LABEL_WIDTH = 150
ROW_HEIGHT = 22


def bar_chart(title, rows):
    """Returns a chart with a bar for the mean of each row and a line from minimum to maximum."""
    largest = max((row["max"] for _, row in rows), default=0) or 1
    scale = (WIDTH - LABEL_WIDTH - 90) / largest
    parts = [f'<h3>{html.escape(title)}</h3><svg width="{WIDTH}" '
             f'height="{ROW_HEIGHT * len(rows)}">']
    for index, (name, row) in enumerate(rows):
        top = index * ROW_HEIGHT
        middle = top + ROW_HEIGHT / 2
        parts.append(f'<text x="0" y="{middle + 4}" font-size="12">{html.escape(name)}</text>')
        parts.append(
            f'<rect x="{LABEL_WIDTH}" y="{top + 4}" width="{row["mean"] * scale:.1f}" '
            f'height="{ROW_HEIGHT - 8}" fill="#69c"/>'
        )
        parts.append(
            f'<line x1="{LABEL_WIDTH + row["min"] * scale:.1f}" y1="{middle}" '
            f'x2="{LABEL_WIDTH + row["max"] * scale:.1f}" y2="{middle}" stroke="#333"/>'
        )
        end = LABEL_WIDTH + row["max"] * scale + 6
        parts.append(f'<text x="{end:.1f}" y="{middle + 4}" '
                     f'font-size="12">{row["mean"]:.4g}</text>')
    parts.append("</svg>")
    return "".join(parts)


def section(report):
    heading = (
        f'{report["size"]}: {report["workers"]} workers, {report["seeds"]} seeds, '
        f'{report["hours"]} hours, load {report["load"]}'
    )
    charts = [f"<h2>{html.escape(heading)}</h2>"]
    for key, title in FIGURES:
        charts.append(bar_chart(title, [(n, f[key]) for n, f in report["strategies"].items()]))
    return "".join(charts)


def main():
    page, names = sys.argv[1], sys.argv[2:]
    reports = []
    for name in names:
        with open(name, encoding="utf-8") as source:
            reports.append(json.load(source))
    with open(page, "w", encoding="utf-8") as out:
        out.write('<!doctype html><meta charset="utf-8"><title>briarwind benchmarks</title>')
        out.write('<body style="font-family:sans-serif">')
        out.write("".join(section(each) for each in reports))


if __name__ == "__main__":
    main()

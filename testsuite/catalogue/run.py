#!/usr/bin/env python3
"""Compares docs/EVENTS.md and docs/METRICS.md with the tables in the programs and the sources.

With --write the two pages are written first.
"""

import argparse
import pathlib
import re
import subprocess
import sys

ROOT = pathlib.Path(__file__).resolve().parents[2]
PROGRAMS = ["briarwind-router", "briarwind-scheduler", "briarwind-node", "briarwind-ctl",
            "standin-store", "standin-hostlist", "standin-worker", "standin-instance"]
EVENT_ROW = re.compile(r"^\| BW\d+ \|")
METRIC_ROW = re.compile(r"^\| `")
EVENT_IN_SOURCE = re.compile(r"\bevent_kind\s+k\w+\s*\{\s*(\d+)\s*,")
METRIC_IN_SOURCE = re.compile(r"\bmetric_kind\s+k\w+\s*\{[^}]*?\"(\w+)\"", re.DOTALL)

EVENTS_HEAD = """# Log events

Each line of a program's standard error is one event: time, level, number, name, fields. The number
of an event never changes its meaning. `make catalogue` writes this page from the programs' own
tables, and a test compares it.

| number | level | name | meaning | logged by |
|---|---|---|---|---|
"""

METRICS_HEAD = """# Metrics

`GET /metrics` of a router or scheduler gives these in the Prometheus text form. Summaries are in
seconds, with the quantiles 0.5, 0.9 and 0.99. `make catalogue` writes this page from the programs'
own tables, and a test compares it.

| name | type | label | meaning | of |
|---|---|---|---|---|
"""


def rows_of_programs(build):
    """Returns each row that --catalogue prints, with the programs that print it."""
    rows = {}
    for program in PROGRAMS:
        done = subprocess.run([str(build / program), "--catalogue"], capture_output=True,
                              text=True, timeout=10, check=True)
        for row in done.stdout.splitlines():
            programs = rows.setdefault(row, [])
            if program not in programs:
                programs.append(program)
    return rows


def short_names(programs):
    standins = [p for p in programs if p.startswith("standin-")]
    others = [p.removeprefix("briarwind-") for p in programs if p not in standins]
    return ", ".join(others + (["stand-ins"] if standins else []))


def page(head, rows, pattern):
    found = sorted(row for row in rows if pattern.match(row))
    return head + "".join(f"{row} {short_names(rows[row])} |\n" for row in found)


def sources():
    for path in sorted((ROOT / "src").rglob("*")):
        if path.suffix in (".h", ".cpp") and not path.stem.endswith("_test"):
            yield path, path.read_text()


def findings_in_sources(rows):
    """Reports events and metrics that a source defines and that no program lists."""
    numbers = [m.group(1) for row in rows if (m := re.match(r"\| BW0*(\d+)", row))]
    names = [m.group(1) for row in rows if (m := re.match(r"\| `(\w+)`", row))]
    found = [f"two events have the number {n}"
             for n in sorted(set(numbers)) if numbers.count(n) > 1]
    found += [f"two metrics have the name {n}" for n in sorted(set(names)) if names.count(n) > 1]
    for path, text in sources():
        where = path.relative_to(ROOT)
        found += [f"{where}: event {number} is not listed by any program"
                  for number in EVENT_IN_SOURCE.findall(text) if number not in numbers]
        found += [f"{where}: metric {name} is not listed by any program"
                  for name in METRIC_IN_SOURCE.findall(text) if name not in names]
    return found


def findings_in_page(path, expected):
    """Reports lines that only the page or only the programs contain."""
    actual = path.read_text().splitlines() if path.exists() else []
    expected_lines = expected.splitlines()
    found = [f"{path.name} lacks the line: {line}" for line in expected_lines if line not in actual]
    found += [f"{path.name} has an outdated line: {line}"
              for line in actual if line not in expected_lines]
    return found


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--build", required=True, type=pathlib.Path)
    parser.add_argument("--write", action="store_true")
    options = parser.parse_args()
    rows = rows_of_programs(options.build.resolve())
    pages = {ROOT / "docs/EVENTS.md": page(EVENTS_HEAD, rows, EVENT_ROW),
             ROOT / "docs/METRICS.md": page(METRICS_HEAD, rows, METRIC_ROW)}
    found = findings_in_sources(rows)
    for path, text in pages.items():
        if options.write:
            path.write_text(text)
        found += findings_in_page(path, text)
    print(*found, sep="\n", end="\n" if found else "")
    print(f"catalogue: {len(rows)} events and metrics, {len(found)} findings")
    return 1 if found else 0


if __name__ == "__main__":
    sys.exit(main())

#!/usr/bin/env python3
"""Runs the regression sites on the users' bench and prints a table of the results.

usage: regress.py --bench PROGRAM --sites FOLDER [--list FILE] [--jobs N] [--why TEXT]

An unreadable site or one that breaks a rule does not prevent the others from running. The exit
status is 1 if any site failed.
"""

import argparse
import pathlib
import re
import subprocess
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
PLAYED = re.compile(r"^(\S+) is played")
BROKEN = re.compile(r"BROKEN|GATE failed|FAULT|given up|[1-9]\d* with a rule broken")


def read_list(path):
    """Reads rows of (site file relative to the folder, days); '#' starts a comment."""
    rows = []
    for number, line in enumerate(path.read_text().splitlines(), 1):
        words = line.split("#")[0].split()
        if not words:
            continue
        if len(words) != 2 or not words[1].isdigit() or int(words[1]) == 0:
            raise ValueError(f"{path.name}:{number}: expected SITE DAYS, got '{line.strip()}'")
        rows.append((words[0], int(words[1])))
    return rows


def run_site(bench, site, days, jobs, why):
    """Runs the bench's `hunt` on one site; returns (verdict, reason of the first failure)."""
    if not site.is_file():
        return "unreadable", f"no such file: {site}"
    command = [bench, "hunt", str(site), "--days", str(days), "--jobs", str(jobs), "--why", why]
    first_failure = ""
    played = 0
    with subprocess.Popen(command, cwd=ROOT, stdout=subprocess.PIPE, stderr=subprocess.STDOUT,
                          text=True) as process:
        for line in process.stdout:
            line = line.rstrip()
            if PLAYED.match(line):
                played += 1
                print(f"  {site.stem}: {played} of {days} days played", flush=True)
            elif line:
                print(f"  {line}", flush=True)
            if not first_failure and BROKEN.search(line):
                first_failure = line
    if process.returncode != 0 and not first_failure:
        first_failure = f"the bench ended with status {process.returncode}"
    return ("failed", first_failure) if first_failure else ("passed", "")


def main():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--bench", required=True)
    parser.add_argument("--sites", required=True, type=pathlib.Path)
    parser.add_argument("--list", type=pathlib.Path, default=ROOT / "scripts/regress-sites.txt")
    parser.add_argument("--jobs", type=int, default=3)
    parser.add_argument("--why", default="regression")
    options = parser.parse_args()
    try:
        rows = read_list(options.list)
    except (OSError, ValueError) as failure:
        sys.exit(f"regress: {failure}")
    results = []
    for name, days in rows:
        print(f"{name}: {days} days", flush=True)
        results.append((name, days, *run_site(options.bench, options.sites / name, days,
                                              options.jobs, options.why)))
    print(f"\n{'site':44} {'days':>5}  verdict")
    for name, days, verdict, reason in results:
        print(f"{name:44} {days:5}  {verdict}{': ' + reason if reason else ''}")
    sys.exit(0 if all(verdict == "passed" for _, _, verdict, _ in results) else 1)


if __name__ == "__main__":
    main()

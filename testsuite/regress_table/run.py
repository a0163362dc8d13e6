"""The regression run plays all sites whatever one of them does, and tells which failed and why.

Played against a program that this case writes, in place of the users' bench.
"""

import argparse
import pathlib
import stat
import subprocess
import sys
import tempfile

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
BENCH = """#!/usr/bin/env python3
import pathlib, sys
site = pathlib.Path(sys.argv[2])
text = site.read_text()
print("day-1 is played, after 1 s")
if "broken" in text:
    print("day-1   6/48  0.00  BROKEN: TWICE 1")
if "ends" in text:
    sys.exit(3)
"""


def check(condition, what):
    if not condition:
        sys.exit(f"regress_table: {what}")


def run(folder, rows):
    (folder / "list").write_text(rows)
    return subprocess.run([sys.executable, ROOT / "scripts/regress.py", "--bench",
                           folder / "bench", "--sites", folder, "--list", folder / "list"],
                          text=True, capture_output=True, timeout=60)


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--build")
    parser.parse_args()
    with tempfile.TemporaryDirectory() as name:
        folder = pathlib.Path(name)
        (folder / "bench").write_text(BENCH)
        (folder / "bench").chmod(stat.S_IRWXU)
        for site in ("well", "broken", "ends"):
            (folder / f"{site}.toml").write_text(f"name = '{site}'")
        done = run(folder, "broken.toml 2\nnone.toml 1\nends.toml 1 # a comment\nwell.toml 3\n")
        check(done.returncode == 1, f"status {done.returncode}")
        check("well: 1 of 3 days played" in done.stdout, "no progress of the last site")
        check("failed: day-1   6/48  0.00  BROKEN: TWICE 1" in done.stdout, "no reason")
        check("unreadable: no such file" in done.stdout, "the missing site is not named")
        check("failed: the bench ended with status 3" in done.stdout, "the end is not told")
        check(run(folder, "well.toml 1\n").returncode == 0, "a good run fails")
        bad = run(folder, "well.toml many\n")
        check(bad.returncode == 1 and "list:1" in bad.stderr, f"bad list: {bad.stderr}")
    print("regress_table: all held")


if __name__ == "__main__":
    main()

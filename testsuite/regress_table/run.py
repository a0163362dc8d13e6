"""scripts/regress.py runs all sites even if some fail, and reports a reason for each failure.

The case writes a small program that stands in for the users' bench.
"""

import argparse
import pathlib
import stat
import subprocess
import sys
import tempfile

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
BENCH_SCRIPT = """#!/usr/bin/env python3
import pathlib, sys
site = pathlib.Path(sys.argv[2])
text = site.read_text()
print("day-1 is played, after 1 s")
if "broken" in text:
    print("day-1   6/48  0.00  BROKEN: TWICE 1")
if "ends" in text:
    sys.exit(3)
"""


def check(condition, reason):
    if not condition:
        sys.exit(f"regress_table: {reason}")


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
        (folder / "bench").write_text(BENCH_SCRIPT)
        (folder / "bench").chmod(stat.S_IRWXU)
        for site in ("well", "broken", "ends"):
            (folder / f"{site}.toml").write_text(f"name = '{site}'")
        done = run(folder, "broken.toml 2\nnone.toml 1\nends.toml 1 # a comment\nwell.toml 3\n")
        check(done.returncode == 1, f"status {done.returncode}")
        check("well: 1 of 3 days played" in done.stdout, "no progress lines for the last site")
        check("failed: day-1   6/48  0.00  BROKEN: TWICE 1" in done.stdout,
              "the failed site has no reason")
        check("unreadable: no such file" in done.stdout,
              "the missing site file is not reported")
        check("failed: the bench ended with status 3" in done.stdout,
              "the exit status of the bench is not reported")
        check(run(folder, "well.toml 1\n").returncode == 0,
              "a run without failures exits with an error")
        bad = run(folder, "well.toml many\n")
        check(bad.returncode == 1 and "list:1" in bad.stderr,
              f"an invalid list is not reported: {bad.stderr}")
    print("regress_table: passed")


if __name__ == "__main__":
    main()

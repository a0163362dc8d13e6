#!/usr/bin/env python3
"""Runs short fault-injection soaks of briarwind-node with fixed seeds, all at the same time.

Longer soaks are run by hand:
`python3 platform/soak/soak.py --program build/briarwind-node --seed N`.
"""

import argparse
import pathlib
import subprocess
import sys

ROOT = pathlib.Path(__file__).resolve().parents[2]
# Seeds 5, 6 and 34 once failed because of a defect of the soak: it waited for a process that
# another injected fault had replaced in the meantime.
SEEDS = [1, 5, 6, 34]
SECONDS = "8"
# Finished jobs are removed during these runs. On the version that forgot a job before the store had
# confirmed its deletion, finished jobs ran again with both seeds.
REMOVAL_SEEDS = [201, 204]
REMOVAL_OPTIONS = ["--seconds", "20", "--status-seconds", "3"]


def main():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--build", required=True, type=pathlib.Path)
    options = parser.parse_args()
    runs = [["--seed", str(seed), "--seconds", SECONDS] for seed in SEEDS]
    runs += [["--seed", str(seed), *REMOVAL_OPTIONS] for seed in REMOVAL_SEEDS]
    running = [subprocess.Popen([sys.executable, str(ROOT / "platform/soak/soak.py"), "--program",
                                 str(options.build / "briarwind-node"), *run]) for run in runs]
    return max(process.wait() for process in running)


if __name__ == "__main__":
    sys.exit(main())

#!/usr/bin/env python3
"""Measures on real processes how long a stored change takes to be in force at all members."""

import pathlib
import statistics
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "testsuite"))
import harness
import settings_cases as cases

MEMBERS = 8
CHANGES = 200
WITHDRAWALS = 5


def quantiles(values):
    ordered = sorted(values)
    return (f"p50 {statistics.median(ordered):.2f}, p99 {ordered[int(len(ordered) * 0.99)]:.2f}, "
            f"longest {ordered[-1]:.2f}")


def measure_changes(cluster):
    accepted, everywhere = [], []
    for number in range(CHANGES):
        answer = cluster.check_ctl("--wait", "set", "/teams/t/acceleratorQuota" if number else
                                   "/teams/t", str(number) if number else '{"organisation":"o"}')
        accepted.append(answer["acceptedAfterUs"] / 1000)
        everywhere.append(answer["everywhereAfterUs"] / 1000)
    print(f"{CHANGES} changes, {MEMBERS} members, ms from stored: accepted {quantiles(accepted)}; "
          f"in force everywhere {quantiles(everywhere)}")
    return "measured"


def measure_withdrawals(cluster):
    last_starts = []
    with cases.JobStream(cluster):
        for _ in range(WITHDRAWALS):
            cases.wait_for_start(cluster, 20, "d1")
            accepted = cases.withdraw_domain(cluster, "d1")
            time.sleep(cases.START_BOUND_SECONDS + 1)
            late = cases.starts_after(cluster, accepted, "d1")
            last_starts.append(max([start["atMs"] - accepted * 1000 for start in late], default=0))
            cluster.check_ctl("--wait", "return", "d1")
    print(f"{WITHDRAWALS} withdrawals, ms from accepted to the last start in the domain: "
          f"{[round(each, 1) for each in last_starts]}")
    return "measured"


if __name__ == "__main__":
    sys.exit(harness.run_case("bench_in_force", [
        ("schedulers start", lambda cluster: cases.start_schedulers(cluster, MEMBERS)),
        ("changes", measure_changes),
        ("withdrawals", measure_withdrawals)]))

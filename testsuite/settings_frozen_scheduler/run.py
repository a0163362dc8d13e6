#!/usr/bin/env python3
"""The acting scheduler is frozen past every lease and wakes with starts decided."""

import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))
import harness
from harness import check
import settings_cases as cases


def freeze_and_withdraw(cluster):
    with cases.JobStream(cluster):
        cases.wait_starts(cluster, 15, "d1")
        frozen = cases.leader_of(cluster)
        frozen.pause()
        accepted = cases.accept_withdrawal(cluster, "d1")
        time.sleep(cases.LEASE_SECONDS + 3)
        frozen.resume()
        cases.wait_starts(cluster, 20, "d2")
        time.sleep(cases.START_BOUND_SECONDS)
        cases.check_no_start(cluster, "d1", accepted)
    check(cases.is_fresh(frozen), "the woken scheduler is fresh again")
    return f"{frozen.name} was frozen {cases.LEASE_SECONDS + 3} s; no later start in d1"

if __name__ == "__main__":
    sys.exit(harness.run_case("settings_frozen_scheduler", [
    ("schedulers start", cases.start_schedulers),
    ("frozen and woken", freeze_and_withdraw),
]))

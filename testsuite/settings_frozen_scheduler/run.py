#!/usr/bin/env python3
"""The leader is frozen for longer than every lease and resumes with start decisions pending.

Guards against a resumed leader that carries out those decisions in a domain that was withdrawn
in the meantime.
"""

import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))
import harness
from harness import check
import settings_cases as cases


def freeze_and_withdraw(cluster):
    with cases.JobStream(cluster):
        cases.wait_for_start(cluster, 15, "d1")
        frozen = cases.leader_of(cluster)
        frozen.pause()
        accepted = cases.withdraw_domain(cluster, "d1")
        time.sleep(cases.LEASE_SECONDS + 3)
        frozen.resume()
        cases.wait_for_start(cluster, 20, "d2")
        time.sleep(cases.START_BOUND_SECONDS)
        cases.check_no_late_start(cluster, "d1", accepted)
    check(cases.is_fresh(frozen), "the resumed scheduler is not fresh")
    return f"{frozen.name} was frozen {cases.LEASE_SECONDS + 3} s; no late start in d1"

if __name__ == "__main__":
    sys.exit(harness.run_case("settings_frozen_scheduler", [
    ("schedulers start", cases.start_schedulers),
    ("leader frozen and resumed", freeze_and_withdraw),
]))

#!/usr/bin/env python3
"""The store goes away before and during a withdrawal."""

import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))
import harness
from harness import check, wait_until
import settings_cases as cases


def go_on_without_store(cluster):
    with cases.JobStream(cluster):
        cases.wait_starts(cluster, 15)
        cases.set_faults(cluster, down=True)
        time.sleep(2 * cases.FRESHNESS_SECONDS)
        not_fresh = [s.name for s in cluster.schedulers if not cases.is_fresh(s)]
        check(not not_fresh, f"not fresh in a plain outage: {not_fresh}")
        status, answer = cluster.ctl("withdraw", "d1", timeout="1s")
        check(status == 6, f"a withdrawal without a store exited with {status}: {answer}")
        cases.set_faults(cluster, down=False)
    return "all schedulers stay fresh by their majority; the withdrawal says not reached"


def store_what_nobody_reads(cluster):
    for way in cluster.ways:
        way.cut()
    with cases.JobStream(cluster):
        status, answer = cluster.ctl("withdraw", "d1", timeout="4s")
        check(status == 4, f"a withdrawal that nobody holds exited with {status}: {answer}")
        check(answer["state"] == "stored, not yet in force", answer)
        names = [each["id"] for each in answer["notInForceAt"]]
        check(len(names) == len(cluster.schedulers), f"members without it: {names}")
    return f"exit status 4, stored, not yet in force at {len(names)} members"


def come_back(cluster):
    with cases.JobStream(cluster):
        for way in cluster.ways:
            way.join()
        wait_until(lambda: cluster.ctl("status", "--in-force")[1]["everywhere"]
                   and all(cases.in_force(s).get("revision") == cluster.ctl(
                       "get", "/domains/d1")[1]["revision"] for s in cluster.schedulers),
                   7, "in force everywhere once the store is back")
        accepted = time.time()
        cases.wait_starts(cluster, 20, "d2")
        time.sleep(cases.START_BOUND_SECONDS + 2)
        cases.check_no_start(cluster, "d1", accepted)
    return "in force everywhere, no later start in d1, starts in d2 go on"

if __name__ == "__main__":
    sys.exit(harness.run_case("settings_store_down", [
    ("schedulers start", cases.start_schedulers),
    ("the store is down", go_on_without_store),
    ("the store is cut off from all members while a domain is withdrawn", store_what_nobody_reads),
    ("the store is back", come_back),
]))

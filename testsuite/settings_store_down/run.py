#!/usr/bin/env python3
"""The store is unavailable before and during a withdrawal.

Guards against members that stop being fresh although a majority confirms their settings, and
against a withdrawal that is reported as in force before all members have applied it.
"""

import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))
import harness
from harness import check, wait_until
import settings_cases as cases


def continue_without_store(cluster):
    with cases.JobStream(cluster):
        cases.wait_for_start(cluster, 15)
        cases.set_store_faults(cluster, down=True)
        time.sleep(2 * cases.FRESHNESS_SECONDS)
        not_fresh = [s.name for s in cluster.schedulers if not cases.is_fresh(s)]
        check(not not_fresh, f"not fresh while only the store is down: {not_fresh}")
        status, answer = cluster.ctl("withdraw", "d1", timeout="1s")
        check(status == 6, f"a withdrawal with the store down exited with {status}: {answer}")
        cases.set_store_faults(cluster, down=False)
    return "all schedulers stay fresh by majority; the withdrawal exits with 6, store not reached"


def withdraw_unseen_by_members(cluster):
    for store_proxy in cluster.store_proxies:
        store_proxy.partition()
    with cases.JobStream(cluster):
        status, answer = cluster.ctl("withdraw", "d1", timeout="4s")
        check(status == 4,
              f"a withdrawal that no member has applied exited with {status}: {answer}")
        check(answer["state"] == "stored, not yet in force", answer)
        names = [each["id"] for each in answer["notInForceAt"]]
        check(len(names) == len(cluster.schedulers), f"members without the withdrawal: {names}")
    return f"exit status 4, stored, not yet in force at {len(names)} members"


def reconnect_store(cluster):
    with cases.JobStream(cluster):
        for store_proxy in cluster.store_proxies:
            store_proxy.heal()
        wait_until(lambda: cluster.ctl("status", "--in-force")[1]["everywhere"]
                   and all(cases.in_force(s).get("revision") == cluster.ctl(
                       "get", "/domains/d1")[1]["revision"] for s in cluster.schedulers),
                   7, "in force everywhere after the store is reachable again")
        accepted = time.time()
        cases.wait_for_start(cluster, 20, "d2")
        time.sleep(cases.START_BOUND_SECONDS + 2)
        cases.check_no_late_start(cluster, "d1", accepted)
    return "in force everywhere, no late start in d1, starts in d2 continue"

if __name__ == "__main__":
    sys.exit(harness.run_case("settings_store_down", [
    ("schedulers start", cases.start_schedulers),
    ("store down", continue_without_store),
    ("domain withdrawn while no member reaches the store", withdraw_unseen_by_members),
    ("store reachable again", reconnect_store),
]))

#!/usr/bin/env python3
"""The leader is partitioned from the store, and then from its peers too, but not from the workers.

Guards against a leader that goes on starting tasks in a withdrawn domain, because it applies old
settings that neither the store nor a majority of its peers confirms.
"""

import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))
import harness
from harness import check, wait_until
import settings_cases as cases


def partition_from_store(cluster):
    with cases.JobStream(cluster):
        cases.wait_for_start(cluster, 15, "d1")
        leader = cases.leader_of(cluster)
        leader.store_proxy.partition()
        accepted = cases.withdraw_domain(cluster, "d1")
        wait_until(lambda: cases.in_force(leader).get("freshness") == "fresh" and
                   cases.in_force(leader)["revision"] >= cluster.ctl(
                       "get", "/domains/d1")[1]["revision"],
                   7, "the partitioned scheduler gets the withdrawal from its peers")
        time.sleep(cases.START_BOUND_SECONDS + 2)
        cases.check_no_late_start(cluster, "d1", accepted)
        leader.store_proxy.heal()
    return f"{leader.name} applied the withdrawal from its peers; no late start in d1"


def partition_from_all(cluster):
    cluster.check_ctl("--wait", "return", "d1")
    isolated = cases.leader_of(cluster)
    others = [s for s in cluster.schedulers if s is not isolated]
    with cases.JobStream(cluster):
        cases.wait_for_start(cluster, 15, "d1")
        isolated.store_proxy.partition()
        for other in others:
            other.pause()
        time.sleep(cases.START_BOUND_SECONDS)
        since = time.time()
        time.sleep(cases.FRESHNESS_SECONDS)
        check(cases.in_force(isolated).get("freshness") == "not-confirmed",
              cases.in_force(isolated))
        late = cases.starts_after(cluster, since)
        check(not late, f"{len(late)} starts by a scheduler whose settings nobody confirms")
        for other in others:
            other.resume()
        isolated.store_proxy.heal()
        cases.wait_for_start(cluster, 20)
    return f"{isolated.name} starts nothing, reports not-confirmed, and starts tasks after healing"

if __name__ == "__main__":
    sys.exit(harness.run_case("settings_cut_scheduler", [
    ("schedulers start", cases.start_schedulers),
    ("leader partitioned from the store", partition_from_store),
    ("leader partitioned from store and peers", partition_from_all),
]))

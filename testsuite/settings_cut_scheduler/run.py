#!/usr/bin/env python3
"""The acting scheduler is cut off from the store, not from the workers."""

import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))
import harness
from harness import check, wait_until
import settings_cases as cases


def cut_from_store(cluster):
    with cases.JobStream(cluster):
        cases.wait_starts(cluster, 15, "d1")
        cut = cases.leader_of(cluster)
        cut.way.cut()
        accepted = cases.accept_withdrawal(cluster, "d1")
        wait_until(lambda: cases.in_force(cut).get("freshness") == "fresh" and
                   cases.in_force(cut)["revision"] >= cluster.ctl(
                       "get", "/domains/d1")[1]["revision"],
                   7, "the cut scheduler learns the withdrawal from its peers")
        time.sleep(cases.START_BOUND_SECONDS + 2)
        cases.check_no_start(cluster, "d1", accepted)
        cut.way.join()
    return f"{cut.name} follows by its peers; no later start in d1"


def cut_from_all(cluster):
    cluster.ctl_done("--wait", "return", "d1")
    alone = cases.leader_of(cluster)
    others = [s for s in cluster.schedulers if s is not alone]
    with cases.JobStream(cluster):
        cases.wait_starts(cluster, 15, "d1")
        alone.way.cut()
        for other in others:
            other.pause()
        time.sleep(cases.START_BOUND_SECONDS)
        since = time.time()
        time.sleep(cases.FRESHNESS_SECONDS)
        check(cases.in_force(alone).get("freshness") == "not-confirmed", cases.in_force(alone))
        late = cases.starts_after(cluster, since)
        check(not late, f"{len(late)} starts by a scheduler that nothing confirms")
        for other in others:
            other.resume()
        alone.way.join()
        cases.wait_starts(cluster, 20)
    return f"{alone.name} starts nothing, says not-confirmed, and starts again afterwards"

if __name__ == "__main__":
    sys.exit(harness.run_case("settings_cut_scheduler", [
    ("schedulers start", cases.start_schedulers),
    ("cut off from the store", cut_from_store),
    ("cut off from store and peers", cut_from_all),
]))

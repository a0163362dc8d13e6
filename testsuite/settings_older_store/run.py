#!/usr/bin/env python3
"""The store comes back with an older copy, revision and all."""

import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))
import harness
from harness import check, wait_until
import settings_cases as cases


def restore_after_withdrawal(cluster):
    cluster.ctl_done("--wait", "return", "d1")
    harness.http_call(cluster.store.address, "POST", "/test/snapshot", {})
    with cases.JobStream(cluster):
        cases.wait_starts(cluster, 15, "d1")
        cluster.ctl_done("--wait", "withdraw", "d1")
        accepted = time.time()
        held = [cases.in_force(s)["revision"] for s in cluster.schedulers]
        harness.http_call(cluster.store.address, "POST", "/test/restore", {})
        stored = cluster.ctl_done("get", "/domains/d1")["settings"]
        check(not stored["withdrawn"], "the store has lost the withdrawal")
        time.sleep(2 * cases.START_BOUND_SECONDS)
        after = [cases.in_force(s)["revision"] for s in cluster.schedulers]
        check(after == held, f"in force {held}, then {after}")
        cases.check_no_start(cluster, "d1", accepted)
    not_fresh = [s.name for s in cluster.schedulers if not cases.is_fresh(s)]
    check(not not_fresh, f"not fresh after the restore: {not_fresh}")
    return f"revision {held[0]} stays in force at all, no later start in d1"


def start_new_member(cluster):
    cluster.links.append(cluster.ports.pick())
    cluster.ways.append(cases.Way(cluster.store.address))
    new = cases.start_scheduler(cluster, len(cluster.links) - 1)
    cluster.schedulers.append(new)
    held = cases.in_force(cluster.schedulers[0])["revision"]
    first = wait_until(lambda: cases.is_fresh(new) and cases.in_force(new), 7,
                       "the new member is fresh", interval=0.002)
    check(first["revision"] == held, f"fresh at {first}, the others hold {held}")
    return "a member that starts now is fresh only with the withdrawal in force"

if __name__ == "__main__":
    sys.exit(harness.run_case("settings_older_store", [
    ("schedulers start", cases.start_schedulers),
    ("older copy", restore_after_withdrawal),
    ("a new member", start_new_member),
]))

#!/usr/bin/env python3
"""The store is restored from an older snapshot, including its revision number.

Guards against members that fall back to the older settings and start tasks in a domain whose
withdrawal the snapshot does not contain.
"""

import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))
import harness
from harness import check, wait_until
import settings_cases as cases


def restore_after_withdrawal(cluster):
    cluster.check_ctl("--wait", "return", "d1")
    harness.http_call(cluster.store.address, "POST", "/test/snapshot", {})
    with cases.JobStream(cluster):
        cases.wait_for_start(cluster, 15, "d1")
        cluster.check_ctl("--wait", "withdraw", "d1")
        accepted = time.time()
        applied = [cases.in_force(s)["revision"] for s in cluster.schedulers]
        harness.http_call(cluster.store.address, "POST", "/test/restore", {})
        stored = cluster.check_ctl("get", "/domains/d1")["settings"]
        check(not stored["withdrawn"], "the restored store still has the withdrawal")
        time.sleep(2 * cases.START_BOUND_SECONDS)
        after = [cases.in_force(s)["revision"] for s in cluster.schedulers]
        check(after == applied, f"revisions in force were {applied}, then {after}")
        cases.check_no_late_start(cluster, "d1", accepted)
    not_fresh = [s.name for s in cluster.schedulers if not cases.is_fresh(s)]
    check(not not_fresh, f"not fresh after the restore: {not_fresh}")
    return f"revision {applied[0]} stays in force at all members, no late start in d1"


def start_new_member(cluster):
    cluster.peer_addresses.append(cluster.ports.pick())
    cluster.store_proxies.append(cases.TcpProxy(cluster.store.address))
    new = cases.start_scheduler(cluster, len(cluster.peer_addresses) - 1)
    cluster.schedulers.append(new)
    applied = cases.in_force(cluster.schedulers[0])["revision"]
    first = wait_until(lambda: cases.is_fresh(new) and cases.in_force(new), 7,
                       "the new member is fresh", interval=0.002)
    check(first["revision"] == applied, f"fresh with {first}, the others have revision {applied}")
    return "a member that joins now is fresh only with the withdrawal in force"

if __name__ == "__main__":
    sys.exit(harness.run_case("settings_older_store", [
    ("schedulers start", cases.start_schedulers),
    ("store restored from an older snapshot", restore_after_withdrawal),
    ("new member joins", start_new_member),
]))

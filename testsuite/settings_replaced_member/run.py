#!/usr/bin/env python3
"""Members are killed and replaced while the store is unavailable.

Guards against replacements that confirm settings which they never read: the remaining members of
the member record must be a majority of it, or no member is fresh.
"""

import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))
import harness
from harness import check, wait_until
import settings_cases as cases


def replace_one(cluster):
    cases.set_store_faults(cluster, down=True)
    replace(cluster, 2)
    time.sleep(2 * cases.FRESHNESS_SECONDS)
    states = [cases.in_force(s).get("freshness") for s in cluster.schedulers]
    check(states == ["fresh", "fresh", "no-store-read"], f"{states}")
    return "two of three stay fresh; the replacement is not fresh before it has read the store"


def replace_two(cluster):
    replace(cluster, 1)
    time.sleep(2 * cases.FRESHNESS_SECONDS)
    states = [cases.in_force(s).get("freshness") for s in cluster.schedulers]
    check(states == ["not-confirmed", "no-store-read", "no-store-read"], f"{states}")
    return "one of three is not a majority; replacements confirm nothing"


def restore_store(cluster):
    cases.set_store_faults(cluster, down=False)
    wait_until(lambda: all(cases.is_fresh(s) for s in cluster.schedulers), 10,
               "all members are fresh")
    ids = {cases.in_force(s)["member"] for s in cluster.schedulers}
    wait_until(lambda: set(cluster.ctl("members")[1]["record"]["members"]) == ids, 40,
               "the replacements are in the member record")
    cluster.check_ctl("--wait", "withdraw", "d1")
    return "the record holds the three current members, a withdrawal is accepted"


def replace(cluster, index):
    cluster.schedulers[index].kill()
    cluster.schedulers[index] = cases.start_scheduler(cluster, index, "b")

if __name__ == "__main__":
    sys.exit(harness.run_case("settings_replaced_member", [
    ("schedulers start", cases.start_schedulers),
    ("one member replaced", replace_one),
    ("second member replaced", replace_two),
    ("store available again", restore_store),
]))

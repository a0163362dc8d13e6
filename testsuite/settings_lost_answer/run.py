#!/usr/bin/env python3
"""The store writes a change, and its response to the client is lost.

The change must succeed, and the history must hold it exactly once.
"""

import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))
import harness
from harness import check
import settings_cases as cases


def lose_one_response(cluster):
    before = cluster.ctl("get", "/")[1]
    check("/domains/d1" not in before, before)
    cases.set_store_faults(cluster, loseAnswers=1)
    answer = cluster.check_ctl("--wait", "withdraw", "d1")
    changes = cluster.check_ctl("history", "/domains/d1")["changes"]
    check([c["id"] for c in changes] == [answer["change"]], f"{answer} against {changes}")
    return "the change succeeded, is stored once and is in force everywhere"


def lose_another_response(cluster):
    cases.set_store_faults(cluster, loseAnswers=1)
    status, answer = cluster.ctl("set", "/domains/d1/reason", '"flood"')
    check(status == 0, f"exit status {status}: {answer}")
    stored = cluster.check_ctl("get", "/domains/d1")
    check(stored["settings"] == {"withdrawn": True, "reason": "flood"}, stored)
    check(len(cluster.check_ctl("history", "/domains/d1")["changes"]) == 2,
          "the history does not hold two changes")
    return "a second change succeeded, the history holds both"

if __name__ == "__main__":
    sys.exit(harness.run_case("settings_lost_answer", [
    ("schedulers start", cases.start_schedulers),
    ("response to a change lost", lose_one_response),
    ("response to a second change lost", lose_another_response),
]))

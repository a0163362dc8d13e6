#!/usr/bin/env python3
"""The answer to a change is lost after the store wrote it."""

import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))
import harness
from harness import check
import settings_cases as cases


def lose_one_answer(cluster):
    before = cluster.ctl("get", "/")[1]
    check("/domains/d1" not in before, before)
    cases.set_faults(cluster, loseAnswers=1)
    answer = cluster.ctl_done("--wait", "withdraw", "d1")
    changes = cluster.ctl_done("history", "/domains/d1")["changes"]
    check([c["id"] for c in changes] == [answer["change"]], f"{answer} against {changes}")
    return "done, stored once, in force everywhere"


def lose_every_answer(cluster):
    cases.set_faults(cluster, loseAnswers=1)
    status, answer = cluster.ctl("set", "/domains/d1/reason", '"flood"')
    check(status == 0, f"exit status {status}: {answer}")
    stored = cluster.ctl_done("get", "/domains/d1")
    check(stored["settings"] == {"withdrawn": True, "reason": "flood"}, stored)
    check(len(cluster.ctl_done("history", "/domains/d1")["changes"]) == 2, "two changes")
    return "a second change on top of it, both in the history"

if __name__ == "__main__":
    sys.exit(harness.run_case("settings_lost_answer", [
    ("schedulers start", cases.start_schedulers),
    ("one answer is lost", lose_one_answer),
    ("and another", lose_every_answer),
]))

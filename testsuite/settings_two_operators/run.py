#!/usr/bin/env python3
"""Operators race each other on one subtree and on several."""

import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))
import harness
from harness import check
import settings_cases as cases


ROUNDS = 8


def race_on_one(cluster):
    first = cluster.ctl_done("set", "/domains/d9", '{"reason":"start"}')["revision"]

    def change(who):
        return cluster.ctl("--base", str(first), "set", "/domains/d9/reason", f'"by {who}"')

    results = harness.in_parallel(change, range(ROUNDS), ROUNDS)
    done = [answer for status, answer in results if status == 0]
    conflicts = [answer for status, answer in results if status == 3]
    check(len(done) == 1 and len(conflicts) == ROUNDS - 1, f"{results}")
    for each in conflicts:
        check(each["conflict"] == "/domains/d9", each)
        check(each["by"]["id"] == done[0]["change"] and each["by"]["author"] == "case"
              and each["by"]["at"].endswith("Z"), f"{each} against {done}")
    changes = cluster.ctl_done("history", "/domains/d9")["changes"]
    check([c["id"] for c in changes][0] == done[0]["change"], changes)
    return f"of {ROUNDS} one is stored; {len(conflicts)} are told path, id, author and time"


def race_on_many(cluster):
    def change(who):
        return cluster.ctl("set", f"/teams/t{who}", '{"organisation":"o"}')

    results = harness.in_parallel(change, range(ROUNDS), ROUNDS)
    check(all(status == 0 for status, _ in results), f"{results}")
    return f"{ROUNDS} teams change their own subtrees, no conflict"


def reject_wrong(cluster):
    status, answer = cluster.ctl("set", "/teams/t1", '{"organisation":"nobody","requests":{}}')
    check(status == 2 and answer["findings"][0]["place"] == "/teams/t1/organisation", answer)
    return "an unknown organisation is a finding, nothing is stored"

if __name__ == "__main__":
    sys.exit(harness.run_case("settings_two_operators", [
    ("schedulers start", cases.start_schedulers),
    ("one subtree", race_on_one),
    ("one subtree each", race_on_many),
    ("a wrong change", reject_wrong),
]))

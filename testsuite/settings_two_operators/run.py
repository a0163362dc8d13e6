#!/usr/bin/env python3
"""Operators change one subtree of the settings concurrently, then several subtrees.

Guards against a lost update: of concurrent changes to one subtree from the same base revision one
is stored and every other one gets a conflict. Changes to different subtrees must not conflict.
"""

import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))
import harness
from harness import check
import settings_cases as cases


OPERATORS = 8


def race_on_one_subtree(cluster):
    first = cluster.check_ctl("set", "/domains/d9", '{"reason":"start"}')["revision"]

    def change(who):
        return cluster.ctl("--base", str(first), "set", "/domains/d9/reason", f'"by {who}"')

    results = harness.in_parallel(change, range(OPERATORS), OPERATORS)
    done = [answer for status, answer in results if status == 0]
    conflicts = [answer for status, answer in results if status == 3]
    check(len(done) == 1 and len(conflicts) == OPERATORS - 1, f"{results}")
    for each in conflicts:
        check(each["conflict"] == "/domains/d9", each)
        check(each["by"]["id"] == done[0]["change"] and each["by"]["author"] == "case"
              and each["by"]["at"].endswith("Z"), f"{each} against {done}")
    changes = cluster.check_ctl("history", "/domains/d9")["changes"]
    check([c["id"] for c in changes][0] == done[0]["change"], changes)
    return f"1 of {OPERATORS} stored; {len(conflicts)} conflicts name path, id, author and time"


def race_on_separate_subtrees(cluster):
    def change(who):
        return cluster.ctl("set", f"/teams/t{who}", '{"organisation":"o"}')

    results = harness.in_parallel(change, range(OPERATORS), OPERATORS)
    check(all(status == 0 for status, _ in results), f"{results}")
    return f"{OPERATORS} changes to separate subtrees, no conflict"


def reject_invalid_change(cluster):
    status, answer = cluster.ctl("set", "/teams/t1", '{"organisation":"nobody","requests":{}}')
    check(status == 2 and answer["findings"][0]["place"] == "/teams/t1/organisation", answer)
    return "an unknown organisation is reported as a finding"

if __name__ == "__main__":
    sys.exit(harness.run_case("settings_two_operators", [
    ("schedulers start", cases.start_schedulers),
    ("concurrent changes to one subtree", race_on_one_subtree),
    ("concurrent changes to separate subtrees", race_on_separate_subtrees),
    ("invalid change", reject_invalid_change),
]))

"""Instances that leave, by the host list and by the settings, get no new work after 3 s."""

import collections
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
from harness import check, http_call, in_parallel, request_headers, run_case

SERVICE = "tags"
BOUND_SECONDS = 3


def load(cluster, prefix, count):
    """Sends requests one after the other; returns how many each instance answered."""
    served = {}
    for number in range(count):
        router = cluster.routers[number % len(cluster.routers)]
        answer = http_call(router.address, "POST", f"/{SERVICE}/read", b"photo",
                           request_headers(f"{prefix}-{number}", "ferraresi"), timeout=15)
        check(answer.headers["Briarwind-Outcome"] == "ok", f"{answer.headers}")
        name = answer.json()["instance"]
        served[name] = served.get(name, 0) + 1
    return served


def start(cluster):
    cluster.start_standins()
    cluster.start_instances(SERVICE, ["d1"], 3)
    cluster.publish_hosts()
    cluster.start_routers(2, ["d1"])
    cluster.start_schedulers(1, ["d1"])
    for member in cluster.routers + cluster.schedulers:
        member.wait_ready(40)
    served = load(cluster, "before", 60)
    check(len(served) == 3, f"not all instances are used: {served}")


def by_host_list(cluster):
    cluster.hosts[0]["state"] = "leaving"
    cluster.publish_hosts()
    time.sleep(BOUND_SECONDS)
    served = load(cluster, "listed", 60)
    check("t1" not in served, f"t1 still got requests: {served}")


def by_settings(cluster):
    cluster.set("/targets/t2", {"leaving": True})
    time.sleep(BOUND_SECONDS)
    served = load(cluster, "set", 60)
    check(set(served) == {"t3"}, f"t1 or t2 still got requests: {served}")


def back_again(cluster):
    cluster.hosts[0]["state"] = "live"
    cluster.publish_hosts()
    time.sleep(BOUND_SECONDS + 5)
    # Several at once: with nothing in flight the instance with the better last answer gets all.
    served = collections.Counter()
    for each in in_parallel(lambda n: load(cluster, f"back{n}", 15), range(8)):
        served.update(each)
    check("t1" in served, f"t1 is back and gets nothing: {served}")


STEPS = [
    ("two routers, three instances", start),
    ("an instance that leaves by the host list gets no new work after 3 s", by_host_list),
    ("an instance that leaves by the settings gets no new work after 3 s", by_settings),
    ("an instance that comes back gets work again", back_again),
]

if __name__ == "__main__":
    sys.exit(run_case("router_leaving", STEPS))

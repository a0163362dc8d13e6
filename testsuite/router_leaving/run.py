"""Instances that are leaving get no new requests after 3 s.

An instance is marked as leaving in the host list or in the settings.
"""

import collections
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
from harness import check, http_call, in_parallel, request_headers, run_case

SERVICE = "tags"
BOUND_SECONDS = 3


def send_requests(cluster, prefix, count):
    """Sends requests one at a time; returns how many of them each instance answered."""
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
    served = send_requests(cluster, "before", 60)
    check(len(served) == 3, f"not all instances got requests: {served}")


def leave_by_host_list(cluster):
    cluster.hosts[0]["state"] = "leaving"
    cluster.publish_hosts()
    time.sleep(BOUND_SECONDS)
    served = send_requests(cluster, "listed", 60)
    check("t1" not in served, f"t1 still got requests: {served}")


def leave_by_settings(cluster):
    cluster.set("/targets/t2", {"leaving": True})
    time.sleep(BOUND_SECONDS)
    served = send_requests(cluster, "set", 60)
    check(set(served) == {"t3"}, f"t1 or t2 still got requests: {served}")


def live_again(cluster):
    cluster.hosts[0]["state"] = "live"
    cluster.publish_hosts()
    time.sleep(BOUND_SECONDS + 5)
    # Several requests at once: with nothing in flight, the instance with the better last response
    # gets all requests.
    served = collections.Counter()
    for each in in_parallel(lambda n: send_requests(cluster, f"back{n}", 15), range(8)):
        served.update(each)
    check("t1" in served, f"t1 is live again and got no requests: {served}")


STEPS = [
    ("two routers, three instances", start),
    ("an instance leaving by the host list gets no new requests after 3 s", leave_by_host_list),
    ("an instance leaving by the settings gets no new requests after 3 s", leave_by_settings),
    ("an instance that is live again gets requests", live_again),
]

if __name__ == "__main__":
    sys.exit(run_case("router_leaving", STEPS))

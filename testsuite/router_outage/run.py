"""Routers keep the last known state and serve requests while store and host list are down."""

import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
from harness import check, http_call, request_headers, run_case

SERVICE = "tags"
# Long enough for the member leases (10 s) to expire and the release time to pass.
OUTAGE_SECONDS = 20


def send(router, request_id, service=SERVICE):
    return http_call(router.address, "POST", f"/{service}/read", b"photo",
                     request_headers(request_id, "ferraresi"), timeout=15)


def start(cluster):
    cluster.start_standins()
    cluster.start_instances(SERVICE, ["d1"], 4)
    cluster.publish_hosts()
    cluster.start_routers(2, ["d1"])
    for router in cluster.routers:
        router.wait_ready(40)


def serve_during_outage(cluster):
    http_call(cluster.store.address, "POST", "/test/faults", {"down": True})
    http_call(cluster.host_list.address, "POST", "/test/faults", {"down": True})
    until = time.monotonic() + OUTAGE_SECONDS
    sent = 0
    while time.monotonic() < until:
        for router in cluster.routers:
            answer = send(router, f"away-{sent}")
            check(answer.headers["Briarwind-Outcome"] == "ok",
                  f"after {sent} requests: {answer.headers['Briarwind-Reason']}")
            sent += 1
        time.sleep(0.1)
    return f"{sent} requests answered in {OUTAGE_SECONDS} s"


def serve_after_outage(cluster):
    http_call(cluster.store.address, "POST", "/test/faults", {"down": False})
    http_call(cluster.host_list.address, "POST", "/test/faults", {"down": False})
    until = time.monotonic() + 8
    sent = 0
    while time.monotonic() < until:
        for router in cluster.routers:
            answer = send(router, f"back-{sent}")
            outcome = answer.headers["Briarwind-Outcome"]
            # A member whose lease expired joins again and waits until it may use its share.
            check(outcome in ("ok", "not-run"), f"{answer.headers}")
            sent += 1
        time.sleep(0.1)
    for router in cluster.routers:
        router.wait_ready(20)
        check(send(router, "after").headers["Briarwind-Outcome"] == "ok",
              "no response after the outage")
    for instance in cluster.instances:
        seen = http_call(instance.address, "GET", "/test/runs").json()
        check(seen["maxRunning"] <= 8, f"{instance.name} ran {seen['maxRunning']} at once")


STEPS = [
    ("two routers, four instances", start),
    ("requests succeed without store and host list", serve_during_outage),
    ("requests succeed after both are available again", serve_after_outage),
]

if __name__ == "__main__":
    sys.exit(run_case("router_outage", STEPS))

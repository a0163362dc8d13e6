#!/usr/bin/env python3
"""SIGTERM: readiness fails first, requests in progress finish, jobs go on, every program exits 0."""

import json
import pathlib
import sys
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))
import harness
from harness import check, http_call, request_headers, try_call, wait_until

DOMAINS = ["d1", "d2"]
LAG_SECONDS = 1.0
SHAPE = {"accelerators": 8, "cores": 64, "memoryMb": 100000}
SLOW_MS = 2500


def start(cluster):
    cluster.start_standins()
    cluster.start_workers(DOMAINS, per_domain=1)
    cluster.start_instances("tags", DOMAINS, per_domain=1)
    cluster.publish_hosts()
    cluster.start_routers(2, DOMAINS, extra=("--balancer-lag", "1s", "--release-time", "2s"))
    cluster.start_schedulers(2, DOMAINS, extra=("--balancer-lag", "1s"))
    cluster.wait_ready()
    cluster.set("/organisations/ferraresi", {"weight": 1})
    return "2 routers, 2 schedulers"


class Requests:
    """Requests in progress, each in a thread of its own."""

    def __init__(self, router):
        self._router = router
        self._threads = []
        self.answers = {}

    def send(self, request_id):
        def call():
            self.answers[request_id] = try_call(
                self._router.address, "POST", "/tags/read", b"x" * 300_000,
                request_headers(request_id, "ferraresi"), timeout=20)
        thread = threading.Thread(target=call)
        thread.start()
        self._threads.append(thread)

    def check_all_answered(self):
        for thread in self._threads:
            thread.join()
        cut = [i for i, answer in self.answers.items() if answer is None or answer.status != 200]
        check(not cut, f"cut or refused: {cut}")
        foreign = [i for i, answer in self.answers.items() if answer.json()["requestId"] != i]
        check(not foreign, f"foreign answers: {foreign}")


def router_stops(cluster):
    router = cluster.routers[0]
    for instance in cluster.instances:
        http_call(instance.address, "POST", "/test/faults", {"latencyMs": SLOW_MS})
    requests = Requests(router)
    # The router's share of two instances with 8 slots each, two routers, is 8 slots.
    for index in range(7):
        requests.send(f"before-{index}")
    wait_until(lambda: len(cluster.runs()) == 7, 5, "seven requests run")
    router.terminate()
    began = time.monotonic()
    wait_until(lambda: http_call(router.address, "GET", "/readyz").status == 503, 2,
               "readiness fails")
    not_ready = time.monotonic() - began
    check(http_call(router.address, "GET", "/healthz").status == 200, "it is not healthy")
    requests.send("within-lag")
    wait_until(lambda: "within-lag" in cluster.runs(), LAG_SECONDS,
               "a request within the balancer's lag runs")
    requests.send("queued")
    status = router.wait_exit(15)
    requests.check_all_answered()
    check(status == 0, f"router1 exited with {status}")
    for instance in cluster.instances:
        http_call(instance.address, "POST", "/test/faults", {"latencyMs": 5})
    doubled = {request: count for request, count in cluster.runs().items() if count != 1}
    check(not doubled, f"not one run each: {doubled}")
    return (f"not ready {not_ready:.2f} s after SIGTERM, {len(requests.answers)} requests in "
            "progress answered, exit 0")


def leader_stops(cluster):
    job = {"id": "long", "organisation": "ferraresi", "members": 2, "shape": SHAPE,
           "adjacency": "none", "expectedMs": 4000, "repeatable": False, "command": "x"}
    cluster.ctl_done("submit", json.dumps(job))
    wait_until(lambda: cluster.job("long")["phase"] == "running", 10, "the gang runs")
    name = http_call(cluster.schedulers[0].address, "GET", "/v1/status").json()["member"]
    leader = next(s for s in cluster.schedulers if s.name == name)
    other = next(s for s in cluster.schedulers if s.name != name)
    leader.terminate()
    began = time.monotonic()
    wait_until(lambda: http_call(other.address, "GET", "/v1/status").json()["member"] == other.name,
               10, "the other scheduler leads")
    took = time.monotonic() - began
    status = leader.wait_exit(15)
    check(status == 0, f"{leader.name} exited with {status}")
    cluster.wait_job("long", "finished", 15)
    found = cluster.job("long")
    check(found["attempt"] == 1, f"the gang was started again: {found}")
    starts = [s for s in cluster.starts() if s["job"] == "long"]
    check(len(starts) == 2, f"not one start a member: {starts}")
    return f"{other.name} leads {took:.2f} s after SIGTERM, the gang finished in its first attempt"


def rest_stops(cluster):
    rest = [process for process in cluster.processes if process.is_running()]
    for process in rest:
        process.terminate()
    statuses = {process.name: process.wait_exit(15) for process in rest}
    wrong = {name: status for name, status in statuses.items() if status != 0}
    check(not wrong, f"exit statuses {wrong}")
    return f"{len(rest)} processes, stand-ins too, exit with 0"


STEPS = [
    ("start", start),
    ("router", router_stops),
    ("leading scheduler", leader_stops),
    ("all others at once", rest_stops),
]

if __name__ == "__main__":
    sys.exit(harness.run_case("graceful stop", STEPS))

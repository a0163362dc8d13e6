#!/usr/bin/env python3
"""Graceful stop on SIGTERM.

Readiness fails first, requests in flight finish, running jobs continue under the next leader, and
every program exits with 0.
"""

import json
import pathlib
import sys
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))
import harness
from harness import check, http_call, request_headers, try_call, wait_until

DOMAINS = ["d1", "d2"]
BALANCER_LAG_SECONDS = 1.0
SHAPE = {"accelerators": 8, "cores": 64, "memoryMb": 100000}
SLOW_LATENCY_MS = 2500
# Short enough to poll the new leader between its election and the end of its takeover.
STATUS_POLL_SECONDS = 0.001


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
    """Requests in flight to one router, each in its own thread."""

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
        failed = [i for i, answer in self.answers.items() if answer is None or answer.status != 200]
        check(not failed, f"interrupted or refused: {failed}")
        mismatched = [i for i, answer in self.answers.items() if answer.json()["requestId"] != i]
        check(not mismatched, f"responses to another request: {mismatched}")


def router_stops(cluster):
    router = cluster.routers[0]
    for instance in cluster.instances:
        http_call(instance.address, "POST", "/test/faults", {"latencyMs": SLOW_LATENCY_MS})
    requests = Requests(router)
    # Two instances with 8 slots each are shared by two routers, so each router has 8 slots.
    for index in range(7):
        requests.send(f"before-{index}")
    wait_until(lambda: len(cluster.runs()) == 7, 5, "seven requests are running")
    router.terminate()
    terminated_at = time.monotonic()
    wait_until(lambda: http_call(router.address, "GET", "/readyz").status == 503, 2,
               "readiness fails")
    not_ready = time.monotonic() - terminated_at
    check(http_call(router.address, "GET", "/healthz").status == 200,
          "a stopping router is not healthy")
    requests.send("within-lag")
    wait_until(lambda: "within-lag" in cluster.runs(), BALANCER_LAG_SECONDS,
               "a request sent within the balancer lag runs")
    requests.send("queued")
    status = router.wait_exit(15)
    requests.check_all_answered()
    check(status == 0, f"router1 exited with {status}")
    for instance in cluster.instances:
        http_call(instance.address, "POST", "/test/faults", {"latencyMs": 5})
    repeated = {request: count for request, count in cluster.runs().items() if count != 1}
    check(not repeated, f"requests that did not run exactly once: {repeated}")
    return (f"not ready {not_ready:.2f} s after SIGTERM, {len(requests.answers)} requests in "
            "flight answered, exit 0")


def is_acting(scheduler):
    """Returns whether the scheduler is the leader and its takeover is complete.

    Until then it answers with the status of the former leader, or with 503 `not-run` once it is
    elected itself.
    """
    answer = http_call(scheduler.address, "GET", "/v1/status")
    if answer.status == 503:
        outcome = answer.headers.get("Briarwind-Outcome")
        check(outcome == "not-run", f"{scheduler.name} answered 503 with outcome {outcome}")
        return False
    check(answer.status == 200, f"{scheduler.name} answered {answer.status}: {answer.body!r}")
    status = answer.json()
    return status["member"] == scheduler.name and status["acting"]


def leader_stops(cluster):
    job = {"id": "long", "organisation": "ferraresi", "members": 2, "shape": SHAPE,
           "adjacency": "none", "expectedMs": 4000, "repeatable": False, "command": "x"}
    cluster.check_ctl("submit", json.dumps(job))
    wait_until(lambda: cluster.job("long")["phase"] == "running", 10, "the gang is running")
    name = http_call(cluster.schedulers[0].address, "GET", "/v1/status").json()["member"]
    leader = next(s for s in cluster.schedulers if s.name == name)
    other = next(s for s in cluster.schedulers if s.name != name)
    leader.terminate()
    terminated_at = time.monotonic()
    wait_until(lambda: is_acting(other), 10, "the other scheduler is the leader",
               interval=STATUS_POLL_SECONDS)
    took = time.monotonic() - terminated_at
    status = leader.wait_exit(15)
    check(status == 0, f"{leader.name} exited with {status}")
    cluster.wait_job("long", "finished", 15)
    found = cluster.job("long")
    check(found["attempt"] == 1, f"the gang was restarted: {found}")
    starts = [s for s in cluster.starts() if s["job"] == "long"]
    check(len(starts) == 2, f"expected one start for each member: {starts}")
    return f"{other.name} leads {took:.2f} s after SIGTERM, the gang finished in its first attempt"


def remaining_processes_stop(cluster):
    remaining = [process for process in cluster.processes if process.is_running()]
    for process in remaining:
        process.terminate()
    statuses = {process.name: process.wait_exit(15) for process in remaining}
    nonzero = {name: status for name, status in statuses.items() if status != 0}
    check(not nonzero, f"exit statuses {nonzero}")
    return f"{len(remaining)} processes, including the stand-ins, exit with 0"


STEPS = [
    ("start", start),
    ("router stops", router_stops),
    ("leading scheduler stops", leader_stops),
    ("all other processes stop at once", remaining_processes_stop),
]

if __name__ == "__main__":
    sys.exit(harness.run_case("graceful stop", STEPS))

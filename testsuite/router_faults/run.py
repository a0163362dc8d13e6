"""Faulty instances: a caller gets the complete response to its own request or a correct outcome.

Guards against responses that reach another caller, non-repeatable requests that run twice, and
outcomes that say "not-run" for a request that ran.
"""

import pathlib
import socket
import struct
import sys
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
from harness import check, http_call, metric, request_headers, run_case, wait_until

SERVICE = "tags"


def set_faults(cluster, **faults):
    for instance in cluster.instances:
        if instance.is_running():
            http_call(instance.address, "POST", "/test/faults", faults)


def send(cluster, request_id, body=b"photo", **options):
    router = cluster.routers[0]
    return http_call(router.address, "POST", f"/{SERVICE}/read", body,
                     request_headers(request_id, "ferraresi", **options), timeout=15)


def check_outcome(answer, status, outcome, reason):
    actual = (answer.status, answer.headers["Briarwind-Outcome"],
              answer.headers["Briarwind-Reason"])
    check(actual == (status, outcome, reason),
          f"expected {status} {outcome} {reason}, got {actual}")


def start(cluster):
    cluster.start_standins()
    cluster.start_instances(SERVICE, ["d1"], 3)
    cluster.publish_hosts()
    cluster.start_routers(1, ["d1"])
    cluster.wait_ready()


def own_response(cluster):
    answer = send(cluster, "whole-1")
    check_outcome(answer, 200, "ok", "answered")
    check(answer.json()["requestId"] == "whole-1", "the response names another request")


def all_invalid_headers(cluster):
    answer = http_call(cluster.routers[0].address, "POST", f"/{SERVICE}/read", b"",
                       {"Briarwind-Deadline-Ms": "0", "Briarwind-Repeatable": "perhaps"})
    check_outcome(answer, 400, "not-run", "bad-header")
    places = sorted(finding["place"] for finding in answer.json()["findings"])
    check(len(places) == 4, f"expected findings for four headers, got {places}")


def faulty_response(fault, reason):
    def step(cluster):
        set_faults(cluster, **{fault: 1})
        answer = send(cluster, f"{fault}-1")
        set_faults(cluster, **{fault: 0})
        check_outcome(answer, 502, "unknown", reason)
        check(cluster.runs().get(f"{fault}-1") == 1, "the request did not run exactly once")
    return step


def duplicated_response(cluster):
    # The second copy of a response may arrive after the first was read and delivered in full. The
    # copy must never reach the next caller, and the router must not reuse the connection.
    set_faults(cluster, doubleEvery=1)
    reasons = []
    for number in range(30):
        request_id = f"double-{number}"
        answer = send(cluster, request_id)
        reason = answer.headers["Briarwind-Reason"]
        reasons.append(reason)
        if reason == "answered":
            check(answer.json()["requestId"] == request_id, "a response reached another caller")
        else:
            check(reason in ("extra-bytes", "foreign"), f"{request_id}: {reason}")
            check_outcome(answer, 502, "unknown", reason)
    set_faults(cluster, doubleEvery=0)
    ran = [cluster.runs().get(f"double-{number}") for number in range(30)]
    check(ran == [1] * 30, f"runs: {ran}")
    check("extra-bytes" in reasons, "the router detected no second copy")
    return f"{reasons.count('extra-bytes')} of 30 copies detected together with the response"


def dropped_before_run(cluster):
    set_faults(cluster, dropBeforeRunEvery=1)
    answer = send(cluster, "before-1")
    set_faults(cluster, dropBeforeRunEvery=0)
    check_outcome(answer, 502, "unknown", "connection-lost")
    check("before-1" not in cluster.runs(), "the request ran")


def dropped_after_run(cluster):
    set_faults(cluster, dropAfterRunEvery=1)
    answer = send(cluster, "after-1")
    set_faults(cluster, dropAfterRunEvery=0)
    check_outcome(answer, 502, "unknown", "connection-lost")
    check(cluster.runs().get("after-1") == 1, "a non-repeatable request did not run exactly once")


def refused_by_all(cluster):
    set_faults(cluster, notRunEvery=1)
    answer = send(cluster, "refused-1")
    set_faults(cluster, notRunEvery=0)
    check_outcome(answer, 503, "not-run", "instance-refused")
    check("refused-1" not in cluster.runs(), "a request with the outcome not-run was run")


def refused_by_some(cluster):
    for instance in cluster.instances[:2]:
        http_call(instance.address, "POST", "/test/faults", {"notRunEvery": 1})
    before = metric(cluster.routers[0].address, "briarwind_router_retries_total")
    for number in range(6):
        check_outcome(send(cluster, f"some-{number}"), 200, "ok", "answered")
    set_faults(cluster, notRunEvery=0)
    after = metric(cluster.routers[0].address, "briarwind_router_retries_total")
    check(after > before, "the retry counter did not increase")
    return f"{after - before:.0f} retries"


def repeatable_retried(cluster):
    # The retry budget is a tenth of the recent successes. Earlier steps have used it up, so these
    # requests refill it.
    for number in range(100):
        check_outcome(send(cluster, f"earn-{number}"), 200, "ok", "answered")
    # An earlier step killed one of the three instances.
    faulty = next(each for each in cluster.instances if each.is_running())
    http_call(faulty.address, "POST", "/test/faults", {"dropAfterRunEvery": 1})
    for number in range(6):
        check_outcome(send(cluster, f"again-{number}", repeatable=True), 200, "ok", "answered")
    set_faults(cluster, dropAfterRunEvery=0)


def late_response(cluster):
    set_faults(cluster, latencyMs=1000)
    began = time.monotonic()
    check_outcome(send(cluster, "late-1", deadline_ms=300), 504, "unknown", "deadline-sent")
    took = time.monotonic() - began
    check(took < 0.9, f"the caller waited {took:.2f} s for a deadline of 0.3 s")
    set_faults(cluster, latencyMs=5)
    for number in range(10):
        request_id = f"next-{number}"
        answer = send(cluster, request_id)
        check_outcome(answer, 200, "ok", "answered")
        check(answer.json()["requestId"] == request_id, "a response reached another caller")
    router = cluster.routers[0].address
    wait_until(lambda: metric(router, "briarwind_router_late_answers_total") >= 1, 3,
               "the late response is counted")


class ResettingTarget:
    """A target that accepts a connection, reads the start of the request and resets it."""

    def __init__(self):
        self._socket = socket.create_server(("127.0.0.1", 0))
        self.address = "127.0.0.1:%d" % self._socket.getsockname()[1]
        threading.Thread(target=self._serve, daemon=True).start()

    def _serve(self):
        while True:
            connection, _ = self._socket.accept()
            connection.recv(1000)
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            connection.close()


def reset_in_body(cluster):
    target = ResettingTarget()
    cluster.hosts.append({"name": "resetting", "kind": "target", "address": target.address,
                          "domain": "d1", "rack": "r", "region": "a", "service": "resets",
                          "state": "live"})
    cluster.publish_hosts()
    router = cluster.routers[0].address
    def call():
        return http_call(router, "POST", "/resets/read", bytes(4_000_000),
                         request_headers("reset-1", "ferraresi"), timeout=15)
    wait_until(lambda: call().status != 404, 5, "the router routes to the service")
    check_outcome(call(), 502, "unknown", "connection-lost")


def killed_in_flight(cluster):
    set_faults(cluster, latencyMs=1500)
    answers = []
    caller = threading.Thread(target=lambda: answers.append(send(cluster, "killed-1")))
    caller.start()
    def running():
        return [i for i in cluster.instances
                if http_call(i.address, "GET", "/test/runs").json()["running"] > 0]
    victim = wait_until(running, 3, "the request is running")[0]
    victim.kill()
    caller.join()
    check_outcome(answers[0], 502, "unknown", "connection-lost")
    set_faults(cluster, latencyMs=5)


def killed_before_request(cluster):
    for number in range(8):
        check_outcome(send(cluster, f"dead-{number}"), 200, "ok", "answered")
    runs = cluster.runs()
    check(all(count == 1 for count in runs.values()),
          f"requests that did not run exactly once: {runs}")


STEPS = [
    ("one router, three instances", start),
    ("a request gets its own response", own_response),
    ("all invalid headers are reported together", all_invalid_headers),
    ("a truncated response is unknown", faulty_response("truncateEvery", "truncated")),
    ("a duplicated response reaches no other caller", duplicated_response),
    ("a response to another request is unknown", faulty_response("foreignEvery", "foreign")),
    ("a connection cut before the run is unknown", dropped_before_run),
    ("a connection cut after the run is unknown and runs once", dropped_after_run),
    ("a request refused by every instance is not-run", refused_by_all),
    ("a request refused by some instances is answered by another", refused_by_some),
    ("a late response reaches no caller", late_response),
    ("a connection reset while the body is sent is unknown", reset_in_body),
    ("a request in flight at a killed instance is unknown", killed_in_flight),
    ("requests after an instance was killed all succeed", killed_before_request),
    ("a repeatable request is retried", repeatable_retried),
]

if __name__ == "__main__":
    sys.exit(run_case("router_faults", STEPS))

"""Faults of instances: the caller gets its own whole answer, or a true outcome."""

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


def expect(answer, status, outcome, reason):
    told = (answer.status, answer.headers["Briarwind-Outcome"], answer.headers["Briarwind-Reason"])
    check(told == (status, outcome, reason), f"expected {status} {outcome} {reason}, got {told}")


def start(cluster):
    cluster.start_standins()
    cluster.start_instances(SERVICE, ["d1"], 3)
    cluster.publish_hosts()
    cluster.start_routers(1, ["d1"])
    cluster.wait_ready()


def whole_answer(cluster):
    answer = send(cluster, "whole-1")
    expect(answer, 200, "ok", "answered")
    check(answer.json()["requestId"] == "whole-1", "the answer names another request")


def all_findings(cluster):
    answer = http_call(cluster.routers[0].address, "POST", f"/{SERVICE}/read", b"",
                       {"Briarwind-Deadline-Ms": "0", "Briarwind-Repeatable": "perhaps"})
    expect(answer, 400, "not-run", "bad-header")
    places = sorted(finding["place"] for finding in answer.json()["findings"])
    check(len(places) == 4, f"four headers are wrong, named are {places}")


def spoiled_answer(fault, reason):
    def step(cluster):
        set_faults(cluster, **{fault: 1})
        answer = send(cluster, f"{fault}-1")
        set_faults(cluster, **{fault: 0})
        expect(answer, 502, "unknown", reason)
        check(cluster.runs().get(f"{fault}-1") == 1, "it ran once")
    return step


def doubled_answer(cluster):
    # The second copy may come after the first was read and handed over whole. It must never reach
    # the next caller, and the connection must not be trusted again.
    set_faults(cluster, doubleEvery=1)
    told = []
    for number in range(30):
        request_id = f"double-{number}"
        answer = send(cluster, request_id)
        reason = answer.headers["Briarwind-Reason"]
        told.append(reason)
        if reason == "answered":
            check(answer.json()["requestId"] == request_id, "an answer went to another caller")
        else:
            check(reason in ("extra-bytes", "foreign"), f"{request_id}: {reason}")
            expect(answer, 502, "unknown", reason)
    set_faults(cluster, doubleEvery=0)
    ran = [cluster.runs().get(f"double-{number}") for number in range(30)]
    check(ran == [1] * 30, f"runs: {ran}")
    check("extra-bytes" in told, "no second copy was noticed")
    return f"{told.count('extra-bytes')} of 30 noticed with the answer"


def dropped_before_run(cluster):
    set_faults(cluster, dropBeforeRunEvery=1)
    answer = send(cluster, "before-1")
    set_faults(cluster, dropBeforeRunEvery=0)
    expect(answer, 502, "unknown", "connection-lost")
    check("before-1" not in cluster.runs(), "it did not run")


def dropped_after_run(cluster):
    set_faults(cluster, dropAfterRunEvery=1)
    answer = send(cluster, "after-1")
    set_faults(cluster, dropAfterRunEvery=0)
    expect(answer, 502, "unknown", "connection-lost")
    check(cluster.runs().get("after-1") == 1, "what is not repeatable ran more than once")


def refused_by_all(cluster):
    set_faults(cluster, notRunEvery=1)
    answer = send(cluster, "refused-1")
    set_faults(cluster, notRunEvery=0)
    expect(answer, 503, "not-run", "instance-refused")
    check("refused-1" not in cluster.runs(), "a request told not-run has run")


def refused_by_some(cluster):
    for instance in cluster.instances[:2]:
        http_call(instance.address, "POST", "/test/faults", {"notRunEvery": 1})
    before = metric(cluster.routers[0].address, "briarwind_router_retries_total")
    for number in range(6):
        expect(send(cluster, f"some-{number}"), 200, "ok", "answered")
    set_faults(cluster, notRunEvery=0)
    after = metric(cluster.routers[0].address, "briarwind_router_retries_total")
    check(after > before, "no retry was counted")
    return f"{after - before:.0f} retries"


def repeatable_again(cluster):
    # Retries are a tenth of the recent successes: the steps before have used them up.
    for number in range(100):
        expect(send(cluster, f"earn-{number}"), 200, "ok", "answered")
    # One of the three was killed by an earlier step.
    faulty = next(each for each in cluster.instances if each.is_running())
    http_call(faulty.address, "POST", "/test/faults", {"dropAfterRunEvery": 1})
    for number in range(6):
        expect(send(cluster, f"again-{number}", repeatable=True), 200, "ok", "answered")
    set_faults(cluster, dropAfterRunEvery=0)


def late_answer(cluster):
    set_faults(cluster, latencyMs=1000)
    began = time.monotonic()
    expect(send(cluster, "late-1", deadline_ms=300), 504, "unknown", "deadline-sent")
    took = time.monotonic() - began
    check(took < 0.9, f"the caller waited {took:.2f} s for a deadline of 0.3 s")
    set_faults(cluster, latencyMs=5)
    for number in range(10):
        request_id = f"next-{number}"
        answer = send(cluster, request_id)
        expect(answer, 200, "ok", "answered")
        check(answer.json()["requestId"] == request_id, "an answer went to another caller")
    router = cluster.routers[0].address
    wait_until(lambda: metric(router, "briarwind_router_late_answers_total") >= 1, 3,
               "the late answer is counted")


class ResettingTarget:
    """Accepts a connection, reads a little of the request and resets it."""

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
    wait_until(lambda: call().status != 404, 5, "the router knows the service")
    expect(call(), 502, "unknown", "connection-lost")


def killed_within(cluster):
    set_faults(cluster, latencyMs=1500)
    answers = []
    caller = threading.Thread(target=lambda: answers.append(send(cluster, "killed-1")))
    caller.start()
    def running():
        return [i for i in cluster.instances
                if http_call(i.address, "GET", "/test/runs").json()["running"] > 0]
    victim = wait_until(running, 3, "the request runs")[0]
    victim.kill()
    caller.join()
    expect(answers[0], 502, "unknown", "connection-lost")
    set_faults(cluster, latencyMs=5)


def killed_before(cluster):
    for number in range(8):
        expect(send(cluster, f"dead-{number}"), 200, "ok", "answered")
    runs = cluster.runs()
    check(all(count == 1 for count in runs.values()), f"something ran more than once: {runs}")


STEPS = [
    ("one router, three instances", start),
    ("a request gets its own answer", whole_answer),
    ("all wrong headers are named together", all_findings),
    ("a truncated answer is unknown", spoiled_answer("truncateEvery", "truncated")),
    ("a doubled answer reaches nobody else", doubled_answer),
    ("an answer to another request is unknown", spoiled_answer("foreignEvery", "foreign")),
    ("a connection cut before the run is unknown", dropped_before_run),
    ("a connection cut after the run is unknown and runs once", dropped_after_run),
    ("refused by every instance is not-run", refused_by_all),
    ("refused by some is answered by another", refused_by_some),
    ("a late answer goes to nobody", late_answer),
    ("a connection reset while the body is sent is unknown", reset_in_body),
    ("an instance killed within the request is unknown", killed_within),
    ("an instance killed before the request costs nobody an answer", killed_before),
    ("a repeatable request is tried again", repeatable_again),
]

if __name__ == "__main__":
    sys.exit(run_case("router_faults", STEPS))

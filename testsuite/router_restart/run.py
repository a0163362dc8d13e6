"""Routers are stopped and killed while requests and idempotency keys are in flight.

Guards against responses to the wrong caller, requests with one idempotency key that run twice, and
requests that a graceful stop interrupts.
"""

import pathlib
import sys
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
from harness import (check, http_call, in_parallel, request_headers, run_case, try_call,
                     wait_until)

SERVICE = "tags"


def send(router, request_id, key=None, timeout=15, **options):
    headers = request_headers(request_id, "ferraresi", **options)
    if key:
        headers["Idempotency-Key"] = key
    return http_call(router.address, "POST", f"/{SERVICE}/read", b"photo", headers, timeout)


def outcome_and_reason(answer):
    return answer.headers["Briarwind-Outcome"], answer.headers["Briarwind-Reason"]


def runs_of(cluster, *request_ids):
    runs = cluster.runs()
    return sum(runs.get(each, 0) for each in request_ids)


def start(cluster):
    cluster.start_standins()
    cluster.start_instances(SERVICE, ["d1"], 6)
    cluster.publish_hosts()
    cluster.start_routers(3, ["d1"])
    for router in cluster.routers:
        router.wait_ready(40)


def no_crossed_responses(cluster):
    def one(number):
        request_id = f"crossed-{number}"
        answer = send(cluster.routers[number % 3], request_id)
        check(outcome_and_reason(answer)[0] == "ok", f"{request_id}: {outcome_and_reason(answer)}")
        check(answer.json()["requestId"] == request_id,
              f"{request_id} got the response to another request")
    in_parallel(one, range(300), threads=24)
    for instance in cluster.instances:
        seen = http_call(instance.address, "GET", "/test/runs").json()
        check(seen["maxRunning"] <= 8, f"{instance.name} ran {seen['maxRunning']} at once")
        check(seen["maxConnections"] <= 64, f"{instance.name}: {seen['maxConnections']}")


def same_key_same_router(cluster):
    first = send(cluster.routers[0], "key-1a", key="k1")
    check(outcome_and_reason(first)[0] == "ok",
          f"the first use of the key: {outcome_and_reason(first)}")
    second = send(cluster.routers[0], "key-1b", key="k1")
    check(outcome_and_reason(second) == ("unknown", "key-repeated"),
          f"the second use: {outcome_and_reason(second)}")
    check(runs_of(cluster, "key-1a", "key-1b") == 1, "the key did not run exactly once")


def same_key_at_once(cluster):
    def one(number):
        return outcome_and_reason(send(cluster.routers[number % 3], f"race-{number}", key="race"))
    outcomes = in_parallel(one, range(6), threads=6)
    check(sum(1 for outcome, _ in outcomes if outcome == "ok") <= 1, f"{outcomes}")
    ran = runs_of(cluster, *[f"race-{number}" for number in range(6)])
    check(ran <= 1, f"the key ran {ran} times")
    return f"{outcomes.count(('ok', 'answered'))} of 6 ran"


def killed_with_key_in_flight(cluster):
    for instance in cluster.instances:
        http_call(instance.address, "POST", "/test/faults", {"latencyMs": 1500})
    victim = cluster.routers[0]
    answers = []
    def call():
        try:
            answers.append(send(victim, "lost-a", key="lost"))
        except OSError as error:
            answers.append(error)
        except Exception as error:  # http.client has its own exceptions for a lost connection
            answers.append(error)
    caller = threading.Thread(target=call)
    caller.start()
    wait_until(lambda: runs_of(cluster, "lost-a") == 1 or any(
        http_call(i.address, "GET", "/test/runs").json()["running"] for i in cluster.instances),
        3, "the request is running")
    victim.kill()
    caller.join()
    check(isinstance(answers[0], Exception), "the client of a killed router got a response")
    outcomes = []
    for number in range(8):
        answer = send(cluster.routers[1 + number % 2], f"lost-{number}", key="lost")
        outcomes.append(outcome_and_reason(answer))
        time.sleep(0.5)
    check(all(outcome == "unknown" for outcome, _ in outcomes), f"{outcomes}")
    time.sleep(1.5)
    ran = runs_of(cluster, "lost-a", *[f"lost-{number}" for number in range(8)])
    check(ran == 1, f"the key ran {ran} times")
    for instance in cluster.instances:
        http_call(instance.address, "POST", "/test/faults", {"latencyMs": 5})
    return ", ".join(sorted({why for _, why in outcomes}))


def graceful_stop(cluster):
    for instance in cluster.instances:
        http_call(instance.address, "POST", "/test/faults", {"latencyMs": 300})
    leaving = cluster.routers[1]
    stop_at = time.monotonic() + 1
    results = []
    def caller(index):
        number = 0
        while time.monotonic() < stop_at + 0.4:
            request_id = f"stop-{index}-{number}"
            number += 1
            results.append((request_id, outcome_and_reason(send(leaving, request_id))))
    callers = [threading.Thread(target=caller, args=(index,)) for index in range(6)]
    for each in callers:
        each.start()
    time.sleep(max(0, stop_at - time.monotonic()))
    leaving.terminate()
    wait_until(lambda: try_call(leaving.address, "GET", "/readyz").status == 503, 1,
               "readiness fails")
    for each in callers:
        each.join()
    check(leaving.wait_exit(10) == 0, "the exit status of the stopped router is not 0")
    failed = [result for result in results if result[1][0] != "ok"]
    check(not failed, f"interrupted by the stop: {failed}")
    check(len(results) > 10, f"only {len(results)} requests were sent")
    return f"{len(results)} requests, none interrupted"


def remaining_router_answers(cluster):
    last = cluster.routers[2]
    for number in range(20):
        answer = send(last, f"over-{number}")
        check(outcome_and_reason(answer)[0] == "ok", f"{outcome_and_reason(answer)}")


STEPS = [
    ("three routers, six instances", start),
    ("300 requests over all routers, no response crossed", no_crossed_responses),
    ("a key used twice through the same router runs once", same_key_same_router),
    ("a key used at the same time through all routers runs once", same_key_at_once),
    ("a router killed with a key in flight: the key runs once", killed_with_key_in_flight),
    ("a graceful stop under load interrupts no request", graceful_stop),
    ("the remaining router answers", remaining_router_answers),
]

if __name__ == "__main__":
    sys.exit(run_case("router_restart", STEPS))

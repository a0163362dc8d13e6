#!/usr/bin/env python3
"""The whole system on loopback: stand-ins, three routers and three schedulers.

Runs each main scenario once, from settings and requests to gang jobs, withdrawals and crashes.
"""

import json
import pathlib
import sys
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))
import harness
from harness import check, http_call, in_parallel, request_headers, wait_until

DOMAINS = ["d1", "d2", "d3"]
# A withdrawn domain gets no start after this time: the freshness bound (2 s) plus the lifetime of a
# reservation (1 s).
WITHDRAWAL_SECONDS = 3
PHOTOS = 60
WHOLE_WORKER = {"accelerators": 8, "cores": 64, "memoryMb": 100000}


def job(job_id, organisation, members, expected_ms, shape=None, **more):
    """Returns a job specification, repeatable by default."""
    return {"id": job_id, "organisation": organisation, "members": members,
            "shape": shape or WHOLE_WORKER, "adjacency": "none", "expectedMs": expected_ms,
            "repeatable": True, "checkpoints": True, "command": "match", **more}


def submit(cluster, specification):
    return cluster.check_ctl("submit", json.dumps(specification))


def wait_members_running(cluster, job_id, members, seconds):
    """Waits until all members of one attempt of the job run on workers; returns their leases."""
    def running():
        found = [lease for worker in cluster.workers
                 for lease in http_call(worker.address, "GET", "/v1/leases").json()["leases"]
                 if lease["job"] == job_id and lease["state"] == "running"]
        attempts = {lease["attempt"] for lease in found}
        return found if len(found) == members and len(attempts) == 1 else None
    return wait_until(running, seconds,
                      f"job {job_id} runs {members} members, but is {cluster.job(job_id)}")


def start_everything(cluster):
    cluster.start_standins()
    cluster.start_workers(DOMAINS, per_domain=3)
    cluster.start_instances("tags", DOMAINS, per_domain=2)
    # Not in the host list. Called directly, it gives the expected digest of a request body.
    cluster.reference = cluster.start(
        "standin-instance", "reference", ["--listen", f"{harness.LOOPBACK}:0"])
    cluster.reference.wait_listening()
    cluster.publish_hosts()
    cluster.start_routers(3, DOMAINS)
    cluster.start_schedulers(3, DOMAINS)
    cluster.wait_ready()
    return f"{len(cluster.processes)} processes, 3 routers and 3 schedulers are ready"


def set_organisations(cluster):
    guarantee = {"name": "pair", "count": 1, "members": 2, "shape": WHOLE_WORKER,
                 "adjacency": "domain"}
    cluster.set("/organisations/ferraresi", {"weight": 2, "guarantees": [guarantee]})
    cluster.set("/organisations/vedacao", {"guarantees": [guarantee]})
    began = time.monotonic()
    cluster.set("/organisations/borrower", {"weight": 1})
    return f"3 organisations, the last in force everywhere after {time.monotonic() - began:.2f} s"


def send_photo(cluster, router, request_id, body, organisation="ferraresi"):
    return http_call(router.address, "POST", "/tags/read", body,
                     request_headers(request_id, organisation))


def check_photo(cluster, request_id, body, answer):
    """Checks that the response is complete and belongs to this request."""
    check(answer.status == 200, f"{request_id} got {answer.status} {answer.body!r}")
    check(answer.headers.get("Briarwind-Outcome") == "ok", f"{request_id}: {answer.headers}")
    check(answer.headers.get("Briarwind-Request-Id") == request_id,
          f"response to another request: {answer.headers}")
    content = answer.json()
    check(content["requestId"] == request_id, f"{request_id} got the response {content}")
    check(content["bytes"] == len(body), f"{request_id}: {content['bytes']} of {len(body)} bytes")
    direct = http_call(cluster.reference.address, "POST", "/read", body).json()
    check(content["digest"] == direct["digest"], f"{request_id}: the body was altered")


def read_photos(cluster):
    photos = [(f"photo-{index}", cluster.photo()) for index in range(PHOTOS)]

    def read(numbered):
        index, (request_id, body) = numbered
        router = cluster.routers[index % len(cluster.routers)]
        check_photo(cluster, request_id, body, send_photo(cluster, router, request_id, body))

    in_parallel(read, enumerate(photos))
    runs = cluster.runs()
    check(all(runs.get(request_id) == 1 for request_id, _ in photos),
          f"not every photo ran exactly once: {runs}")
    megabytes = sum(len(body) for _, body in photos) / 1e6
    return f"{PHOTOS} photos, {megabytes:.0f} MB, each with its own response, each run once"


def run_gangs(cluster):
    gangs = {"gang-a": 2, "gang-b": 3, "gang-c": 4}
    for name, members in gangs.items():
        submit(cluster, job(name, "borrower", members, expected_ms=500))
    for name in gangs:
        cluster.wait_job(name, "finished", 15)
    for name, members in gangs.items():
        started = sorted(s["member"] for s in cluster.starts() if s["job"] == name)
        check(started == list(range(members)) or started == list(range(1, members + 1)),
              f"{name} started the members {started}")
    return f"gangs of {sorted(gangs.values())} finished, every member started once"


def claim_guarantee(cluster):
    filler_jobs = [f"fill-{index}" for index in range(9)]
    for name in filler_jobs:
        submit(cluster, job(name, "borrower", 1, expected_ms=60_000))
    wait_until(lambda: sum(cluster.job(name)["phase"] == "running" for name in filler_jobs) == 9,
               15, "jobs of the borrower fill the cluster")
    began = time.monotonic()
    submit(cluster, job("claim", "ferraresi", 2, expected_ms=2_000, adjacency="domain",
                        guaranteed=True))
    leases = wait_members_running(cluster, "claim", 2, 10)
    took = time.monotonic() - began
    explained = cluster.check_ctl("explain", "claim")
    check(len(explained["evicted"]) >= 2, f"fewer than two evictions: {explained}")
    cluster.wait_job("claim", "finished", 15)
    cluster.filler_jobs = filler_jobs
    return (f"full cluster, {len(leases)} members run {took:.2f} s after the claim, evicted "
            f"{', '.join(explained['evicted'])}")


def cancel_filler_jobs_outside(cluster, domain):
    """Cancels the filler jobs outside the domain, so that those inside can be moved elsewhere."""
    inside = {worker.name for worker in cluster.workers if worker.domain == domain}
    placed = {name: {p["worker"] for p in cluster.job(name)["placements"]}
              for name in cluster.filler_jobs}
    kept = [name for name, workers in placed.items() if workers & inside]
    for name in set(cluster.filler_jobs) - set(kept):
        cluster.check_ctl("cancel", name)
    return kept


def withdraw_domain(cluster):
    kept = cancel_filler_jobs_outside(cluster, "d2")
    check(kept, "no job runs in d2 before its withdrawal")
    cluster.check_ctl("withdraw", "d2", "--wait")
    accepted_ms = time.time() * 1000
    for index in range(4):
        submit(cluster, job(f"during-{index}", "borrower", 1, expected_ms=300,
                            shape={"accelerators": 1, "cores": 1, "memoryMb": 100}))
    time.sleep(WITHDRAWAL_SECONDS + 1.5)
    bound_ms = accepted_ms + WITHDRAWAL_SECONDS * 1000
    late = [s for s in cluster.starts() if s["domain"] == "d2" and s["atMs"] > bound_ms]
    check(not late, f"late starts in the withdrawn domain: {late}")
    others = [s for s in cluster.starts() if s["atMs"] > accepted_ms and s["domain"] != "d2"]
    check(len(others) >= 4, f"too few starts elsewhere while d2 was withdrawn: {others}")
    moved = [name for name in kept if cluster.job(name)["phase"] == "running"]
    check(moved == kept, f"of the jobs in d2, {kept}, only {moved} run elsewhere")
    before = [s["atMs"] for s in cluster.starts() if s["domain"] == "d2"]
    last_start_seconds = (max(before) - accepted_ms) / 1000 if before else None
    return (f"no start in d2 later than {WITHDRAWAL_SECONDS} s after it was accepted, "
            f"the last start there at {last_start_seconds:+.2f} s; {len(moved)} jobs moved, "
            f"{len(others)} starts elsewhere")


def return_domain(cluster):
    for name in cluster.filler_jobs:
        cluster.check_ctl("cancel", name)
    cluster.check_ctl("return", "d2", "--wait")
    returned_ms = time.time() * 1000
    for index in range(9):
        submit(cluster, job(f"after-{index}", "borrower", 1, expected_ms=1_500))
    started = wait_until(
        lambda: [s for s in cluster.starts() if s["domain"] == "d2" and s["atMs"] > returned_ms],
        15, "a start in d2 after its return")
    for index in range(9):
        cluster.wait_job(f"after-{index}", "finished", 20)
    return f"first start in d2 {(started[0]['atMs'] - returned_ms) / 1000:.2f} s after the return"


class Traffic:
    """Sends photos through the given routers in a thread until stopped."""

    def __init__(self, cluster, routers):
        self._cluster = cluster
        self._routers = routers
        self._stop = threading.Event()
        self._thread = threading.Thread(target=self._send)
        self.answered = 0
        self.failure = None
        self._thread.start()

    def _send(self):
        body = self._cluster.photo()
        while not self._stop.is_set():
            request_id = f"traffic-{self.answered}"
            router = self._routers[self.answered % len(self._routers)]
            try:
                check_photo(self._cluster, request_id, body,
                            send_photo(self._cluster, router, request_id, body))
            except Exception as failed:  # raised by stop() in the main thread
                self.failure = failed
                return
            self.answered += 1

    def stop(self):
        self._stop.set()
        self._thread.join()
        if self.failure:
            raise harness.CaseFailed(f"traffic: {self.failure}")


def kill_router_and_scheduler(cluster):
    submit(cluster, job("long", "borrower", 3, expected_ms=6_000, repeatable=False))
    wait_members_running(cluster, "long", 3, 10)
    status = http_call(cluster.schedulers[0].address, "GET", "/v1/status").json()
    leader = next((s for s in cluster.schedulers if s.name == status["member"]), None)
    check(leader is not None, f"no scheduler is the leader: {status}")
    router = cluster.routers[0]
    traffic = Traffic(cluster, cluster.routers[1:])
    router.kill()
    leader.kill()
    killed = time.monotonic()
    try:
        successor = wait_until(
            lambda: next((s["member"] for s in live_statuses(cluster) if s["acting"]), None),
            20, "another scheduler is the leader")
        took = time.monotonic() - killed
        submit(cluster, job("late", "borrower", 2, expected_ms=300))
        cluster.wait_job("late", "finished", 15)
        cluster.wait_job("long", "finished", 15)
    finally:
        traffic.stop()
    long_job = cluster.job("long")
    check(long_job["attempt"] == 1, f"the long job was restarted: {long_job}")
    repeated = {request: runs for request, runs in cluster.runs().items() if runs > 1}
    check(not repeated, f"requests that ran more than once: {repeated}")
    return (f"router1 and the leader {leader.name} killed, {successor} is the leader after "
            f"{took:.2f} s, running gang finished in its first attempt, "
            f"{traffic.answered} photos answered")


def live_statuses(cluster):
    for scheduler in cluster.schedulers:
        if scheduler.is_running():
            answer = harness.try_call(scheduler.address, "GET", "/v1/status", timeout=2)
            if answer is not None and answer.status == 200:
                yield answer.json()


def stop_gracefully(cluster):
    members = [m for m in cluster.routers + cluster.schedulers if m.is_running()]
    for member in members:
        member.terminate()
    statuses = {member.name: member.wait_exit(15) for member in members}
    check(all(status == 0 for status in statuses.values()), f"exit statuses {statuses}")
    return f"{len(members)} processes exit with 0 on SIGTERM"


STEPS = [
    ("start", start_everything),
    ("settings by path", set_organisations),
    ("photos through the routers", read_photos),
    ("gang jobs", run_gangs),
    ("guarantee on a full cluster", claim_guarantee),
    ("domain withdrawn", withdraw_domain),
    ("domain returned", return_domain),
    ("router and scheduler killed", kill_router_and_scheduler),
    ("graceful stop", stop_gracefully),
]

if __name__ == "__main__":
    sys.exit(harness.run_case("whole path", STEPS))

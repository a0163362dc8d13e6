"""The leader is cut off together with a worker that only it can reach.

Its successor must count the worker's leases as lapsed only when nobody renews them any more: two
attempts of one job never run at the same time.
"""

import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))
import harness
from harness import check, http_call, try_call, wait_until
import settings_cases as cases

LEASE_SECONDS = 3
LEADER_SECONDS = 3
# Lapse of the leases, the leader's time to live, election and margins.
TAKEOVER_SECONDS = LEASE_SECONDS + LEADER_SECONDS + 15
JOB = {"id": "cut", "organisation": "o", "members": 2,
       "shape": {"accelerators": 2, "cores": 1, "memoryMb": 1000}, "adjacency": "worker",
       "expectedMs": 40000, "repeatable": True, "command": "match"}


def start_scheduler(cluster, index, host_list):
    peers = ",".join(link for link in cluster.links if link != cluster.links[index])
    scheduler = cluster.start("briarwind-scheduler", f"scheduler{index + 1}", [
        "--listen", cluster.ports.pick(), "--name", f"scheduler{index + 1}",
        "--failure-domain", "d1", "--store", cluster.ways[index].address,
        "--host-list", host_list, "--peers", peers, "--peer-listen", cluster.links[index],
        "--lease-ttl", f"{LEASE_SECONDS}s", "--leader-ttl", f"{LEADER_SECONDS}s",
        "--balancer-lag", "0ms"])
    scheduler.wait_listening()
    scheduler.way = cluster.ways[index]
    return scheduler


def start(cluster):
    """The first scheduler knows worker w1 alone and reaches it directly; the others reach w1 by a
    way that can be cut, and w2."""
    cluster.start_standins()
    cluster.start_workers(["d1"], 2)
    near_list = cluster.start("standin-hostlist", "near", ["--listen", "127.0.0.1:0"])
    near_list.wait_listening()
    http_call(near_list.address, "POST", "/test/hosts", {"hosts": cluster.hosts[:1]})
    cluster.way_to_w1 = cases.Way(cluster.workers[0].address)
    cluster.hosts[0] = {**cluster.hosts[0], "address": cluster.way_to_w1.address}
    cluster.publish_hosts()
    cluster.links = [cluster.ports.pick() for _ in range(3)]
    cluster.ways = [cases.Way(cluster.store.address) for _ in range(3)]
    cluster.schedulers = [start_scheduler(cluster, 0, near_list.address)]
    check(cases.leader_of(cluster) is cluster.schedulers[0], "the first scheduler leads")
    cluster.schedulers += [start_scheduler(cluster, index, cluster.host_list.address)
                           for index in (1, 2)]
    cluster.wait_ready()
    cluster.set("/organisations/o", {"weight": 1})
    answer = http_call(cluster.schedulers[0].address, "POST", "/v1/jobs", JOB)
    check(answer.status == 201, answer.body)
    wait_until(lambda: running_attempts(cluster) == {1}, 10, "the job runs on w1")
    return "scheduler1 leads and runs the job on w1"


def running_attempts(cluster):
    """Attempts of the job that run now, by asking the workers directly."""
    attempts = set()
    for worker in cluster.workers:
        answer = try_call(worker.address, "GET", "/v1/leases", timeout=2)
        attempts |= {lease["attempt"] for lease in answer.json()["leases"]
                     if lease["job"] == JOB["id"] and lease["state"] == "running"}
    return attempts


def cut(cluster):
    cluster.way_to_w1.cut()
    cluster.schedulers[0].way.cut()
    began = time.monotonic()
    ended_first = None
    while running_attempts(cluster) != {2}:
        now = running_attempts(cluster)
        check(len(now) <= 1, f"attempts {now} run at the same time")
        if not now and ended_first is None:
            ended_first = time.monotonic() - began
        check(time.monotonic() - began < TAKEOVER_SECONDS, "no second attempt in time")
        time.sleep(0.02)
    second = time.monotonic() - began
    return f"the first attempt ended after {ended_first:.1f} s, the second ran after {second:.1f} s"


if __name__ == "__main__":
    sys.exit(harness.run_case("cut leader", [("start", start), ("leader and worker cut", cut)]))

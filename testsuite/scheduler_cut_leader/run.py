"""The leader and a worker that only this leader can reach are partitioned from the other members.

The next leader must treat the worker's leases as expired only when nobody renews them any more.
Otherwise two attempts of one job would run at the same time.
"""

import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))
import harness
from harness import check, http_call, try_call, wait_until
import settings_cases as cases

LEASE_SECONDS = 3
LEADER_TTL_SECONDS = 3
# Expiry of the leases, expiry of the leader's lease, then election and margins (15 s).
TAKEOVER_SECONDS = LEASE_SECONDS + LEADER_TTL_SECONDS + 15
JOB = {"id": "cut", "organisation": "o", "members": 2,
       "shape": {"accelerators": 2, "cores": 1, "memoryMb": 1000}, "adjacency": "worker",
       "expectedMs": 40000, "repeatable": True, "command": "match"}


def start_scheduler(cluster, index, host_list):
    peers = ",".join(address for address in cluster.peer_addresses
                     if address != cluster.peer_addresses[index])
    scheduler = cluster.start("briarwind-scheduler", f"scheduler{index + 1}", [
        "--listen", cluster.ports.pick(), "--name", f"scheduler{index + 1}",
        "--failure-domain", "d1", "--store", cluster.store_proxies[index].address,
        "--host-list", host_list, "--peers", peers, "--peer-listen", cluster.peer_addresses[index],
        "--lease-ttl", f"{LEASE_SECONDS}s", "--leader-ttl", f"{LEADER_TTL_SECONDS}s",
        "--balancer-lag", "0ms"])
    scheduler.wait_listening()
    scheduler.store_proxy = cluster.store_proxies[index]
    return scheduler


def start(cluster):
    """Starts three schedulers with different host lists.

    The host list of scheduler1 holds only w1, with its real address. The other schedulers have w1,
    reached through a proxy, and w2.
    """
    cluster.start_standins()
    cluster.start_workers(["d1"], 2)
    leader_host_list = cluster.start("standin-hostlist", "near", ["--listen", "127.0.0.1:0"])
    leader_host_list.wait_listening()
    http_call(leader_host_list.address, "POST", "/test/hosts", {"hosts": cluster.hosts[:1]})
    cluster.w1_proxy = cases.TcpProxy(cluster.workers[0].address)
    cluster.hosts[0] = {**cluster.hosts[0], "address": cluster.w1_proxy.address}
    cluster.publish_hosts()
    cluster.peer_addresses = [cluster.ports.pick() for _ in range(3)]
    cluster.store_proxies = [cases.TcpProxy(cluster.store.address) for _ in range(3)]
    cluster.schedulers = [start_scheduler(cluster, 0, leader_host_list.address)]
    check(cases.leader_of(cluster) is cluster.schedulers[0], "scheduler1 is not the leader")
    cluster.schedulers += [start_scheduler(cluster, index, cluster.host_list.address)
                           for index in (1, 2)]
    cluster.wait_ready()
    cluster.set("/organisations/o", {"weight": 1})
    answer = http_call(cluster.schedulers[0].address, "POST", "/v1/jobs", JOB)
    check(answer.status == 201, answer.body)
    wait_until(lambda: running_attempts(cluster) == {1}, 10, "the job is running on w1")
    return "scheduler1 is the leader, the job is running on w1"


def running_attempts(cluster):
    """Returns the attempts of the job that are running, as the workers report them."""
    attempts = set()
    for worker in cluster.workers:
        answer = try_call(worker.address, "GET", "/v1/leases", timeout=2)
        attempts |= {lease["attempt"] for lease in answer.json()["leases"]
                     if lease["job"] == JOB["id"] and lease["state"] == "running"}
    return attempts


def partition(cluster):
    cluster.w1_proxy.partition()
    cluster.schedulers[0].store_proxy.partition()
    partitioned_at = time.monotonic()
    ended_first = None
    while running_attempts(cluster) != {2}:
        now = running_attempts(cluster)
        check(len(now) <= 1, f"attempts {now} run at the same time")
        if not now and ended_first is None:
            ended_first = time.monotonic() - partitioned_at
        check(time.monotonic() - partitioned_at < TAKEOVER_SECONDS,
              "no second attempt within the takeover time")
        time.sleep(0.02)
    second = time.monotonic() - partitioned_at
    return f"the first attempt ended after {ended_first:.1f} s, the second ran after {second:.1f} s"


if __name__ == "__main__":
    sys.exit(harness.run_case("cut leader", [
        ("start", start), ("leader and worker partitioned", partition)]))

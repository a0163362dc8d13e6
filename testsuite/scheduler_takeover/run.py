"""The leader is killed at each step from reservation to running, and the next leader takes over.

No job is lost, no two attempts of one job run at the same time, and a non-repeatable job starts in
at most one attempt.
"""

import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

from harness import (check, http_call, in_parallel, run_case, try_call,  # noqa: E402
                     wait_until)

DOMAINS = ["d1", "d2"]
MEMBERS = 4
RUN_MS = 1500
SLOW_LATENCY_MS = 300
LEASE_TTL = "2s"
ELECTION_SECONDS = 15


def start(cluster):
    cluster.start_standins()
    cluster.start_workers(DOMAINS, 2, accelerators=4)
    cluster.publish_hosts()
    cluster.start_schedulers(4, DOMAINS, ("--balancer-lag", "0ms", "--lease-ttl", LEASE_TTL))
    cluster.wait_ready()
    cluster.set("/organisations/alpha", {"weight": 1})
    cluster.set("/teams/alpha-one", {"organisation": "alpha"})
    return f"{len(cluster.schedulers)} schedulers, {len(cluster.workers)} workers"


def leader(cluster):
    for scheduler in cluster.schedulers:
        if not scheduler.is_running():
            continue
        answer = try_call(scheduler.address, "GET", "/v1/status",
                          headers={"Briarwind-Forwarded": "1"}, timeout=1)
        if answer is not None and answer.status == 200 and answer.json()["acting"]:
            return scheduler
    return None


def set_worker_latency(cluster, latency_ms):
    for worker in cluster.workers:
        http_call(worker.address, "POST", "/test/faults", {"latencyMs": latency_ms})


def lease_states(cluster, job):
    """Returns the states of the job's leases, read from all workers at about the same time.

    Each worker answers SLOW_LATENCY_MS late. Querying them one after the other takes longer than a
    job stays reserved, so that the state could be missed.
    """
    def states_on(worker):
        answer = try_call(worker.address, "GET", "/v1/leases", timeout=2)
        leases = answer.json()["leases"] if answer else []
        return [lease["state"] for lease in leases if lease["job"] == job]
    found = in_parallel(states_on, cluster.workers, threads=len(cluster.workers))
    return [state for states in found for state in states]


def submit(cluster, job, repeatable):
    spec = {"id": job, "organisation": "alpha", "team": "alpha-one", "members": MEMBERS,
            "shape": {"accelerators": 2, "cores": 4, "memoryMb": 1024}, "adjacency": "none",
            "expectedMs": RUN_MS, "repeatable": repeatable, "command": "match"}
    found = wait_until(lambda: leader(cluster), ELECTION_SECONDS, "a scheduler is the leader")
    answer = http_call(found.address, "POST", "/v1/jobs", spec)
    check(answer.status == 201, f"submission got {answer.status}: {answer.body}")
    return found


def is_reserved(cluster, job):
    return "reserved" in lease_states(cluster, job)


def is_recorded(cluster, job):
    found = cluster.job(job)
    return found is not None and found["state"] == "attempted"


def has_first_start(cluster, job):
    return any(start["job"] == job for start in cluster.starts())


def is_fully_running(cluster, job):
    return lease_states(cluster, job).count("running") == MEMBERS


KILL_POINTS = [("reserved", is_reserved), ("recorded", is_recorded),
               ("first start", has_first_start), ("running", is_fully_running)]


def attempts(cluster, job):
    """Returns the started members of each attempt of the job, by attempt number."""
    found = {}
    for each in cluster.starts():
        if each["job"] == job:
            found.setdefault(each["attempt"], []).append(each["member"])
    return found


def check_final_state(cluster, job, repeatable):
    state = cluster.job_state(job)
    started = attempts(cluster, job)
    for number, members in started.items():
        check(len(members) == len(set(members)),
              f"{job}: attempt {number} started a member twice: {members}")
    if repeatable:
        check(state == "finished", f"{job} ended as {state}")
        check(sorted(started[max(started)]) == list(range(MEMBERS)),
              f"{job}: the last attempt ran with {started[max(started)]}")
    else:
        check(state in ("finished", "unknown"), f"{job} ended as {state}")
        check(len(started) <= 1, f"{job} is not repeatable and ran in several attempts: {started}")
    return f"{state} after {len(started)} started attempt(s)"


def kill_leader_at(point, reached, repeatable):
    def run(cluster):
        job = f"{point.replace(' ', '-')}-{'twice' if repeatable else 'once'}"
        set_worker_latency(cluster, SLOW_LATENCY_MS)
        victim = submit(cluster, job, repeatable)
        wait_until(lambda: reached(cluster, job), 10, f"{job} is {point}", interval=0.01)
        victim.kill()
        set_worker_latency(cluster, 0)
        final_states = ("finished", "unknown", "failed")
        wait_until(lambda: cluster.job_state(job) in final_states, 30,
                   f"{job} reaches a final state, but is {cluster.job(job)}")
        summary = check_final_state(cluster, job, repeatable)
        replace(cluster, victim)
        return summary
    return run


def replace(cluster, killed):
    """Starts a new scheduler with the flags of the killed one."""
    cluster.schedulers.remove(killed)
    replacement = cluster.start("briarwind-scheduler", f"{killed.name}x{time.monotonic_ns()}",
                                killed.arguments)
    replacement.wait_listening()
    replacement.wait_ready()
    cluster.schedulers.append(replacement)


def check_leases_released(cluster):
    def no_lease():
        held = [lease for worker in cluster.workers
                for lease in http_call(worker.address, "GET", "/v1/leases").json()["leases"]
                if lease["state"] in ("reserved", "running")]
        return not held
    wait_until(no_lease, 10, "no worker holds a lease")
    return "no worker holds a lease"


if __name__ == "__main__":
    KILL_STEPS = [(f"killed when {name}, {'repeatable' if repeatable else 'not repeatable'}",
                   kill_leader_at(name, reached, repeatable))
                  for name, reached in KILL_POINTS for repeatable in (True, False)]
    sys.exit(run_case("takeover", [("start", start), *KILL_STEPS,
                                   ("leases released", check_leases_released)]))

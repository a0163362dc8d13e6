"""Measures the resource use of a router and a scheduler as a function of the size of the cluster.

Runs the built programs and the stand-ins on loopback, varies one size at a time, and fits a line
through the points of each metric. Standard library only. Memory and processor time are read from
/proc, bytes from the kernel's counters of each TCP connection (`ss`), call counts from /metrics.
Updates BUILD/capacity/capacity.json and prints the fitted lines.
"""

import argparse
import concurrent.futures
import json
import os
import pathlib
import re
import socket
import subprocess
import sys
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "testsuite"))
import harness
from harness import http_call, metric

DOMAINS = ["d1", "d2", "d3"]
WINDOW_SECONDS = 10
SETTLE_SECONDS = 4
SAMPLE_SECONDS = 0.5
TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")
SMALL_TASK = {"accelerators": 0, "cores": 1, "memoryMb": 100}
WHOLE_WORKER = {"accelerators": 8, "cores": 1, "memoryMb": 100}
GANG_MEMBERS = 32
JOB_MS = 3_600_000


def processor_seconds(pid):
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_SECOND


def memory_mb(pid):
    status = pathlib.Path(f"/proc/{pid}/status").read_text()
    return int(re.search(r"VmRSS:\s+(\d+)", status).group(1)) / 1024


def connection_bytes(pids):
    """Returns the bytes sent and received so far on each connection, by pid."""
    listed = subprocess.run(["ss", "-tinpHO"], capture_output=True, text=True, check=True).stdout
    counted = {pid: {} for pid in pids}
    for line in listed.splitlines():
        owner = re.search(r"pid=(\d+)", line)
        if not owner or int(owner.group(1)) not in counted:
            continue
        sent = re.search(r"bytes_sent:(\d+)", line)
        received = re.search(r"bytes_received:(\d+)", line)
        ends = tuple(line.split()[3:5])
        counted[int(owner.group(1))][ends] = sum(
            int(found.group(1)) for found in (sent, received) if found)
    return counted


def count_bytes(pids, until):
    """Counts bytes by pid until that time; misses connections shorter than one sample."""
    total = {pid: 0 for pid in pids}
    before = connection_bytes(pids)
    while time.monotonic() < until:
        time.sleep(SAMPLE_SECONDS)
        now = connection_bytes(pids)
        for pid in pids:
            total[pid] += sum(count - before[pid].get(ends, 0) for ends, count in now[pid].items())
        before = now
    return total


def counters(process):
    return {"storeCalls": metric(process.address, "briarwind_store_calls_total"),
            "peerMessages": metric(process.address, "briarwind_peer_messages_total"),
            "workerCalls": metric(process.address, "briarwind_scheduler_worker_calls_total")}


def measure(processes):
    """Measures each process over one window."""
    pids = [process.pid for process in processes]
    counted = [counters(process) for process in processes]
    cpu_before = [processor_seconds(pid) for pid in pids]
    started_at = time.monotonic()
    byte_counts = count_bytes(pids, started_at + WINDOW_SECONDS)
    seconds = time.monotonic() - started_at
    figures = []
    for process, before, ran in zip(processes, counted, cpu_before):
        after = counters(process)
        figures.append({
            "memoryMb": memory_mb(process.pid),
            "processorPercent": 100 * (processor_seconds(process.pid) - ran) / seconds,
            "kilobytesPerSecond": byte_counts[process.pid] / seconds / 1000,
            **{f"{name}PerSecond": (after[name] - before[name]) / seconds for name in after}})
    return figures


def mean(figures):
    return {name: sum(each[name] for each in figures) / len(figures) for name in figures[0]}


def fit_line(points, name):
    """Fits a line by least squares: slope, value at size 0 and the largest residual."""
    sizes = [size for size, _ in points]
    values = [figures[name] for _, figures in points]
    mean_size = sum(sizes) / len(sizes)
    mean_value = sum(values) / len(values)
    size_square_sum = sum((size - mean_size) ** 2 for size in sizes)
    slope = sum((s - mean_size) * (v - mean_value) for s, v in zip(sizes, values)) / size_square_sum
    start = mean_value - slope * mean_size
    return {"slope": slope, "atZero": start,
            "offBy": max(abs(v - start - slope * s) for s, v in zip(sizes, values))}


def leader_of(cluster):
    def found():
        for scheduler in cluster.schedulers:
            if metric(scheduler.address, "briarwind_scheduler_is_leader") == 1:
                return scheduler
        return None
    return harness.wait_until(found, 20, "a scheduler is the leader")


def followers_of(cluster):
    leader = leader_of(cluster)
    return [each for each in cluster.schedulers if each is not leader]


class PortPairPicker:
    """Allocates ports below the ephemeral range, each with a free successor."""

    def __init__(self):
        self._next = 20_000 + os.getpid() % 5_000 * 2

    def pick(self):
        while True:
            self._next += 2
            try:
                for port in (self._next, self._next + 1):
                    with socket.socket() as probe:
                        probe.bind((harness.LOOPBACK, port))
            except OSError:
                continue
            return f"{harness.LOOPBACK}:{self._next}"


def start_cluster(build, workers=3, schedulers=0, routers=0, instances=0):
    cluster = harness.Cluster(build)
    cluster.ports = PortPairPicker()
    cluster.__enter__()
    try:
        cluster.start_standins()
        cluster.start_workers(DOMAINS[:1], workers)
        if instances:
            cluster.start_instances("tags", DOMAINS[:1], instances, latency="2ms")
        cluster.publish_hosts()
        if schedulers:
            cluster.start_schedulers(schedulers, DOMAINS)
        if routers:
            cluster.start_routers(routers, DOMAINS)
        for member in cluster.routers + cluster.schedulers:
            member.wait_ready(60)
        if schedulers:
            leader_of(cluster)
            cluster.set("/organisations/o", {"weight": 1})
            cluster.set("/teams/t", {"organisation": "o"})
        time.sleep(SETTLE_SECONDS)
        return cluster
    except BaseException:
        cluster.__exit__(*sys.exc_info())
        raise


def submit(leader, name, members, shape):
    answer = http_call(leader.address, "POST", "/v1/jobs", {
        "id": name, "organisation": "o", "team": "t", "members": members, "shape": shape,
        "adjacency": "none", "expectedMs": JOB_MS, "urgent": False, "guaranteed": False,
        "repeatable": True, "checkpoints": False, "command": "run"})
    harness.check(answer.status == 201,
                  f"submission of job {name} got {answer.status} {answer.body!r}")


def series_scheduler_members(build):
    """Measures a follower and the leader, by the number of schedulers."""
    following, leading = [], []
    for size in (3, 6, 12):
        cluster = start_cluster(build, schedulers=size)
        with cluster:
            leader, others = leader_of(cluster), followers_of(cluster)
            figures = measure([leader, *others])
            leading.append((size, figures[0]))
            following.append((size, mean(figures[1:])))
    return {"follower": following, "leader": leading}


def series_scheduler_workers(build):
    """Measures the idle leader, by the number of workers."""
    points = []
    for size in (10, 40, 120):
        cluster = start_cluster(build, workers=size, schedulers=3)
        with cluster:
            points.append((size, measure([leader_of(cluster)])[0]))
    return {"leader": points}


def series_scheduler_tasks(build):
    """Measures the leader, by running tasks, then by waiting jobs."""
    running, waiting = [], []
    cluster = start_cluster(build, workers=40, schedulers=3)
    with cluster:
        leader = leader_of(cluster)
        tasks = 0
        for size in (0, 640, 1920, 3840):
            while tasks < size:
                submit(leader, f"run-{tasks}", GANG_MEMBERS, SMALL_TASK)
                tasks += GANG_MEMBERS
            harness.wait_until(
                lambda: metric(leader.address, "briarwind_scheduler_jobs{state=\"running\"}")
                * GANG_MEMBERS >= size, 60, f"{size} tasks are running") if size else None
            time.sleep(SETTLE_SECONDS)
            running.append((size, measure([leader])[0]))
        for index in range(40):
            submit(leader, f"full-{index}", 1, WHOLE_WORKER)
        jobs = 0
        for size in (0, 400, 1200, 2400):
            while jobs < size:
                submit(leader, f"wait-{jobs}", 1, WHOLE_WORKER)
                jobs += 1
            time.sleep(SETTLE_SECONDS)
            waiting.append((size, measure([leader])[0]))
    return {"leader, running tasks": running, "leader, waiting jobs": waiting}


def series_router_members(build):
    """Measures an idle router, by the number of routers."""
    points = []
    for size in (2, 4, 8, 16):
        cluster = start_cluster(build, routers=size, schedulers=1, instances=3)
        with cluster:
            points.append((size, mean(measure(cluster.routers))))
    return {"router": points}


def series_router_instances(build):
    """Measures an idle router, by the number of instances."""
    points = []
    for size in (10, 40, 120):
        cluster = start_cluster(build, routers=2, schedulers=1, instances=size)
        with cluster:
            points.append((size, mean(measure(cluster.routers))))
    return {"router": points}


def start_senders(address, rate, seconds, deadline_ms=10000):
    """Starts threads that send requests at a constant total rate; returns the threads."""
    threads = 8
    until = time.monotonic() + seconds

    def run(index):
        due = time.monotonic() + index / rate
        number = 0
        while due < until:
            time.sleep(max(0, due - time.monotonic()))
            number += 1
            http_call(address, "POST", "/tags/read", b"x" * 1000, harness.request_headers(
                f"r{index}-{number}", "o", deadline_ms=deadline_ms))
            due += threads / rate
    runners = [threading.Thread(target=run, args=(index,)) for index in range(threads)]
    for runner in runners:
        runner.start()
    return runners


def series_router_load(build):
    """Measures one router, by requests per second, then by waiting callers."""
    rates, callers = [], []
    cluster = start_cluster(build, routers=1, schedulers=1, instances=10)
    with cluster:
        router = cluster.routers[0]
        for rate in (0, 50, 100, 200):
            runners = start_senders(router.address, rate, WINDOW_SECONDS + 2) if rate else []
            time.sleep(1)
            rates.append((rate, measure([router])[0]))
            for runner in runners:
                runner.join()
        for instance in cluster.instances:
            http_call(instance.address, "POST", "/test/faults", {"latencyMs": 120_000})
        with concurrent.futures.ThreadPoolExecutor(1000) as pool:
            count = 0
            for size in (0, 250, 500, 1000):
                while count < size:
                    pool.submit(harness.try_call, router.address, "POST", "/tags/read",
                                b"x" * 1000, harness.request_headers(
                                    f"c{count}", "o", deadline_ms=100_000), timeout=110)
                    count += 1
                time.sleep(SETTLE_SECONDS)
                callers.append((size, measure([router])[0]))
            router.kill()
    return {"router, requests a second": rates, "router, waiting callers": callers}


def series_changes(build):
    """Measures a follower and a router, by settings changes per second."""
    scheduler, router = [], []
    cluster = start_cluster(build, routers=3, schedulers=3)
    with cluster:
        watched = [followers_of(cluster)[0], cluster.routers[0]]
        for rate in (0, 1, 2, 4):
            stop = threading.Event()

            def change(index, period):
                number = 0
                while not stop.wait(period):
                    number += 1
                    cluster.ctl("set", f"/teams/c{index}",
                                json.dumps({"organisation": "o", "acceleratorQuota": number}))
            runners = [threading.Thread(target=change, args=(index, 1.0)) for index in range(rate)]
            for runner in runners:
                runner.start()
            before = metric(watched[0].address, "briarwind_settings_offers_total")
            started_at = time.monotonic()
            figures = measure(watched)
            done = metric(watched[0].address, "briarwind_settings_offers_total") - before
            size = done / (time.monotonic() - started_at)
            stop.set()
            for runner in runners:
                runner.join()
            scheduler.append((size, figures[0]))
            router.append((size, figures[1]))
    return {"follower": scheduler, "router": router}


SERIES = {"scheduler-members": series_scheduler_members,
          "scheduler-workers": series_scheduler_workers,
          "scheduler-tasks": series_scheduler_tasks,
          "router-members": series_router_members,
          "router-instances": series_router_instances,
          "router-load": series_router_load,
          "changes": series_changes}


def print_series(name, lines):
    for part, points in lines.items():
        print(f"\n{name}: {part}")
        for size, figures in points:
            print(f"  {size:8.4g} " + " ".join(
                f"{key}={value:.4g}" for key, value in figures.items()))
        for key in points[0][1]:
            line = fit_line(points, key)
            print(f"    {key:24} {line['atZero']:10.4g} + {line['slope']:10.4g} x size"
                  f"   off by {line['offBy']:.3g}")
    sys.stdout.flush()


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("build", type=pathlib.Path)
    parser.add_argument("series", nargs="*", choices=[[], *SERIES], default=[])
    options = parser.parse_args()
    folder = options.build / "capacity"
    folder.mkdir(parents=True, exist_ok=True)
    report = folder / "capacity.json"
    results = json.loads(report.read_text()) if report.exists() else {}
    for name in options.series or SERIES:
        results[name] = SERIES[name](options.build)
        print_series(name, results[name])
        report.write_text(json.dumps(results, indent=1))


if __name__ == "__main__":
    main()

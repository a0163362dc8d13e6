"""Measures a router process: added latency, requests per core, memory with many open callers.

Usage: bench_routing.py --build FOLDER. Load stays on loopback and is bounded in count and time.
"""

import argparse
import json
import os
import pathlib
import subprocess
import sys
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "testsuite"))
from harness import Cluster, check, http_call

SERVICE = "tags"
INSTANCES = 4
SLOTS = 8
LATENCY_MS = 20
HALF_LOAD = INSTANCES * SLOTS * 1000 // LATENCY_MS // 2
SECONDS = 8
OPEN_CALLERS = 1000


def run_load(cluster, targets, rate, count, seconds, body_bytes=1024, deadline_ms=10000):
    folder = pathlib.Path(cluster.store.log_path).parent
    mix = folder / "mix.json"
    mix.write_text(json.dumps({"kinds": [{
        "organisation": "bench", "target": f"/{SERVICE}/read", "bodyBytes": body_bytes,
        "deadlineMs": deadline_ms}]}))
    done = subprocess.run(
        [str(cluster.build / "briarwind-load"), "--targets", ",".join(targets), "--rate",
         str(rate), "--count", str(count), "--time", f"{seconds}s", "--open", "2000", "--mix",
         str(mix)], capture_output=True, text=True, timeout=120, check=False)
    check(done.returncode == 0, f"briarwind-load: {done.stdout} {done.stderr}")
    return json.loads(done.stdout)


def processor_seconds(pid):
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def resident_mb(pid):
    for line in pathlib.Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) / 1024
    return 0.0


def start(cluster):
    cluster.start_standins()
    cluster.start_instances(SERVICE, ["d1"], INSTANCES, latency=f"{LATENCY_MS}ms")
    cluster.publish_hosts()
    cluster.start_routers(1, ["d1"])
    cluster.wait_ready()


def measure_added_latency(cluster):
    router = cluster.routers[0]
    count = HALF_LOAD * SECONDS
    instances = [instance.address for instance in cluster.instances]
    direct = run_load(cluster, instances, HALF_LOAD, count, SECONDS)["outcomes"]["ok"]
    before = processor_seconds(router.pid)
    report = run_load(cluster, [router.address], HALF_LOAD, count, SECONDS)
    spent = processor_seconds(router.pid) - before
    routed = report["outcomes"]["ok"]
    print(f"half load, {HALF_LOAD} requests/s of 1 kB for {SECONDS} s, {routed['count']} answered")
    for name in ("p50Ms", "p99Ms"):
        print(f"  {name}: direct {direct[name]:.2f}, routed {routed[name]:.2f}, "
              f"added {routed[name] - direct[name]:.2f}, ratio {routed[name] / direct[name]:.2f}")
    counts = {name: each["count"] for name, each in report["outcomes"].items()}
    print(f"  outcomes {counts}, foreign {report['foreign']}, damaged {report['damaged']}")
    print(f"  router processor time {spent:.2f} s: {report['requests'] / spent:.0f} requests a "
          f"core-second")


def measure_memory(cluster):
    router = cluster.routers[0]
    for instance in cluster.instances:
        http_call(instance.address, "POST", "/test/faults", {"latencyMs": 4000})
    before = resident_mb(router.pid)
    peak = [before]
    done = threading.Event()

    def sample_memory():
        while not done.is_set():
            peak[0] = max(peak[0], resident_mb(router.pid))
            time.sleep(0.05)

    sampler = threading.Thread(target=sample_memory)
    sampler.start()
    report = run_load(cluster, [router.address], OPEN_CALLERS, OPEN_CALLERS, 2, 1024, 5000)
    done.set()
    sampler.join()
    print(f"memory: {before:.1f} MB before, {peak[0]:.1f} MB with {report['requests']} callers "
          f"within 5 s, 1 kB each: "
          f"{(peak[0] - before) * 1024 / report['requests']:.1f} kB a caller")


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--build", required=True)
    options = parser.parse_args()
    with Cluster(options.build) as cluster:
        start(cluster)
        measure_added_latency(cluster)
        measure_memory(cluster)


if __name__ == "__main__":
    main()

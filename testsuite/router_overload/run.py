"""Ten times the capacity of the instances is requested, nearly all of it by one organisation.

Guards against an organisation that starves another one, against crossed or damaged responses and
against requests that run twice.
"""

import json
import pathlib
import subprocess
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
from harness import check, run_case

SERVICE = "tags"
INSTANCES = 4
SLOTS = 8
LATENCY_MS = 200
CAPACITY = INSTANCES * SLOTS * 1000 // LATENCY_MS
SECONDS = 6


def start(cluster):
    cluster.start_standins()
    cluster.start_instances(SERVICE, ["d1"], INSTANCES, latency=f"{LATENCY_MS}ms")
    cluster.publish_hosts()
    cluster.start_routers(1, ["d1"])
    cluster.wait_ready()


def run_load(cluster, rate, kinds):
    folder = pathlib.Path(cluster.store.log_path).parent
    mix = folder / "mix.json"
    mix.write_text(json.dumps({"kinds": kinds}))
    done = subprocess.run(
        [str(cluster.build / "briarwind-load"), "--targets", cluster.routers[0].address,
         "--rate", str(rate), "--count", str(rate * SECONDS), "--time", f"{SECONDS}s",
         "--open", "4000", "--mix", str(mix)], capture_output=True, text=True, timeout=60,
        check=False)
    check(done.returncode == 0, f"briarwind-load: {done.returncode} {done.stdout} {done.stderr}")
    return json.loads(done.stdout)


def kind(name, share, deadline_ms=3000):
    return {"name": name, "share": share, "organisation": name, "deadlineMs": deadline_ms,
            "target": f"/{SERVICE}/read", "bodyBytes": 200}


def flood(cluster):
    # The organisation `quiet` requests a tenth of the capacity, `flood` ten times the capacity.
    report = run_load(cluster, CAPACITY * 10, [kind("flood", 100), kind("quiet", 1)])
    outcomes = report["outcomes"]
    kinds = report["kinds"]
    check(set(outcomes) <= {"ok", "not-run", "unknown"}, f"unexpected outcomes: {outcomes}")
    # A request that starts so late that its response misses the deadline wastes a slot, and its
    # caller gets no result.
    unknown = outcomes.get("unknown", {"count": 0})["count"]
    check(unknown * 100 <= outcomes["ok"]["count"], f"{unknown} outcomes unknown: {outcomes}")
    check(report["foreign"] == 0 and report["damaged"] == 0, "responses were crossed or damaged")
    quiet = kinds["quiet"]
    check("unknown" not in quiet, f"the quiet organisation has unknown outcomes: {quiet}")
    share = quiet.get("ok", 0) / sum(quiet.values())
    check(share >= 0.95, f"the quiet organisation got {share:.0%} of its requests answered")
    return f"quiet {share:.1%} answered, {report['goodPerSecond']:.0f} good/s of {CAPACITY}"


def check_single_runs(cluster):
    runs = cluster.runs()
    repeated = {request: count for request, count in runs.items() if count != 1}
    check(not repeated, f"requests that did not run exactly once: {repeated}")
    return f"{len(runs)} requests ran"


STEPS = [
    ("one router, four instances", start),
    ("one organisation floods, the other keeps its share and its deadlines", flood),
    ("no request ran more than once", check_single_runs),
]

if __name__ == "__main__":
    sys.exit(run_case("router_overload", STEPS))

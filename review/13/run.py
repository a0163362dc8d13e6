"""One client hands in a timed job with many repeats whose first time lies in the past."""

import asyncio
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins-3"))
import kit  # noqa: E402

MINUTE_MS = 60000
ORDINARY_JOBS = 15
# RULES.md, LOST: "for 3 s, a job has nothing running while a task's turn has come".
NOTHING_RUNNING_S = 3.0


def ordinary_job():
    return {"spec": "ordinary", "steps": [{"count": 2, "cpu": 1000, "mem_mb": 256,
                                           "estimate_ms": 500}]}


async def case(cluster, trouble):
    cluster.work["0000000000000001"] = 0.5
    await cluster.start([kit.route("daily"), kit.route("survey")],
                        [{"name": "t1", "api_keys": ["key-1"], "guaranteed": {"gpu": 8}},
                         {"name": "t2", "api_keys": ["key-2"], "guaranteed": {"gpu": 8}}])
    # Every minute, "for ever". Without first_run_ms, occurrence 0 was due in 1970.
    timed = {"spec": "every minute", "repeats": 100_000_000, "interval_ms": MINUTE_MS,
             "steps": [{"count": 1, "cpu": 1000, "mem_mb": 256, "estimate_ms": 500}]}
    if not trouble:
        timed["first_run_ms"] = int(time.time() * 1000) + 2000
    status = await cluster.submit("/survey/00000000000000ff", "key-2", timed)
    cluster.record.line(f"the timed job: {status}")

    accepted = []
    for number in range(ORDINARY_JOBS):
        job = f"{number + 1:016x}"
        cluster.work[job] = 0.5
        if await cluster.submit(f"/daily/{job}", "key-1", ordinary_job()) == 200:
            accepted.append(job)
        await asyncio.sleep(0.7)
    cluster.record.line(f"end of the traffic; {len(accepted)} ordinary jobs accepted")
    await asyncio.sleep(kit.BOUNDS["finish_s"])

    # The 12 minions have 1,536 cores; under half of them are in use whenever this is counted.
    idle_since = {}
    lost = {}
    ends = time.monotonic() + 8
    while time.monotonic() < ends:
        now = time.monotonic()
        used = sum(len(minion.runs) for minion in cluster.minions)
        for job in accepted:
            done = len(cluster.done.get(job, ())) == 2
            if done or cluster.running_tasks(job) or used > 700:
                idle_since.pop(job, None)
            elif now - idle_since.setdefault(job, now) > NOTHING_RUNNING_S:
                lost[job] = True
        await asyncio.sleep(0.05)

    broken = []
    if lost:
        broken.append(f"LOST: {len(lost)} of {len(accepted)} accepted ordinary jobs had nothing "
                      f"running for {NOTHING_RUNNING_S} s, after finish_s, on an idle pool")
    often = [node for node in cluster.nodes if node.own_ends >= 3]
    if len(often) >= 2:
        broken.append("Fault: " + ", ".join(
            f"{node.name} ended {node.own_ends} times ({node.over_memory} times over its memory)"
            for node in often))
    return broken


kit.run_case(FOLDER, 4, 12, case)

"""Large jobs come at once; the record of each is larger than a value of the store may be."""

import asyncio
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins-3"))
import kit  # noqa: E402

LARGE_JOBS = 5
ORDINARY_JOBS = 10
# RULES.md, LOST: "for 3 s, a job has nothing running while a task's turn has come".
NOTHING_RUNNING_S = 3.0
TASK_CPU = 10  # thousandths of a core


async def case(cluster, trouble):
    tasks = 32_000 if trouble else 300
    jobs = {}  # accepted job -> number of its tasks
    await cluster.start([kit.route("batch", 1), kit.route("daily", 1)],
                        [{"name": "t1", "api_keys": ["key-1"], "guaranteed": {"gpu": 8}},
                         {"name": "t2", "api_keys": ["key-2"], "guaranteed": {"gpu": 8}}])
    for number in range(LARGE_JOBS):
        job = f"b{number + 1:015x}"
        cluster.work[job] = 0.5
        body = {"spec": "large", "steps": [{"count": tasks, "cpu": TASK_CPU, "mem_mb": 10,
                                            "estimate_ms": 500}]}
        if await cluster.submit(f"/batch/{job}", "key-2", body) == 200:
            jobs[job] = tasks
        await asyncio.sleep(0.5)
    for number in range(ORDINARY_JOBS):
        job = f"{number + 1:016x}"
        cluster.work[job] = 0.5
        body = {"spec": "ordinary", "steps": [{"count": 2, "cpu": 1000, "mem_mb": 256,
                                               "estimate_ms": 500}]}
        if await cluster.submit(f"/daily/{job}", "key-1", body) == 200:
            jobs[job] = 2
        await asyncio.sleep(0.5)
    cluster.record.line(f"end of the traffic; accepted: {len(jobs)}; values over the limit: "
                        f"{cluster.store.oversized}")
    await asyncio.sleep(kit.BOUNDS["finish_s"])

    # All jobs need 1,600 of the 2,048 cores at most; nothing else runs. "Capacity for it twice
    # over" holds for each: a large one needs 320 cores, an ordinary one 2.
    idle_since = {}
    lost = set()
    ends = time.monotonic() + 8
    while time.monotonic() < ends:
        now = time.monotonic()
        used = sum(len(minion.runs) for minion in cluster.minions) * TASK_CPU / 1000
        for job, count in jobs.items():
            done = len(cluster.done.get(job, ()))
            if done == count or cluster.running_tasks(job) or used > 1000:
                idle_since.pop(job, None)
            elif now - idle_since.setdefault(job, now) > NOTHING_RUNNING_S:
                lost.add(job)
        await asyncio.sleep(0.2)
    cluster.record.line(f"values over the limit in all: {cluster.store.oversized}")
    large = {job for job in lost if job.startswith("b")}
    broken = []
    if large:
        broken.append(f"LOST: {len(large)} accepted large jobs had nothing running for "
                      f"{NOTHING_RUNNING_S} s, after finish_s, on an idle pool")
    if lost - large:
        broken.append(f"LOST: {len(lost - large)} accepted ordinary jobs of another tenant had "
                      f"nothing running for {NOTHING_RUNNING_S} s, after finish_s, on an idle pool")
    return broken


kit.run_case(FOLDER, 4, 16, case)

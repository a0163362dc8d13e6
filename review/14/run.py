"""A client hands in a timed job whose first time is far ahead."""

import asyncio
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins-3"))
import kit  # noqa: E402

END_OF_2199_MS = 7_258_118_399_000
END_OF_9999_MS = 253_402_300_799_000
WATCHED_S = 10


async def case(cluster, trouble):
    await cluster.start([kit.route("daily")],
                        [{"name": "t1", "api_keys": ["key-1"], "guaranteed": {"gpu": 8}}])
    job = "00000000000000aa"
    first = END_OF_9999_MS if trouble else END_OF_2199_MS
    body = {"spec": "not before its time", "repeats": 1, "first_run_ms": first,
            "interval_ms": 60000, "steps": [{"count": 2, "cpu": 1000, "mem_mb": 256,
                                             "estimate_ms": 1000}]}
    status = await cluster.submit(f"/daily/{job}", "key-1", body)
    await asyncio.sleep(WATCHED_S)
    answer = await cluster.request(cluster.nodes[0], "GET", f"/daily/{job}", "key-1")
    early_s = first / 1000 - time.time()
    started = cluster.started_tasks(job)
    if status == 200 and started and early_s * 1000 > kit.BOUNDS["early_ms"]:
        return [f"ORDER: {len(started)} tasks started {early_s / 31_556_952:.0f} years before "
                f"their time; the job is shown as {answer and answer[1].get('state')}"]
    return []


kit.run_case(FOLDER, 3, 4, case)

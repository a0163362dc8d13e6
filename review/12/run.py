"""Answers of the store are lost and late; clients that get no clear answer cancel their jobs."""

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins-3"))
import kit  # noqa: E402

LOST_SHARE = 0.35  # as the site files have platform_lost, how = "late"
LOST_S = 4.5
LATEST_S = 6.0  # of a transaction that is done late
JOBS = 150
WORK_S = 40


async def case(cluster, trouble):
    await cluster.start([kit.route("daily")],
                        [{"name": "t1", "api_keys": ["key-1"], "guaranteed": {"gpu": 8}}])
    cluster.store.on_late = lambda keys: cluster.record.line(f"store: does late {keys}")
    loop = asyncio.get_running_loop()
    cancelled = {}  # job -> time at which its cancelling was acknowledged, and how

    async def client(number):
        """Gives its job up if there is no clear answer, or if it is one of every tenth."""
        job = f"{number + 1:016x}"
        cluster.work[job] = WORK_S
        body = {"spec": "x", "steps": [{"count": 1, "cpu": 1000, "mem_mb": 256,
                                        "estimate_ms": WORK_S * 1000}]}
        nodes = cluster.nodes
        answer = await cluster.request(nodes[number % len(nodes)], "POST", f"/daily/{job}",
                                       "key-1", body)
        status = answer and answer[0]
        if status in (429, 503) or (status == 200 and number % 10):
            return
        for attempt in range(1, 6):
            answer = await cluster.request(nodes[(number + attempt) % len(nodes)], "DELETE",
                                           f"/daily/{job}", "key-1")
            if answer and answer[0] in (200, 410):
                cancelled[job] = (cluster.record.now(), status, answer[0])
                return
            await asyncio.sleep(0.2)

    cluster.store.lost_share = LOST_SHARE if trouble else 0.0
    ends_at = loop.time() + LOST_S
    loop.call_at(ends_at, setattr, cluster.store, "lost_share", 0.0)
    clients = []
    for number in range(JOBS):
        clients.append(asyncio.create_task(client(number)))
        await asyncio.sleep(LOST_S / JOBS)
    await asyncio.gather(*clients)

    # All late transactions are done by then, and a calm stretch of contact_ms, cancel_ms and
    # stop_ms has passed.
    calm_s = sum(kit.BOUNDS[name] for name in ("contact_ms", "cancel_ms", "stop_ms")) / 1000
    await asyncio.sleep(max(0, ends_at + LATEST_S + calm_s + 0.5 - loop.time()))
    broken = []
    for job, (at, posted, how) in cancelled.items():
        running = cluster.running_tasks(job)
        if running and cluster.record.now() - at > calm_s:
            started = cluster.starts[running[0]][-1]
            broken.append(f"UNASKED: {running[0]} runs on; the cancelling of its job was "
                          f"acknowledged with {how} at {at:.3f}, after {posted} to the POST, and "
                          f"it was started at {started:.3f}")
    return broken


kit.run_case(FOLDER, 4, 12, case)

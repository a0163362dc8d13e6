"""A node stands still; clients that get no answer cancel their jobs at other nodes."""

import asyncio
import pathlib
import signal
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins-3"))
import kit  # noqa: E402

NODES = 10
FROZEN_S = 5.0  # as long as `fleetbench kinds` has it; share .1 of the machines
# The platform checks readiness once a second and takes a node out after two misses.
ARRIVE_S = 1.5
JOBS = 10
WORK_S = 40
# As the site files have give_up: share 0.4 leave within x = 900 ms; the others wait for 3 s.
LEAVE_S = 0.9


async def case(cluster, trouble):
    await cluster.start([kit.route("daily")],
                        [{"name": "t1", "api_keys": ["key-1"], "guaranteed": {"gpu": 8}}])
    still, others = cluster.nodes[1], cluster.nodes[:1] + cluster.nodes[2:]
    loop = asyncio.get_running_loop()
    cancelled = {}  # job -> time and status of the acknowledgement, and the POST's status

    async def client(number):
        """Hands a job in, waits for an answer, and cancels the job."""
        job = f"{number + 1:016x}"
        cluster.work[job] = WORK_S
        body = {"spec": "x", "steps": [{"count": 1, "cpu": 1000, "mem_mb": 256,
                                        "estimate_ms": WORK_S * 1000}]}
        answer = await cluster.request(still, "POST", f"/daily/{job}", "key-1", body,
                                       leaves_s=LEAVE_S if number % 5 < 2 else None)
        for attempt in range(5):
            node = others[(number + attempt) % len(others)]
            ended = await cluster.request(node, "DELETE", f"/daily/{job}", "key-1")
            if ended and ended[0] in (200, 410):
                cancelled[job] = (cluster.record.now(), ended[0], answer and answer[0])
                return
            await asyncio.sleep(0.2)

    began = loop.time()
    if trouble:
        still.process.send_signal(signal.SIGSTOP)
        cluster.record.line(f"{still.name}: stands still")
    clients = []
    for number in range(JOBS):
        clients.append(asyncio.create_task(client(number)))
        await asyncio.sleep(ARRIVE_S / JOBS)
    await asyncio.gather(*clients)
    await asyncio.sleep(max(0, began + FROZEN_S - loop.time()))
    if trouble:
        still.process.send_signal(signal.SIGCONT)
        cluster.record.line(f"{still.name}: goes on")

    # A calm stretch of contact_ms, cancel_ms and stop_ms.
    await asyncio.sleep(sum(kit.BOUNDS[name] for name in ("contact_ms", "cancel_ms", "stop_ms"))
                        / 1000 + 0.5)
    broken = []
    for job, (at, how, posted) in cancelled.items():
        said = (f"the cancelling of its job was acknowledged with {how} at {at:.3f}, after {posted} "
                f"to the POST")
        for task in cluster.started_tasks(job):
            started = cluster.starts[task][-1]
            if started - at > kit.BOUNDS["cancel_ms"] / 1000:
                broken.append(f"UNASKED: {task} was started at {started:.3f}; {said}")
            elif task in cluster.running_tasks(job):
                broken.append(f"UNASKED: {task} runs on at {cluster.record.now():.3f}, started at "
                              f"{started:.3f}; {said}")
    return broken


kit.run_case(FOLDER, NODES, 12, case)

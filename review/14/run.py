"""Two tenants choose the same ID for jobs on two queues."""

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins-3"))
import kit  # noqa: E402

TASKS = 3  # of the second tenant's job


async def case(cluster, trouble):
    await cluster.start([kit.route("daily"), kit.route("survey")],
                        [{"name": "t1", "api_keys": ["key-1"], "guaranteed": {"gpu": 8}},
                         {"name": "t2", "api_keys": ["key-2"], "guaranteed": {"gpu": 8}}])
    specs = {}  # task -> specs that minions were told to start it with
    recorded = cluster.on_start

    def on_start(minion, order):
        specs.setdefault(order["task"], set()).add(order["spec"])
        recorded(minion, order)

    cluster.on_start = on_start
    first = "0000000000000001"
    second = first if trouble else "0000000000000002"

    def body(spec, count):
        return {"spec": spec, "steps": [{"count": count, "cpu": 1000, "mem_mb": 256,
                                         "estimate_ms": 1000}]}

    await cluster.submit(f"/daily/{first}", "key-1", body("of t1", 1))
    await asyncio.sleep(4)
    status = await cluster.submit(f"/survey/{second}", "key-2", body("of t2", TASKS))
    await asyncio.sleep(kit.BOUNDS["finish_s"])

    broken = []
    ended = [index for index in range(TASKS)
             if "of t2" in specs.get(f"{second}.0.0.{index}", ())
             and f"{second}.0.0.{index}" in cluster.done.get(second, ())]
    for node in cluster.nodes:
        answer = await cluster.request(node, "GET", f"/survey/{second}", "key-2")
        if status == 200 and answer and answer[1].get("state") == "completed" and \
                len(ended) < TASKS:
            broken.append(f"MIXED: {node.name} shows the job of t2 as completed; {len(ended)} of "
                          f"its {TASKS} tasks have ended so")
    return broken


kit.run_case(FOLDER, 3, 4, case)

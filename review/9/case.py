"""One gang that can never be done keeps a rack of idle minions from all work behind it.

The check is the last sentence on LOST: `finish_s` after the end of the traffic a job has nothing
running for 3 s, while its turn has come, there is capacity for it twice over, and under half of the
service's capacity is in use.
"""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "standins-2"))
import lab  # noqa: E402

HERE = pathlib.Path(__file__).resolve().parent
MINIONS = 8  # one rack
CAPACITY = {"cpu": 128000, "mem_mb": 262144, "gpu": 8}
SMALL = {"cpu": 11000, "mem_mb": 16000, "gpu": 1}
SMALL_TASKS = 2
SMALL_S = 2.0
# A task on each of nine minions, of which there are eight.
POISON = {"count": MINIONS + 1, "cpu": 52000, "mem_mb": 75000, "gpu": 4, "estimate_ms": 11000,
          "gang": True, "anti_affinity": 1}


def route(name, prefix, priority, completion_target_ms):
    return {"name": name, "host": lab.HOST, "prefix": prefix, "kind": "non_idempotent",
            "timeout_ms": 3000, "completion_target_ms": completion_target_ms,
            "priority": priority, "service": "approvals-hub", "attempts": 4, "slack_factor": 3.0,
            "public": False}


async def case(deployment):
    record = deployment.record
    for number in range(MINIONS):
        deployment.minions.append(lab.Minion(
            deployment.store, record, f"i-{number:04x}", "approvals-hub", "zone-1", "r1-0", "a",
            dict(CAPACITY), lambda _: SMALL_S))
    await deployment.open([route("r-match", "/match/", 1, 1000),
                           route("r-render", "/render/", 2, 3000)])

    accepted = []

    async def submit_small(count):
        for _ in range(count):
            job = f"{0x5000 + len(accepted):016x}"
            body = {"spec": "render", "steps": [{"count": SMALL_TASKS, "estimate_ms": 2000,
                                                 **SMALL}]}
            if await deployment.submit(f"/render/{job}", body) != 200:
                raise lab.CannotRun("a job was not accepted")
            accepted.append(job)
            await asyncio.sleep(0.3)

    await submit_small(17)
    if lab.TROUBLE:
        body = {"spec": "match", "steps": [POISON]}
        if await deployment.submit(f"/match/{0xbad:016x}", body) != 200:
            raise lab.CannotRun("the gang was not accepted")
    await asyncio.sleep(1.2)
    await submit_small(3)
    record("end of the traffic")
    await asyncio.sleep(lab.BOUNDS["finish_s"])

    states = {}
    for job in accepted:
        answer = await deployment.client(deployment.nodes[0], "GET", f"/render/{job}")
        states[job] = answer[1].get("state") if answer and answer[0] == 200 else None

    def has_room():
        runs = sum(len(minion.runs) for minion in deployment.minions)
        fits = sum(min((CAPACITY[name] - len(minion.runs) * SMALL[name]) // SMALL[name]
                       for name in SMALL) for minion in deployment.minions)
        under_half = all(2 * runs * SMALL[name] < MINIONS * CAPACITY[name] for name in SMALL)
        return fits >= 2 * SMALL_TASKS and under_half

    open_jobs = {job: has_room for job, state in states.items()
                 if state not in ("completed", "failed", "cancelled")}
    return [f"LOST: job {job} is {states[job]} and has had nothing running for 3 s, with "
            f"{MINIONS} idle minions, {lab.BOUNDS['finish_s']} s after the end of the traffic"
            for job in await deployment.starved(open_jobs)]


lab.run(case, HERE)

"""One failed run of a gang is counted twice across a change of the leader; the job fails too early."""

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins"))

import platform_standins as standins  # noqa: E402

ATTEMPTS = 3
MEMBERS = 2
RUN_SECONDS = 2.5
CUT_SECONDS = 5.4  # the limit is 5.5
RESTART_SECONDS = 1.0  # after a kill; the limit is 3.5
KEY = "key-1"


async def wait_until(condition, seconds, what):
    for _ in range(int(seconds / 0.02)):
        if condition():
            return
        await asyncio.sleep(0.02)
    raise standins.CannotRun(what)


async def case(deployment, record, trouble):
    failed = {}  # task -> attempts that have ended `failed`
    acknowledged = set()  # (task, attempt)
    where = {}  # (task, attempt) -> minion
    present = {}  # attempt -> members of the gang that have been started

    def on_start(minion, task, attempt, body):
        where[(task, attempt)] = minion
        members = present.setdefault(attempt, [])
        members.append((minion, task))
        if len(members) == MEMBERS:
            # The gang works from the moment when all are present, and all end at the same point.
            for each, member in members:
                each.runs[(member, attempt)].begin(each.clock(), int(RUN_SECONDS * 1000))

    def on_end(minion, task, attempt, how):
        if how == "failed":
            failed.setdefault(task, []).append(attempt)

    def on_acknowledged(minion, end):
        acknowledged.add((end[1], end[2]))

    def make_minions(store, note):
        # The job fails twice and would be done in its third run.
        minions = [standins.Minion(store, note, number, lambda task, attempt:
                                   (3600, "failed" if attempt < ATTEMPTS else "done"))
                   for number in range(12)]
        for minion in minions:
            minion.on_start = on_start
            minion.on_end = on_end
            minion.on_acknowledged = on_acknowledged
        return minions

    await deployment.start(
        standins.configuration([("batch", "/batch/", 1, ATTEMPTS)], [("t1", KEY, 8)]),
        make_minions,
        lambda port, note: [standins.Node(number, deployment.folder, port, note)
                            for number in range(3)])
    client = standins.Client(deployment.nodes, record, KEY, "/batch/")
    job = "abc0000000000000"
    body = {"spec": "payload",
            "steps": [{"count": MEMBERS, "cpu": 1000, "mem_mb": 1000, "gpu": 8, "gang": True,
                       "estimate_ms": int(RUN_SECONDS * 1000)}]}
    if not await client.submit(job, body):
        raise standins.CannotRun("the job was not accepted")
    await wait_until(lambda: len(present.get(1, ())) == MEMBERS, 10, "the gang did not start")
    first, second = f"{job}.0.0.0", f"{job}.0.0.1"
    if trouble:
        await asyncio.sleep(1)
        cut = where[(second, 1)]
        cut.cut = True
        record(f"{cut.id} is cut off")
        healing = asyncio.get_running_loop().time() + CUT_SECONDS
        await wait_until(lambda: (first, 1) in acknowledged, 5, "the first end was not acknowledged")
        leader = deployment.leader()
        if leader is None:
            raise standins.CannotRun("no node leads")
        leader.kill()
        client.nodes = [node for node in deployment.nodes if node is not leader]
        await asyncio.sleep(RESTART_SECONDS)
        leader.start()
        await asyncio.sleep(healing - asyncio.get_running_loop().time())
        cut.cut = False
        record(f"{cut.id} is reached again")
    states = await client.wait_for([job], ("failed", "completed"), 40)
    for task, attempts in sorted(failed.items()):
        record(f"{task} has ended failed in attempts {attempts}")
    broken = states[job] == "failed" and all(len(each) < ATTEMPTS for each in failed.values())
    if broken:
        record(f"VIOLATION of LOST: job {job} is shown as failed, but no task has ended failed "
               f"{ATTEMPTS} times")
    return broken


standins.run_case(FOLDER, case)

"""A finished job whose records could not be deleted in time is run again from the beginning."""

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins"))

import platform_standins as standins  # noqa: E402

STATUS_SECONDS = 40
JOBS = 14
OUTAGE_SECONDS = 4.4  # the limit is 4.5
KEY = "key-1"


async def case(deployment, record, trouble):
    done_and_acknowledged = {}  # task -> attempt whose end `done` was acknowledged
    violations = []

    def on_start(minion, task, attempt, body):
        if task in done_and_acknowledged:
            line = (f"{task} attempt {attempt} is started on {minion.id}, but attempt "
                    f"{done_and_acknowledged[task]} has ended done and was acknowledged")
            record("VIOLATION of TWICE: " + line)
            violations.append(line)

    def on_acknowledged(minion, end):
        if end[3] == "done":
            done_and_acknowledged[end[1]] = end[2]

    def make_minions(store, note):
        minions = [standins.Minion(store, note, number, lambda task, attempt: (0.8, "done"))
                   for number in range(6)]
        for minion in minions:
            minion.on_start = on_start
            minion.on_acknowledged = on_acknowledged
        return minions

    await deployment.start(
        standins.configuration([("batch", "/batch/", 1, 3)], [("t1", KEY, 8)]), make_minions,
        lambda port, note: [standins.Node(number, deployment.folder, port, note,
                                          status_s=STATUS_SECONDS) for number in range(3)])
    first_removal = asyncio.Event()
    deployment.store.on_delete = lambda key: first_removal.set() if jobs[0] in key else None

    client = standins.Client(deployment.nodes, record, KEY, "/batch/")
    jobs = [f"{0xabc0000000000000 + number:016x}" for number in range(JOBS)]
    body = {"spec": "payload", "steps": [{"count": 1, "cpu": 1000, "mem_mb": 1000, "gpu": 1,
                                          "estimate_ms": 800}]}
    for job in jobs:
        if not await client.submit(job, body):
            raise standins.CannotRun("a job was not accepted")
        await asyncio.sleep(0.6)
    states = await client.wait_for(jobs, ("completed",), 15)
    if any(state != "completed" for state in states.values()):
        raise standins.CannotRun(f"not all jobs completed: {states}")

    # The system drops jobs some time after `status_s`. The outage begins 2.5 s after it dropped the
    # first one, so that others are due meanwhile.
    await asyncio.wait_for(first_removal.wait(), 75)
    await asyncio.sleep(2.5)
    if trouble:
        deployment.store.set_busy(True)
        await asyncio.sleep(OUTAGE_SECONDS)
        deployment.store.set_busy(False)
    else:
        await asyncio.sleep(OUTAGE_SECONDS)
    for _ in range(24):
        for job in jobs:
            await client.state(job)
        await asyncio.sleep(0.25)
    return bool(violations)


standins.run_case(FOLDER, case)

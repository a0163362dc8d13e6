#!/usr/bin/env python3
"""Odd entries in the registry of workers end no process and hide no other worker.

Another writer leaves entries that are deeply nested, hold numbers or ports out of range, or cannot
be read at all. Every host goes on, the leader finds a worker that registers later, and the entries
are counted and logged once.
"""

import argparse
import asyncio
import json
import os
import pathlib
import sys
import tempfile
import urllib.request

ROOT = pathlib.Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT / "platform" / "soak"))

import soak  # noqa: E402
import standins  # noqa: E402
import web  # noqa: E402

LATE_LABEL = "late"
FIRST_JOB = "0dd0000000000001"
SECOND_JOB = "0dd0000000000002"
JOB_SECONDS = 15  # a worker is found within a second, a task takes up to about 4 s
LOG_LINES = 4  # two writes of odd entries, each read by a leader in at most two steps
COMPLETE = {"service": "pool", "address": "127.0.0.1:9", "zone": "z1", "version": "v1", "slots": 8,
            "state": "ready", "cold_remaining_ms": 0,
            "capacity": {"cpu": 64000, "mem_mb": 64000, "gpu": 8}, "labels": ["a", "r1-0"],
            "clock_ms": 1000, "sequence": 1, "born": 1_700_000_000_000}
MAX_INT64 = (1 << 63) - 1


def entry(**changes):
    return json.dumps({**COMPLETE, **changes})


def replaced(name, text):
    """The complete entry with the JSON text `text` as the value of `name`."""
    return entry(**{name: "@"}).replace('"@"', text)


def odd_entries():
    """Name and value of entries that describe no worker."""
    capacity = COMPLETE["capacity"]
    return {
        "nested": replaced("slots", "[" * 100_000 + "]" * 100_000),
        "nested-objects": replaced("labels", '{"a":' * 40_000 + "1" + "}" * 40_000),
        "unclosed": "[" * 100_000,
        "infinite": replaced("born", "1e999"),
        "infinite-clock": replaced("clock_ms", "-1e999"),
        "long-number": replaced("clock_ms", "9" * 4_000),
        "port-65536": entry(address="127.0.0.1:65536"),
        "port-0": entry(address="127.0.0.1:0"),
        "port-long": entry(address="127.0.0.1:" + "9" * 40),
        "port-negative": entry(address="127.0.0.1:-1"),
        "port-none": entry(address="127.0.0.1"),
        "capacity-huge": entry(capacity={**capacity, "cpu": MAX_INT64, "mem_mb": MAX_INT64}),
        "capacity-negative": entry(capacity={**capacity, "cpu": -MAX_INT64}),
        "accelerators-huge": entry(capacity={**capacity, "gpu": MAX_INT64}),
        "accelerators-negative": entry(capacity={**capacity, "gpu": -8}),
        "clock-negative": entry(clock_ms=-MAX_INT64),
        "clock-huge": entry(clock_ms=MAX_INT64),
        "born-fraction": entry(born=0.5),
        "remaining-huge": entry(state="draining", remaining_ms=MAX_INT64),
        "remaining-negative": entry(state="draining", remaining_ms=-MAX_INT64),
        "empty": "",
        "half": entry()[:60],
        "list": "[1]",
        "line\r\nX-Odd: 1": entry(),
    }


class Case:
    def __init__(self, program, folder):
        options = soak.parse_options(["--program", program, "--hosts", "2", "--workers", "2"])
        self.soak = soak.Soak(options, folder)

    def put_odd_entries(self):
        entries = odd_entries()
        for name, value in entries.items():
            self.soak.store.put(f"servers/{name}", value)
        return len(entries)

    async def add_worker(self, label):
        worker = standins.Worker(self.soak.fleet, len(self.soak.fleet.workers))
        worker.rack = label  # the last label
        worker.address = f"127.0.0.1:{await worker.start()}"
        self.soak.fleet.workers.append(worker)
        worker.register()
        asyncio.create_task(worker.run_loop())

    async def submit(self, job, label):
        body = {"spec": "payload", "steps": [{"count": 1, "gpu": 1, "cpu": 1000, "mem_mb": 1000,
                                              "estimate_ms": 2000, "requires": label}]}
        self.soak.jobs[job] = body
        headers = {"Host": soak.HOST_HEADER, "Authorization": f"Token {soak.KEY}",
                   "X-Deadline-Ms": "2000", "Content-Type": "application/json"}
        answer = await web.call(self.soak.hosts[0].caller_port, "POST", soak.PREFIX + job, headers,
                                body, 2.5)
        check(answer is not None and answer[0] == 200, f"job {job} was not accepted: {answer}")
        self.soak.accepted[job] = soak.PREFIX

    async def completes(self, job):
        for _ in range(JOB_SECONDS * 10):
            if await self.soak.state(job) == "completed":
                return True
            await asyncio.sleep(0.1)
        return False

    def check_alive(self, when):
        for host in self.soak.hosts:
            check(host.process.poll() is None,
                  f"{host.name} has ended with {host.process.returncode} {when}")

    async def unreadable_entries(self):
        counts = []
        for host in self.soak.hosts:
            text = await asyncio.to_thread(read_metrics, host.peer_port)
            counts += [float(line.split()[-1]) for line in text.splitlines()
                       if line.startswith("briarwind_node_registry_unreadable_entries")]
        return counts

    async def run(self):
        await self.soak.start()
        try:
            count = self.put_odd_entries()
            await self.add_worker(LATE_LABEL)
            await self.submit(FIRST_JOB, LATE_LABEL)
            check(await self.completes(FIRST_JOB),
                  "no task ran on the worker that registered after the odd entries")
            self.check_alive("after the odd entries were written")
            check(count in await self.unreadable_entries(),
                  f"{await self.unreadable_entries()} entries are counted, expected {count}")
            self.put_odd_entries()
            await self.submit(SECOND_JOB, "r1-0")
            check(await self.completes(SECOND_JOB), "no task ran on the other workers")
            self.check_alive("after the odd entries were written again")
            lines = sum(host.log.read_text(errors="replace").count("registry.unreadable-entries")
                        for host in self.soak.hosts)
            check(1 <= lines <= LOG_LINES, f"{lines} lines about odd entries")
            check(not self.soak.fleet.violations, f"violations: {self.soak.fleet.violations}")
        finally:
            for host in self.soak.hosts:
                host.kill()


def read_metrics(port):
    with urllib.request.urlopen(f"http://127.0.0.1:{port}/metrics", timeout=2) as answer:
        return answer.read().decode()


def check(holds, what):
    if not holds:
        print(f"FAILED: {what}", flush=True)
        raise SystemExit(1)


def main():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--build", required=True, type=pathlib.Path)
    options = parser.parse_args()
    with tempfile.TemporaryDirectory() as folder:
        case = Case(str(options.build.resolve() / "briarwind-node"), pathlib.Path(folder))
        status = 0
        try:
            asyncio.new_event_loop().run_until_complete(case.run())
            print("odd entries of the registry: passed", flush=True)
        except SystemExit as failed:
            status = failed.code if isinstance(failed.code, int) else 1
    # Exits without waiting for the connections of the stand-ins, which are still open.
    os._exit(status)


if __name__ == "__main__":
    main()

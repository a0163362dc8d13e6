"""Stand-ins of the platform for the cases of the review: store, minions, clients and nodes.

They follow PROTOCOL.md. The HTTP server, client and proxy are those of platform/soak.
"""

import asyncio
import base64
import json
import os
import pathlib
import random
import shlex
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import urllib.parse

REPOSITORY = pathlib.Path(__file__).resolve().parents[2]
sys.path.insert(0, str(REPOSITORY / "platform" / "soak"))

import web  # noqa: E402  (needs the path above)

HOST_HEADER = "jobs.example"
# Length of a page of a listing; the pages of PROTOCOL.md hold about 500 items.
PAGE_ITEMS = 500


class CannotRun(Exception):
    """The case could not be carried out; says nothing about the rule."""


class Record:
    """Writes one line for each event to record.txt, with the seconds since the start."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.begun = time.monotonic()

    def now(self):
        return time.monotonic() - self.begun

    def __call__(self, what):
        print(f"{self.now():8.3f} {what}", file=self.file, flush=True)


class Store:
    """The metadata store: items with revisions, transactions, leases and watches."""

    ANSWER_SECONDS = 0.004

    def __init__(self, record):
        self.record = record
        self.items = {}
        self.history = []
        self.revision = 1
        self.leases = {}  # id -> [seconds left, ttl in seconds]
        self.next_lease = 1
        self.changed = asyncio.Event()
        self.busy = False  # every call is answered with 503: nothing was done
        self.on_delete = lambda key: None

    def set_busy(self, busy):
        self.busy = busy
        self.record(f"store {'answers every call with 503' if busy else 'serves again'}")
        self._wake()

    def put(self, key, value, lease=0):
        self._apply([(key, value, lease)], [])

    def remove(self, key):
        self._apply([], [key])

    def _wake(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def _apply(self, writes, deletes):
        self.revision += 1
        for key, value, lease in writes:
            created = self.items[key]["created"] if key in self.items else self.revision
            self.items[key] = {"key": key, "value": value, "revision": self.revision,
                               "created": created, "lease": lease}
            self.history.append((self.revision, self.items[key]))
        for key in deletes:
            if self.items.pop(key, None):
                self.history.append((self.revision, {"key": key, "revision": self.revision,
                                                     "tombstone": True}))
                self.on_delete(key)
        self._wake()

    async def run_leases(self):
        """Leases run from the arrival of the call; they pause while the store is down."""
        last = time.monotonic()
        while True:
            await asyncio.sleep(0.02)
            now = time.monotonic()
            passed, last = now - last, now
            if self.busy:
                continue
            for lease, entry in list(self.leases.items()):
                entry[0] -= passed
                if entry[0] <= 0:
                    self._end_lease(lease)

    def _end_lease(self, lease):
        self.leases.pop(lease, None)
        keys = [key for key, item in self.items.items() if item["lease"] == lease]
        if keys:
            self._apply([], keys)

    async def handle(self, request):
        name = request.path.split("/")[1]
        if name != "kv-watch":
            await asyncio.sleep(self.ANSWER_SECONDS)
        if self.busy:
            return 503, {}
        return await getattr(self, "_" + name.replace("-", "_"))(request)

    @staticmethod
    def _encoded(item):
        if "value" not in item:
            return item
        return {**item, "value": base64.b64encode(item["value"].encode()).decode()}

    async def _kv_key(self, request):
        item = self.items.get(urllib.parse.unquote(request.argument("key")))
        return (200, {**self._encoded(item), "as_of": self.revision}) if item else (404, {})

    async def _kv_range(self, request):
        prefix = urllib.parse.unquote(request.argument("prefix"))
        after = urllib.parse.unquote(request.argument("after"))
        keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
        page = [self._encoded(self.items[key]) for key in keys[:PAGE_ITEMS]]
        return 200, {"items": page, "has_more": len(keys) > PAGE_ITEMS, "as_of": self.revision}

    async def _kv_watch(self, request):
        prefix = urllib.parse.unquote(request.argument("prefix"))
        after = int(request.argument("after"))
        ends = time.monotonic() + int(request.argument("wait_ms")) / 1000
        while True:
            if self.busy:
                return 503, {}
            events = [self._encoded(item) for revision, item in self.history
                      if revision > after and item["key"].startswith(prefix)]
            left = ends - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "as_of": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except TimeoutError:
                pass

    async def _kv_txn(self, request):
        body = request.json()
        expect = body.get("expect", [])
        if any(row["key"].startswith(("op/", "servers/"))
               for row in body.get("writes", [])):
            return 403, {}
        if any(self.items.get(row["key"], {}).get("revision", 0) != row["revision"]
               for row in expect):
            current = [self._encoded(self.items[row["key"]]) for row in expect
                       if row["key"] in self.items]
            return 412, {"items": current}
        writes = [(row["key"], base64.b64decode(row["value"]).decode(), row.get("lease", 0))
                  for row in body.get("writes", [])]
        if any(lease and lease not in self.leases for _, _, lease in writes):
            return 404, {}
        self._apply(writes, body.get("deletes", []))
        return 200, {"revision": self.revision}

    async def _kv_lease(self, request):
        seconds = max(request.json()["ttl_ms"], 1000) / 1000
        lease = self.next_lease
        self.next_lease += 1
        self.leases[lease] = [seconds, seconds]
        return 200, {"lease": lease, "ttl_ms": int(seconds * 1000)}

    async def _kv_keep(self, request):
        entry = self.leases.get(int(request.path.split("/")[2]))
        if entry is None:
            return 404, {}
        entry[0] = entry[1]
        return 200, {"ttl_ms": int(entry[1] * 1000)}

    async def _kv_lease_end(self, request):
        self._end_lease(int(request.path.split("/")[2]))
        return 200, {}


class Run:
    """One run of a task; all times are on the minion's clock, in milliseconds."""

    def __init__(self, begun, work, how):
        self.how = how  # how it ends
        self.stopped = 0  # when a stop was ordered; 0: none was
        self.begin(begun, work)

    def begin(self, begun, work):
        self.begun = begun
        self.ends = begun + work

    def percent(self, clock):
        """The whole percentage of the work that is done."""
        return max(0, min(99, 100 * (clock - self.begun) // max(1, self.ends - self.begun)))


class Minion:
    """Runs tasks under leases and fencing tokens, and lists their ends until they are acknowledged.

    behaviour(task, attempt) returns (seconds of work, how the run ends).
    """

    HEARTBEAT_SECONDS = 1.5
    SILENT_HEARTBEATS = 3  # after as many the entry is removed, unless the store is down
    RACK = 8  # minions a rack
    STOP_SECONDS = 0.1
    MAX_HOLD_MS = 10_000

    def __init__(self, store, record, number, behaviour, zone="z1", gpu=8):
        self.store = store
        self.record = record
        self.id = f"i-{number:04x}"
        self.behaviour = behaviour
        self.zone = zone
        self.labels = ["a", f"r1-{number // self.RACK}"]  # its kind and its rack
        self.gpu = gpu
        self.address = ""
        self.begun = time.monotonic()
        self.born = int(time.time() * 1000)
        self.fencing_token = 0
        self.lease_until = 0
        self.runs = {}  # (task, attempt) -> Run
        self.ended = []
        self.highest = {}  # task -> highest attempt that was stopped or has ended
        self.last_number = 0
        self.sequence = 0
        self.lapsed = set()  # numbers of ends that were not acknowledged when the lease lapsed
        self.run_ended = asyncio.Event()
        self.on_start = lambda minion, task, attempt, body: None
        self.on_end = lambda minion, task, attempt, how: None
        self.on_acknowledged = lambda minion, end: None
        self.cut = False  # partitioned: calls are neither carried out nor answered

    def clock(self):
        return int((time.monotonic() - self.begun) * 1000)

    async def start(self):
        server = await web.serve(self.handle)
        self.address = f"127.0.0.1:{web.port_of(server)}"
        self.register()

    def register(self):
        self.sequence += 1
        self.store.put(f"servers/{self.id}", json.dumps({
            "service": "pool", "address": self.address, "zone": self.zone, "version": "v1",
            "slots": 8, "state": "ready", "cold_remaining_ms": 0,
            "capacity": {"cpu": 128000, "mem_mb": 262144, "gpu": self.gpu},
            "labels": self.labels, "clock_ms": self.clock(), "sequence": self.sequence,
            "born": self.born}))

    async def run(self):
        last_heartbeat = time.monotonic()
        next_heartbeat = last_heartbeat + self.HEARTBEAT_SECONDS
        while True:
            await asyncio.sleep(random.uniform(0.002, 0.01))
            clock = self.clock()
            if self.lease_until < clock:
                self.lapsed.update(end[0] for end in self.ended)
            for (task, attempt), run in list(self.runs.items()):
                if self.lease_until < clock:
                    self._end(task, attempt, "lapsed")
                elif clock >= run.ends and (not run.stopped or run.ends <= run.stopped):
                    self._end(task, attempt, run.how)
                elif run.stopped and clock >= run.stopped + self.STOP_SECONDS * 1000:
                    self._end(task, attempt, "stopped")
            if time.monotonic() >= next_heartbeat:
                next_heartbeat += self.HEARTBEAT_SECONDS
                if not self.store.busy and not self.cut:
                    last_heartbeat = time.monotonic()
                    self.register()
            silent = time.monotonic() - last_heartbeat
            if silent > self.SILENT_HEARTBEATS * self.HEARTBEAT_SECONDS and not self.store.busy:
                self.store.remove(f"servers/{self.id}")

    def _end(self, task, attempt, how):
        self.runs.pop((task, attempt))
        self.highest[task] = max(self.highest.get(task, 0), attempt)
        self.last_number += 1
        self.ended.append([self.last_number, task, attempt, how, ""])
        self.record(f"{self.id}: {task} attempt {attempt} has ended: {how}")
        self.on_end(self, task, attempt, how)
        self.run_ended.set()
        self.run_ended = asyncio.Event()

    def _lists(self):
        running = [[task, attempt, "", run.percent(self.clock()), 0]
                   for (task, attempt), run in self.runs.items()]
        return {"clock_ms": self.clock(), "born": self.born, "running": running,
                "finished": [list(end) for end in self.ended[:500]]}

    async def handle(self, request):
        if self.cut:
            await asyncio.sleep(3600)
        if request.headers.get("x-target-instance", self.id) != self.id:
            return 421, {}
        body = request.json()
        if body["fencing_token"] < self.fencing_token:
            return 409, {"clock_ms": self.clock(), "reason": "fence"}
        self.fencing_token = body["fencing_token"]
        if request.path == "/run-start":
            return self._start(body)
        if request.path == "/run-stop":
            return self._stop(body)
        return await self._hold(body)

    def _extend(self, until):
        self.lease_until = max(self.lease_until, min(until, self.clock() + self.MAX_HOLD_MS))

    def _start(self, body):
        task, attempt, clock = body["task"], body["attempt"], self.clock()
        if (task, attempt) in self.runs:
            return 200, {"clock_ms": clock}
        if attempt <= self.highest.get(task, 0):
            self._extend(body["until_ms"])
            return 409, {"clock_ms": clock, "reason": "old"}
        if body["until_ms"] < clock:
            return 409, {"clock_ms": clock, "reason": "late"}
        self._extend(body["until_ms"])
        seconds, how = self.behaviour(task, attempt)
        self.record(f"{self.id}: start of {task} attempt {attempt}, token {body['fencing_token']}")
        self.runs[(task, attempt)] = Run(clock, int(seconds * 1000), how)
        self.on_start(self, task, attempt, body)
        return 200, {"clock_ms": clock}

    def _stop(self, body):
        task, attempt = body["task"], body["attempt"]
        self.highest[task] = max(self.highest.get(task, 0), attempt)
        run = self.runs.get((task, attempt))
        if run is not None and not run.stopped:
            self.record(f"{self.id}: stop of {task} attempt {attempt}")
            run.stopped = self.clock()
        return 200, {"clock_ms": self.clock()}

    async def _hold(self, body):
        if body.get("until_ms"):
            self._extend(body["until_ms"])
        for end in [end for end in self.ended if end[0] <= body["acked_through"]]:
            self.ended.remove(end)
            self.record(f"{self.id}: end of {end[1]} attempt {end[2]} is acknowledged")
            # An end counts as taken note of unless the lease lapsed before its acknowledgement.
            if end[0] not in self.lapsed:
                self.on_acknowledged(self, end)
        wait = body.get("wait_ms", 0) / 1000
        if wait and not self.ended:
            try:
                await asyncio.wait_for(self.run_ended.wait(), wait)
            except TimeoutError:
                pass
            if self.cut:
                await asyncio.sleep(3600)
        return 200, self._lists()


def deployed_command():
    """The command of the deploy file's role."""
    with open(REPOSITORY / "deploy" / "system.toml", "rb") as file:
        roles = tomllib.load(file)["roles"]
    return shlex.split(next(iter(roles.values()))["run"])


def free_ports(count):
    """Ports below the range from which outgoing connections get theirs."""
    ports = []
    while len(ports) < count:
        port = random.randrange(12_000, 32_000)
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
        if port not in ports:
            ports.append(port)
    return ports


class Node:
    """One process of the system, started with the command of the deploy file."""

    def __init__(self, number, folder, store_port, record, zone="z1", status_s=120):
        self.name = f"edge-{zone}-{number}"
        self.record = record
        self.log = folder / f"{self.name}.log"
        self.settings_path = folder / f"{self.name}.json"
        self.front, self.readiness, self.peers = free_ports(3)
        self.settings_path.write_text(json.dumps({
            "node_name": self.name, "role": "briarwind-node", "machine_class": "edge",
            "serves": ["edge"], "ip": "127.0.0.1", "zone": zone, "region": "r",
            "zones": {"z1": "r", "z2": "r"},
            "listen": {"front": f"127.0.0.1:{self.front}",
                       "readiness": f"127.0.0.1:{self.readiness}"},
            "port_range": [self.peers, self.peers], "seeds": [], "bootstrap": True,
            "limits": {"cpu_share": 0.25, "cores": 1, "memory_mb": 260, "max_fds": 4100,
                       "link_mbps": 1000.0, "disk_mb": 0},
            "data_dir": None, "discovery": "platform", "entry": "vip", "heartbeat_ms": 1500,
            "bounds": {"seed_lag_s": 3, "contact_ms": 3000, "ack_timeout_ms": 4000,
                       "drain_ms": 2000, "grace_s": 6, "loss_slack_ms": 200,
                       "config_apply_ms": 2000, "max_hold_ms": 10000, "stop_ms": 400,
                       "gang_timeout_ms": 3000, "cancel_ms": 3000, "visible_ms": 3000,
                       "early_ms": 250, "finish_s": 14, "status_s": status_s,
                       "remote_factor": 3, "checkpoint_s": 0.5, "restore_ms": 600,
                       "lease_ms": 3000, "reclaim_ms": 2900},
            "control_mode": "rpc",
            "platform": {"address": f"127.0.0.1:{store_port}", "form": "kv", "writes_per_s": 400,
                         "reads_per_s": 2000, "history_s": 20, "value_bytes": 1048576,
                         "min_ttl_ms": 1000}}))
        self.process = None

    def start(self):
        kept = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        with self.log.open("ab") as out:
            self.process = subprocess.Popen(deployed_command(), cwd=REPOSITORY, stdout=out,
                                            stderr=out, stdin=subprocess.DEVNULL,
                                            env={**kept,
                                                 "BRIARWIND_SETTINGS": str(self.settings_path)})
        self.record(f"{self.name} is started")

    def send(self, number):
        self.record(f"{self.name} gets {signal.Signals(number).name}")
        self.process.send_signal(number)

    def kill(self):
        if self.process is not None and self.process.poll() is None:
            self.record(f"{self.name} is killed")
            self.process.kill()
            self.process.wait()

    async def ready(self):
        answer = await web.call(self.readiness, "GET", "/readyz", seconds=1)
        return answer is not None and answer[0] == 200


class Client:
    """Calls of one tenant. Retries at another node, as PROTOCOL.md says of clients."""

    def __init__(self, nodes, record, key, prefix, deadline_ms=3000):
        self.nodes = nodes
        self.record = record
        self.prefix = prefix
        self.deadline_ms = deadline_ms
        self.headers = {"Host": HOST_HEADER, "Authorization": f"Token {key}",
                        "X-Deadline-Ms": str(deadline_ms), "Content-Type": "application/json"}

    async def call(self, node, method, path, body=None):
        answer = await web.call(node.front, method, self.prefix + path, self.headers, body,
                                self.deadline_ms / 1000)
        self.record(f"client: {method} {self.prefix}{path} at {node.name} -> {answer}")
        return answer

    async def submit(self, job, body, tries=5):
        for attempt in range(tries):
            answer = await self.call(self.nodes[attempt % len(self.nodes)], "POST", job, body)
            if answer is not None and 200 <= answer[0] < 300:
                return True
            await asyncio.sleep(0.2)
        return False

    async def state(self, job):
        for node in self.nodes:
            answer = await self.call(node, "GET", job)
            if answer is not None and answer[0] == 200:
                return answer[1]["state"]
            if answer is not None and answer[0] == 410:
                return "unknown"
        return "unreadable"

    async def wait_for(self, jobs, states, seconds):
        """Polls until every job has one of the states; returns the states last seen."""
        ends = time.monotonic() + seconds
        seen = {job: "" for job in jobs}
        while time.monotonic() < ends:
            for job in jobs:
                if seen[job] not in states:
                    seen[job] = await self.state(job)
            if all(state in states for state in seen.values()):
                break
            await asyncio.sleep(0.25)
        return seen


def configuration(queues, tenants, version=1):
    """queues: rows of name, prefix, priority, attempts. tenants: rows of name, key, GPUs."""
    return json.dumps({
        "version": version,
        "routes": [{"name": name, "host": HOST_HEADER, "prefix": prefix, "service": "pool",
                    "priority": priority, "attempts": attempts, "slack_factor": 3.0,
                    "completion_target_ms": 1000, "timeout_ms": 3000}
                   for name, prefix, priority, attempts in queues],
        "services": [{"name": "pool", "enforces_capacity": False, "max_conns": 64}],
        "limits": {"max_body_bytes": 262144},
        "tenants": [{"name": name, "api_keys": [key], "guaranteed": {"gpu": gpus}}
                    for name, key, gpus in tenants]})


class Deployment:
    """Store, minions and nodes of one case."""

    def __init__(self, folder, record):
        self.folder = folder
        self.record = record
        self.store = Store(record)
        self.store_port = 0
        self.minions = []
        self.nodes = []

    async def start(self, config, minions, nodes):
        if not (REPOSITORY / deployed_command()[0]).exists():
            raise CannotRun("the program of the deploy file is not built")
        self.store_port = web.port_of(await web.serve(self.store.handle))
        self.tasks = [asyncio.create_task(self.store.run_leases())]
        self.store.put("op/config", config)
        self.minions = minions(self.store, self.record)
        for minion in self.minions:
            await minion.start()
            self.tasks.append(asyncio.create_task(minion.run()))
        self.nodes = nodes(self.store_port, self.record)
        for node in self.nodes:
            node.start()
        for _ in range(100):
            ready = [await node.ready() for node in self.nodes]
            if all(ready) and self.leader() is not None:
                self.record(f"all nodes are ready, {self.leader().name} leads")
                await asyncio.sleep(1.0)
                return
            await asyncio.sleep(0.1)
        raise CannotRun("the nodes did not become ready")

    def leader(self):
        """The node that last wrote to the store under a condition and holds the lease there."""
        for key, item in self.store.items.items():
            if item["lease"] and item["lease"] in self.store.leases:
                for node in self.nodes:
                    if f'127.0.0.1:{node.peers}"' in item["value"]:
                        return node
        return None

    def stop(self):
        for node in self.nodes:
            node.kill()


def run_case(folder, case):
    """Runs case(deployment, record, trouble) and exits with its verdict: True is broken."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(pathlib.Path(folder) / "record.txt")
    record(f"{'with' if trouble else 'without'} the disruption")

    async def run(scratch):
        deployment = Deployment(pathlib.Path(scratch), record)

        def give_up(*_):
            deployment.stop()
            os._exit(2)

        signal.signal(signal.SIGTERM, give_up)
        signal.signal(signal.SIGINT, give_up)
        try:
            async with asyncio.timeout(115):
                return await case(deployment, record, trouble)
        finally:
            deployment.stop()

    verdict = 2
    with tempfile.TemporaryDirectory() as scratch:
        try:
            broken = asyncio.new_event_loop().run_until_complete(run(scratch))
            verdict = 1 if broken else 0
            record("the rule was broken" if broken else "the rule held")
        except CannotRun as reason:
            record(f"the case could not run: {reason}")
        except (TimeoutError, OSError) as reason:
            record(f"the case could not run: {reason!r}")
        if os.environ.get("KEEP"):
            subprocess.run(["cp", "-r", scratch, os.environ["KEEP"]], check=False)
    print(("held", "broken", "could not run")[verdict])
    sys.stdout.flush()
    # Open connections of the stand-ins need no orderly end.
    os._exit(verdict)

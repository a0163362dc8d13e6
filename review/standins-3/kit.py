"""Stand-ins for the platform's store, minions and clients, and the processes under test.

Everything listens on loopback addresses. One asyncio loop runs all stand-ins.
"""

import asyncio
import base64
import json
import os
import pathlib
import resource
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
HOST = "jobs.example"

# Bounds of the site ferraresi-briar, which the settings of each process carry.
BOUNDS = {
    "seed_lag_s": 3, "contact_ms": 3000, "ack_timeout_ms": 4000, "drain_ms": 2000, "grace_s": 6,
    "loss_slack_ms": 200, "config_apply_ms": 2000, "rollback_slack_ms": 250, "evacuate_ms": 5000,
    "recovery_s": 12, "max_hold_ms": 10000, "stop_ms": 200, "gang_timeout_ms": 3000,
    "cancel_ms": 3000, "visible_ms": 3000, "early_ms": 250, "finish_s": 14, "status_s": 120,
    "checkpoint_s": 2, "restore_ms": 100, "require_fencing": True, "lease_ms": 3000,
}
# Where the sheet of zwd-meter-grown differs, of the bounds above and of the machines.
ZWD_BOUNDS = {
    "contact_ms": 4000, "ack_timeout_ms": 6000, "drain_ms": 3000, "config_apply_ms": 3000,
    "recovery_s": 15, "max_hold_ms": 6000, "stop_ms": 900, "gang_timeout_ms": 4000,
    "cancel_ms": 4000, "restore_ms": 600,
}
MEMORY_MB = 260
VALUE_BYTES = 1048576
HEARTBEAT_S = 1.5
IDLE_S = 5.0  # minions close connections that are idle for so long


class CannotRun(Exception):
    """The case could not be set up; the exit status is 2."""


class Record:
    """record.txt: what was sent, answered and run."""

    def __init__(self, folder):
        self.file = open(pathlib.Path(folder) / "record.txt", "w", encoding="utf-8")
        self.began = time.monotonic()

    def now(self):
        return time.monotonic() - self.began

    def line(self, text):
        self.file.write(f"{self.now():8.3f} {text}\n")
        self.file.flush()


# ---- HTTP ------------------------------------------------------------------------------------


async def read_message(reader):
    first = await reader.readline()
    if not first:
        return None
    headers = {}
    while True:
        field = await reader.readline()
        if field in (b"\r\n", b"\n", b""):
            break
        name, _, value = field.decode("latin-1").partition(":")
        headers[name.strip().lower()] = value.strip()
    length = int(headers.get("content-length", "0"))
    body = await reader.readexactly(length) if length else b""
    return first.decode("latin-1").split(), headers, body


async def serve(handler, writers=None, idle_s=60.0):
    """Serves on a free port; handler(method, path, query, headers, body) gives (status, object).

    The open connections are kept in `writers`, if given. One that is idle for `idle_s` is closed.
    """
    writers = set() if writers is None else writers

    async def connection(reader, writer):
        writers.add(writer)
        try:
            while message := await asyncio.wait_for(read_message(reader), idle_s):
                (method, target, _), headers, body = message
                if writer not in writers:  # went silent, see Minion.power_cycle
                    await asyncio.sleep(3600)
                path, _, query = target.partition("?")
                arguments = dict(urllib.parse.parse_qsl(query, keep_blank_values=True))
                status, answer = await handler(method, path, arguments, headers, body)
                if writer not in writers:
                    await asyncio.sleep(3600)
                text = json.dumps(answer).encode()
                writer.write(f"HTTP/1.1 {status} x\r\nContent-Type: application/json\r\n"
                             f"Content-Length: {len(text)}\r\n\r\n".encode() + text)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        except TimeoutError:
            if writer not in writers:
                await asyncio.sleep(3600)
        finally:
            writers.discard(writer)
            writer.close()

    server = await asyncio.start_server(connection, "127.0.0.1", 0, limit=1 << 20, backlog=1024)
    return server, server.sockets[0].getsockname()[1]


async def call(port, method, path, headers=None, body=None, seconds=4.0):
    """Returns (status, object), or None without a complete answer in time."""
    writer = None
    try:
        async with asyncio.timeout(seconds):
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            text = json.dumps(body).encode() if body is not None else b""
            lines = [f"{method} {path} HTTP/1.1", f"Content-Length: {len(text)}",
                     "Content-Type: application/json"]
            lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + text)
            message = await read_message(reader)
            if message is None:
                return None
            first, _, answer = message
            return int(first[1]), json.loads(answer) if answer else {}
    except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
        return None
    finally:
        if writer is not None:
            writer.close()


# ---- the platform's store ----------------------------------------------------------------------


class Store:
    def __init__(self):
        self.items = {}
        self.leases = {}
        self.history = []
        self.revision = 1
        self.next_lease = 1
        self.changed = asyncio.Event()
        self.oversized = 0  # transactions refused because of a value over VALUE_BYTES
        self.port = 0

    async def start(self):
        self.server, self.port = await serve(self.handle)
        asyncio.create_task(self._expire_leases())

    def put(self, key, value):
        self._apply([(key, value.encode(), 0)], [])

    def remove(self, key):
        self._apply([], [key])

    def _apply(self, writes, deletes):
        self.revision += 1
        for key, value, lease in writes:
            created = self.items[key]["created"] if key in self.items else self.revision
            item = {"key": key, "value": base64.b64encode(value).decode(),
                    "revision": self.revision, "created": created, "lease": lease}
            self.items[key] = item
            self.history.append((self.revision, key, item))
        for key in deletes:
            if self.items.pop(key, None):
                gone = {"key": key, "revision": self.revision, "tombstone": True}
                self.history.append((self.revision, key, gone))
        event, self.changed = self.changed, asyncio.Event()
        event.set()

    async def _expire_leases(self):
        while True:
            await asyncio.sleep(0.02)
            for lease, (ends, _) in list(self.leases.items()):
                if ends < time.monotonic():
                    self._end_lease(lease)

    def _end_lease(self, lease):
        self.leases.pop(lease, None)
        keys = [key for key, item in self.items.items() if item["lease"] == lease]
        if keys:
            self._apply([], keys)

    async def handle(self, method, path, arguments, headers, body):
        await asyncio.sleep(0.004)  # the sheet's time for an answer
        call_name = path.split("/")[1].replace("-", "_")
        return await getattr(self, "_" + call_name)(path, arguments,
                                                    json.loads(body) if body else {})

    async def _kv_key(self, path, arguments, body):
        item = self.items.get(arguments["key"])
        return (200, {**item, "as_of": self.revision}) if item else (404, {})

    async def _kv_range(self, path, arguments, body):
        prefix, after = arguments["prefix"], arguments.get("after", "")
        keys = sorted(key for key in self.items if key.startswith(prefix) and key > after)
        page, size = [], 0
        for key in keys:
            if len(page) == 500 or (page and size > 1000000):
                break
            page.append(self.items[key])
            size += len(self.items[key]["value"])
        return 200, {"items": page, "has_more": len(page) < len(keys), "as_of": self.revision}

    async def _kv_watch(self, path, arguments, body):
        prefix, after = arguments["prefix"], int(arguments["after"])
        ends = time.monotonic() + int(arguments["wait_ms"]) / 1000
        while True:
            changed = self.changed
            events = [item for revision, key, item in self.history
                      if revision > after and key.startswith(prefix)]
            left = ends - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "as_of": self.revision}
            try:
                await asyncio.wait_for(changed.wait(), left)
            except TimeoutError:
                pass

    async def _kv_txn(self, path, arguments, body):
        expect, writes = body.get("expect", []), body.get("writes", [])
        deletes = body.get("deletes", [])
        if len(expect) + len(writes) + len(deletes) > 32:
            return 400, {}
        decoded = [(row["key"], base64.b64decode(row["value"]), row.get("lease", 0))
                   for row in writes]
        if any(len(value) > VALUE_BYTES for _, value, _ in decoded):
            self.oversized += 1
            return 400, {}
        if any(self.items.get(row["key"], {}).get("revision", 0) != row["revision"]
               for row in expect):
            return 412, {"items": [self.items[row["key"]] for row in expect
                                   if row["key"] in self.items]}
        if any(lease and lease not in self.leases for _, _, lease in decoded):
            return 404, {}
        self._apply(decoded, deletes)
        return 200, {"revision": self.revision}

    async def _kv_lease(self, path, arguments, body):
        milliseconds = body["ttl_ms"]
        self.next_lease += 1
        self.leases[self.next_lease] = (time.monotonic() + milliseconds / 1000, milliseconds)
        return 200, {"lease": self.next_lease, "ttl_ms": milliseconds}

    async def _kv_keep(self, path, arguments, body):
        lease = int(path.split("/")[2])
        if lease not in self.leases:
            return 404, {}
        milliseconds = self.leases[lease][1]
        self.leases[lease] = (time.monotonic() + milliseconds / 1000, milliseconds)
        return 200, {"ttl_ms": milliseconds}

    async def _kv_lease_end(self, path, arguments, body):
        self._end_lease(int(path.split("/")[2]))
        return 200, {}


# ---- minions -----------------------------------------------------------------------------------


class Minion:
    """One minion: fencing token, lease on its own clock, runs, and ends that are not forgotten.

    A task works for `work_s` of the job that it belongs to; see Cluster.work_s.
    """

    def __init__(self, cluster, number, labels):
        self.cluster = cluster
        self.id = f"i-{number:010x}"
        self.zone = f"z{number % 2 + 1}"
        self.labels = labels
        self.capacity = {"cpu": 128000, "mem_mb": 262144, "gpu": 8}
        self.state = "ready"
        self.dark = False
        self._forget()
        self.leaves_at = 0.0
        self.gone = False
        self.writers = set()

    def _forget(self):
        """A new incarnation holds and knows nothing of before, and its counts start anew."""
        self.began = time.monotonic()
        self.born = int(time.time() * 1000)
        self.token = 0
        self.lease_until = 0
        self.runs = {}  # (task, attempt) -> [time of its end, stopping, time of its start]
        self.ends = []
        self.last_end = 0
        self.highest = {}
        self.ended = asyncio.Event()
        self.lapsed_ends = set()  # ends since which the lease has lapsed
        self.sequence = 0

    async def power_cycle(self, dark_s):
        """Loses power and starts again under its id and at its address.

        Connections of before stay silent for good, and so do those opened while it is dark.
        """
        self.dark = True
        self.cluster.record.line(f"minion {self.id}: loses power with "
                                 f"{[task for task, _ in self.runs]}")
        self.writers.clear()
        self._forget()
        await asyncio.sleep(dark_s)
        self.writers.clear()
        self._forget()
        self.dark = False
        self.cluster.record.line(f"minion {self.id}: starts again, born {self.born}")
        self.register()

    def clock(self):
        return int((time.monotonic() - self.began) * 1000)

    async def start(self):
        self.server, self.port = await serve(self.handle, self.writers, IDLE_S)
        self.register()
        asyncio.create_task(self._heartbeats())
        asyncio.create_task(self._work())

    def register(self):
        self.sequence += 1
        entry = {
            "service": "pool", "address": f"127.0.0.1:{self.port}", "zone": self.zone,
            "version": "v1", "slots": 8, "state": self.state, "cold_remaining_ms": 0,
            "sequence": self.sequence, "capacity": self.capacity, "labels": self.labels,
            "machine": f"m-{self.id}", "clock_ms": self.clock(), "born": self.born}
        if self.state == "draining":
            entry["remaining_ms"] = max(0, int((self.leaves_at - time.monotonic()) * 1000))
        self.cluster.store.put(f"servers/{self.id}", json.dumps(entry))

    async def leave(self, after_s):
        """Reports that it drains, serves on for that time, and exits."""
        self.state = "draining"
        self.leaves_at = time.monotonic() + after_s
        self.register()
        self.cluster.record.line(f"minion {self.id}: drains")
        await asyncio.sleep(after_s)
        self.gone = True
        for key in list(self.runs):
            self.cluster.record.line(f"minion {self.id}: {key[0]} is cut off")
        self.runs.clear()
        self.cluster.store.remove(f"servers/{self.id}")
        self.cluster.minions.remove(self)
        self.server.close()
        for writer in list(self.writers):
            writer.close()
        self.cluster.record.line(f"minion {self.id}: has left")

    async def _heartbeats(self):
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            if self.gone:
                return
            if not self.dark:
                self.register()

    async def _work(self):
        while not self.gone:
            await asyncio.sleep(0.02)
            self._note_lapse()
            now, clock = time.monotonic(), self.clock()
            for key, (ends, stopping, _) in list(self.runs.items()):
                if self.lease_until < clock:
                    self._end(key, "lapsed")
                elif now >= ends:
                    self._end(key, "stopped" if stopping else "done")

    def _end(self, key, how):
        task, attempt = key
        del self.runs[key]
        self.highest[task] = max(self.highest.get(task, 0), attempt)
        self.last_end += 1
        self.ends.append([self.last_end, task, attempt, how, ""])
        self.cluster.on_end(self, task, attempt, how)
        event, self.ended = self.ended, asyncio.Event()
        event.set()

    async def handle(self, method, path, arguments, headers, body):
        if self.dark:
            await asyncio.sleep(3600)
        if headers.get("x-target-instance", self.id) != self.id:
            return 421, {}
        order = json.loads(body)
        if order.get("fencing_token", 0) < self.token:
            return 409, {"clock_ms": self.clock(), "reason": "fence"}
        self.token = order.get("fencing_token", 0)
        if path == "/run-start":
            return self._start(order)
        if path == "/run-stop":
            return self._stop(order)
        if path == "/hold":
            return await self._hold(order)
        return 200, {"clock_ms": self.clock()}

    def _start(self, order):
        key, clock = (order["task"], order["attempt"]), self.clock()
        if key in self.runs:
            return 200, {"clock_ms": clock}
        if order["attempt"] <= self.highest.get(order["task"], 0):
            return 409, {"clock_ms": clock, "reason": "old"}
        if order["until_ms"] < clock:
            return 409, {"clock_ms": clock, "reason": "late"}
        self._extend(order["until_ms"])
        now = time.monotonic()
        self.runs[key] = [now + self.cluster.work_s(order["task"]), False, now]
        self.cluster.on_start(self, order)
        return 200, {"clock_ms": clock}

    def _stop(self, order):
        task, attempt = order["task"], order["attempt"]
        self.highest[task] = max(self.highest.get(task, 0), attempt)
        if (task, attempt) in self.runs:
            self.runs[(task, attempt)][:2] = [time.monotonic() + 0.05, True]
        return 200, {"clock_ms": self.clock()}

    def _extend(self, until_ms):
        latest = self.clock() + BOUNDS["max_hold_ms"]
        self.lease_until = max(self.lease_until, min(until_ms, latest))

    def _note_lapse(self):
        if self.lease_until < self.clock():
            self.lapsed_ends.update(end[0] for end in self.ends)

    async def _hold(self, order):
        self._note_lapse()
        if "until_ms" in order:
            self._extend(order["until_ms"])
        for number, task, attempt, how, _ in self.ends:
            if number <= order["acked_through"] and number not in self.lapsed_ends:
                self.cluster.on_noted(self, task, attempt, how, number, order["acked_through"])
        self.ends = [end for end in self.ends if end[0] > order["acked_through"]]
        if not self.ends and order.get("wait_ms"):
            try:
                await asyncio.wait_for(self.ended.wait(), min(order["wait_ms"], 2000) / 1000)
            except TimeoutError:
                pass
        now = time.monotonic()
        running = [[task, attempt, "", int(100 * (now - began) / max(ends - began, now - began)), 0]
                   for (task, attempt), (ends, _, began) in self.runs.items()]
        return 200, {"clock_ms": self.clock(), "born": self.born, "running": running,
                     "finished": self.ends[:500]}


# ---- the system's processes --------------------------------------------------------------------


def deployed_command():
    with open(REPOSITORY / "deploy" / "system.toml", "rb") as file:
        role = tomllib.load(file)["roles"]["briarwind-node"]
    command = shlex.split(role["run"])
    if not (REPOSITORY / command[0]).exists():
        raise CannotRun(f"{command[0]} is not built")
    return command


def free_ports(count):
    sockets = [socket.socket() for _ in range(count)]
    for each in sockets:
        each.bind(("127.0.0.1", 0))
    ports = [each.getsockname()[1] for each in sockets]
    for each in sockets:
        each.close()
    return ports


class Node:
    """One process of the deploy file. Like the platform, kills it over memory_mb and restarts it."""

    def __init__(self, cluster, number):
        self.cluster = cluster
        self.name = f"edge-{number}"
        self.front, self.ready_port, self.control, self.peers = free_ports(4)
        self.log = cluster.folder / f"{self.name}.log"
        self.settings = cluster.folder / f"{self.name}.json"
        self.process = None
        self.over_memory = 0  # how often it was killed as it was over its memory
        self.own_ends = 0
        self.stopping = False
        self.settings.write_text(json.dumps({
            "node_name": self.name, "role": "briarwind-node", "machine_class": "edge",
            "serves": ["edge"], "ip": "127.0.0.1", "zone": f"z{number % 2 + 1}", "region": "r",
            "zones": {"z1": "r", "z2": "r"},
            "listen": {"front": f"127.0.0.1:{self.front}",
                       "readiness": f"127.0.0.1:{self.ready_port}",
                       "control": f"127.0.0.1:{self.control}"},
            "port_range": [self.peers, self.peers], "seeds": [], "bootstrap": True,
            "limits": {"cpu_share": 0.25, "cores": 1, "memory_mb": MEMORY_MB,
                       "max_fds": cluster.max_fds,
                       "link_mbps": 1000.0, "disk_mb": 0},
            "data_dir": None, "discovery": "platform", "entry": "vip", "heartbeat_ms": 1500,
            "bounds": BOUNDS, "control_mode": "rpc",
            "platform": {"address": f"127.0.0.1:{cluster.store.port}", "form": "kv",
                         "writes_per_s": 400, "reads_per_s": 2000, "history_s": 20,
                         "value_bytes": VALUE_BYTES, "min_ttl_ms": 1000}}))

    def start(self):
        limit = self.cluster.max_fds
        with self.log.open("ab") as out:
            self.process = subprocess.Popen(
                deployed_command(), cwd=REPOSITORY, stdout=out, stderr=out,
                preexec_fn=lambda: resource.setrlimit(resource.RLIMIT_NOFILE, (limit, limit)),
                env={"BRIARWIND_SETTINGS": str(self.settings), "PATH": "/usr/bin:/bin"})
        self.cluster.record.line(f"{self.name}: started")

    def descriptors(self):
        try:
            return len(os.listdir(f"/proc/{self.process.pid}/fd"))
        except OSError:
            return 0

    def memory_mb(self):
        try:
            text = pathlib.Path(f"/proc/{self.process.pid}/statm").read_text()
            return int(text.split()[1]) * os.sysconf("SC_PAGE_SIZE") / (1 << 20)
        except (OSError, IndexError):
            return 0

    async def supervise(self):
        while not self.stopping:
            await asyncio.sleep(0.01)
            used = self.memory_mb()
            if used > MEMORY_MB and self.process.poll() is None:
                self.over_memory += 1
                self.cluster.record.line(f"{self.name}: {used:.0f} MB of {MEMORY_MB}, killed")
                self.process.kill()
            if self.process.poll() is None or self.stopping:
                continue
            self.own_ends += 1
            self.cluster.record.line(f"{self.name}: ended with {self.process.returncode}")
            await asyncio.sleep(0.5)
            if not self.stopping:
                self.start()

    def kill(self):
        self.stopping = True
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGKILL)
            self.process.wait()


# ---- a small deployment --------------------------------------------------------------------------


class Cluster:
    def __init__(self, case_folder, scratch, nodes, minions, labels=lambda number: ["a"],
                 max_fds=4100):
        self.record = Record(case_folder)
        self.folder = pathlib.Path(scratch)
        self.store = Store()
        self.node_count = nodes
        self.minion_count = minions
        self.labels = labels
        self.max_fds = max_fds
        self.nodes = []
        self.minions = []
        self.minions_so_far = 0
        self.starts = {}  # task -> times of its starts
        self.ends = {}  # task -> how its runs ended
        self.done = {}  # job -> tasks that have ended done
        self.first_done = {}  # task -> time at which a run of it first ended done
        self.noted = {}  # task -> time at which acked_through reached an end done of it
        self.work = {}  # job -> seconds of work of each of its tasks
        self.version = 0

    def work_s(self, task):
        return self.work.get(task.split(".")[0], 1.0)

    def on_start(self, minion, order):
        self.starts.setdefault(order["task"], []).append(self.record.now())
        self.record.line(f"minion {minion.id}: starts {order['task']} attempt {order['attempt']} "
                         f"of spec {order['spec'][:40]!r}")

    def on_end(self, minion, task, attempt, how):
        self.ends.setdefault(task, []).append(how)
        if how == "done":
            self.done.setdefault(task.split(".")[0], set()).add(task)
            self.first_done.setdefault(task, self.record.now())
        self.record.line(f"minion {minion.id}: {task} attempt {attempt} ended {how}")

    def on_noted(self, minion, task, attempt, how, number, acked_through):
        if how == "done":
            self.noted.setdefault(task, self.record.now())
        self.record.line(f"minion {minion.id}: acked_through {acked_through} forgets end {number}, "
                         f"{task} attempt {attempt} {how}")

    def started_tasks(self, job):
        return [task for task in self.starts if task.split(".")[0] == job]

    def running_tasks(self, job):
        return [task for minion in self.minions for task, _ in minion.runs
                if task.split(".")[0] == job]

    def put_config(self, routes, tenants):
        self.version += 3
        self.store.put("op/config", json.dumps({
            "version": self.version, "routes": routes, "tenants": tenants,
            "services": [{"name": "pool", "enforces_capacity": False}],
            "limits": {"max_body_bytes": 262144}}))

    async def add_minion(self):
        number = self.minions_so_far
        self.minions_so_far += 1
        rack = f"r1-{number % self.minion_count // 6}"
        minion = Minion(self, number + 1, self.labels(number) + [rack])
        self.minions.append(minion)
        await minion.start()

    async def start(self, routes, tenants):
        deployed_command()
        await self.store.start()
        for _ in range(self.minion_count):
            await self.add_minion()
        self.put_config(routes, tenants)
        for number in range(self.node_count):
            node = Node(self, number + 1)
            self.nodes.append(node)
            node.start()
            asyncio.create_task(node.supervise())
        for _ in range(200):
            answers = [await call(node.ready_port, "GET", "/readyz", seconds=1)
                       for node in self.nodes]
            if all(answer and answer[0] == 200 for answer in answers):
                break
            await asyncio.sleep(0.1)
        else:
            raise CannotRun("the processes did not become ready")
        # All are in touch from then on.
        await asyncio.sleep(BOUNDS["contact_ms"] / 1000 + 1)

    def stop(self):
        for node in self.nodes:
            node.kill()

    async def request(self, node, method, path, key, body=None, deadline_ms=3000, leaves_s=None):
        """Waits for the deadline, or leaves before it, if told so."""
        headers = {"Host": HOST, "Authorization": f"Token {key}", "X-Deadline-Ms": str(deadline_ms)}
        shown = "" if body is None else " " + json.dumps(body)[:300]
        self.record.line(f"client to {node.name}: {method} {path}{shown}")
        answer = await call(node.front, method, path, headers, body, leaves_s or deadline_ms / 1000)
        self.record.line(f"{node.name} to client: {method} {path} -> {answer}")
        return answer

    async def submit(self, path, key, body, tries=4):
        """Submits a job like a client: retries at other nodes. Returns the last status, or None."""
        status = None
        for number in range(tries):
            answer = await self.request(self.nodes[number % len(self.nodes)], "POST", path, key,
                                        body)
            status = answer and answer[0]
            if status == 200:
                break
            await asyncio.sleep(0.3)
        return status


def route(name, priority=1):
    return {"name": name, "host": HOST, "prefix": f"/{name}/", "service": "pool",
            "priority": priority, "attempts": 3, "slack_factor": 3.0,
            "completion_target_ms": 1000}


def run_case(case_folder, nodes, minions, body, bounds=None, **options):
    """Runs body(cluster, trouble), which returns the list of what broke the rule, and exits."""
    BOUNDS.update(bounds or {})
    trouble = os.environ.get("TROUBLE", "1") != "0"
    with tempfile.TemporaryDirectory() as scratch:

        async def run():
            cluster = Cluster(case_folder, scratch, nodes, minions, **options)
            cluster.record.line(f"trouble: {trouble}")
            try:
                broken = await body(cluster, trouble)
            except CannotRun as reason:
                cluster.record.line(f"cannot run: {reason}")
                print(f"cannot run: {reason}")
                return 2
            finally:
                cluster.stop()
            for line in broken:
                cluster.record.line(f"BROKEN: {line}")
                print(f"broken: {line}")
            if not broken:
                cluster.record.line("the rule held")
                print("the rule held")
            return 1 if broken else 0

        status = asyncio.new_event_loop().run_until_complete(run())
    sys.stdout.flush()
    os._exit(status)  # the stand-ins' connections are still open

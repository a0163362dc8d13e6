"""Shared by the settings_* cases: schedulers that reach the store through proxies, a job stream.

A case can interrupt each proxy, which simulates a network partition.
"""

import itertools
import socket
import threading
import time

import harness
from harness import check, http_call, try_call, wait_until

DOMAINS = ["d1", "d2", "d3"]
# A withdrawn domain gets no start after this time: the freshness bound (2 s) plus the lifetime of a
# reservation (1 s).
START_BOUND_SECONDS = 3.0
FRESHNESS_SECONDS = 2.0
LEASE_SECONDS = 10
ONE_ACCELERATOR = {"accelerators": 1, "cores": 1, "memoryMb": 1000}


class TcpProxy:
    """A TCP proxy on loopback that can be partitioned and healed."""

    def __init__(self, target):
        self._target = target.rsplit(":", 1)
        self._connections = []
        self._is_partitioned = False
        self._lock = threading.Lock()
        self._listener = socket.create_server((harness.LOOPBACK, 0))
        self.address = f"{harness.LOOPBACK}:{self._listener.getsockname()[1]}"
        threading.Thread(target=self._accept, daemon=True).start()

    def partition(self):
        with self._lock:
            self._is_partitioned = True
            closing, self._connections = self._connections, []
        for connection in closing:
            connection.close_both()

    def heal(self):
        self._is_partitioned = False

    def _accept(self):
        while True:
            caller, _ = self._listener.accept()
            if self._is_partitioned:
                caller.close()
                continue
            try:
                callee = socket.create_connection((self._target[0], int(self._target[1])))
            except OSError:
                caller.close()
                continue
            relay = Relay(caller, callee)
            if self._register(relay):
                relay.start()
            else:
                relay.close_both()

    def _register(self, relay):
        """Registers a connection; returns False if the proxy was partitioned in the meantime."""
        with self._lock:
            if not self._is_partitioned:
                self._connections.append(relay)
            return not self._is_partitioned


class Relay:
    """Copies the bytes of one proxied connection in both directions."""

    def __init__(self, caller, callee):
        self._ends = (caller, callee)

    def start(self):
        for source, sink in (self._ends, self._ends[::-1]):
            threading.Thread(target=self._copy, args=(source, sink), daemon=True).start()

    def close_both(self):
        for end in self._ends:
            try:
                end.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass

    def _copy(self, source, sink):
        try:
            while piece := source.recv(65536):
                sink.sendall(piece)
        except OSError:
            pass
        self.close_both()


def start_schedulers(cluster, count=3, per_domain=2):
    """Starts stand-ins, workers and schedulers; each scheduler has its own proxy to the store."""
    cluster.start_standins()
    cluster.start_workers(DOMAINS, per_domain)
    cluster.publish_hosts()
    cluster.peer_addresses = [cluster.ports.pick() for _ in range(count)]
    cluster.store_proxies = [TcpProxy(cluster.store.address) for _ in range(count)]
    cluster.schedulers = [start_scheduler(cluster, index) for index in range(count)]
    cluster.wait_ready()
    wait_until(lambda: len(cluster.ctl("members")[1]["record"]["members"]) == count, 15,
               "all schedulers are in the member record")
    # While the membership changes, the record lists the old and the new members. The final record
    # follows it.
    wait_until(lambda: all(is_fresh(s) for s in cluster.schedulers), 10, "all members are fresh")
    cluster.set("/organisations/o", {"weight": 1})
    return f"{count} schedulers in the member record, all fresh"


def start_scheduler(cluster, index, suffix=""):
    peers = ",".join(address for address in cluster.peer_addresses
                     if address != cluster.peer_addresses[index])
    scheduler = cluster.start("briarwind-scheduler", f"scheduler{index + 1}{suffix}", [
        "--listen", cluster.ports.pick(), "--name", f"scheduler{index + 1}{suffix}",
        "--failure-domain", DOMAINS[index % len(DOMAINS)],
        "--store", cluster.store_proxies[index].address,
        "--host-list", cluster.host_list.address, "--peers", peers,
        "--peer-listen", cluster.peer_addresses[index], "--balancer-lag", "200ms"])
    scheduler.wait_listening()
    scheduler.store_proxy = cluster.store_proxies[index]
    scheduler.index = index
    return scheduler


def in_force(scheduler):
    answer = try_call(scheduler.address, "GET", "/v1/inforce", timeout=2)
    return answer.json() if answer is not None and answer.status == 200 else {}


def is_fresh(scheduler):
    return in_force(scheduler).get("freshness") == "fresh"


def leader_of(cluster):
    """Returns the scheduler that is the leader of the queue."""
    def find():
        for scheduler in cluster.schedulers:
            answer = try_call(scheduler.address, "GET", "/metrics", timeout=2)
            text = answer.body.decode() if answer is not None else ""
            # Compares whole lines, because the help text of the gauge starts with a 1 too.
            if "briarwind_scheduler_is_leader 1" in text.splitlines():
                return scheduler
        return None
    return wait_until(find, 15, "one scheduler is the leader of the queue")


class JobStream:
    """A context that submits short jobs continuously, more than the workers have capacity for."""

    def __init__(self, cluster, run_ms=300, interval=0.04):
        self._cluster = cluster
        self._run_ms = run_ms
        self._interval = interval
        self._stop_event = threading.Event()
        self._thread = threading.Thread(target=self._submit, daemon=True)

    def __enter__(self):
        self._thread.start()
        return self

    def __exit__(self, *_):
        self._stop_event.set()
        self._thread.join()

    def _submit(self):
        for number in itertools.count():
            if self._stop_event.wait(self._interval):
                return
            job = {"id": f"j{number}", "organisation": "o", "members": 1,
                   "shape": ONE_ACCELERATOR, "adjacency": "none", "expectedMs": self._run_ms,
                   "repeatable": True, "command": f"run {self._run_ms}"}
            for scheduler in self._cluster.schedulers:
                answer = try_call(scheduler.address, "POST", "/v1/jobs", job, timeout=0.5)
                if answer is not None and answer.status == 201:
                    break


def starts_after(cluster, wall_clock_seconds, domain=None):
    """Returns the task starts after a wall-clock time, in one domain or in all of them."""
    return [start for start in cluster.starts()
            if start["atMs"] > wall_clock_seconds * 1000 and domain in (None, start["domain"])]


def check_no_late_start(cluster, domain, accepted_at):
    """Checks that no task started in the domain later than the bound after the acceptance."""
    late = starts_after(cluster, accepted_at + START_BOUND_SECONDS, domain)
    check(not late, f"{len(late)} starts in {domain} later than the bound: {late[:3]}")


def wait_for_start(cluster, seconds, domain=None):
    """Waits until a worker starts a task after the time of this call."""
    now = time.time()
    wait_until(lambda: starts_after(cluster, now, domain), seconds,
               f"a task starts in {domain or 'any domain'}")


def set_store_faults(cluster, **faults):
    http_call(cluster.store.address, "POST", "/test/faults", faults)


def withdraw_domain(cluster, domain):
    """Withdraws a domain; returns the wall-clock time in seconds after it was accepted."""
    cluster.check_ctl("withdraw", domain, "--reason", "case")
    return time.time()

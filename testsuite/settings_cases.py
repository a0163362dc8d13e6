"""What the settings_* cases share: schedulers behind ways that can be cut, and a stream of jobs."""

import itertools
import socket
import threading
import time

import harness
from harness import check, http_call, try_call, wait_until

DOMAINS = ["d1", "d2", "d3"]
# Freshness bound and life of a reservation.
START_BOUND_SECONDS = 3.0
FRESHNESS_SECONDS = 2.0
LEASE_SECONDS = 10
ONE_ACCELERATOR = {"accelerators": 1, "cores": 1, "memoryMb": 1000}


class Way:
    """A TCP relay on loopback that can be cut and joined again."""

    def __init__(self, target):
        self._target = target.rsplit(":", 1)
        self._open = []
        self._is_cut = False
        self._lock = threading.Lock()
        self._listener = socket.create_server((harness.LOOPBACK, 0))
        self.address = f"{harness.LOOPBACK}:{self._listener.getsockname()[1]}"
        threading.Thread(target=self._accept, daemon=True).start()

    def cut(self):
        with self._lock:
            self._is_cut = True
            cut, self._open = self._open, []
        for each in cut:
            each.close_both()

    def join(self):
        self._is_cut = False

    def _accept(self):
        while True:
            caller, _ = self._listener.accept()
            if self._is_cut:
                caller.close()
                continue
            try:
                callee = socket.create_connection((self._target[0], int(self._target[1])))
            except OSError:
                caller.close()
                continue
            relay = Relay(caller, callee)
            if self._keep(relay):
                relay.start()
            else:
                relay.close_both()

    def _keep(self, relay):
        """Whether the way was not cut while the connection was made."""
        with self._lock:
            if not self._is_cut:
                self._open.append(relay)
            return not self._is_cut


class Relay:
    """One connection of a way."""

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
    """Stand-ins, workers and schedulers; each scheduler reaches the store by a way of its own."""
    cluster.start_standins()
    cluster.start_workers(DOMAINS, per_domain)
    cluster.publish_hosts()
    cluster.links = [cluster.ports.pick() for _ in range(count)]
    cluster.ways = [Way(cluster.store.address) for _ in range(count)]
    cluster.schedulers = [start_scheduler(cluster, index) for index in range(count)]
    cluster.wait_ready()
    wait_until(lambda: len(cluster.ctl("members")[1]["record"]["members"]) == count, 15,
               "all schedulers are in the member record")
    # The record with both sets is followed by the whole one.
    wait_until(lambda: all(is_fresh(s) for s in cluster.schedulers), 10, "all are fresh")
    cluster.set("/organisations/o", {"weight": 1})
    return f"{count} schedulers in the member record, all fresh"


def start_scheduler(cluster, index, suffix=""):
    peers = ",".join(link for link in cluster.links if link != cluster.links[index])
    scheduler = cluster.start("briarwind-scheduler", f"scheduler{index + 1}{suffix}", [
        "--listen", cluster.ports.pick(), "--name", f"scheduler{index + 1}{suffix}",
        "--failure-domain", DOMAINS[index % len(DOMAINS)], "--store", cluster.ways[index].address,
        "--host-list", cluster.host_list.address, "--peers", peers,
        "--peer-listen", cluster.links[index], "--balancer-lag", "200ms"])
    scheduler.wait_listening()
    scheduler.way = cluster.ways[index]
    scheduler.index = index
    return scheduler


def in_force(scheduler):
    answer = try_call(scheduler.address, "GET", "/v1/inforce", timeout=2)
    return answer.json() if answer is not None and answer.status == 200 else {}


def is_fresh(scheduler):
    return in_force(scheduler).get("freshness") == "fresh"


def leader_of(cluster):
    """The scheduler that acts for the queue."""
    def find():
        for scheduler in cluster.schedulers:
            answer = try_call(scheduler.address, "GET", "/metrics", timeout=2)
            text = answer.body.decode() if answer is not None else ""
            # A whole line: the help text of the gauge begins with a 1 too.
            if "briarwind_scheduler_is_leader 1" in text.splitlines():
                return scheduler
        return None
    return wait_until(find, 15, "one scheduler acts for the queue")


class JobStream:
    """Submits short jobs for as long as it runs, more than the workers can hold."""

    def __init__(self, cluster, run_ms=300, interval=0.04):
        self._cluster = cluster
        self._run_ms = run_ms
        self._interval = interval
        self._ended = threading.Event()
        self._thread = threading.Thread(target=self._submit, daemon=True)

    def __enter__(self):
        self._thread.start()
        return self

    def __exit__(self, *_):
        self._ended.set()
        self._thread.join()

    def _submit(self):
        for number in itertools.count():
            if self._ended.wait(self._interval):
                return
            job = {"id": f"j{number}", "organisation": "o", "members": 1,
                   "shape": ONE_ACCELERATOR, "adjacency": "none", "expectedMs": self._run_ms,
                   "repeatable": True, "command": f"run {self._run_ms}"}
            for scheduler in self._cluster.schedulers:
                answer = try_call(scheduler.address, "POST", "/v1/jobs", job, timeout=0.5)
                if answer is not None and answer.status == 201:
                    break


def starts_after(cluster, wall_seconds, domain=None):
    """Starts that workers saw after a time of day, in one domain or in all."""
    return [start for start in cluster.starts()
            if start["atMs"] > wall_seconds * 1000 and domain in (None, start["domain"])]


def check_no_start(cluster, domain, accepted_at):
    """No start in the domain later than the bound after the acceptance."""
    late = starts_after(cluster, accepted_at + START_BOUND_SECONDS, domain)
    check(not late, f"{len(late)} starts in {domain} after the bound: {late[:3]}")


def wait_starts(cluster, seconds, domain=None):
    """Waits until some worker starts a task from now on."""
    now = time.time()
    wait_until(lambda: starts_after(cluster, now, domain), seconds, f"a start in {domain or 'any'}")


def set_faults(cluster, **faults):
    http_call(cluster.store.address, "POST", "/test/faults", faults)


def accept_withdrawal(cluster, domain):
    """Withdraws a domain; returns the time of day at which it was accepted."""
    cluster.ctl_done("withdraw", domain, "--reason", "case")
    return time.time()

"""Test harness of the end-to-end cases: runs the built programs on loopback.

Uses the standard library only. The harness stops every process that it started, by its pid.
"""

import argparse
import concurrent.futures
import contextlib
import http.client
import json
import os
import pathlib
import random
import re
import signal
import socket
import subprocess
import sys
import tempfile
import time

LOOPBACK = "127.0.0.1"
READY_SECONDS = 30
STOP_SECONDS = 10
LISTENING = re.compile(r"\blisten=(\S+)")


class CaseFailed(Exception):
    """Raised when a check of a case fails; the message describes the failure."""


def check(condition, message):
    """Raises CaseFailed with the message unless the condition is true."""
    if not condition:
        raise CaseFailed(message)


def wait_until(condition, seconds, message, interval=0.05):
    """Polls condition() and returns its first true value; raises CaseFailed after the timeout.

    The timeout and the polling interval are in seconds.
    """
    deadline = time.monotonic() + seconds
    while True:
        value = condition()
        if value:
            return value
        if time.monotonic() >= deadline:
            raise CaseFailed(f"timed out after {seconds} s: {message}")
        time.sleep(interval)


class PortPicker:
    """Allocates free ports on loopback and never returns the same port twice.

    The ports lie below the kernel's ephemeral range. Otherwise an outgoing connection could take a
    port after it was found free and before the program binds it.
    """

    LOWEST = 10000
    HIGHEST = 32000

    def __init__(self):
        self._allocated = set()
        self._random = random.Random(os.getpid())

    def pick(self):
        while True:
            port = self._random.randint(self.LOWEST, self.HIGHEST)
            if port not in self._allocated and self._is_free(port):
                self._allocated.add(port)
                return f"{LOOPBACK}:{port}"

    @staticmethod
    def _is_free(port):
        with socket.socket() as probe:
            try:
                probe.bind((LOOPBACK, port))
            except OSError:
                return False
            return True


class Response:
    """Status, headers and body of an HTTP response."""

    def __init__(self, status, headers, body):
        self.status = status
        self.headers = headers
        self.body = body

    def json(self):
        return json.loads(self.body)


def http_call(address, method, path, body=b"", headers=None, timeout=10):
    """Sends one request on a new connection; a dict or list as body is sent as JSON."""
    if isinstance(body, (dict, list)):
        body = json.dumps(body).encode()
    host, port = address.rsplit(":", 1)
    connection = http.client.HTTPConnection(host, int(port), timeout=timeout)
    try:
        connection.request(method, path, body, headers or {})
        response = connection.getresponse()
        return Response(response.status, dict(response.getheaders()), response.read())
    finally:
        connection.close()


def try_call(*arguments, **options):
    """Like http_call, but returns None when there is no complete response."""
    try:
        return http_call(*arguments, **options)
    except (OSError, http.client.HTTPException):
        return None


def metric(address, name):
    """Returns the sum of one metric over all its labels, 0 if the process does not report it."""
    total = 0.0
    for line in http_call(address, "GET", "/metrics").body.decode().splitlines():
        if re.match(re.escape(name) + r"[ {]", line):
            total += float(line.rsplit(" ", 1)[1])
    return total


class Process:
    """A started program; its standard output and standard error go to a log file."""

    def __init__(self, program, name, arguments, log_folder):
        self.name = name
        self.arguments = arguments
        self.log_path = pathlib.Path(log_folder) / f"{name}.log"
        environment = {k: v for k, v in os.environ.items() if not k.startswith("BRIARWIND_")}
        with open(self.log_path, "ab") as log:
            self._child = subprocess.Popen(
                [str(program)] + arguments, stdout=log, stderr=log, env=environment)
        self.address = None

    @property
    def pid(self):
        return self._child.pid

    def log(self):
        return self.log_path.read_text(errors="replace")

    def is_running(self):
        return self._child.poll() is None

    def wait_listening(self):
        """Waits for the log line with the listen address and returns that address."""
        def found():
            check(self.is_running(), f"{self.name} exited during start-up:\n{self.log()}")
            return LISTENING.search(self.log())
        self.address = wait_until(found, READY_SECONDS, f"{self.name} logs its address").group(1)
        return self.address

    def wait_ready(self, seconds=READY_SECONDS):
        def ready():
            check(self.is_running(), f"{self.name} exited before it was ready:\n{self.log()}")
            answer = try_call(self.address, "GET", "/readyz", timeout=1)
            return answer is not None and answer.status == 200
        wait_until(ready, seconds, f"{self.name} is ready")

    def kill(self):
        """Sends SIGKILL, which ends the process like a crash."""
        self._child.send_signal(signal.SIGKILL)
        self._child.wait()

    def pause(self):
        self._child.send_signal(signal.SIGSTOP)

    def resume(self):
        self._child.send_signal(signal.SIGCONT)

    def terminate(self):
        self._child.send_signal(signal.SIGTERM)

    def wait_exit(self, seconds=STOP_SECONDS):
        """Returns the exit status; raises CaseFailed if there is none within that time."""
        try:
            return self._child.wait(seconds)
        except subprocess.TimeoutExpired:
            raise CaseFailed(f"{self.name} did not exit within {seconds} s") from None

    def clean_up(self):
        if self.is_running():
            self._child.send_signal(signal.SIGCONT)
            self.kill()


class Cluster:
    """A cluster on loopback: store, host list, workers, instances, routers and schedulers."""

    def __init__(self, build, seed=1):
        self.build = pathlib.Path(build).resolve()
        self.random = random.Random(seed)
        self.ports = PortPicker()
        self.processes = []
        self.hosts = []
        self.workers = []
        self.instances = []
        self.routers = []
        self.schedulers = []
        self._log_folder = tempfile.TemporaryDirectory(prefix="briarwind-")

    def __enter__(self):
        return self

    def __exit__(self, kind, *_):
        if kind is not None:
            self.print_logs()
        for process in self.processes:
            process.clean_up()
        self._log_folder.cleanup()

    def print_logs(self, lines=15):
        """Prints the last lines of every process log to standard error."""
        for process in self.processes:
            tail = process.log().splitlines()[-lines:]
            if tail:
                print(f"--- {process.name}", *tail, sep="\n", file=sys.stderr)

    def start(self, program, name, arguments):
        path = self.build / program
        check(path.exists(), f"{program} is not built")
        process = Process(path, name, arguments, self._log_folder.name)
        self.processes.append(process)
        return process

    def start_standins(self):
        self.store = self.start("standin-store", "store", ["--listen", f"{LOOPBACK}:0"])
        self.host_list = self.start("standin-hostlist", "hostlist", ["--listen", f"{LOOPBACK}:0"])
        self.store.wait_listening()
        self.host_list.wait_listening()

    def start_workers(self, domains, per_domain, accelerators=8):
        """Starts the workers w1, w2, … with two racks in each failure domain."""
        for domain in domains:
            for index in range(per_domain):
                name = f"w{len(self.workers) + 1}"
                rack = f"{domain}-r{index % 2 + 1}"
                worker = self.start("standin-worker", name, [
                    "--listen", f"{LOOPBACK}:0", "--name", name, "--failure-domain", domain,
                    "--rack", rack, "--accelerators", str(accelerators)])
                worker.domain = domain
                worker.rack = rack
                worker.accelerators = accelerators
                self.workers.append(worker)
        for worker in self.workers:
            worker.wait_listening()
            self.hosts.append({
                "name": worker.name, "kind": "worker", "address": worker.address,
                "domain": worker.domain, "rack": worker.rack, "region": "a", "state": "live",
                "cores": 128, "memoryMb": 262144, "accelerators": worker.accelerators})

    def start_instances(self, service, domains, per_domain, latency="5ms"):
        """Starts the instances t1, t2, … of one service."""
        for domain in domains:
            for _ in range(per_domain):
                name = f"t{len(self.instances) + 1}"
                instance = self.start("standin-instance", name, [
                    "--listen", f"{LOOPBACK}:0", "--name", name, "--latency", latency])
                instance.domain = domain
                self.instances.append(instance)
        for instance in self.instances:
            instance.wait_listening()
            self.hosts.append({
                "name": instance.name, "kind": "target", "address": instance.address,
                "domain": instance.domain, "rack": f"{instance.domain}-r1", "region": "a",
                "service": service, "state": "live"})

    def publish_hosts(self):
        http_call(self.host_list.address, "POST", "/test/hosts", {"hosts": self.hosts})

    def start_members(self, program, kind, count, domains, extra=()):
        """Starts `count` routers or schedulers, each of them a peer of all others."""
        listen_addresses = [self.ports.pick() for _ in range(count)]
        peer_addresses = [self.ports.pick() for _ in range(count)]
        started = []
        for index in range(count):
            peers = ",".join(address for address in peer_addresses
                             if address != peer_addresses[index])
            started.append(self.start(program, f"{kind}{index + 1}", [
                "--listen", listen_addresses[index], "--name", f"{kind}{index + 1}",
                "--failure-domain", domains[index % len(domains)],
                "--store", self.store.address, "--host-list", self.host_list.address,
                "--peers", peers, "--peer-listen", peer_addresses[index], *extra]))
        for member in started:
            member.wait_listening()
        return started

    def start_routers(self, count, domains,
                      extra=("--balancer-lag", "200ms", "--release-time", "2s")):
        """Starts routers with a short release time by default.

        A new router waits for the release time before it uses its share of the instances.
        """
        self.routers = self.start_members("briarwind-router", "router", count, domains, extra)

    def start_schedulers(self, count, domains, extra=("--balancer-lag", "200ms")):
        self.schedulers = self.start_members(
            "briarwind-scheduler", "scheduler", count, domains, extra)

    def wait_ready(self):
        for member in self.routers + self.schedulers:
            member.wait_ready()

    def ctl(self, *words, timeout="10s"):
        """Runs briarwind-ctl; returns its exit status and its parsed JSON output."""
        schedulers = ",".join(s.address for s in self.schedulers if s.is_running())
        flags = ["--json", "--store", self.store.address, "--schedulers", schedulers,
                 "--host-list", self.host_list.address, "--timeout", timeout, "--author", "case"]
        completed = subprocess.run([str(self.build / "briarwind-ctl"), *flags, *words],
                                   capture_output=True, text=True, timeout=60, check=False)
        try:
            return completed.returncode, json.loads(completed.stdout)
        except json.JSONDecodeError:
            return completed.returncode, {"text": completed.stdout + completed.stderr}

    def check_ctl(self, *words, timeout="10s"):
        """Runs briarwind-ctl and raises CaseFailed unless it exits with 0; returns its output."""
        status, answer = self.ctl(*words, timeout=timeout)
        check(status == 0, f"briarwind-ctl {' '.join(words)} exited with {status}: {answer}")
        return answer

    def set(self, path, value, wait=True):
        """Changes settings; with `wait`, until every member has applied the change."""
        return self.check_ctl(*(["--wait"] if wait else []), "set", path, json.dumps(value))

    def job(self, job):
        """Returns the state of a job from the first scheduler that has it, or None."""
        for scheduler in self.schedulers:
            if scheduler.is_running():
                answer = try_call(scheduler.address, "GET", f"/v1/jobs/{job}", timeout=2)
                if answer is not None and answer.status == 200:
                    return answer.json()
        return None

    def job_state(self, job):
        found = self.job(job)
        return found["state"] if found else None

    def wait_job(self, job, states, seconds):
        states = [states] if isinstance(states, str) else list(states)
        wait_until(lambda: self.job_state(job) in states, seconds,
                   f"job {job} is expected to be {' or '.join(states)}, but is {self.job(job)}")

    def starts(self):
        """Returns all task starts that the workers recorded, each with its worker and domain."""
        found = []
        for worker in self.workers:
            answer = try_call(worker.address, "GET", "/test/starts", timeout=2)
            for start in answer.json()["starts"] if answer else []:
                found.append({**start, "worker": worker.name, "domain": worker.domain})
        return found

    def runs(self):
        """Returns how often each request id ran, summed over all instances."""
        total = {}
        for instance in self.instances:
            answer = try_call(instance.address, "GET", "/test/runs", timeout=2)
            for request, count in (answer.json()["runs"] if answer else {}).items():
                total[request] = total.get(request, 0) + count
        return total

    def photo(self, smallest=200_000, largest=2_000_000):
        """Returns a random body of random size; the default bounds are typical of a photo."""
        return self.random.randbytes(self.random.randint(smallest, largest))


def request_headers(request_id, organisation, deadline_ms=10000, repeatable=False, **more):
    headers = {
        "Briarwind-Organisation": organisation, "Briarwind-Request-Id": request_id,
        "Briarwind-Deadline-Ms": str(deadline_ms),
        "Briarwind-Repeatable": "yes" if repeatable else "no"}
    headers.update(more)
    return headers


def in_parallel(call, items, threads=8):
    """Runs call(item) for every item; returns the results in order, raises the first exception."""
    with concurrent.futures.ThreadPoolExecutor(threads) as pool:
        return list(pool.map(call, items))


def run_case(name, steps, arguments=None):
    """Runs the steps of a case in order, prints one line for each and returns the exit status.

    A step is a pair of a title and a function that takes the Cluster and returns a summary of what
    it verified. The first step that fails ends the run with status 1.
    """
    parser = argparse.ArgumentParser(description=name)
    parser.add_argument("--build", required=True, help="folder with the built programs")
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args(arguments)
    started_at = time.monotonic()
    with contextlib.ExitStack() as stack:
        cluster = Cluster(options.build, options.seed)
        try:
            stack.enter_context(cluster)
            for title, step in steps:
                summary = step(cluster)
                print(f"[{time.monotonic() - started_at:5.1f} s] {title}: "
                      f"{summary or 'done'}", flush=True)
        except CaseFailed as failed:
            print(f"[{time.monotonic() - started_at:5.1f} s] {title}: FAILED: {failed}", flush=True)
            cluster.print_logs()
            return 1
    print(f"{name}: all {len(steps)} steps passed, {time.monotonic() - started_at:.1f} s",
          flush=True)
    return 0

#!/usr/bin/env python3
"""Invalid input of every kind gets a specific error and does not affect accepted work.

Covers flags, HTTP requests, malformed HTTP, jobs, settings and clients that send too slowly.
"""

import json
import pathlib
import subprocess
import sys
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))
import harness
from harness import check, http_call, request_headers

DOMAINS = ["d1", "d2"]
SHAPE = {"accelerators": 8, "cores": 64, "memoryMb": 100000}
PROGRAMS = ["briarwind-router", "briarwind-scheduler", "briarwind-ctl", "standin-store",
            "standin-hostlist", "standin-worker", "standin-instance"]
BODY_LIMIT = 8 << 20
HEADER_TIMEOUT_SECONDS = 10
BODY_TIMEOUT_SECONDS = 30
SLACK_SECONDS = 5


class SlowClient:
    """A client that sends one byte at a time until the server responds and closes."""

    def __init__(self, address, head, piece):
        self._thread = threading.Thread(target=self._run, args=(address, head, piece), daemon=True)
        self.seconds = None
        self.answer = b""
        self._thread.start()

    def _run(self, address, head, piece):
        host, port = address.rsplit(":", 1)
        began = time.monotonic()
        with harness.socket.create_connection((host, int(port)), timeout=1) as connection:
            connection.sendall(head)
            connection.settimeout(0.5)
            while time.monotonic() < began + 60:
                try:
                    received = connection.recv(4096)
                    if not received:
                        break
                    self.answer += received
                except TimeoutError:
                    try:
                        connection.sendall(piece)
                    except OSError:
                        break
                except OSError:
                    break
        self.seconds = time.monotonic() - began

    def check_timed_out(self, limit, what):
        self._thread.join(limit + SLACK_SECONDS)
        check(self.seconds is not None, f"{what} was not closed after {limit} s")
        check(self.seconds >= limit - 1, f"{what} was closed too early, after {self.seconds:.1f} s")
        check(b" 408 " in self.answer.split(b"\r\n")[0], f"{what} was answered {self.answer!r}")
        return self.seconds


def invalid_flags(cluster):
    """Every program reports all invalid flags of a command line together and exits with 2."""
    for program in PROGRAMS:
        done = subprocess.run(
            [str(cluster.build / program), "--bogus=1", "--listen=here", "--check", "--also-bogus"],
            capture_output=True, text=True, timeout=10, check=False)
        check(done.returncode == 2, f"{program} exited with {done.returncode}: {done.stderr}")
        for place in ("--bogus", "--listen", "--also-bogus"):
            check(f"error {place}:" in done.stderr,
                  f"{program} did not report {place}: {done.stderr}")
        help_run = subprocess.run([str(cluster.build / program), "--help"], capture_output=True,
                                  text=True, timeout=10, check=False)
        check("BRIARWIND_" in help_run.stdout, f"{program} --help lists no environment variables")
    return f"{len(PROGRAMS)} programs report every invalid flag and exit with 2"


def start(cluster):
    cluster.start_standins()
    cluster.start_workers(DOMAINS, per_domain=2)
    cluster.start_instances("tags", DOMAINS, per_domain=1)
    cluster.publish_hosts()
    cluster.start_routers(1, DOMAINS)
    cluster.start_schedulers(1, DOMAINS)
    cluster.wait_ready()
    cluster.set("/organisations/ferraresi", {"weight": 1})
    head = b"POST /tags/read HTTP/1.1\r\nHost: x\r\nBriarwind-Organisation: ferraresi\r\n"
    router = cluster.routers[0].address
    cluster.slow_clients = [
        ("a slow header", HEADER_TIMEOUT_SECONDS, SlowClient(router, head, b"X")),
        ("a slow body", BODY_TIMEOUT_SECONDS,
         SlowClient(router, head + b"Content-Length: 1000000\r\n\r\n", b"X")),
    ]
    return "one router and one scheduler ready; two slow clients started"


def invalid_requests(cluster):
    router = cluster.routers[0].address
    good = request_headers("r", "ferraresi")
    invalid = [
        ("no organisation", {"Briarwind-Request-Id": "r"}, "/tags/read", 400),
        ("no request id", {"Briarwind-Organisation": "ferraresi"}, "/tags/read", 400),
        ("unknown organisation", {**good, "Briarwind-Organisation": "nobody"}, "/tags/read", 400),
        ("deadline in words", {**good, "Briarwind-Deadline-Ms": "soon"}, "/tags/read", 400),
        ("deadline too long", {**good, "Briarwind-Deadline-Ms": "600001"}, "/tags/read", 400),
        ("repeatable perhaps", {**good, "Briarwind-Repeatable": "perhaps"}, "/tags/read", 400),
        ("unknown team", {**good, "Briarwind-Team": "nobody"}, "/tags/read", 400),
        ("unknown service", good, "/no-such-service/read", 404),
    ]
    before = cluster.runs()
    for what, headers, path, status in invalid:
        answer = http_call(router, "POST", path, b"{}", headers)
        check(answer.status == status, f"{what}: {answer.status} {answer.body!r}")
        check(answer.headers.get("Briarwind-Outcome") == "not-run", f"{what}: {answer.headers}")
    both = http_call(router, "POST", "/tags/read", b"{}", {"Briarwind-Deadline-Ms": "x"}).json()
    places = {finding["place"] for finding in both["findings"]}
    check(len(places) == 3, f"not all findings are in one response: {both}")
    large = http_call(router, "POST", "/tags/read", bytes(BODY_LIMIT + 1), good)
    check(large.status == 413, f"a body over the limit got {large.status}")
    check(cluster.runs() == before, "a rejected request was run")
    return f"{len(invalid)} invalid requests rejected, 413 over {BODY_LIMIT >> 20} MB, none was run"


def malformed_http(cluster):
    host, port = cluster.routers[0].address.rsplit(":", 1)
    for text in (b"nonsense\r\n\r\n", b"GET / HTTP/9.9\r\n\r\n",
                 b"POST /tags/read HTTP/1.1\r\nContent-Length: minus\r\n\r\n"):
        with harness.socket.create_connection((host, int(port)), timeout=5) as connection:
            connection.sendall(text)
            first = connection.recv(4096).split(b"\r\n")[0]
        check(b" 400 " in first, f"{text!r} was answered {first!r}")
    return "three malformed requests answered with 400"


def job(**changes):
    return {"id": "j", "organisation": "ferraresi", "members": 1, "shape": SHAPE,
            "adjacency": "none", "expectedMs": 200, "repeatable": True, "command": "x", **changes}


def invalid_jobs(cluster):
    scheduler = cluster.schedulers[0].address
    too_large = {**SHAPE, "accelerators": 9}
    invalid = [
        ("malformed JSON", b"{", 400),
        ("not an object", b"[]", 400),
        ("an unknown organisation", job(organisation="nobody"), 400),
        ("a shape larger than any worker", job(shape=too_large), 422),
        ("more members than fit", job(members=5), 422),
        ("an unknown adjacency", job(adjacency="near"), 400),
        ("no members", job(members=0), 400),
    ]
    for what, body, status in invalid:
        answer = http_call(scheduler, "POST", "/v1/jobs", body)
        check(answer.status == status, f"{what}: {answer.status} {answer.body!r}")
        check(answer.json(), f"{what}: no reason in {answer.body!r}")
    several = http_call(scheduler, "POST", "/v1/jobs", job(members=-1, adjacency="near", id=""))
    found = several.json()["findings"]
    check(len(found) >= 3, f"not all findings are in one response: {found}")
    for method, path, status in (("GET", "/nope", 404), ("GET", "/v1/jobs/none", 404),
                                 ("POST", "/v1/jobs/none/cancel", 404)):
        answer = http_call(scheduler, method, path)
        check(answer.status == status, f"{method} {path}: {answer.status}")
    listed = http_call(scheduler, "GET", "/v1/jobs").json()["jobs"]
    check(not listed, f"a rejected job is listed: {listed}")
    return f"{len(invalid)} kinds of invalid jobs rejected with a reason, none is stored"


def invalid_settings(cluster):
    revision = cluster.check_ctl("get", "/organisations/ferraresi")
    oversized_guarantee = {"guarantees": [{"name": "g", "count": 1, "members": 5, "shape": SHAPE}]}
    invalid = [
        ("malformed JSON", ("set", "/organisations/ferraresi", "{"), 2),
        ("an unknown path", ("set", "/nowhere/x", "{}"), 2),
        ("an unknown field", ("set", "/organisations/ferraresi", '{"colour":1}'), 2),
        ("a weight out of range", ("set", "/organisations/ferraresi", '{"weight":0}'), 2),
        ("a guarantee that does not fit",
         ("set", "/organisations/ferraresi", json.dumps(oversized_guarantee)), 2),
        ("an unknown command", ("frobnicate",), 2),
        ("a job of an unknown organisation", ("submit", json.dumps(job(organisation="x"))), 2),
    ]
    for what, words, status in invalid:
        got, answer = cluster.ctl(*words)
        check(got == status, f"{what}: exit {got}, expected {status}: {answer}")
    check(cluster.check_ctl("get", "/organisations/ferraresi") == revision, "settings were changed")
    return f"{len(invalid)} invalid calls of briarwind-ctl rejected, settings unchanged"


def valid_work_succeeds(cluster):
    cluster.check_ctl("submit", json.dumps(job(id="good")))
    again = http_call(cluster.schedulers[0].address, "POST", "/v1/jobs", job(id="good"))
    check(again.status == 201, f"repeated submission: {again.status} {again.body!r}")
    other = http_call(cluster.schedulers[0].address, "POST", "/v1/jobs", job(id="good", members=2))
    check(other.status == 409, f"same id, different job: {other.status} {other.body!r}")
    cluster.wait_job("good", "finished", 10)
    answer = http_call(cluster.routers[0].address, "POST", "/tags/read", b"photo",
                       request_headers("good", "ferraresi"))
    check(answer.status == 200 and answer.json()["requestId"] == "good", f"{answer.status}")
    check(cluster.runs().get("good") == 1, "the valid request did not run exactly once")
    return "a valid job and a valid request succeeded after the invalid ones"


def slow_clients_time_out(cluster):
    took = [caller.check_timed_out(limit, what) for what, limit, caller in cluster.slow_clients]
    return ", ".join(f"{what} got 408 after {seconds:.0f} s"
                     for (what, _, _), seconds in zip(cluster.slow_clients, took))


STEPS = [
    ("invalid flags", invalid_flags),
    ("start", start),
    ("invalid requests", invalid_requests),
    ("malformed HTTP", malformed_http),
    ("invalid jobs", invalid_jobs),
    ("invalid settings", invalid_settings),
    ("valid work afterwards", valid_work_succeeds),
    ("slow clients", slow_clients_time_out),
]

if __name__ == "__main__":
    sys.exit(harness.run_case("bad input", STEPS))

#!/usr/bin/env python3
"""Bad input of every kind gets a clear error, and nothing that was accepted is lost by it."""

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


class SlowCaller:
    """Sends one byte after the other until the other side answers and closes."""

    def __init__(self, address, head, then):
        self._thread = threading.Thread(target=self._run, args=(address, head, then), daemon=True)
        self.seconds = None
        self.answer = b""
        self._thread.start()

    def _run(self, address, head, then):
        host, port = address.rsplit(":", 1)
        began = time.monotonic()
        with harness.socket.create_connection((host, int(port)), timeout=1) as connection:
            connection.sendall(head)
            connection.settimeout(0.5)
            while time.monotonic() < began + 60:
                try:
                    piece = connection.recv(4096)
                    if not piece:
                        break
                    self.answer += piece
                except TimeoutError:
                    try:
                        connection.sendall(then)
                    except OSError:
                        break
                except OSError:
                    break
        self.seconds = time.monotonic() - began

    def check_timed_out(self, limit, what):
        self._thread.join(limit + SLACK_SECONDS)
        check(self.seconds is not None, f"{what} was not cut after {limit} s")
        check(self.seconds >= limit - 1, f"{what} was cut after {self.seconds:.1f} s already")
        check(b" 408 " in self.answer.split(b"\r\n")[0], f"{what} was answered {self.answer!r}")
        return self.seconds


def flags(cluster):
    """All findings of a command line come together, with exit 2, for every program."""
    for program in PROGRAMS:
        done = subprocess.run(
            [str(cluster.build / program), "--bogus=1", "--listen=here", "--check", "--also-bogus"],
            capture_output=True, text=True, timeout=10, check=False)
        check(done.returncode == 2, f"{program} exited with {done.returncode}: {done.stderr}")
        for place in ("--bogus", "--listen", "--also-bogus"):
            check(f"error {place}:" in done.stderr, f"{program} said nothing of {place}: {done.stderr}")
        helped = subprocess.run([str(cluster.build / program), "--help"], capture_output=True,
                                text=True, timeout=10, check=False)
        check("BRIARWIND_" in helped.stdout, f"{program} --help shows no variables")
    return f"{len(PROGRAMS)} programs name every wrong flag and exit with 2"


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
    cluster.slow = [
        ("a slow header", HEADER_TIMEOUT_SECONDS, SlowCaller(router, head, b"X")),
        ("a slow body", BODY_TIMEOUT_SECONDS,
         SlowCaller(router, head + b"Content-Length: 1000000\r\n\r\n", b"X")),
    ]
    return "one router and one scheduler; two slow callers begin"


def callers_mistakes(cluster):
    router = cluster.routers[0].address
    good = request_headers("r", "ferraresi")
    mistakes = [
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
    for what, headers, path, status in mistakes:
        answer = http_call(router, "POST", path, b"{}", headers)
        check(answer.status == status, f"{what}: {answer.status} {answer.body!r}")
        check(answer.headers.get("Briarwind-Outcome") == "not-run", f"{what}: {answer.headers}")
    both = http_call(router, "POST", "/tags/read", b"{}", {"Briarwind-Deadline-Ms": "x"}).json()
    places = {finding["place"] for finding in both["findings"]}
    check(len(places) == 3, f"not all findings came together: {both}")
    large = http_call(router, "POST", "/tags/read", bytes(BODY_LIMIT + 1), good)
    check(large.status == 413, f"a body over the limit: {large.status}")
    check(cluster.runs() == before, "a refused request ran")
    return f"{len(mistakes)} mistakes named, 413 over {BODY_LIMIT >> 20} MB, none ran"


def malformed_http(cluster):
    host, port = cluster.routers[0].address.rsplit(":", 1)
    for text in (b"nonsense\r\n\r\n", b"GET / HTTP/9.9\r\n\r\n",
                 b"POST /tags/read HTTP/1.1\r\nContent-Length: minus\r\n\r\n"):
        with harness.socket.create_connection((host, int(port)), timeout=5) as connection:
            connection.sendall(text)
            first = connection.recv(4096).split(b"\r\n")[0]
        check(b" 400 " in first, f"{text!r} was answered {first!r}")
    return "three requests that are no HTTP answered with 400"


def job(**changes):
    return {"id": "j", "organisation": "ferraresi", "members": 1, "shape": SHAPE,
            "adjacency": "none", "expectedMs": 200, "repeatable": True, "command": "x", **changes}


def job_mistakes(cluster):
    scheduler = cluster.schedulers[0].address
    too_large = {**SHAPE, "accelerators": 9}
    mistakes = [
        ("malformed JSON", b"{", 400),
        ("no object", b"[]", 400),
        ("an unknown organisation", job(organisation="nobody"), 400),
        ("a shape larger than any worker", job(shape=too_large), 422),
        ("more members than fit", job(members=5), 422),
        ("a wrong adjacency", job(adjacency="near"), 400),
        ("no members", job(members=0), 400),
    ]
    for what, body, status in mistakes:
        answer = http_call(scheduler, "POST", "/v1/jobs", body)
        check(answer.status == status, f"{what}: {answer.status} {answer.body!r}")
        check(answer.json(), f"{what}: no reason in {answer.body!r}")
    several = http_call(scheduler, "POST", "/v1/jobs", job(members=-1, adjacency="near", id=""))
    found = several.json()["findings"]
    check(len(found) >= 3, f"not all findings came together: {found}")
    for method, path, status in (("GET", "/nope", 404), ("GET", "/v1/jobs/none", 404),
                                 ("POST", "/v1/jobs/none/cancel", 404)):
        answer = http_call(scheduler, method, path)
        check(answer.status == status, f"{method} {path}: {answer.status}")
    listed = http_call(scheduler, "GET", "/v1/jobs").json()["jobs"]
    check(not listed, f"a refused job is there: {listed}")
    return f"{len(mistakes)} kinds of wrong jobs refused with their reason, none is kept"


def settings_mistakes(cluster):
    revision = cluster.ctl_done("get", "/organisations/ferraresi")
    far_too_much = {"guarantees": [{"name": "g", "count": 1, "members": 5, "shape": SHAPE}]}
    mistakes = [
        ("malformed JSON", ("set", "/organisations/ferraresi", "{"), 2),
        ("an unknown path", ("set", "/nowhere/x", "{}"), 2),
        ("an unknown field", ("set", "/organisations/ferraresi", '{"colour":1}'), 2),
        ("a weight out of range", ("set", "/organisations/ferraresi", '{"weight":0}'), 2),
        ("a guarantee that does not fit",
         ("set", "/organisations/ferraresi", json.dumps(far_too_much)), 2),
        ("an unknown command", ("frobnicate",), 2),
        ("a job of an unknown organisation", ("submit", json.dumps(job(organisation="x"))), 2),
    ]
    for what, words, status in mistakes:
        got, answer = cluster.ctl(*words)
        check(got == status, f"{what}: exit {got}, expected {status}: {answer}")
    check(cluster.ctl_done("get", "/organisations/ferraresi") == revision, "settings were changed")
    return f"{len(mistakes)} mistakes at briarwind-ctl, settings as before"


def nothing_lost(cluster):
    cluster.ctl_done("submit", json.dumps(job(id="good")))
    again = http_call(cluster.schedulers[0].address, "POST", "/v1/jobs", job(id="good"))
    check(again.status == 201, f"the same submission again: {again.status} {again.body!r}")
    other = http_call(cluster.schedulers[0].address, "POST", "/v1/jobs", job(id="good", members=2))
    check(other.status == 409, f"same id, other job: {other.status} {other.body!r}")
    cluster.wait_job("good", "finished", 10)
    answer = http_call(cluster.routers[0].address, "POST", "/tags/read", b"photo",
                       request_headers("good", "ferraresi"))
    check(answer.status == 200 and answer.json()["requestId"] == "good", f"{answer.status}")
    check(cluster.runs().get("good") == 1, "the good request did not run once")
    return "a good job and a good request went through after all this"


def slow_callers(cluster):
    took = [caller.check_timed_out(limit, what) for what, limit, caller in cluster.slow]
    return ", ".join(f"{what} got 408 after {seconds:.0f} s"
                     for (what, _, _), seconds in zip(cluster.slow, took))


STEPS = [
    ("unknown flags", flags),
    ("start", start),
    ("requests", callers_mistakes),
    ("malformed HTTP", malformed_http),
    ("jobs", job_mistakes),
    ("settings", settings_mistakes),
    ("nothing lost", nothing_lost),
    ("slow callers", slow_callers),
]

if __name__ == "__main__":
    sys.exit(harness.run_case("bad input", STEPS))

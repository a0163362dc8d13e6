"""Odd entries in the host list end no process and hide no other host.

Another writer leaves entries that are deeply nested, hold numbers or ports out of range, or describe
no host. Routers and schedulers go on following the list: they use hosts that are added later, and
stop using hosts that are removed.
"""

import http.server
import json
import pathlib
import sys
import threading

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
from harness import check, http_call, request_headers, run_case, wait_until

SERVICE = "tags"
LIST_BOUND_SECONDS = 5  # the list is read each second
EVENT = "BW1013"
COMPLETE = {"name": "odd", "kind": "worker", "address": "127.0.0.1:9", "domain": "d1", "rack": "r1",
            "region": "a", "state": "live", "cores": 128, "memoryMb": 262144, "accelerators": 8}


def replaced(name, text):
    """The complete entry with the JSON text `text` as the value of `name`."""
    return json.dumps({**COMPLETE, name: "@"}).replace('"@"', text)


ODD_ENTRIES = [
    replaced("rack", "[" * 50_000 + "]" * 50_000),
    replaced("rack", '{"a":' * 50_000 + "1" + "}" * 50_000),
    replaced("cores", "1e999"),
    replaced("cores", "9" * 400),
    replaced("memoryMb", "-1"),
    replaced("accelerators", str(1 << 40)),
    replaced("accelerators", "-8"),
    replaced("accelerators", '"8"'),
    replaced("address", '"127.0.0.1:65536"'),
    replaced("address", '"127.0.0.1:0"'),
    replaced("address", '"127.0.0.1"'),
    replaced("address", "7"),
    replaced("kind", '"sensor"'),
    replaced("name", '""'),
    "17", "null", "[]", "{}", '"]}"',
]


class RawHostList(http.server.ThreadingHTTPServer):
    """A host list service whose entries are JSON texts that need not be valid."""

    def __init__(self):
        super().__init__(("127.0.0.1", 0), RawHandler)
        self.address = f"127.0.0.1:{self.server_address[1]}"
        self.version = 0
        self.body = b""
        self.publish([])
        threading.Thread(target=self.serve_forever, daemon=True).start()

    def publish(self, entries):
        self.version += 1
        self.body = f'{{"version":{self.version},"hosts":[{",".join(entries)}]}}'.encode()


class RawHandler(http.server.BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"

    def do_GET(self):
        body = self.server.body
        self.send_response(200)
        self.send_header("Content-Type", "application/json")
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def log_message(self, *_):
        pass


def publish(cluster, odd):
    sound = [json.dumps(host) for host in cluster.hosts]
    middle = len(sound) // 2
    cluster.host_list.publish(sound[:middle] + odd + sound[middle:])


def known_workers(cluster):
    answer = http_call(cluster.schedulers[0].address, "GET", "/v1/status")
    return answer.json()["workers"] if answer.status == 200 else None


def serving_instances(cluster, prefix):
    served = set()
    for number in range(20):
        answer = http_call(cluster.routers[0].address, "POST", f"/{SERVICE}/read", b"photo",
                           request_headers(f"{prefix}-{number}", "ferraresi"), timeout=15)
        if answer.status == 200:
            served.add(answer.json()["instance"])
    return served


def start(cluster):
    cluster.start_standins()
    cluster.host_list = RawHostList()
    cluster.start_instances(SERVICE, ["d1"], 2)
    cluster.start_workers(["d1"], 2)
    cluster.all_hosts = list(cluster.hosts)
    cluster.hosts = [host for host in cluster.all_hosts if host["name"] in ("t1", "w1")]
    publish(cluster, [])
    cluster.start_routers(1, ["d1"])
    cluster.start_schedulers(1, ["d1"])
    cluster.wait_ready()
    wait_until(lambda: known_workers(cluster) == 1, LIST_BOUND_SECONDS, "one worker is known")


def hosts_are_added(cluster):
    cluster.hosts = cluster.all_hosts
    publish(cluster, ODD_ENTRIES)
    wait_until(lambda: known_workers(cluster) == 2, LIST_BOUND_SECONDS,
               "the worker that was added is known")
    wait_until(lambda: serving_instances(cluster, "added") == {"t1", "t2"}, 30,
               "the instance that was added gets requests")


def hosts_are_removed(cluster):
    cluster.hosts = [host for host in cluster.all_hosts if host["name"] in ("t2", "w2")]
    publish(cluster, ODD_ENTRIES)
    wait_until(lambda: known_workers(cluster) == 1, LIST_BOUND_SECONDS,
               "the worker that was removed is gone")
    wait_until(lambda: serving_instances(cluster, "removed") == {"t2"}, LIST_BOUND_SECONDS,
               "the instance that was removed gets no requests")


def one_line_each(cluster):
    for member in cluster.routers + cluster.schedulers:
        check(member.is_running(), f"{member.name} has ended")
        lines = member.log().count(EVENT)
        check(lines == 1, f"{member.name} logged {lines} lines about the same entries")
        metrics = http_call(member.address, "GET", "/metrics").body.decode()
        check(f"briarwind_host_list_unreadable_entries {len(ODD_ENTRIES)}" in metrics,
              f"{member.name} does not count {len(ODD_ENTRIES)} entries")
    return f"{len(ODD_ENTRIES)} odd entries"


STEPS = [
    ("a router and a scheduler with one instance and one worker", start),
    ("hosts that are added beside odd entries are used", hosts_are_added),
    ("hosts that are removed beside odd entries are no longer used", hosts_are_removed),
    ("the odd entries are counted, and logged once", one_line_each),
]

if __name__ == "__main__":
    sys.exit(run_case("host_list_odd_entries", STEPS))

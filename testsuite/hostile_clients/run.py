#!/usr/bin/env python3
"""Clients outside the limits end no process and exhaust neither its memory nor its descriptors.

Guards against servers that keep what a client sends, or what it does not read, without a bound. Each
case starts one briarwind-node with low limits and runs one kind of hostile client against it. The
case checks that the process lives, that its peak memory and its descriptors stay under fixed bounds,
and that an ordinary submission is accepted while the clients' connections are still open.
"""

import argparse
import asyncio
import concurrent.futures
import json
import os
import pathlib
import resource
import socket
import subprocess
import sys
import tempfile

ROOT = pathlib.Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT / "platform" / "soak"))

import soak  # noqa: E402
import web  # noqa: E402

# Limits of the started process, and the bounds that are checked. The bound on descriptors leaves
# some for the process's own calls to the store and the workers.
MEMORY_MB = 48
MAX_FDS = 300
MEMORY_BOUND_KB = MEMORY_MB * 1024
FDS_BOUND = MAX_FDS - 40

THREADS = 32
SEND_SECONDS = 5  # a client gives up when the server has not read for that long
ATTEMPTS = 60  # of the ordinary submission, half a second apart; a refused one may be repeated
MB = 1 << 20
CHUNKED = b"POST /batch/%s HTTP/1.1\r\nHost: jobs.example\r\nTransfer-Encoding: chunked\r\n\r\n"
START = CHUNKED % b"0dd0000000000009"


class Client:
    """One connection that sends pieces until they end or the server closes or stops reading."""

    def __init__(self, port):
        self.socket = socket.create_connection(("127.0.0.1", port), timeout=SEND_SECONDS)

    def send(self, pieces):
        try:
            for piece in pieces:
                self.socket.sendall(piece)
        except OSError:
            pass  # refused, closed or no longer read


def repeated(piece, total):
    return (piece for _ in range(total // len(piece)))


def chunk(size):
    return b"%x\r\n" % size + b"x" * size + b"\r\n"


def endless_trailers():
    yield START + chunk(1) + b"0\r\n"
    yield from repeated(b"X-Trailer: " + b"t" * 1000 + b"\r\n", 24 * MB)


def endless_trailer_line():
    yield START + chunk(1) + b"0\r\nX-Trailer: "
    yield from repeated(b"t" * 65536, 24 * MB)


def endless_extension():
    yield START + b"1;name="
    yield from repeated(b"e" * 65536, 24 * MB)


def chunks_with_extensions():
    yield START
    yield from repeated(b"1;name=" + b"e" * 12_000 + b"\r\nx\r\n", 24 * MB)


def unfinished_body(size, chunk_size):
    yield START
    yield from repeated(chunk(chunk_size) * (65536 // chunk_size or 1),
                        len(chunk(chunk_size)) * (size // chunk_size))


def announced_unfinished_body(size):
    yield b"POST /batch/0dd0000000000009 HTTP/1.1\r\nHost: jobs.example\r\n"
    yield b"Content-Length: %d\r\n\r\n" % size
    yield b"x" * (size - 1)


def announced_too_large():
    yield b"POST /batch/0dd0000000000009 HTTP/1.1\r\nHost: jobs.example\r\n"
    yield b"Content-Length: %d\r\n\r\n" % (20 * MB)
    yield from repeated(b"x" * 65536, 20 * MB)


def unannounced_too_large():
    yield START
    yield from repeated(chunk(MB), 20 * MB)


def slow_header():
    for byte in b"GET /batch/0dd0000000000009 HTTP/1.1\r\nHost: jobs.example\r\nX-Slow: " + b"s" * 100:
        yield bytes([byte])


def unread_answers():
    yield from repeated(b"GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n" * 100, 8 * MB)


def pipelined_requests():
    yield from repeated(b"GET /batch/0dd0000000000009 HTTP/1.1\r\nHost: jobs.example\r\n\r\n" * 100,
                        8 * MB)


# Name, number of clients, what each sends, and the server: "caller" or "peer".
CASES = [
    ("endless trailers", 4, endless_trailers, "caller"),
    ("one endless trailer line", 4, endless_trailer_line, "caller"),
    ("one endless chunk extension", 4, endless_extension, "caller"),
    ("chunks with long extensions", 4, chunks_with_extensions, "caller"),
    ("unfinished bodies in large chunks", 240, lambda: unfinished_body(250_000, 50_000), "caller"),
    ("unfinished bodies in one-byte chunks", 40, lambda: unfinished_body(65_536, 1), "caller"),
    ("unfinished announced bodies", 240, lambda: announced_unfinished_body(250_000), "caller"),
    ("unfinished bodies to the peers' server", 40, lambda: unfinished_body(4 * MB, MB), "peer"),
    ("announced bodies over the limit", 20, announced_too_large, "caller"),
    ("unannounced bodies over the limit", 20, unannounced_too_large, "caller"),
    ("headers a byte at a time", 100, slow_header, "caller"),
    ("more connections than descriptors", 2 * MAX_FDS, lambda: [b"G"], "caller"),
    ("answers that are not read", 60, unread_answers, "peer"),
    ("endless pipelined requests", 8, pipelined_requests, "caller"),
]


class LimitedHost(soak.Host):
    """A briarwind-node with low limits in its settings and on its descriptors."""

    def start(self):
        settings = json.loads(self.settings.read_text())
        settings["limits"].update(memory_mb=MEMORY_MB, max_fds=MAX_FDS)
        self.settings.write_text(json.dumps(settings))
        with self.log.open("ab") as out:
            self.process = subprocess.Popen(
                [self.program], stdout=out, stderr=out, env={"BRIARWIND_SETTINGS": str(self.settings)},
                preexec_fn=lambda: resource.setrlimit(resource.RLIMIT_NOFILE, (MAX_FDS, MAX_FDS)))

    def peak_kb(self):
        status = pathlib.Path(f"/proc/{self.process.pid}/status").read_text()
        return next(int(line.split()[1]) for line in status.splitlines()
                    if line.startswith("VmHWM:"))

    def descriptors(self):
        return len(os.listdir(f"/proc/{self.process.pid}/fd"))


class Case:
    def __init__(self, program, folder, name, count, pieces, server):
        options = soak.parse_options(["--program", program, "--hosts", "1", "--workers", "1"])
        self.soak = soak.Soak(options, folder)
        self.name, self.count, self.pieces, self.server = name, count, pieces, server
        self.clients = []
        self.most_descriptors = 0

    def attack(self, port):
        """Runs all clients and leaves their connections open."""
        def one(_):
            try:
                client = Client(port)
            except OSError:
                return  # refused
            self.clients.append(client)
            client.send(self.pieces())
        with concurrent.futures.ThreadPoolExecutor(THREADS) as pool:
            list(pool.map(one, range(self.count)))

    async def watch(self, host):
        while host.process.poll() is None:
            self.most_descriptors = max(self.most_descriptors, host.descriptors())
            await asyncio.sleep(0.02)

    async def submits(self, host):
        body = {"spec": "payload", "steps": [{"count": 1, "gpu": 1, "cpu": 1000, "mem_mb": 1000,
                                              "estimate_ms": 2000}]}
        job = "0dd0000000000001"
        self.soak.jobs[job] = body
        headers = {"Host": soak.HOST_HEADER, "Authorization": f"Token {soak.KEY}",
                   "X-Deadline-Ms": "2000", "Content-Type": "application/json"}
        for _ in range(ATTEMPTS):
            answer = await web.call(host.caller_port, "POST", soak.PREFIX + job, headers, body, 2.5)
            if answer is not None and answer[0] == 200:
                return True
            if host.process.poll() is not None:
                return False
            await asyncio.sleep(0.5)
        return False

    async def run(self):
        """Returns what failed, empty if nothing did, and the peak of memory and descriptors."""
        soak.Host = LimitedHost
        await self.soak.start()
        host = self.soak.hosts[0]
        watch = asyncio.create_task(self.watch(host))
        try:
            port = host.caller_port if self.server == "caller" else host.peer_port
            await asyncio.to_thread(self.attack, port)
            answered = await self.submits(host)
            failed = []
            if host.process.poll() is not None:
                return [f"the process ended with {host.process.returncode}"], 0
            peak = host.peak_kb()
            if peak > MEMORY_BOUND_KB:
                failed.append(f"peak memory {peak} KB is over {MEMORY_BOUND_KB} KB")
            if self.most_descriptors > FDS_BOUND:
                failed.append(f"{self.most_descriptors} descriptors are over {FDS_BOUND}")
            if not answered:
                failed.append("an ordinary submission was not answered")
            return failed, peak
        finally:
            watch.cancel()
            for client in self.clients:
                client.socket.close()
            host.kill()


LOOPS = []  # kept until the end: a collected loop complains about the stand-ins' open connections


def run_case(program, case):
    with tempfile.TemporaryDirectory() as folder:
        running = Case(program, pathlib.Path(folder), *case)
        loop = asyncio.new_event_loop()
        LOOPS.append(loop)
        try:
            failed, peak = loop.run_until_complete(running.run())
        except SystemExit as ended:
            failed, peak = [str(ended)], 0
    print(f"{'FAILED' if failed else 'passed'}: {case[0]}: peak {peak} KB, "
          f"{running.most_descriptors} descriptors{''.join('; ' + text for text in failed)}",
          flush=True)
    return not failed


def main():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--build", required=True, type=pathlib.Path)
    parser.add_argument("--only", default="", help="run only the cases whose name has this text")
    options = parser.parse_args()
    program = str(options.build.resolve() / "briarwind-node")
    results = [run_case(program, case) for case in CASES if options.only in case[0]]
    # Exits without waiting for the connections of the stand-ins, which are still open.
    os._exit(0 if results and all(results) else 1)


if __name__ == "__main__":
    main()

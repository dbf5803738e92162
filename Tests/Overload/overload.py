#!/usr/bin/env python3
"""Clients beyond the limits at a real almondscale-host: one traffic pattern each run.

Usage: Tests/Overload/overload.py --program FILE --pattern NAME [--skip-resident-memory]

Guards against a host that is terminated by the clients it serves: each run checks that the process stays alive, that
its resident memory and open descriptors stay below those of its machine, that one ordinary request is answered while
the crowd's connections are still open, and that the largest legal request is served when the crowd has left. It checks
neither times nor shares. With --skip-resident-memory, for builds with sanitizers, which need a multiple of the memory,
the host's own account of its memory is checked instead.
"""
import argparse
import asyncio
import json
import os
import resource
import shutil
import signal
import socket
import subprocess
import sys
import tempfile

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "Soak"))
from fakes import Server, Store, read_message, response  # noqa: E402
from soak import reserve_network  # noqa: E402

MIB = 1 << 20
# The machine of the test: half of the memory and a quarter of the descriptors of the smallest one that is served. These
# are the bounds.
MEMORY_MB = 64
MAX_FDS = 1024
MAX_BODY = 4 * MIB
# Size of bodies that earlier hosts did not count.
SMALL_BODY = 255 << 10
CROWD_S = 8.0
# Only ends a test that would never end.
ANSWER_TIMEOUT_S = 60.0

MANIFEST = {
    "routes": [{"name": name, "host": "h", "pathPrefix": f"/{name}/", "kind": name, "timeoutMs": 6000,
                "targetLatencyMs": 800, "priority": 1, "service": "desk", "maxAttempts": 2}
               for name in ("safe", "unsafe")],
    "services": [{"name": "desk", "maxConnections": 1000}],
    "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": MAX_BODY, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
}


class PlainServer(Server):
    """A backend server whose response depends on the path: ordinary, slow, large or without end."""

    async def answer(self, line, fields, body, writer):
        target = line.split()[1]
        if target.startswith("/almondscale/"):
            writer.write(response(200))
            return True
        names = {"Request_Id": fields.get("request-id", ""), "Response_Signature": "s"}
        if target.endswith("/slow"):
            await asyncio.sleep(4.0)
        if target.endswith("/endless"):
            writer.write((f"HTTP/1.1 200 X\r\nRequest-Id: {names['Request_Id']}\r\nResponse-Signature: s\r\n"
                          "Transfer-Encoding: chunked\r\n\r\n").encode())
            while True:
                writer.write(b"10000\r\n" + bytes(65536) + b"\r\n")
                await writer.drain()
        answer = bytes(2 * MIB) if target.endswith("/large") else str(len(body)).encode()
        writer.write(response(200, answer, **names))
        return True


def head(path, *fields):
    head.count += 1
    lines = [f"POST {path} HTTP/1.1", "Host: h", f"Request-Id: r{head.count}", "Deadline-Ms: 6000", *fields]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


head.count = 0

# Shared by all clients of the test, so that its own memory stays small.
ZEROS = memoryview(bytes(MAX_BODY))
ONE_BYTE_CHUNKS = memoryview(b"1\r\nx\r\n" * SMALL_BODY)
CHUNK_EXTENSION = memoryview(b"a" * MIB)
CHUNKS_WITH_EXTENSIONS = memoryview((b"1;" + b"a" * 4000 + b"\r\nx\r\n") * 512)
FIELDS = memoryview(b"X-Field: aaaaaaaaaaaaaaaaaaaaaa\r\n" * 32768)
CHUNKED = "Transfer-Encoding: chunked"


async def send_pieces(send, data, size):
    for at in range(0, len(data), size):
        await send(data[at:at + size])


# Each pattern is what one client sends on a new connection; afterwards it leaves the connection open.
async def whole_bodies(send):
    await send(head("/unsafe/slow", f"Content-Length: {MIB}"))
    await send(ZEROS[:MIB])


async def bodies_in_pieces(send):
    await send(head("/unsafe/slow", f"Content-Length: {SMALL_BODY}"))
    await send_pieces(send, ZEROS[:SMALL_BODY], 4096)


async def bodies_short(send):
    await send(head("/unsafe/x", f"Content-Length: {SMALL_BODY}") + bytes(SMALL_BODY - 1))


async def large_bodies_short(send):
    await send(head("/unsafe/x", f"Content-Length: {MAX_BODY}"))
    await send_pieces(send, ZEROS[:MAX_BODY - 1], 65536)


async def announced_over(send):
    await send(head("/unsafe/x", f"Content-Length: {25 * MAX_BODY}"))
    for _ in range(25):
        await send_pieces(send, ZEROS, 65536)


async def announced_over_expecting(send):
    await send(head("/unsafe/x", f"Content-Length: {25 * MAX_BODY}", "Expect: 100-continue"))


async def sent_over(send):
    await send(head("/unsafe/x", CHUNKED))
    for _ in range(25 * MAX_BODY // 65536):
        await send(b"10000\r\n" + bytes(65536) + b"\r\n")


async def large_chunks(send):
    await send(head("/unsafe/x", CHUNKED) + b"%x\r\n" % SMALL_BODY + bytes(SMALL_BODY) + b"\r\n")


async def one_byte_chunks(send):
    await send(head("/unsafe/x", CHUNKED))
    await send_pieces(send, ONE_BYTE_CHUNKS, 65536)


async def chunk_extensions(send):
    await send(head("/unsafe/x", CHUNKED) + b"1;")
    await send_pieces(send, CHUNK_EXTENSION, 16384)


async def many_chunk_extensions(send):
    await send(head("/unsafe/x", CHUNKED))
    await send_pieces(send, CHUNKS_WITH_EXTENSIONS, 65536)


async def trailers(send):
    await send(head("/unsafe/x", CHUNKED) + b"1\r\nx\r\n0\r\n")
    await send_pieces(send, FIELDS, 16384)


async def endless_headers(send):
    await send(head("/unsafe/x")[:-2])
    await send_pieces(send, FIELDS, 4096)


async def headers_short(send):
    await send(head("/unsafe/x")[:-2] + b"X-Field: aaaaaaaaaaaaaaaaaaaaaa\r\n" * 480)


async def never_read(send):
    await send(head("/unsafe/large", "Content-Length: 0"))


async def pipelined(send):
    await send(head("/unsafe/slow", "Content-Length: 0"))
    await send_pieces(send, head("/unsafe/x", "Content-Length: 0") * 2048, 16384)


async def idle(send):
    pass


async def endless_responses(send):
    await send(head("/unsafe/endless", "Content-Length: 0"))


# By name: the clients of each kind. The counts exceed the memory or the descriptors of the machine, unless a client of
# the pattern should hold nothing.
PATTERNS = {
    "whole_bodies": [(whole_bodies, 300)],
    "bodies_in_pieces": [(bodies_in_pieces, 400)],
    "bodies_short": [(bodies_short, 400)],
    "large_bodies_short": [(large_bodies_short, 60)],
    "announced_over": [(announced_over, 100), (announced_over_expecting, 100)],
    "sent_over": [(sent_over, 100)],
    "large_chunks": [(large_chunks, 400)],
    "one_byte_chunks": [(one_byte_chunks, 400)],
    "chunk_extensions": [(chunk_extensions, 400), (many_chunk_extensions, 400)],
    "trailers": [(trailers, 800)],
    "endless_headers": [(endless_headers, 400), (headers_short, 400)],
    "never_read": [(never_read, 120)],
    "pipelined": [(pipelined, 800)],
    "idle": [(idle, 1500)],
    "out_of_descriptors": [(idle, 1500)],
    "three_at_once": [(bodies_short, 150), (one_byte_chunks, 100), (never_read, 60), (endless_responses, 20)],
}
# The operating system grants fewer descriptors than the settings state.
GRANTED_FDS = {"out_of_descriptors": 400}


class Overload:
    def __init__(self, program, pattern, check_resident):
        self.program, self.pattern, self.check_resident = program, pattern, check_resident
        self.net, self.guard = reserve_network(sorted(PATTERNS).index(pattern) * 7)
        self.folder = tempfile.mkdtemp(prefix=f"overload-{pattern}-")
        self.failures = []
        self.process = None
        self.max_fds = 0
        self.max_counted = 0
        self.budget = None
        self.over = False

    def fail(self, what):
        self.failures.append(what)

    def start_host(self):
        settings = os.path.join(self.folder, "host.conf")
        ip = f"{self.net}.1.1"
        with open(settings, "w", encoding="ascii") as file:
            file.write(f"nodeName=n0\nzone=a\nip={ip}\nlisten.front={ip}:8149\nlisten.ready={ip}:8141\n"
                       f"internalPortRange=7380,7395\nseedNodes={ip}:8144\nplatform.address={self.net}.0.1:7000\n"
                       f"limits.memoryMb={MEMORY_MB}\nlimits.maxFds={MAX_FDS}\nbounds.retryBudgetMin=56\n")
        granted = GRANTED_FDS.get(self.pattern, 4096)
        with open(os.path.join(self.folder, "host.log"), "ab") as log:
            self.process = subprocess.Popen(
                [self.program, "--settings", settings], stdout=log, stderr=log,
                preexec_fn=lambda: resource.setrlimit(resource.RLIMIT_NOFILE, (granted, granted)))

    def alive(self):
        return self.process.poll() is None

    def resident_mb(self, key):
        with open(f"/proc/{self.process.pid}/status", encoding="ascii") as file:
            return next(int(line.split()[1]) / 1024 for line in file if line.startswith(key))

    async def observe(self):
        while self.alive() and not self.over:
            try:
                self.max_fds = max(self.max_fds, len(os.listdir(f"/proc/{self.process.pid}/fd")))
            except OSError:
                pass
            if not self.check_resident:
                await self.observe_account()
            await asyncio.sleep(0.05)

    async def observe_account(self):
        """Reads the host's own account of its memory from its metrics."""
        try:
            reader, writer = await asyncio.open_connection(f"{self.net}.1.1", 8141)
            writer.write(b"GET /metrics HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
            _, _, body = await asyncio.wait_for(read_message(reader), 5)
            writer.close()
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            return
        lines = [line.split() for line in body.decode().splitlines() if not line.startswith("#")]
        self.max_counted = max([self.max_counted]
                               + [float(line[1]) for line in lines if line[0] == "almondscale_memory_held_bytes"])
        for line in lines:
            if line[0] == "almondscale_memory_budget_bytes":
                self.budget = float(line[1])

    async def connect(self, receive_buffer=None):
        connection = socket.socket()
        connection.setblocking(False)
        if receive_buffer:
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
        try:
            await asyncio.get_running_loop().sock_connect(connection, (f"{self.net}.1.1", 8149))
        except BaseException:
            connection.close()
            raise
        return connection

    async def client(self, pattern):
        """Repeats the pattern whenever the host has closed the connection, until the crowd leaves."""
        loop = asyncio.get_running_loop()
        end = loop.time() + CROWD_S
        reads = pattern not in (never_read, endless_responses)
        connection = None
        try:
            while not self.over:
                try:
                    connection = await self.connect(None if reads else 4096)
                    sending = asyncio.create_task(pattern(lambda data: loop.sock_sendall(connection, data)))
                    try:
                        while reads and await loop.sock_recv(connection, 65536):
                            pass
                        while not reads:
                            await asyncio.sleep(0.2)
                    finally:
                        sending.cancel()
                        await asyncio.gather(sending, return_exceptions=True)
                except OSError:
                    pass
                if connection:
                    connection.close()
                    connection = None
                if loop.time() > end:
                    return
                await asyncio.sleep(0.05)
        finally:
            if connection:
                connection.close()

    async def ask(self, body_size):
        """Status and body of the response to an ordinary request of that size."""
        reader, writer = await asyncio.open_connection(f"{self.net}.1.1", 8149)
        try:
            writer.write(head("/unsafe/x", f"Content-Length: {body_size}") + bytes(body_size))
            line, _, body = await asyncio.wait_for(read_message(reader), 10)
            return int(line.split()[1]), body
        finally:
            writer.transport.abort()

    async def served(self, body_size):
        """Whether a request of that size is served, with retries as an ordinary caller makes them."""
        loop = asyncio.get_running_loop()
        end = loop.time() + ANSWER_TIMEOUT_S
        while loop.time() < end and self.alive():
            try:
                if await self.ask(body_size) == (200, str(body_size).encode()):
                    return True
            except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError):
                pass
            await asyncio.sleep(0.2)
        return False

    @staticmethod
    async def register(store, server):
        while True:
            store.put("servers", "s0-1", json.dumps(
                {"service": "desk", "address": server.address, "zone": "a", "version": "v1", "slots": 6,
                 "state": "ready", "coldRemainingMs": 0, "sequence": 1, "born": 1}))
            await asyncio.sleep(1.2)

    async def run(self):
        store = Store(f"{self.net}.0.1:7000")
        server = PlainServer(f"{self.net}.4.1:8080")
        await store.start()
        await server.start()
        store.put("op", "config", json.dumps(dict(MANIFEST, version=1)))
        registering = asyncio.create_task(self.register(store, server))
        self.start_host()
        observing = asyncio.create_task(self.observe())
        try:
            if not await self.served(200):
                self.fail("no ordinary request was answered before the crowd came")
                return
            resident_before = self.resident_mb("VmRSS")
            crowd = [asyncio.create_task(self.client(kind)) for kind, count in PATTERNS[self.pattern]
                     for _ in range(count)]
            await asyncio.sleep(CROWD_S)
            if not await self.served(200):
                self.fail("no ordinary request was answered beside the crowd")
            for task in crowd:
                task.cancel()
            await asyncio.gather(*crowd, return_exceptions=True)
            if not await self.served(MAX_BODY):
                self.fail(f"no request with a body of {MAX_BODY} bytes was served after the crowd had left")
            self.check_bounds(resident_before)
        finally:
            self.over = True
            registering.cancel()
            await observing
            if self.alive():
                self.process.send_signal(signal.SIGKILL)
            self.process.wait()

    def check_bounds(self, resident_before):
        if not self.alive():
            self.fail(f"the host ended with {self.process.returncode}")
            return
        most, now = self.resident_mb("VmHWM"), self.resident_mb("VmRSS")
        print(f"{self.pattern}: resident {resident_before:.0f} MB before, {most:.0f} MB at most, {now:.0f} MB after; "
              f"{self.max_fds} descriptors at most; counted {self.max_counted / MIB:.1f} MB at most")
        if self.check_resident and most > MEMORY_MB:
            self.fail(f"resident memory of {most:.0f} MB on a machine of {MEMORY_MB} MB")
        if not self.check_resident and self.budget is None:
            self.fail("the host does not export its account of its memory")
        if not self.check_resident and self.budget is not None and self.max_counted > self.budget:
            self.fail(f"{self.max_counted} bytes counted with a budget of {self.budget}")
        if self.max_fds > MAX_FDS:
            self.fail(f"{self.max_fds} open descriptors on a machine of {MAX_FDS}")


def main():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--program", required=True, help="the almondscale-host to run")
    parser.add_argument("--pattern", required=True, choices=sorted(PATTERNS))
    parser.add_argument("--skip-resident-memory", action="store_true",
                        help="check the host's own account of its memory instead, for builds with sanitizers")
    arguments = parser.parse_args()
    hard = resource.getrlimit(resource.RLIMIT_NOFILE)[1]
    resource.setrlimit(resource.RLIMIT_NOFILE, (min(hard, 8192) if hard > 0 else 8192, hard))
    overload = Overload(os.path.abspath(arguments.program), arguments.pattern, not arguments.skip_resident_memory)
    asyncio.run(overload.run())
    for failure in overload.failures:
        print(f"{arguments.pattern}: FAILED: {failure}; log in {overload.folder}")
    if not overload.failures:
        shutil.rmtree(overload.folder)
    sys.exit(1 if overload.failures else 0)


if __name__ == "__main__":
    main()

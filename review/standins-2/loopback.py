"""Stand-ins of the platform for the cases of the second review: the store, servers, the duty interface and hosts.

They follow PROTOCOL.md and DEPLOY.md and behave like a sound platform unless a case tells them otherwise.
"""
import asyncio
import base64
import collections
import json
import os
import random
import signal
import socket
import sys
import tempfile
import time
import urllib.parse

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
# The command of the role in deploy/system.toml; it is started in the root of the repository.
HOST_PROGRAM = "target/bin/almondscale-host"
FRONT_PORT, READY_PORT, CONTROL_PORT, PEER_PORT = 8149, 8141, 8144, 7380
HEARTBEAT_S = 1.2
MAX_ROWS = 500
CANNOT_RUN = 2


class Record:
    """The case's record.txt: one line for each thing that was sent, answered or run."""

    def __init__(self, folder):
        self.started = time.monotonic()
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")

    def __call__(self, what):
        self.file.write(f"{time.monotonic() - self.started:8.3f} {what}\n")

    def close(self):
        self.file.close()


def free_network():
    """The first three octets of a loopback network in which the ports of the hosts are free."""
    for _ in range(50):
        net = f"127.{random.randrange(60, 250)}.{random.randrange(1, 250)}"
        try:
            for last in range(1, 12):
                for port in (FRONT_PORT, READY_PORT, PEER_PORT, 7000, 8080):
                    with socket.socket() as probe:
                        probe.bind((f"{net}.{last}", port))
            return net
        except OSError:
            continue
    sys.exit(CANNOT_RUN)


async def read_message(reader):
    """A request or response as (first line, fields, body)."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            fields[name.lower()] = value.strip()
    body = b""
    if fields.get("transfer-encoding", "").lower() == "chunked":
        while True:
            size = int(await reader.readuntil(b"\r\n"), 16)
            piece = await reader.readexactly(size + 2)
            if size == 0:
                break
            body += piece[:-2]
    elif "content-length" in fields:
        body = await reader.readexactly(int(fields["content-length"]))
    return lines[0], fields, body


def response(status, body=b"", **fields):
    lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}"]
    lines += [f"{name.replace('_', '-')}: {value}" for name, value in fields.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


class Server:
    """An HTTP/1.1 server whose connections can be aborted at once."""

    def __init__(self, ip, port):
        self.ip, self.port = ip, port
        self.server = None
        self.writers = set()
        self.tasks = set()

    @property
    def address(self):
        return f"{self.ip}:{self.port}"

    async def start(self):
        self.server = await asyncio.start_server(self.accept, self.ip, self.port, reuse_address=True)

    def stop(self):
        if self.server:
            self.server.close()
            self.server = None
        for writer in list(self.writers):
            writer.transport.abort()

    async def accept(self, reader, writer):
        self.writers.add(writer)
        self.tasks.add(asyncio.current_task())
        try:
            while True:
                line, fields, body = await read_message(reader)
                if not await self.answer(line, fields, body, writer):
                    break
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError, ValueError):
            pass
        finally:
            self.writers.discard(writer)
            self.tasks.discard(asyncio.current_task())
            writer.transport.abort()


class Store(Server):
    """The platform's store: tables of rows with one version counter, and a feed of changes."""

    def __init__(self, ip, port):
        super().__init__(ip, port)
        self.tables = {}
        self.version = 0
        # Rises when the store comes back from an older copy of itself.
        self.era = 1
        # The version counter before the oldest change of the feed.
        self.oldest = 0
        self.copies = collections.deque(maxlen=300)
        self.changed = asyncio.Event()
        self.started = time.monotonic()

    async def keep_copies(self):
        while True:
            if self.server:
                self.copies.append((time.monotonic(), {name: dict(rows) for name, rows in self.tables.items()},
                                    self.version))
            await asyncio.sleep(0.05)

    async def drill(self, away_s, copy_age_s, rewrite_s=0.0):
        """Is away, and comes back from a copy that was made copy_age_s before it went.

        What the operator and the servers wrote since is written again rewrite_s after the store is back.
        """
        wanted = time.monotonic() - copy_age_s
        _, tables, version = min(self.copies, key=lambda copy: abs(copy[0] - wanted))
        newest = {name: dict(self.tables.get(name, {})) for name in ("op", "servers")}
        self.stop()
        await asyncio.sleep(away_s)
        self.tables = {name: dict(rows) for name, rows in tables.items()}
        self.version, self.oldest, self.era = version, version, self.era + 1
        if rewrite_s:
            await self.start()
            await asyncio.sleep(rewrite_s)
        for name, rows in newest.items():
            for key, (value, _) in rows.items():
                if self.tables.get(name, {}).get(key, (None, 0))[0] != value:
                    self.put(name, key, value)
        if not rewrite_s:
            await self.start()

    def put(self, table, key, value):
        """Writes a row, or removes it if the value is None."""
        self.version += 1
        self.tables.setdefault(table, {})[key] = (value, self.version)
        self.wake()

    def wake(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def row(self, table, key):
        value, version = self.tables[table][key]
        found = {"table": table, "part": "", "key": key, "rowVersion": version}
        if value is None:
            found["deleted"] = True
        else:
            found["value"] = base64.b64encode(value).decode()
        return found

    def present(self, table, key):
        return self.tables.get(table, {}).get(key, (None, 0))[0] is not None

    def reply(self, writer, status, answer=None):
        if answer is not None:
            answer = {**answer, "serverTimeMs": int(1000 * (time.monotonic() - self.started))}
        writer.write(response(status, b"" if answer is None else json.dumps(answer).encode(), Store_Era=self.era))
        return True

    async def answer(self, line, fields, body, writer):
        await asyncio.sleep(0.004)
        target = urllib.parse.urlsplit(line.split()[1])
        query = {name: value[0] for name, value in urllib.parse.parse_qs(target.query).items()}
        if target.path == "/almondscale/rows-tx":
            status, answer = self.transact(json.loads(body))
            return self.reply(writer, status, answer)
        if target.path == "/almondscale/rows-get":
            return self.reply(writer, 200, self.range(query))
        if target.path == "/almondscale/rows-feed":
            return await self.feed(query, writer)
        return self.reply(writer, 404)

    def range(self, query):
        table, first, end = query["table"], query.get("from", ""), query.get("target")
        keys = sorted(key for key in self.tables.get(table, {}) if self.present(table, key) and key >= first
                      and (end is None or key < end))
        limit = min(MAX_ROWS, int(query.get("limit", MAX_ROWS)))
        return {"rows": [self.row(table, key) for key in keys[:limit]], "hasMore": len(keys) > limit,
                "rowVersion": self.version}

    async def feed(self, query, writer):
        table, after = query["table"], int(query["after"])
        if after > self.version or after < self.oldest:
            return self.reply(writer, 410)
        deadline = time.monotonic() + min(30.0, int(query["waitMs"]) / 1000)
        while True:
            rows = [self.row(table, key) for key, (_, version) in self.tables.get(table, {}).items() if version > after]
            if rows or time.monotonic() >= deadline:
                break
            try:
                await asyncio.wait_for(self.changed.wait(), deadline - time.monotonic())
            except asyncio.TimeoutError:
                pass
        rows.sort(key=lambda row: row["rowVersion"])
        return self.reply(writer, 200, {"rows": rows[:MAX_ROWS], "rowVersion": self.version})

    def transact(self, call):
        if any(row["table"] in ("op", "servers") for row in call["puts"] + call["remove"]):
            return 403, None
        current = [self.row(row["table"], row["key"]) for row in call["expected"] if self.present(row["table"], row["key"])]
        versions = {(row["table"], row["key"]): row["rowVersion"] for row in current}
        if any(versions.get((row["table"], row["key"]), 0) != row["rowVersion"] for row in call["expected"]):
            return 412, {"rows": current, "rowVersion": self.version}
        self.version += 1
        for row in call["puts"]:
            self.tables.setdefault(row["table"], {})[row["key"]] = (base64.b64decode(row["value"]), self.version)
        for row in call["remove"]:
            self.tables.setdefault(row["table"], {})[row["key"]] = (None, self.version)
        self.wake()
        return 200, {"rowVersion": self.version}


class Replica(Server):
    """A server of a plain service. It registers itself in the store and reports that it lives."""

    def __init__(self, case, name, ip, service, zone):
        super().__init__(ip, 8080)
        self.case, self.id, self.service, self.zone = case, name, service, zone
        self.sequence = 0
        self.born = int(1000 * time.time())

    def entry(self):
        return {"service": self.service, "address": self.address, "zone": self.zone, "version": "v1", "slots": 6,
                "state": "ready", "coldRemainingMs": 0, "sequence": self.sequence, "born": self.born}

    async def live(self):
        await self.start()
        while True:
            self.sequence += 1
            self.case.store.put("servers", self.id, json.dumps(self.entry()).encode())
            await asyncio.sleep(HEARTBEAT_S)

    async def answer(self, line, fields, body, writer):
        if fields.get("expect-instance", self.id) != self.id:
            writer.write(response(421, Instance_Id=self.id))
            return True
        request = fields.get("request-id")
        if request is None:
            writer.write(response(200, Instance_Id=self.id))
            return True
        self.case.on_run(self, request, fields)
        await asyncio.sleep(0.01)
        writer.write(response(200, f"answer to {request}".encode(), Request_Id=request, Response_Signature="s"))
        return True


class Host:
    """One process of almondscale-host, started with the command of the deploy file."""

    def __init__(self, case, name, ip, zone, more=""):
        self.case, self.name, self.ip, self.zone, self.more = case, name, ip, zone, more
        self.settings = os.path.join(case.folder, f"{name}.conf")
        self.process = None
        self.stdout = None
        self.started = False

    async def start(self, bootstrap):
        case = self.case
        with open(self.settings, "w", encoding="ascii") as file:
            file.write(
                f"nodeName={self.name}\nrole=host\nmachineClass=frontend\nserves=frontend,control\nip={self.ip}\n"
                f"zone={self.zone}\nregion=r\n" + "".join(f"zones.{zone}=r\n" for zone in case.zones) +
                f"listen.front={self.ip}:{FRONT_PORT}\nlisten.ready={self.ip}:{READY_PORT}\n"
                f"listen.control={self.ip}:{CONTROL_PORT}\ninternalPortRange={PEER_PORT},{PEER_PORT + 15}\n"
                f"seedNodes={','.join(f'{ip}:{CONTROL_PORT}' for ip in case.host_ips[:3])}\n"
                f"bootstrap={'true' if bootstrap else 'false'}\nlimits.cpuShare=0.25\nlimits.cpuCores=1\n"
                "limits.memoryMb=260\nlimits.maxFds=4100\nlimits.linkMbps=1000.0\nlimits.diskMb=0\n"
                f"heartbeatMs={int(1000 * HEARTBEAT_S)}\nbounds.addrReuseS=2\nbounds.stableWindowMs=3000\n"
                "bounds.drainTimeoutMs=2000\nbounds.graceS=8\nbounds.lossSlackMs=200\nbounds.configApplyMs=2000\n"
                "bounds.rollbackSlackMs=250\nbounds.retryBudgetRatio=0.2\nbounds.budgetWindowS=10\n"
                "bounds.retryBudgetMin=56\nbounds.recoveryS=12\nbounds.requireFencing=false\nbounds.leaseMs=3000\n"
                f"bounds.thawSlackMs=300\nplatform.address={case.store.address}\nplatform.form=table\n"
                "platform.maxRowBytes=65536\n" + self.more)
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        output = self.output()
        self.process = await asyncio.create_subprocess_exec(
            HOST_PROGRAM, cwd=ROOT, env={**environment, "ALMONDSCALE_BOOT": self.settings}, stdout=output, stderr=output)
        if output is not self.stdout:
            output.close()
        self.started = True
        case.record(f"start host {self.name} pid {self.process.pid}")

    def output(self):
        """Where the process writes its logs to."""
        return open(self.settings + ".log", "ab")

    def signal(self, number):
        if self.process and self.process.returncode is None:
            self.case.record(f"signal {signal.Signals(number).name} to host {self.name}")
            self.process.send_signal(number)

    async def kill(self):
        self.signal(signal.SIGKILL)
        await self.process.wait()

    async def is_ready(self):
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection(self.ip, READY_PORT), 1)
            writer.write(b"GET /almondscale/ready HTTP/1.1\r\nHost: ready\r\n\r\n")
            line, _, _ = await asyncio.wait_for(read_message(reader), 1)
            writer.close()
            return line.split()[1] == "200"
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            return False


class Case:
    """The common part of a case. A case overrides play(), which returns whether the rule held."""

    zones = ("a", "b")
    # Hosts by zone.
    hosts_per_zone = 2

    def __init__(self, folder):
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.record = Record(folder)
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.net = free_network()
        self.store = Store(f"{self.net}.1", 7000)
        count = len(self.zones) * self.hosts_per_zone
        self.host_ips = [f"{self.net}.{2 + number}" for number in range(count)]
        self.hosts = []
        self.tasks = []

    def spawn(self, coroutine):
        task = asyncio.create_task(coroutine)
        self.tasks.append(task)
        return task

    def make_hosts(self, more=""):
        self.hosts = [Host(self, f"host-{number}", ip, self.zones[number % len(self.zones)], more)
                      for number, ip in enumerate(self.host_ips)]

    def on_run(self, replica, request, fields):
        self.record(f"run {request} at {replica.id}")

    async def ready(self, seconds):
        deadline = time.monotonic() + seconds
        while time.monotonic() < deadline:
            if all([await host.is_ready() for host in self.hosts]):
                return True
            await asyncio.sleep(0.1)
        return False

    async def ask(self, host, request, path, fields=(), timeout=4.0, method="GET", body=b""):
        """Sends one request on a connection of its own; returns its status and body, or (None, reason)."""
        lines = [f"{method} {path} HTTP/1.1", "Host: h", f"Request-Id: {request}", *fields]
        if body or method == "POST":
            lines.append(f"Content-Length: {len(body)}")
        writer = None
        self.record(f"send {request} {method} {path} to {host.name}")
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection(host.ip, FRONT_PORT), 1)
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
            line, _, answer = await asyncio.wait_for(read_message(reader), timeout)
            status = int(line.split()[1])
            self.record(f"answer {request} {status}")
            return status, answer
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError) as error:
            self.record(f"no answer {request} {type(error).__name__}")
            return None, type(error).__name__
        finally:
            if writer:
                writer.close()

    async def run(self):
        try:
            await self.store.start()
            self.spawn(self.store.keep_copies())
            return await asyncio.wait_for(self.play(), 115)
        finally:
            for task in self.tasks:
                task.cancel()
            for host in self.hosts:
                if host.process and host.process.returncode is None:
                    host.process.kill()
                    await host.process.wait()
            self.end_helpers()
            self.record.close()

    def end_helpers(self):
        """Ends the other processes that the case started."""


def main(case_type, folder):
    if not os.access(os.path.join(ROOT, HOST_PROGRAM), os.X_OK):
        print("the program of the deploy file is not built")
        sys.exit(CANNOT_RUN)
    case = case_type(folder)
    try:
        held = asyncio.run(case.run())
    except (asyncio.TimeoutError, OSError) as error:
        print(f"the case could not run: {type(error).__name__} {error}")
        sys.exit(CANNOT_RUN)
    if held is None:
        sys.exit(CANNOT_RUN)
    sys.exit(0 if held else 1)

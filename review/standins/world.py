"""Stand-ins of the platform for the review: the store, replicas, entry hosts as processes, and callers.

Each class does what the pages of the platform allow a sound store, replica, operator or caller to do. Every address
is a loopback address of a network that the run reserves for itself.
"""
import asyncio
import base64
import copy
import json
import os
import random
import signal
import socket
import sys
import tempfile
import time
import traceback
import urllib.parse

ROOT = os.path.realpath(os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", ".."))
# The word of "run" in deploy/system.toml, which has no arguments.
PROGRAM = "target/bin/almondscale-host"
HEARTBEAT_S = 1.2
# The store keeps copies of itself for a drill at this interval.
COPY_INTERVAL_S = 0.1
COPIES = 200


def reserve_network():
    """The first two octets of a loopback network that no other run uses, and the socket that reserves it."""
    first = random.randrange(1, 200)
    for offset in range(200):
        net = f"127.{1 + (first + offset) % 200}"
        guard = socket.socket()
        try:
            guard.bind((f"{net}.0.1", 6998))
            return net, guard
        except OSError:
            guard.close()
    raise RuntimeError("no free loopback network")


class Record:
    """Writes what was sent, answered and run to record.txt, with the seconds since the start of the run."""

    def __init__(self, path):
        self.started = time.monotonic()
        self.file = open(path, "w", encoding="utf-8")

    def now(self):
        return time.monotonic() - self.started

    def line(self, text):
        self.file.write(f"{self.now():8.3f} {text}\n")
        self.file.flush()


async def read_message(reader):
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


def response(status, body=b"", fields=()):
    lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}"] + [f"{n}: {v}" for n, v in fields]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


class Server:
    """An HTTP server on one address that can go away with all its connections."""

    def __init__(self, address):
        self.address = address
        self.server = None
        self.writers = set()

    async def start(self):
        ip, port = self.address.split(":")
        self.server = await asyncio.start_server(self.serve, ip, int(port), reuse_address=True, limit=1 << 22)

    def stop(self):
        if self.server:
            self.server.close()
            self.server = None
        for writer in list(self.writers):
            writer.transport.abort()

    async def serve(self, reader, writer):
        self.writers.add(writer)
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
            writer.transport.abort()


class Store(Server):
    """The platform's store: rows with one version counter, a feed of changes, and drills."""

    def __init__(self, address, record):
        super().__init__(address)
        self.record = record
        self.rows = {}
        self.version = 0
        self.era = 1
        self.away = False
        self.changed = asyncio.Event()
        self.copies = []
        self.begun = time.monotonic()

    async def keep_copies(self):
        while True:
            if not self.away:
                self.copies.append((time.monotonic(), copy.deepcopy(self.rows), self.version))
                del self.copies[:-COPIES]
            await asyncio.sleep(COPY_INTERVAL_S)

    def commit(self, changes):
        """One transaction of (table, part, key, text or None); returns its version."""
        self.version += 1
        for table, part, key, value in changes:
            self.rows[table, part, key] = (value, self.version)
        self.changed.set()
        self.changed = asyncio.Event()
        return self.version

    def put(self, table, key, value):
        return self.commit([(table, "", key, value)])

    async def drill(self, away_s, copy_age_s):
        """Goes away, and comes back from a copy that is copy_age_s older than its last moment."""
        wanted = time.monotonic() - copy_age_s
        taken, rows, version = min(self.copies, key=lambda each: abs(each[0] - wanted))
        self.record.line(f"store: away for {away_s} s, at version {self.version}")
        self.away = True
        age = time.monotonic() - taken
        self.stop()
        await asyncio.sleep(away_s)
        before = self.version
        self.rows, self.version = copy.deepcopy(rows), version
        self.era += 1
        self.away = False
        await self.start()
        self.record.line(f"store: back from a copy {age:.1f} s old, era {self.era}, version {before} -> {version}")

    def answer_rows(self, status, body, writer):
        body["serverTimeMs"] = int(1000 * (time.monotonic() - self.begun))
        writer.write(response(status, json.dumps(body).encode(),
                              [("Content-Type", "application/json"), ("Store-Era", self.era)]))
        return True

    @staticmethod
    def row(name, entry):
        row = {"table": name[0], "part": name[1], "key": name[2], "rowVersion": entry[1]}
        if entry[0] is None:
            row["deleted"] = True
        else:
            row["value"] = base64.b64encode(entry[0].encode()).decode()
        return row

    def changes(self, table, after):
        found = [(n, e) for n, e in self.rows.items() if n[0] == table and e[1] > after]
        return [self.row(n, e) for n, e in sorted(found, key=lambda each: each[1][1])]

    async def answer(self, line, fields, body, writer):
        await asyncio.sleep(0.004)
        target = urllib.parse.urlsplit(line.split()[1])
        query = {k: v[0] for k, v in urllib.parse.parse_qs(target.query).items()}
        if target.path == "/almondscale/rows-tx":
            return self.transact(json.loads(body), writer)
        if target.path == "/almondscale/rows-get":
            names = sorted(n for n, e in self.rows.items() if n[0] == query["table"] and n[1] == query.get("part", "")
                           and e[0] is not None and n[2] >= query.get("from", ""))
            rows = [self.row(n, self.rows[n]) for n in names]
            return self.answer_rows(200, {"rows": rows, "hasMore": False, "rowVersion": self.version}, writer)
        if target.path == "/almondscale/rows-feed":
            after, table = int(query["after"]), query["table"]
            if after > self.version:
                return self.answer_rows(410, {}, writer)
            until = time.monotonic() + int(query.get("waitMs", 0)) / 1000
            while not self.changes(table, after) and time.monotonic() < until:
                try:
                    await asyncio.wait_for(self.changed.wait(), until - time.monotonic())
                except asyncio.TimeoutError:
                    break
            return self.answer_rows(200, {"rows": self.changes(table, after), "rowVersion": self.version}, writer)
        writer.write(response(404))
        return True

    def transact(self, call, writer):
        def name(row):
            return row["table"], row.get("part", ""), row["key"]
        if any(row["table"] in ("op", "servers") for row in call["puts"] + call["remove"]):
            return self.answer_rows(403, {}, writer)
        current, holds = [], True
        for row in call["expected"]:
            entry = self.rows.get(name(row))
            version = entry[1] if entry and entry[0] is not None else 0
            holds = holds and version == row["rowVersion"]
            if version:
                current.append(self.row(name(row), entry))
        if not holds:
            return self.answer_rows(412, {"rows": current, "rowVersion": self.version}, writer)
        version = self.commit([(*name(r), base64.b64decode(r["value"]).decode()) for r in call["puts"]]
                              + [(*name(r), None) for r in call["remove"]])
        return self.answer_rows(200, {"rowVersion": version}, writer)


class Replica(Server):
    """A sound replica of a plain service, or of an engine if it has a stage."""

    def __init__(self, world, name, address, service, zone, stage=None, slots=6, work_s=0.03):
        super().__init__(address)
        self.world, self.id, self.service, self.zone = world, name, service, zone
        self.stage, self.slots, self.work_s = stage, slots, work_s
        self.born = int(1000 * time.time())
        self.sequence, self.beats, self.busy, self.handles = 0, 0, False, 0
        # Time until the second report, which spreads the reports of the replicas.
        self.phase_s = random.uniform(0, HEARTBEAT_S)
        # Events of a stream and the pause between them.
        self.events, self.pause_s, self.switch_s = 6, 0.05, 0.5

    def register(self):
        if self.world.store.away:
            return
        self.beats += 1
        entry = {"service": self.service, "address": self.address, "zone": self.zone, "version": "v1",
                 "slots": self.slots, "state": "ready", "coldRemainingMs": 0, "sequence": self.beats,
                 "born": self.born}
        if self.stage:
            entry.update(stage=self.stage, models=[{"name": "m", "version": 1, "adapters": []}])
        self.world.store.put("servers", self.id, json.dumps(entry))

    async def heartbeat(self):
        await asyncio.sleep(self.phase_s)
        while True:
            self.register()
            await asyncio.sleep(HEARTBEAT_S)

    async def answer(self, line, fields, body, writer):
        method, target, _ = line.split()
        if fields.get("expect-instance", self.id) != self.id:
            writer.write(response(421, b"", [("Instance-Id", self.id)]))
            return True
        if target.startswith("/almondscale/"):
            return await self.control(target, body, writer)
        if target == "/healthz":
            writer.write(response(200, b"", [("Instance-Id", self.id)]))
            return True
        request = fields.get("request-id", "")
        own = [("Request-Id", request)]
        if self.stage:
            return await self.model(request, own, fields, writer)
        self.world.ran(self, request)
        await asyncio.sleep(self.work_s)
        writer.write(response(200, f"{self.service} answers {request}".encode(),
                              own + [("Response-Signature", f"{self.id}.{request}")]))
        return True

    async def model(self, request, own, fields, writer):
        prefill = fields.get("serving-stage") == "prefill"
        if prefill != (self.stage == "prefill"):
            writer.write(response(421, b"", own + [("Instance-Id", self.id)]))
            return True
        if self.busy:
            writer.write(response(503, b"", own + [("Not-Executed", 1)]))
            return True
        if prefill:
            await asyncio.sleep(0.02)
            self.handles += 1
            handle = {"kvHandle": f"{self.id}h{self.handles}", "tokens": 1000, "version": 1}
            writer.write(response(200, json.dumps(handle).encode(), own))
            return True
        self.world.ran(self, request)
        writer.write(("HTTP/1.1 200 X\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"
                      + "".join(f"{n}: {v}\r\n" for n, v in own)
                      + f"Response-Signature: {self.id}.{request}\r\n\r\n").encode())
        for number in range(int(fields.get("last-event-id") or 0) + 1, self.events + 1):
            event = f"id: {number}\ndata: {request}-{number}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
            await asyncio.sleep(self.pause_s)
            if writer.transport.is_closing():
                return False
        writer.write(b"0\r\n\r\n")
        return True

    async def control(self, target, body, writer):
        if target == "/almondscale/report":
            report = {"stage": self.stage, "models": [{"name": "m", "version": 1, "adapters": []}],
                      "busy": self.busy, "sequence": self.sequence, "queued": 0, "running": 0, "kvUsed": 0,
                      "kvTotal": 400000, "kvHandles": 0, "born": self.born}
            writer.write(response(200, json.dumps(report).encode()))
        elif target == "/almondscale/order":
            status = self.order(json.loads(body))
            writer.write(response(status))
        else:
            writer.write(response(200))
        return True

    def order(self, order):
        self.world.ordered(self, order)
        if order.get("operation") != "stage" or "holder" not in order or "fencingToken" not in order:
            return 400
        if order["stage"] == self.stage and not self.busy:
            return 200
        if self.busy or order.get("expected", self.sequence) != self.sequence:
            return 409
        self.sequence += 1
        self.busy = True
        asyncio.get_running_loop().create_task(self.switch(order["stage"]))
        return 202

    async def switch(self, stage):
        await asyncio.sleep(self.switch_s)
        self.stage, self.busy = stage, False
        self.register()


class HostProcess:
    """One entry host, started with the command of the deploy file."""

    def __init__(self, world, name, ip, zone, seeds, first_start=True):
        self.world, self.name, self.ip, self.zone = world, name, ip, zone
        self.settings = os.path.join(world.folder, f"{name}.conf")
        bounds = {"seedLagS": 3, "addrReuseS": 2, "stableWindowMs": 3000, "ackTimeoutMs": 4000, "catchUpS": 4,
                  "drainTimeoutMs": 2000, "graceS": 8, "lossSlackMs": 200, "configApplyMs": 2000,
                  "rollbackSlackMs": 250, "maxSkewMs": 5000, "retryBudgetRatio": 0.2, "budgetWindowS": 10,
                  "retryBudgetMin": 56, "recoveryS": 12, "transitMs": 120, "retryAfterS": 8.4,
                  "requireFencing": "false", "leaseMs": 3000, "thawSlackMs": 300}
        lines = [f"nodeName={name}", "role=host", "machineClass=frontend", "serves=frontend,control", f"ip={ip}",
                 f"zone={zone}", "region=bengal", f"listen.front={ip}:8149", f"listen.ready={ip}:8141",
                 f"listen.control={ip}:8144", "internalPortRange=7380,7395",
                 "seedNodes=" + ",".join(f"{seed}:8144" for seed in seeds),
                 f"bootstrap={'true' if first_start else 'false'}", "limits.cpuShare=0.25", "limits.cpuCores=1",
                 "limits.memoryMb=260", "limits.maxFds=4100", "limits.linkMbps=1000.0", "discovery=platform",
                 "entry=vip", "heartbeatMs=1200"]
        lines += [f"bounds.{key}={value}" for key, value in bounds.items()]
        lines += [f"platform.address={world.store.address}", "platform.form=table", "platform.historyS=20"]
        with open(self.settings, "w", encoding="ascii") as file:
            file.write("\n".join(lines) + "\n")
        self.process = None

    async def start(self):
        environment = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        environment["ALMONDSCALE_BOOT"] = self.settings
        log = open(os.path.join(self.world.folder, f"{self.name}.log"), "ab")
        self.process = await asyncio.create_subprocess_exec(
            os.path.join(ROOT, PROGRAM), cwd=ROOT, env=environment, stdout=log, stderr=log)
        log.close()
        self.world.record.line(f"host {self.name} started in {self.zone}")

    def send(self, number):
        self.world.record.line(f"host {self.name} gets signal {signal.Signals(number).name}")
        self.process.send_signal(number)

    async def ready(self):
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection(self.ip, 8141), 1)
            writer.write(b"GET /almondscale/ready HTTP/1.1\r\nHost: h\r\n\r\n")
            line, _, _ = await asyncio.wait_for(read_message(reader), 1)
            writer.close()
            return line.split()[1] == "200"
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            return False

    async def end(self):
        if self.process and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()


class World:
    """What all cases share: the store, replicas, hosts and the record. Cases override ran() and ordered()."""

    def __init__(self, folder):
        self.record = Record(os.path.join(folder, "record.txt"))
        self.net, self.guard = reserve_network()
        self.scratch = tempfile.TemporaryDirectory()
        self.folder = self.scratch.name
        self.store = Store(f"{self.net}.0.1:8142", self.record)
        self.replicas, self.hosts, self.tasks = [], [], []

    def spawn(self, coroutine):
        task = asyncio.get_running_loop().create_task(coroutine)
        self.tasks.append(task)
        return task

    def add_replica(self, service, zone, **options):
        number = len(self.replicas) + 1
        replica = Replica(self, f"i-{number:08x}", f"{self.net}.3.{number}:8080", service, zone, **options)
        self.replicas.append(replica)
        return replica

    def add_host(self, zone):
        number = len(self.hosts) + 1
        seeds = [f"{self.net}.1.{n}" for n in (1, 2, 3)]
        host = HostProcess(self, f"frontend-{zone}-{number}", f"{self.net}.1.{number}", zone, seeds)
        self.hosts.append(host)
        return host

    def operate(self, manifest):
        """The operator writes the manifest. Returns when the store has acknowledged it."""
        self.store.put("op", "config", json.dumps(manifest))
        self.record.line(f"operator: manifest {manifest['version']} acknowledged")
        return self.record.now()

    async def start(self, manifest):
        await self.store.start()
        self.spawn(self.store.keep_copies())
        self.operate(manifest)
        for replica in self.replicas:
            await replica.start()
            replica.register()
            self.spawn(replica.heartbeat())
        for host in self.hosts:
            await host.start()

    async def wait_ready(self, limit_s=10):
        until = time.monotonic() + limit_s
        while time.monotonic() < until:
            if all([await host.ready() for host in self.hosts]):
                return True
            await asyncio.sleep(0.1)
        return False

    async def end(self):
        for host in self.hosts:
            await host.end()
        for task in self.tasks:
            task.cancel()
        for replica in self.replicas:
            replica.stop()
        self.store.stop()
        self.guard.close()
        self.scratch.cleanup()

    def ran(self, replica, request):
        self.record.line(f"replica {replica.id} ({replica.service}) runs {request}")

    def ordered(self, replica, order):
        self.record.line(f"replica {replica.id} gets an order: {json.dumps(order)}")


def run_case(case):
    """Runs the coroutine and exits with its result: 1 broken, 0 held, 2 could not run."""
    if not os.path.exists(os.path.join(ROOT, PROGRAM)):
        print(f"{PROGRAM} is missing; build the deploy file first")
        raise SystemExit(2)

    async def limited():
        # A signal ends the case in the same way as its time does, with all processes that it started.
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, asyncio.current_task().cancel)
        try:
            return await asyncio.wait_for(case(), 110)
        except asyncio.CancelledError:
            print("the run was ended by a signal")
            return 2
        except asyncio.TimeoutError:
            print("the run took too long")
            return 2
        except Exception:
            # Without this, an error of the case would end it with the status of a broken rule.
            traceback.print_exc()
            return 2
    result = asyncio.run(limited())
    sys.stdout.flush()
    # Connections that are still open need no orderly end.
    os._exit(result)

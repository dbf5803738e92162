"""Stand-ins and helpers of the third review's cases: host processes, replicas and the store, on loopback addresses."""
import asyncio
import base64
import json
import os
import random
import shutil
import signal
import socket
import sys
import tempfile
import time
import traceback

REPOSITORY = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
sys.path.insert(0, os.path.join(REPOSITORY, "Tests", "Soak"))
from fakes import Proxy, Server, Store, read_message, response  # noqa: E402

# The program that the deploy file runs.
PROGRAM = os.environ.get("PROGRAM", os.path.join(REPOSITORY, "target", "bin", "almondscale-host"))
# Whether the disruption takes place.
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
# A free port of the network, bound by the run that uses the network.
GUARD_PORT = 6998

ENGINE = {"slots": 64, "kvCapacityTokens": 430067, "tokenKvBytes": 18432, "linkMbps": 370000.0, "handleTtlS": 5.0,
          "roleSwitchS": 3.0}
LIMITS = {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}


def route(name, kind, service, attempts=2, resumable=False, timeout=5000, **more):
    return {"name": name, "host": "h", "pathPrefix": f"/{name}/", "kind": kind, "timeoutMs": timeout,
            "targetLatencyMs": 800, "priority": 1, "service": service, "maxAttempts": attempts,
            "sticky": kind == "stream", "resumable": resumable, "targetGapMs": 400, **more}


class Host:
    """A process of the system."""

    def __init__(self, lab, number):
        self.lab, self.number = lab, number
        self.ip = f"{lab.net}.1.{number + 1}"
        self.zone = lab.host_zone(number)
        self.file = os.path.join(lab.folder, f"host{number}.conf")
        self.process = None

    def settings(self):
        lab = self.lab
        lines = {
            "nodeName": f"n{self.number}", "role": "host", "machineClass": "frontend", "serves": "frontend,control",
            "ip": self.ip, "zone": self.zone, "region": "r", "zones.a": "r", "zones.b": "r",
            "listen.front": f"{self.ip}:8149", "listen.ready": f"{self.ip}:8141", "listen.control": f"{self.ip}:8144",
            "internalPortRange": "7380,7395", "seedNodes": f"{lab.net}.1.1:8144,{lab.net}.1.2:8144",
            "bootstrap": "true" if lab.first_start else "false", "limits.cpuShare": 0.25, "limits.cpuCores": 1,
            "limits.memoryMb": 260, "limits.maxFds": 4100, "limits.linkMbps": lab.host_link(self.number),
            "heartbeatMs": 1200, "bounds.seedLagS": 3, "bounds.addrReuseS": 2, "bounds.stableWindowMs": 3000,
            "bounds.ackTimeoutMs": 4000, "bounds.catchUpS": 4, "bounds.drainTimeoutMs": 2000, "bounds.graceS": 8,
            "bounds.lossSlackMs": 200, "bounds.configApplyMs": 2000, "bounds.rollbackSlackMs": 250,
            "bounds.maxSkewMs": 5000, "bounds.retryBudgetRatio": 0.2, "bounds.budgetWindowS": 10,
            "bounds.retryBudgetMin": 56, "bounds.recoveryS": 12, "bounds.requireFencing": "false",
            "bounds.leaseMs": 3000, "bounds.thawSlackMs": 300, "platform.address": lab.store_address(self.number),
            "platform.form": "table", "platform.writesPerS": 400, "platform.readsPerS": 2000,
            "platform.maxRowBytes": 65536, "platform.historyS": 20, **lab.more_settings}
        return "".join(f"{key}={value}\n" for key, value in lines.items())

    async def start(self):
        with open(self.file, "w", encoding="ascii") as file:
            file.write(self.settings())
        with open(self.file + ".log", "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                PROGRAM, stdout=log, stderr=log, env={**os.environ, "ALMONDSCALE_BOOT": self.file})

    def alive(self):
        return self.process is not None and self.process.returncode is None

    def signal(self, number):
        if self.alive():
            self.process.send_signal(number)

    async def is_ready(self):
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection(self.ip, 8141), 0.5)
            writer.write(b"GET /almondscale/ready HTTP/1.1\r\nHost: x\r\n\r\n")
            line, _, _ = await asyncio.wait_for(read_message(reader), 0.5)
            writer.close()
            return " 200 " in line
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            return False

    async def ask(self, request, path, **options):
        """Sends a request on a channel of its own; returns (status, fields, body), or (None, reason, b"")."""
        self.lab.record(f"{request} is sent to n{self.number}")
        status, fields, answer = await self.exchange(request, path, **options)
        self.lab.record(f"{request} is answered {status}" + (f" ({fields})" if status is None else ""))
        return status, fields, answer

    async def exchange(self, request, path, body=b"x" * 100, method="POST", deadline=5000, parts=None, more="", wait_s=7.0):
        head = (f"{method} {path} HTTP/1.1\r\nHost: h\r\nRequest-Id: {request}\r\nDeadline-Ms: {deadline}\r\n"
                f"Content-Length: {len(body)}\r\n{more}")
        if parts:
            head += f"Model-Id: m\r\nToken-Count: 1000,60\r\nPrefix-Hash: {parts}\r\n"
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection(self.ip, 8149), 1)
        except (OSError, asyncio.TimeoutError) as error:
            return None, repr(error), b""
        try:
            writer.write(head.encode() + b"\r\n" + body)
            line, fields, answer = await asyncio.wait_for(read_message(reader), wait_s)
            return int(line.split()[1]), fields, answer
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.TimeoutError, ValueError) as error:
            return None, repr(error), b""
        finally:
            writer.close()


class Lab:
    """One run: its store, replicas and hosts, and the record of what was seen."""

    more_settings = {}
    first_start = True

    def __init__(self, record_file, hosts=1):
        self.record_file = record_file
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.net = self.reserve_network()
        self.store = Store(f"{self.net}.0.1:7000")
        self.replicas, self.tasks, self.broken = [], [], []
        self.version = 0
        self.started = time.monotonic()
        self.hosts = [Host(self, number) for number in range(hosts)]

    def reserve_network(self):
        for _ in range(200):
            net = f"127.{random.randint(1, 250)}"
            self.guard = socket.socket()
            try:
                self.guard.bind((f"{net}.0.1", GUARD_PORT))
                return net
            except OSError:
                self.guard.close()
        raise RuntimeError("no free loopback network")

    def host_zone(self, number):
        return "ab"[number % 2]

    def host_link(self, number):
        return 1000.0

    def store_address(self, number):
        return self.store.address

    def record(self, text):
        self.record_file.write(f"{time.monotonic() - self.started:8.3f}  {text}\n")
        self.record_file.flush()

    def break_rule(self, text):
        self.broken.append(text)
        self.record("BROKEN: " + text)

    def start_task(self, task):
        self.tasks.append(asyncio.create_task(task))
        return self.tasks[-1]

    def put_manifest(self, routes, services, **more):
        self.version += 1
        self.store.put("op", "config", json.dumps(
            {"version": self.version, "routes": routes, "services": services, "limits": LIMITS, **more}))

    async def reports(self):
        while True:
            await asyncio.sleep(1.2)
            for replica in self.replicas:
                if replica.server is not None and replica.registered:
                    replica.register()

    async def begin(self):
        """Starts all; returns when the hosts are ready."""
        await self.store.start()
        for replica in self.replicas:
            await replica.start()
            replica.register()
        for host in self.hosts:
            await host.start()
        self.start_task(self.reports())
        for host in self.hosts:
            for _ in range(100):
                if await host.is_ready():
                    break
                await asyncio.sleep(0.1)
            else:
                raise RuntimeError(f"host n{host.number} is not ready")
        self.record("the hosts are ready")

    def end(self):
        for host in self.hosts:
            host.signal(signal.SIGCONT)
            host.signal(signal.SIGKILL)


class Replica(Server):
    """A sound replica: a plain one, or an engine with a stage."""

    def __init__(self, lab, name, service, number, stage=None, zone="a"):
        super().__init__(f"{lab.net}.4.{number}:8080")
        self.lab, self.name, self.service, self.stage, self.zone = lab, name, service, stage, zone
        self.state, self.registered = "ready", True
        self.lives, self.sequence, self.orders = 1, 0, 0
        self.born = int(1000 * time.time())
        lab.replicas.append(self)

    @property
    def id(self):
        return f"i-{self.name}-{self.lives}"

    def entry(self):
        entry = {"service": self.service, "address": self.address, "zone": self.zone, "version": "v1",
                 "slots": 64 if self.stage else 6, "state": self.state, "coldRemainingMs": 0,
                 "sequence": self.sequence, "born": self.born}
        if self.stage:
            entry.update(stage=self.stage, models=[{"name": "m", "version": 1, "adapters": []}])
        return entry

    def register(self):
        self.sequence += 1
        self.registered = True
        self.lab.store.put("servers", self.id, json.dumps(self.entry()))

    def remove_entry(self):
        self.registered = False
        self.lab.store.put("servers", self.id, None)

    async def restart(self, after_s):
        """Crashes, and is back under a new id."""
        self.crash()
        old, self.registered = self.id, False
        await asyncio.sleep(after_s)
        self.lab.store.put("servers", old, None)
        self.lives += 1
        self.born, self.sequence, self.orders = int(1000 * time.time()), 0, 0
        await self.start()
        self.register()

    async def answer(self, line, fields, body, writer):
        method, target, _ = line.split()
        if target.startswith("/almondscale/"):
            return self.control(target, body, writer)
        wanted, request = fields.get("expect-instance"), fields.get("request-id", "")
        if wanted and wanted != self.id:
            writer.write(response(421, Instance_Id=self.id, Request_Id=request))
            return True
        self.lab.record(f"{request} " + ("is prefilled by" if fields.get("serving-stage") == "prefill" else "runs at")
                        + f" {self.id}")
        return await self.run(method, target, request, fields, body, writer)

    def control(self, target, body, writer):
        if target.endswith("/report"):
            report = {"stage": self.stage, "models": [], "busy": False, "sequence": self.orders, "born": self.born}
            writer.write(response(200, json.dumps(report).encode()))
            return True
        if target.endswith("/order"):
            order = json.loads(body)
            if order.get("expected", self.orders) != self.orders:
                writer.write(response(409))
            elif order["stage"] == self.stage:
                writer.write(response(200))
            else:
                self.orders += 1
                self.stage = order["stage"]
                self.register()
                writer.write(response(202))
            return True
        writer.write(response(200))
        return True

    async def run(self, method, target, request, fields, body, writer):
        if fields.get("serving-stage") == "prefill":
            handle = {"kvHandle": f"{random.getrandbits(48):012x}", "tokens": 1000, "version": 1}
            await asyncio.sleep(0.01)
            writer.write(response(200, json.dumps(handle).encode(), Request_Id=request))
            return True
        if self.stage:
            return await self.stream(request, fields, writer)
        await asyncio.sleep(0.03)
        writer.write(response(200, f"answer to {request}".encode(), Request_Id=request, Response_Signature="s"))
        return True

    async def stream(self, request, fields, writer, events=6, pause_s=0.02, **more):
        head = "".join(f"{name.replace('_', '-')}: {value}\r\n" for name, value in more.items())
        writer.write((f"HTTP/1.1 200 OK\r\nRequest-Id: {request}\r\nResponse-Signature: s\r\n{head}"
                      "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n").encode())
        for event in range(int(fields.get("last-event-id") or 0) + 1, events + 1):
            text = f"id: {event}\ndata: {request}-{event}\n\n".encode()
            writer.write(b"%x\r\n" % len(text) + text + b"\r\n")
            await writer.drain()
            await asyncio.sleep(pause_s)
        writer.write(b"0\r\n\r\n")
        return True


def play(make_lab, record_path, limit_s=110):
    """Plays a case and writes its record; exits with 1 if a rule was broken, 0 if it held, 2 if it could not run."""
    record_file = open(record_path, "w", encoding="utf-8")

    async def run():
        asyncio.get_running_loop().set_exception_handler(lambda loop, context: None)
        try:
            await asyncio.wait_for(lab.play(), limit_s)
        finally:
            lab.end()
            for task in lab.tasks:
                task.cancel()
            await asyncio.sleep(0.2)
            shutil.rmtree(lab.folder, ignore_errors=True)

    try:
        lab = make_lab(record_file)
        asyncio.run(run())
    except Exception:  # noqa: BLE001
        record_file.write("could not run: " + traceback.format_exc())
        record_file.close()
        print("could not run; see record.txt")
        sys.exit(2)
    verdict = "broken: " + lab.broken[0] if lab.broken else "held"
    lab.record("verdict: " + verdict)
    print(verdict)
    sys.exit(1 if lab.broken else 0)

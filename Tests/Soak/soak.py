#!/usr/bin/env python3
"""A randomized soak: real almondscale-host processes with a fake platform, fake backend servers and callers.

Usage: Tests/Soak/soak.py --program FILE [--seeds FIRST-LAST] [--parallel N] [--hosts N]

Each seed runs about 25 s of traffic with overlapping faults and a final phase without faults, and checks the
guarantees of docs/PROMISES.md as observed by callers and backend servers. Processes are killed by their ids only.
"""
import argparse
import asyncio
import json
import os
import random
import signal
import socket
import sys
import tempfile
import time

from fakes import Backend, Proxy, Store, read_message

# Time from the start of the hosts to the first caller.
START_S = 5.5
FAULTS_S = 12.0
CALM_S = 8.0
# A run takes less than half of this.
RUN_TIMEOUT_S = 75.0
# A server that announced its shutdown gets no new request after this time: the platform's bound and a margin for
# scheduling delays of the test machine.
DRAIN_S = 2.3
# A host acts on a notice in a server's response within this time.
NOTICE_DELAY_S = 0.5
# Number of requests of a host that may reach a server during a backoff that it asked for.
MAX_REQUESTS_IN_BACKOFF = 2
# Number of loopback networks that runs choose from; 127.0 and the last ones are left to other programs.
NETWORK_COUNT = 250
# A run keeps this port of its network bound, which reserves the network. No program of the soak uses the port.
GUARD_PORT = 6999
HOSTS_TABLE = "almondscale-hosts"
PEER_PORT = 7380
# Minimum share of the requests of the final phase that are served.
MIN_SERVED_SHARE = 0.95

MANIFEST = {
    "routes": [
        {"name": name, "host": "h", "pathPrefix": f"/{name}/", "kind": kind, "timeoutMs": 3000,
         "targetLatencyMs": 800, "priority": 1, "service": service, "maxAttempts": attempts, "sticky": kind == "stream",
         "resumable": resumable, "targetGapMs": 400}
        for name, kind, service, attempts, resumable in [
            ("safe", "safe", "desk", 2, False), ("unsafe", "unsafe", "desk", 2, False),
            ("stream", "stream", "llm", 2, True), ("once", "stream", "llm", 1, False)]],
    "services": [{"name": "desk", "maxConnections": 200},
                 {"name": "llm", "maxConnections": 200,
                  "engine": {"slots": 64, "kvCapacityTokens": 400000, "tokenKvBytes": 18432, "handleTtlS": 5.0,
                             "roleSwitchS": 0.1}}],
    "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 1000000, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
}


def reserve_network(seed):
    """Reserves an unused /16 of the loopback network; returns its first two octets and the socket that reserves it."""
    for offset in range(NETWORK_COUNT):
        net = f"127.{1 + (seed + offset) % NETWORK_COUNT}"
        guard = socket.socket()
        try:
            guard.bind((f"{net}.0.1", GUARD_PORT))
            return net, guard
        except OSError:
            guard.close()
    sys.exit(f"all {NETWORK_COUNT} loopback nets are in use; end other runs of the soak first")


class HostProcess:
    """An almondscale-host process that the soak starts, signals and monitors."""

    def __init__(self, world, number):
        self.world, self.number = world, number
        # Instead of the world's program.
        self.program = None
        self.ip = f"{world.net}.1.{number + 1}"
        self.settings = os.path.join(world.folder, f"host{number}.conf")
        self.process = None
        self.ended_by_us = False
        self.stopping_since = None
        self.ready = False
        # Stopped by SIGSTOP until this time.
        self.paused_until = 0.0

    async def start(self):
        with open(self.settings, "w", encoding="ascii") as file:
            file.write(f"nodeName=n{self.number}\nzone={'ab'[self.number % 2]}\nip={self.ip}\n"
                       f"listen.front={self.ip}:8149\nlisten.ready={self.ip}:8141\ninternalPortRange=7380,7395\n"
                       f"seedNodes={self.world.net}.1.1:8144,{self.world.net}.1.2:8144\n"
                       f"platform.address={self.world.store_proxies[self.number].address}\nbounds.graceS=6\n"
                       f"limits.cpuShare=0.25\nlimits.linkMbps={100 + self.number}\n"
                       "bounds.retryBudgetMin=56\nbounds.leaseMs=3000\n" + self.world.more_settings)
        self.ended_by_us, self.stopping_since = False, None
        with open(self.settings + ".log", "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                self.program or self.world.program, "--settings", self.settings, stdout=log, stderr=log)
        asyncio.create_task(self.watch(self.process))

    async def watch(self, process):
        code = await process.wait()
        if not self.ended_by_us and not self.world.over:
            self.world.fail(f"host n{self.number} ended by itself with {code}")

    def signal(self, number):
        if self.process and self.process.returncode is None:
            self.process.send_signal(number)

    async def end(self, number):
        self.ended_by_us = True
        self.stopping_since = time.monotonic()
        self.signal(signal.SIGCONT)
        self.signal(number)
        if self.process:
            try:
                await asyncio.wait_for(self.process.wait(), 8)
            except asyncio.TimeoutError:
                self.world.fail(f"host n{self.number} did not end within its grace")
                self.signal(signal.SIGKILL)
                await self.process.wait()


class World:
    """One seed's run."""

    backend_type = Backend
    # Further lines of each host's settings.
    more_settings = ""

    def __init__(self, program, seed, hosts, folder):
        self.program, self.seed, self.folder = program, seed, folder
        self.random = random.Random(seed)
        # Separate generators, so that the other faults of a seed do not depend on these draws.
        self.row_random, self.clock_random = random.Random(f"rows {seed}"), random.Random(f"clocks {seed}")
        self.odd_random = random.Random(f"odd {seed}")
        self.manifest_version = 1
        # Further lines of the hosts' settings, and further members of the services of the manifest, by name.
        self.extra_members = {}
        self.net, self.guard = reserve_network(seed)
        self.store = Store(f"{self.net}.0.1:7000")
        self.failures = []
        # Lines that are added to the settings of each host.
        self.over = False
        self.unplanned_until = 0.0
        self.runs = {}
        # The host that each request was sent to, and when.
        self.asked = {}
        # By server identity and host process: time of the first shutdown notice; start and end of the backoff.
        self.left, self.pauses, self.in_pause = {}, {}, {}
        self.refused = set()
        self.counts = {"asked": 0, "served": 0, "calm_asked": 0, "calm_served": 0}
        self.calm = False
        self.calm_at = 0.0
        self.orders = []
        self.store_proxies = [Proxy(f"{self.net}.2.{i + 1}:7000", self.store.address) for i in range(hosts)]
        self.backends, self.backend_proxies, self.peer_proxies = [], [], []
        for i in range(8):
            role = None if i < 3 else ("prefill" if i < 6 else "decode")
            proxy = Proxy(f"{self.net}.3.{i + 1}:8080", f"{self.net}.4.{i + 1}:8080")
            self.backend_proxies.append(proxy)
            self.backends.append(self.backend_type(self, f"s{i}", proxy.target, proxy.address, role))
        self.hosts = [HostProcess(self, i) for i in range(hosts)]

    def add_peer_proxies(self):
        """Puts a proxy in front of the port at which each host accepts the connections of other hosts."""
        self.peer_proxies = [Proxy(f"{self.net}.5.{i + 1}:{PEER_PORT}", f"{self.net}.1.{i + 1}:{PEER_PORT}")
                             for i in range(len(self.hosts))]
        self.store.stored_value = self.behind_peer_proxy

    def behind_peer_proxy(self, table, key, value):
        if table != HOSTS_TABLE or value is None:
            return value
        host = json.loads(value)
        host["peers"] = host["peers"].replace(f"{self.net}.1.", f"{self.net}.5.")
        return json.dumps(host)

    def fail(self, what):
        self.failures.append(f"{time.monotonic() - self.started:.2f} s: {what}")

    def unplanned(self, seconds):
        """Suspends the guarantees about planned shutdowns and about time, which do not hold during unplanned faults."""
        self.unplanned_until = max(self.unplanned_until, time.monotonic() + seconds)

    # Checks of what the backend servers observe.
    def on_run(self, request, backend):
        runs = self.runs.setdefault(request, [])
        runs.append(backend.identity)
        if request.startswith(("unsafe", "once")) and len(runs) > 1:
            self.fail(f"request {request} ran {len(runs)} times, at {runs}")
        if request in self.refused and request.startswith(("unsafe", "once")):
            self.fail(f"request {request} was refused as not run and ran at {backend.identity}")

    def ends_under(self, backend, request, target, prefill):
        """Whether the request makes the server crash now; none does in this world."""
        return False

    def may_be_refused(self, request):
        """Whether the request crashes the servers that run it, so that hosts may refuse it."""
        return False

    def on_event(self, request):
        """An engine sends an event of the request's stream."""

    def on_leaving_answer(self, backend, request):
        host, _ = self.asked[request]
        self.left.setdefault((backend.identity, host.process), time.monotonic())

    def on_limit_answer(self, backend, request):
        """The server names its limit to the host that sent the request."""

    def max_backoff_s(self):
        """The longest backoff in seconds: backoffs end before the final phase, in which all callers are to be served."""
        return max(0.1, self.calm_at - NOTICE_DELAY_S - time.monotonic())

    def on_pause_answer(self, backend, request, seconds):
        host, _ = self.asked[request]
        key, now = (backend.identity, host.process), time.monotonic()
        since, until = self.pauses.get(key, (now, 0))
        if until < now:
            since, self.in_pause[key] = now, 0
        self.pauses[key] = (since, max(until, now + seconds))

    def on_arrival(self, backend, request):
        host, asked_at = self.asked[request]
        key, now = (backend.identity, host.process), time.monotonic()
        if asked_at > self.left.get(key, 1e12) + NOTICE_DELAY_S and now > host.paused_until + NOTICE_DELAY_S:
            self.fail(f"request {request}, sent {asked_at - self.left[key]:.2f} s after n{host.number} passed on that "
                      f"{backend.identity} leaves, reached it")
        since, until = self.pauses.get(key, (1e12, 0))
        if since + NOTICE_DELAY_S < now < until and now > host.paused_until + NOTICE_DELAY_S:
            self.in_pause[key] += 1
            if self.in_pause[key] > MAX_REQUESTS_IN_BACKOFF:
                self.fail(f"{self.in_pause[key]} requests reached {backend.identity} from n{host.number} "
                          f"{until - now:.2f} s before the end of the pause it had asked for")

    def on_late_arrival(self, backend, request):
        late = time.monotonic() - backend.left_at
        if backend.state == "draining" and late > DRAIN_S and time.monotonic() > self.unplanned_until + 3:
            self.fail(f"request {request} reached {backend.identity} {late:.2f} s after it said that it leaves")

    def on_order(self, backend, order):
        self.orders.append((time.monotonic(), order["holder"], order["fencingToken"], backend.identity))
        for at, holder, fence, _ in self.orders[:-1]:
            if holder != order["holder"] and fence >= order["fencingToken"]:
                self.fail(f"order of {order['holder']} with fence {order['fencingToken']} after fence {fence} of {holder}")
            if holder != order["holder"] and time.monotonic() - at < 3:
                self.fail(f"holders {holder} and {order['holder']} gave orders within a lease's time")

    # Callers.
    async def caller(self, number):
        reader = writer = host = None
        sequence = 0
        rng = random.Random(self.seed * 1000 + number)
        while not self.over:
            await asyncio.sleep(rng.uniform(0.02, 0.12))
            if writer is None or writer.is_closing() or rng.random() < 0.1:
                if writer:
                    writer.close()
                    writer = None
                hosts = [each for each in self.hosts if each.ready] or self.hosts
                host = rng.choice(hosts)
                try:
                    reader, writer = await asyncio.wait_for(asyncio.open_connection(host.ip, 8149), 1)
                except (OSError, asyncio.TimeoutError):
                    writer = None
                    continue
            sequence += 1
            kind = rng.choice(["safe", "unsafe", "stream", "once"])
            if not await self.request(f"{kind}-{number}-{sequence}", kind, reader, writer, host):
                writer.close()
                writer = None

    async def request(self, request, kind, reader, writer, host):
        body = b"x" * 200 if kind != "safe" else b""
        head = (f"{'GET' if kind == 'safe' else 'POST'} /{kind}/x HTTP/1.1\r\nHost: h\r\nRequest-Id: {request}\r\n"
                f"Deadline-Ms: 2500\r\nContent-Length: {len(body)}\r\n")
        if kind in ("stream", "once"):
            head += "Model-Id: m\r\nToken-Count: 1000,60\r\nPrefix-Hash: aa:800,bb:200\r\n"
        calm, asked_at = self.calm, time.monotonic()
        self.asked[request] = (host, asked_at)
        self.counts["asked"] += 1
        self.counts["calm_asked"] += calm
        try:
            writer.write(head.encode() + b"\r\n" + body)
            line, fields, answer = await asyncio.wait_for(read_message(reader), 4)
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.TimeoutError, ValueError) as error:
            self.check_cut(request, kind, host, asked_at, error)
            return False
        status = int(line.split()[1])
        self.check_answer(request, kind, status, fields, answer)
        if status == 200:
            self.counts["served"] += 1
            self.counts["calm_served"] += calm
        return fields.get("connection", "").lower() != "close"

    async def ask_alone(self, request, kind, message):
        """Sends the message on a connection of its own to a random host; returns its status, or None if that failed."""
        host = random.choice([each for each in self.hosts if each.ready] or self.hosts)
        self.asked[request] = (host, time.monotonic())
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection(host.ip, 8149), 1)
        except (OSError, asyncio.TimeoutError):
            return None
        try:
            writer.write(message)
            line, fields, answer = await asyncio.wait_for(read_message(reader), 4)
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.TimeoutError, ValueError):
            return None
        finally:
            writer.close()
        status = int(line.split()[1])
        self.check_answer(request, kind, status, fields, answer)
        return status

    def check_answer(self, request, kind, status, fields, answer):
        if status in (429, 503, 408, 421):
            self.refused.add(request)
            if self.runs.get(request) and kind in ("unsafe", "once"):
                self.fail(f"request {request} was answered {status} and had run at {self.runs[request]}")
        if b"crashing_request" in answer and not self.may_be_refused(request):
            self.fail(f"request {request} was refused as one that ends servers")
        if status != 200:
            return
        if fields.get("request-id") != request or "response-signature" not in fields:
            self.fail(f"request {request} got an answer that is not its own: {fields}")
        expected = f"answer to {request}"
        if kind in ("stream", "once"):
            expected = "".join(f"id: {event}\ndata: {request}-{event}\n\n" for event in range(1, 7))
        if answer.decode() != expected:
            self.fail(f"request {request} got another body than its own: {answer[:200]!r}")

    def check_cut(self, request, kind, host, asked_at, error):
        planned = host.stopping_since is not None and time.monotonic() - host.stopping_since < 7
        ran = bool(self.runs.get(request))
        if planned and ran and asked_at > self.unplanned_until + 3:
            self.fail(f"request {request} was cut by a planned stop of n{host.number}: {error!r}")

    # Faults.
    async def faults(self):
        # Faults that lose responses are more frequent, because they are the ones that can make retries go wrong.
        actions = [self.store_fault, self.store_drill, self.host_kill, self.host_pause, self.host_term,
                   self.backend_drain, self.store_link_fault] + 2 * [self.backend_crash, self.link_fault] + 4 * [self.backend_mode]
        end = time.monotonic() + FAULTS_S
        under_way = []
        while time.monotonic() < end:
            under_way.append(asyncio.create_task(self.random.choice(actions)()))
            await asyncio.sleep(self.random.uniform(0.1, 1.0))
        await asyncio.gather(*under_way)

    def span(self):
        return self.random.uniform(0.5, 4.0)

    async def store_fault(self):
        span = self.span()
        self.unplanned(span)
        self.store.mode = self.random.choice(["silent", "busy", "slow", "lossy"])
        await asyncio.sleep(span)
        self.store.mode = "sound"

    async def store_drill(self):
        """The store comes back from an older copy; the operator and the live servers write again what is gone."""
        span = self.span()
        self.unplanned(span / 2 + 2)
        if self.store.server is None:
            return
        await self.store.drill(span / 4, span)
        self.put_manifest()
        await asyncio.sleep(2)
        # The platform removes the entries of servers that are gone.
        alive = {backend.identity for backend in self.backends if backend.server is not None}
        for key, (value, _, _) in list(self.store.tables.get("servers", {}).items()):
            if value is not None and key != "odd" and key not in alive:
                self.store.put("servers", key, None)

    async def host_kill(self):
        span = self.span()
        self.unplanned(span + 1)
        host = self.random.choice(self.hosts)
        if not host.ended_by_us:
            await host.end(signal.SIGKILL)
            await asyncio.sleep(span / 4)
            await host.start()

    async def host_pause(self):
        span = self.span()
        self.unplanned(span + 1)
        host = self.random.choice(self.hosts)
        host.signal(signal.SIGSTOP)
        host.paused_until = max(host.paused_until, time.monotonic() + span)
        await asyncio.sleep(span)
        host.signal(signal.SIGCONT)

    async def host_term(self):
        host = self.random.choice(self.hosts)
        if not host.ended_by_us:
            await host.end(signal.SIGTERM)
            await host.start()

    async def row_faults(self):
        """Replaces rows of the store by undecodable values for a while."""
        end = time.monotonic() + FAULTS_S
        while time.monotonic() < end:
            await asyncio.sleep(self.row_random.uniform(0.5, 3.0))
            span = self.row_random.uniform(0.3, 2.0)
            backend = self.row_random.choice([None] + self.backends)
            self.unplanned(span)
            broken = self.row_random.choice(["", "{", "\x01\x02", "[]", '{"version":"x"}', "null"])
            if backend is None:
                self.store.put("op", "config", broken)
                await asyncio.sleep(span)
                self.put_manifest()
            elif not backend.ending:
                identity = backend.identity
                self.store.put("servers", identity, broken)
                await asyncio.sleep(span)
                if backend.identity == identity and not backend.ending:
                    backend.register()

    async def odd_rows(self):
        """Keeps one entry of another writer among those of the servers, which names no server to use."""
        entry = ('{"service":"desk","address":"%s","zone":"a","version":"v1","slots":6,"state":%s,"coldRemainingMs":0,"sequence":1,"born":%s}')
        odd = ["[" * 20000 + "]" * 20000, '{"service":' * 5000 + "1" + "}" * 5000,
               entry % (self.backends[0].seen_at, '"ready"', "123456789012345678901234567890"),
               entry % ("127.0.0.1:70000", '"ready"', "1"), entry % ("127.0.0.1:-1", '"ready"', "1"),
               entry % (self.backends[0].seen_at, "3", "1"), entry % (self.backends[0].seen_at, '"ready"', "1e999"),
               "\udcff\udcfe", entry % ("\udcff", '"ready"', "1")]
        while not self.over:
            self.store.put("servers", "odd", self.odd_random.choice(odd))
            await asyncio.sleep(self.odd_random.uniform(0.3, 1.5))

    def summary(self):
        return (f"asked={self.counts['asked']} served={self.counts['served']} "
                f"calm={self.counts['calm_served']}/{self.counts['calm_asked']} orders={len(self.orders)}")

    def put_manifest(self, **changes):
        """Writes a new version of the manifest; `changes` replace fields of the routes and engines that have them."""
        manifest = json.loads(json.dumps({**MANIFEST, "version": self.manifest_version}))
        for entry in manifest["routes"] + [each["engine"] for each in manifest["services"] if "engine" in each]:
            entry.update({name: value for name, value in changes.items() if name in entry})
        for service in manifest["services"]:
            service.update(self.extra_members.get(service["name"], {}))
        self.store.put("op", "config", json.dumps(manifest))
        self.manifest_version += 1

    async def backend_crash(self):
        backend = self.random.choice(self.backends)
        if backend.ending:
            return
        backend.ending = True
        span = self.span()
        self.unplanned(span)
        old = backend.identity
        backend.crash()
        await asyncio.sleep(span)
        self.store.put("servers", old, None)
        await backend.live()

    async def backend_mode(self):
        backend = self.random.choice(self.backends)
        span = self.span()
        self.unplanned(span)
        backend.mode = self.random.choice(["shed", "lose", "lose", "slow", "pause"])
        await asyncio.sleep(span)
        backend.mode = "sound"

    async def backend_drain(self):
        backend = self.random.choice(self.backends)
        if backend.ending:
            return
        backend.ending = True
        old = backend.identity
        backend.left_at = time.monotonic()
        # Some servers announce their shutdown only in responses and never in their registration.
        if self.random.random() < 0.5:
            backend.state = "draining"
            backend.register()
            await asyncio.sleep(3.5)
        else:
            self.unplanned(6)
            await asyncio.sleep(5.5)
        backend.crash()
        self.store.put("servers", old, None)
        await backend.live()

    async def link_fault(self):
        await self.proxy_fault(self.random.choice(self.backend_proxies))

    async def store_link_fault(self):
        await self.proxy_fault(self.random.choice(self.store_proxies))

    async def proxy_fault(self, proxy):
        span = self.span()
        self.unplanned(span)
        mode = self.random.choice(["delay", "reset", "silent", "one_way", "refuse"])
        if mode == "reset":
            proxy.reset()
            return
        proxy.mode = mode
        await asyncio.sleep(span)
        # Dropped bytes are not retransmitted, so connections that lost bytes cannot continue.
        if mode in ("silent", "one_way"):
            proxy.reset()
        proxy.mode = "sound"

    async def heartbeats(self):
        while not self.over:
            await asyncio.sleep(1.2)
            for backend in self.backends:
                if backend.server is not None:
                    backend.register()

    async def rotation(self):
        """Polls the readiness of each host, like the platform's load balancer."""
        while not self.over:
            for host in self.hosts:
                host.ready = await self.is_ready(host)
            await asyncio.sleep(0.4)

    @staticmethod
    async def is_ready(host):
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection(host.ip, 8141), 0.5)
            writer.write(b"GET /almondscale/ready HTTP/1.1\r\nHost: x\r\n\r\n")
            line, _, _ = await asyncio.wait_for(read_message(reader), 0.5)
            writer.close()
            return " 200 " in line
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            return False

    async def begin(self):
        """Starts the fakes and the hosts; returns the tasks that run until the end."""
        self.started = time.monotonic()
        await self.store.start()
        for proxy in self.store_proxies + self.backend_proxies + self.peer_proxies:
            await proxy.start()
        for backend in self.backends:
            await backend.live()
        self.put_manifest()
        for host in self.hosts:
            await host.start()
        tasks = [asyncio.create_task(task)
                 for task in [self.heartbeats(), self.rotation(), self.store.keep_copies()]]
        await asyncio.sleep(START_S)
        return tasks

    async def play(self):
        tasks = await self.begin()
        self.calm_at = time.monotonic() + FAULTS_S + CALM_S / 2
        tasks += [asyncio.create_task(self.caller(number)) for number in range(12)]
        tasks.append(asyncio.create_task(self.odd_rows()))
        await asyncio.gather(self.faults(), self.row_faults())
        await asyncio.sleep(CALM_S / 2)
        self.calm = True
        await asyncio.sleep(CALM_S / 2)
        self.calm = False
        await asyncio.sleep(0.5)
        if self.counts["calm_served"] < MIN_SERVED_SHARE * self.counts["calm_asked"]:
            self.fail(f"of {self.counts['calm_asked']} requests after the faults only "
                      f"{self.counts['calm_served']} were served")
        if self.counts["calm_asked"] < 50:
            self.fail(f"only {self.counts['calm_asked']} requests were asked after the faults")
        self.over = True
        for task in tasks:
            task.cancel()


def run_world(world):
    """Runs one world; returns whether all checks passed."""

    async def run():
        asyncio.get_running_loop().set_exception_handler(lambda loop, context: None)
        played = asyncio.create_task(world.play())
        done, _ = await asyncio.wait([played], timeout=RUN_TIMEOUT_S)
        if not done:
            world.fail("the run did not end; its tasks wait at:")
            for task in asyncio.all_tasks():
                frames = [f"{frame.f_code.co_name}:{frame.f_lineno}" for frame in task.get_stack()]
                print("  ", task.get_coro().__name__, " ".join(frames), flush=True)
        elif played.exception():
            world.fail(f"the soak itself failed: {played.exception()!r}")
        world.over = True
        # Kills only processes that this run started, by their ids.
        for host in world.hosts:
            host.ended_by_us = True
            host.signal(signal.SIGCONT)
            host.signal(signal.SIGKILL)
        await asyncio.sleep(0.2)

    asyncio.run(run())
    verdict = "failed" if world.failures else "passed"
    print(f"seed={world.seed} {verdict} {world.summary()}" + (f" logs={world.folder}" if world.failures else ""),
          flush=True)
    for failure in world.failures[:10]:
        print(f"  {failure}", flush=True)
    return not world.failures


def run_seeds(seeds, parallel, play_seed):
    """Runs the seeds FIRST-LAST, each in a process of its own; returns whether all passed."""
    first, _, last = seeds.partition("-")
    waiting = list(range(int(first), int(last or first) + 1))
    running, passed, failed = {}, 0, 0
    while waiting or running:
        while waiting and len(running) < parallel:
            seed = waiting.pop(0)
            child = os.fork()
            if child == 0:
                os._exit(0 if play_seed(seed) else 1)
            running[child] = seed
        child, status = os.wait()
        running.pop(child)
        passed, failed = passed + (status == 0), failed + (status != 0)
    print(f"{passed} passed, {failed} failed")
    return failed == 0


def main():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--program", required=True, help="the almondscale-host to run")
    parser.add_argument("--seeds", default="1-1", help="FIRST-LAST")
    parser.add_argument("--parallel", type=int, default=1)
    parser.add_argument("--hosts", type=int, default=4)
    arguments = parser.parse_args()
    program = os.path.abspath(arguments.program)

    def play_seed(seed):
        random.seed(seed)
        return run_world(World(program, seed, arguments.hosts, tempfile.mkdtemp(prefix=f"soak-{seed}-")))

    sys.exit(0 if run_seeds(arguments.seeds, arguments.parallel, play_seed) else 1)


if __name__ == "__main__":
    main()

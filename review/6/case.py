"""Two usage reports for one window with different counts, after a drill of the store and a kill of the holder."""
import asyncio
import json
import os
import random
import signal
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "standins-2"))
from loopback import Case, Replica, Server, main, response  # noqa: E402

WINDOW_S, LATE_S = 5, 10
TENANTS = ["t1", "t2", "t3"]
# The store is away for a moment, and comes back from a copy some seconds old.
AWAY_S, COPY_AGE_S = float(os.environ.get("AWAY", "0.5")), float(os.environ.get("COPY_AGE", "4"))
KILL = os.environ.get("KILL", "1") != "0"
DRILL = os.environ.get("DRILL", "1") != "0"
RESTART_S = 1.0
START_GAP_S = float(os.environ.get("START_GAP", "0.28"))
CALM_WINDOWS = 3
WATCH_S = 25
MANIFEST = {
    "version": 1,
    "routes": [{"name": "read", "host": "h", "pathPrefix": "/read/", "kind": "safe", "timeoutMs": 3000,
                "targetLatencyMs": 500, "priority": 1, "service": "desk", "maxAttempts": 2, "allowAnonymous": False}],
    "services": [{"name": "desk", "healthPath": "/healthz", "maxConnections": 200, "protocol": "h1", "tls": False}],
    "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
    "tenants": [{"name": name, "apiKeys": [f"key-{name}"]} for name in TENANTS],
}


class Platform(Server):
    """Takes the usage reports, and does not check fence numbers (requireFencing is false)."""

    def __init__(self, case, ip, port):
        super().__init__(ip, port)
        self.case = case
        # The bodies that were accepted, by window, in order, with holder and fence number.
        self.accepted = {}

    async def answer(self, line, fields, body, writer):
        report = json.loads(body)
        holder, fence = fields.get("duty-holder"), fields.get("fencing-token")
        self.case.record(f"usage report of {holder} with fence {fence}: {body.decode()} -> 200")
        self.accepted.setdefault(report["windowSeq"], []).append((report["counts"], holder, fence))
        writer.write(response(200))
        self.case.on_report(report["windowSeq"], holder)
        return True


class UsageCase(Case):
    def __init__(self, folder):
        super().__init__(folder)
        self.platform = Platform(self, f"{self.net}.1", 8080)
        self.reported = asyncio.Queue()

    def on_report(self, window, holder):
        self.reported.put_nowait((window, holder))

    async def client(self, number):
        sequence = 0
        while True:
            await asyncio.sleep(random.uniform(0.05, 0.15))
            sequence += 1
            host = random.choice([host for host in self.hosts if host.process.returncode is None])
            await self.ask(host, f"r{number}-{sequence}", "/read/x",
                           (f"Authorization: Bearer key-{random.choice(TENANTS)}", "Deadline-Ms: 2500"))

    async def play(self):
        self.store.put("op", "config", json.dumps(MANIFEST).encode())
        replicas = [Replica(self, f"s{number}", f"{self.net}.{8 + number}", "desk", self.zones[number % 2])
                    for number in range(3)]
        for replica in replicas:
            self.spawn(replica.live())
        await self.platform.start()
        self.make_hosts(f"bounds.usageWindowS={WINDOW_S}\nbounds.usageTolerance=0.05\nbounds.usageLateS={LATE_S}\n"
                        f"cloud.address={self.platform.address}\ncloud.ratePerS=50.0\ncloud.duties=usage_report\n"
                        "cloud.dutyPerS=50.0\n")
        # All machines start within 0.3 s of each other, in any order. The first host of each zone becomes its reader.
        for number, host in enumerate(self.hosts):
            if number == len(self.zones):
                await asyncio.sleep(START_GAP_S)
            await host.start(True)
        if not await self.ready(15):
            return None
        for number in range(6):
            self.spawn(self.client(number))
        # Some windows are reported in calm.
        for _ in range(CALM_WINDOWS):
            window, name = await asyncio.wait_for(self.reported.get(), 30)
        readers = [host.name for host in self.hosts[:len(self.zones)]]
        if name not in readers:
            last = window
            await self.stop_and_start(name)
            while name not in readers or window <= last:
                window, name = await asyncio.wait_for(self.reported.get(), 40)
        if self.trouble:
            await self.disturb(name)
        await asyncio.sleep(WATCH_S)
        return self.judge()

    async def stop_and_start(self, name):
        """Planned work: after it, the duty is with a host that reads the store for its zone."""
        host = next(host for host in self.hosts if host.name == name)
        host.signal(signal.SIGTERM)
        await host.process.wait()
        await host.start(False)

    async def disturb(self, holder):
        # Soon after the report of a window was accepted.
        await asyncio.sleep(0.3)
        host = next(host for host in self.hosts if host.name == holder)
        if DRILL:
            self.record(f"the store goes away, and comes back from a copy {COPY_AGE_S} s old")
            drill = asyncio.create_task(self.store.drill(AWAY_S, COPY_AGE_S))
        if KILL:
            await host.kill()
            await asyncio.sleep(RESTART_S)
            await host.start(False)
        if DRILL:
            await drill
            self.record(f"the store is back in era {self.store.era}")

    def judge(self):
        held = True
        for window, reports in sorted(self.platform.accepted.items()):
            if any(counts != reports[0][0] for counts, _, _ in reports):
                held = False
                print(f"window {window} was reported with different counts: {reports}")
                self.record(f"BROKEN: window {window} was reported with different counts: {reports}")
        print(f"{len(self.platform.accepted)} windows, rule {'held' if held else 'broken'}")
        return held


main(UsageCase, FOLDER)

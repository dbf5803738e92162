"""After the final fault no request is served, since entries of another writer displace the servers."""
import asyncio
import json
import os
import random
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "standins-2"))
from loopback import Case, Replica, main  # noqa: E402

RECOVERY_S = 12
SERVED_SHARE = 0.25
CALM_S, DOWN_S, WATCH_S = 8, 1.0, 10
# Zero: the entries appear a second after the machines are back.
WHILE_DOWN = os.environ.get("WHILE_DOWN", "1") != "0"


def manifest(version, timeout_ms):
    return {
        "version": version,
        "routes": [{"name": name, "host": "h", "pathPrefix": f"/{name}/", "kind": kind, "timeoutMs": timeout_ms,
                    "targetLatencyMs": 150, "priority": 1, "service": "desk", "maxAttempts": attempts}
                   for name, kind, attempts in (("book", "unsafe", 1), ("read", "safe", 2))],
        "services": [{"name": "desk", "healthPath": "/healthz", "maxConnections": 110, "protocol": "h1", "tls": False}],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}}


class RecoverCase(Case):
    def __init__(self, folder):
        super().__init__(folder)
        self.count = {"asked": 0, "served": 0}

    async def client(self, number):
        sequence = 0
        while True:
            await asyncio.sleep(random.uniform(0.1, 0.2))
            sequence += 1
            kind = random.choice(["book", "read"])
            self.count["asked"] += 1
            status, _ = await self.ask(random.choice(self.hosts), f"{kind}{number}-{sequence}", f"/{kind}/x",
                                       ("Deadline-Ms: 1000",), method="POST" if kind == "book" else "GET",
                                       body=b"x" * 200 if kind == "book" else b"")
            self.count["served"] += status == 200

    async def watch(self, seconds):
        """The share of the requests of the next seconds that is served."""
        self.count = {"asked": 0, "served": 0}
        await asyncio.sleep(seconds)
        return self.count["served"] / max(1, self.count["asked"]), dict(self.count)

    def write_foreign_entries(self, replicas):
        """Entries of another writer: the service that they name is none of the manifest's."""
        for number, replica in enumerate(replicas):
            entry = {**replica.entry(), "service": "asset-scan", "sequence": 1}
            self.record(f"entry of another writer: servers/inventory-{number} {json.dumps(entry)}")
            self.store.put("servers", f"inventory-{number}", json.dumps(entry).encode())

    async def play(self):
        self.store.put("op", "config", json.dumps(manifest(1, 1000)).encode())
        replicas = [Replica(self, f"i-{number}", f"{self.net}.{8 + number}", "desk", self.zones[number % 2])
                    for number in range(3)]
        for replica in replicas:
            self.spawn(replica.live())
        self.make_hosts()
        for host in self.hosts:
            await host.start(True)
        if not await self.ready(15):
            return None
        for number in range(6):
            self.spawn(self.client(number))
        before, counts = await self.watch(CALM_S)
        self.record(f"before the final fault: {counts}")
        # The final fault: all processes are killed right after a manifest is acknowledged.
        self.store.put("op", "config", json.dumps(manifest(2, 1100)).encode())
        await asyncio.gather(*[host.kill() for host in self.hosts])
        if self.trouble and WHILE_DOWN:
            self.write_foreign_entries(replicas)
        await asyncio.sleep(DOWN_S)
        for host in self.hosts:
            await host.start(False)
        if self.trouble and not WHILE_DOWN:
            await asyncio.sleep(1)
            self.write_foreign_entries(replicas)
        await asyncio.sleep(RECOVERY_S)
        after, counts = await self.watch(WATCH_S)
        held = before < SERVED_SHARE or after >= SERVED_SHARE
        result = f"served {before:.2f} before the final fault, {after:.2f} ({counts}) later than {RECOVERY_S} s after it"
        print(result + (": rule held" if held else ": rule broken"))
        self.record(("" if held else "BROKEN: ") + result)
        return held


main(RecoverCase, FOLDER)

"""A withdrawn key is in use again: a host restarts while the store has come back from an older copy."""
import asyncio
import json
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "standins-2"))
from loopback import Case, Replica, main  # noqa: E402

REVOKE_S = 5.0
KEYS = {"kept": "key-kept-1", "withdrawn": "key-withdrawn-1"}
# The store is away for a moment, and comes back from a copy some seconds old; the operator writes again what was lost.
AWAY_S, REWRITE_S = 0.5, float(os.environ.get("REWRITE", "1.0"))
# Time from the withdrawal of the key to the drill, and from the copy to the withdrawal.
UNTIL_DRILL_S, COPY_BEFORE_S = 6.0, 1.0
RESTART_S = 0.6
WATCH_S = 8
KILL = os.environ.get("KILL", "1") != "0"
DRILL = os.environ.get("DRILL", "1") != "0"


def manifest(version, keys):
    return {
        "version": version,
        "routes": [{"name": "book", "host": "h", "pathPrefix": "/book/", "kind": "unsafe", "timeoutMs": 2000,
                    "targetLatencyMs": 200, "priority": 1, "service": "desk", "maxAttempts": 1, "allowAnonymous": False}],
        "services": [{"name": "desk", "healthPath": "/healthz", "maxConnections": 110, "protocol": "h1", "tls": False}],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
        "tenants": [{"name": f"tenant-{name}", "apiKeys": [key]} for name, key in keys.items()]}


class KeyCase(Case):
    def __init__(self, folder):
        super().__init__(folder)
        self.withdrawn_at = None
        self.sent_at = {}
        self.late_runs = []
        self.count = {}

    def on_run(self, replica, request, fields):
        super().on_run(replica, request, fields)
        if not request.startswith("withdrawn") or self.withdrawn_at is None:
            return
        late = self.sent_at[request] - self.withdrawn_at
        if late > REVOKE_S:
            self.late_runs.append((request, round(late, 2)))
            self.record(f"BROKEN: {request} runs at {replica.id} for {fields.get('tenant-id')}, sent {late:.2f} s after "
                        "the acknowledgement of the manifest that took its key away")

    async def client(self, name, number):
        sequence = 0
        while True:
            await asyncio.sleep(0.04)
            sequence += 1
            host = self.hosts[(sequence + number) % len(self.hosts)]
            request = f"{name}{number}-{sequence}"
            self.sent_at[request] = time.monotonic()
            status, _ = await self.ask(host, request, "/book/x",
                                       (f"Authorization: Bearer {KEYS[name]}", "Deadline-Ms: 1500"), method="POST", body=b"x")
            self.count[name, status] = self.count.get((name, status), 0) + 1

    async def play(self):
        self.store.put("op", "config", json.dumps(manifest(1, KEYS)).encode())
        replicas = [Replica(self, f"i-{number}", f"{self.net}.{8 + number}", "desk", self.zones[number % 2])
                    for number in range(3)]
        for replica in replicas:
            self.spawn(replica.live())
        self.make_hosts(f"bounds.strictRevoke=true\nbounds.revokeMs={int(1000 * REVOKE_S)}\n")
        for host in self.hosts:
            await host.start(True)
        if not await self.ready(15):
            return None
        for name in KEYS:
            for number in range(2):
                self.spawn(self.client(name, number))
        await asyncio.sleep(3)
        self.store.put("op", "config", json.dumps(manifest(2, {"kept": KEYS["kept"]})).encode())
        self.withdrawn_at = time.monotonic()
        self.record("the manifest without the key is acknowledged")
        await asyncio.sleep(UNTIL_DRILL_S)
        if self.trouble:
            await self.disturb()
        await asyncio.sleep(WATCH_S)
        print(f"{self.count}; {len(self.late_runs)} requests with the withdrawn key ran too late: {self.late_runs[:3]}: "
              f"rule {'broken' if self.late_runs else 'held'}")
        return not self.late_runs

    async def disturb(self):
        if DRILL:
            age = UNTIL_DRILL_S + COPY_BEFORE_S
            self.record(f"the store goes away for {AWAY_S} s, and comes back from a copy {age} s old; the operator writes "
                        f"the manifest again {REWRITE_S} s later")
            drill = asyncio.create_task(self.store.drill(AWAY_S, age, REWRITE_S))
        if KILL:
            await self.hosts[0].kill()
            await asyncio.sleep(RESTART_S)
            await self.hosts[0].start(False)
        if DRILL:
            await drill
            self.record("the operator has written the manifest again")


main(KeyCase, FOLDER)

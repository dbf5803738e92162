"""Entries of another writer for the addresses of the replicas, and a kill of all hosts."""
import asyncio
import json
import os
import signal
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standins"))
sys.dont_write_bytecode = True
from world import World, read_message, run_case, troubled  # noqa: E402

ZONES = ["kolkata-depot", "bardhaman-depot", "siliguri-depot"]
CALLERS = 12
# bounds.recoveryS of the settings.
RECOVERY_S = 12.0
JUDGED_S = 6.0

MANIFEST = {
    "version": 7,
    "routes": [{"name": "stock-lookup", "host": "desk.example", "pathPrefix": "/stock/", "kind": "safe",
                "timeoutMs": 1000, "targetLatencyMs": 150, "priority": 2, "service": "dispatch-desk",
                "maxAttempts": 2, "sticky": False, "resumable": False}],
    "services": [{"name": "dispatch-desk", "healthPath": "/healthz", "maxConnections": 110, "protocol": "h1",
                  "tls": False}],
    "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
}


class Case(World):
    def __init__(self):
        super().__init__(HERE)
        # Of each request: when it was sent, and its status or 0.
        self.asked = {}
        for zone in ZONES:
            self.add_replica("dispatch-desk", zone)
        for number in range(6):
            self.add_host(ZONES[number % 3])

    async def caller(self, number):
        writer, sequence = None, 0
        while True:
            await asyncio.sleep(0.3)
            sequence += 1
            request = f"stock-{number}-{sequence}"
            host = self.hosts[(number + sequence) % len(self.hosts)]
            sent_at, status = self.record.now(), 0
            try:
                reader, writer = await asyncio.open_connection(host.ip, 8149)
                writer.write((f"GET /stock/x HTTP/1.1\r\nHost: desk.example\r\nRequest-Id: {request}\r\n"
                              "Deadline-Ms: 1000\r\n\r\n").encode())
                line, _, body = await read_message(reader)
                status = int(line.split()[1])
                self.record.line(f"caller {number} gets {status} from {host.name} for {request}: {body.decode()}")
                writer.close()
            except (OSError, asyncio.IncompleteReadError) as error:
                self.record.line(f"caller {number} gets no answer from {host.name} for {request}: {error!r}")
            self.asked[request] = (sent_at, status)

    def served(self, after, before):
        found = [status for sent_at, status in self.asked.values() if after <= sent_at < before]
        return (sum(status == 200 for status in found) / len(found) if found else 0.0), len(found)

    async def play(self):
        await self.store.start()
        self.spawn(self.store.keep_copies())
        self.operate(MANIFEST)
        if troubled():
            # Of a service that the manifest does not name.
            for number, replica in enumerate(self.replicas):
                entry = {"service": "inventory", "address": replica.address, "zone": replica.zone, "version": "v1",
                         "slots": 1, "state": "ready", "coldRemainingMs": 0, "sequence": 1, "born": 1764900000000}
                self.store.put("servers", f"inventory-{number}", json.dumps(entry))
                self.record.line(f"another writer puts servers/inventory-{number}: {json.dumps(entry)}")
        for host in self.hosts:
            await host.start()
        await asyncio.sleep(1)
        for replica in self.replicas:
            await replica.start()
            replica.register()
            self.spawn(replica.heartbeat())
        if not await self.wait_ready():
            print("the hosts did not become ready")
            return 2
        await asyncio.sleep(2)
        for number in range(CALLERS):
            self.spawn(self.caller(number))
        begun = self.record.now()
        await asyncio.sleep(6)
        # The final fault: all processes are killed right after a manifest was acknowledged.
        self.operate({**MANIFEST, "version": 12})
        killed_at = self.record.now()
        for host in self.hosts:
            host.send(signal.SIGKILL)
            await host.process.wait()
        await asyncio.sleep(0.9)
        for host in self.hosts:
            await host.start()
        if not await self.wait_ready():
            self.record.line("not all hosts became ready within 10 s")
        back_at = self.record.now()
        await asyncio.sleep(RECOVERY_S + JUDGED_S)
        before, before_count = self.served(begun, killed_at)
        after, after_count = self.served(back_at + RECOVERY_S, back_at + RECOVERY_S + JUDGED_S)
        broken = before >= 0.25 > after
        if broken:
            self.record.line(f"BROKEN RECOVER: of {after_count} requests sent later than {RECOVERY_S} s after the hosts "
                             f"were back {after:.0%} were served, and {before:.0%} of {before_count} before the fault")
        print(json.dumps({"served before the fault": round(before, 3), "of": before_count,
                          "served after recovery": round(after, 3), "of requests": after_count}))
        if not before_count or not after_count or before < 0.25:
            return 2
        return 1 if broken else 0


async def main():
    case = Case()
    try:
        return await case.play()
    finally:
        await case.end()

run_case(main)

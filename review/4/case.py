"""A change of the manifest shortly after a drill of the store."""
import asyncio
import json
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standins"))
sys.dont_write_bytecode = True
from world import HEARTBEAT_S, World, read_message, run_case  # noqa: E402

# Without the disruption if it is 0.
TROUBLED = os.environ.get("TROUBLE", "1") != "0"

ZONES = ["kolkata-depot", "bardhaman-depot", "siliguri-depot"]
AWAY_S = 1.0
COPY_AGE_S = 8.0
# bounds.configApplyMs and bounds.stableWindowMs of the settings.
CONFIG_APPLY_S = 2.0
STABLE_WINDOW_S = 3.0


def manifest(version, service):
    return {
        "version": version,
        "routes": [{"name": "stock", "host": "desk.example", "pathPrefix": "/stock/", "kind": "safe",
                    "timeoutMs": 1000, "targetLatencyMs": 150, "priority": 2, "service": service, "maxAttempts": 2,
                    "sticky": False, "resumable": False}],
        "services": [{"name": name, "healthPath": "/healthz", "maxConnections": 100, "protocol": "h1", "tls": False}
                     for name in ("desk-old", "desk-new")],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
    }


class Case(World):
    def __init__(self):
        super().__init__(HERE)
        # When each request was sent, and which services ran it.
        self.sent, self.runs, self.answers = {}, {}, {}
        for service in ("desk-old", "desk-new"):
            for number in range(2):
                self.add_replica(service, ZONES[number])
        for number, replica in enumerate(self.replicas):
            replica.phase_s = number * HEARTBEAT_S / len(self.replicas)
        for number in range(6):
            self.add_host(ZONES[number % 3])

    def ran(self, replica, request):
        super().ran(replica, request)
        self.runs.setdefault(request, []).append(replica.service)

    async def caller(self, number):
        host = self.hosts[number % len(self.hosts)]
        writer, sequence = None, 0
        while True:
            await asyncio.sleep(0.25)
            sequence += 1
            request = f"stock-{number}-{sequence}"
            try:
                if writer is None:
                    reader, writer = await asyncio.open_connection(host.ip, 8149)
                self.sent[request] = self.record.now()
                writer.write((f"GET /stock/x HTTP/1.1\r\nHost: desk.example\r\nRequest-Id: {request}\r\n"
                              "Deadline-Ms: 1000\r\n\r\n").encode())
                self.record.line(f"caller {number} sends {request} to {host.name}")
                line, _, body = await read_message(reader)
                self.answers[request] = int(line.split()[1])
                self.record.line(f"caller {number} gets {line.split()[1]} for {request}: {body.decode()}")
            except (OSError, asyncio.IncompleteReadError):
                self.record.line(f"caller {number} lost its channel with {request}")
                writer = None

    async def play(self):
        await self.start(manifest(7, "desk-old"))
        if not await self.wait_ready():
            print("the hosts did not become ready")
            return 2
        for number in range(12):
            self.spawn(self.caller(number))
        await asyncio.sleep(max(0.0, 14 - self.record.now()))
        if TROUBLED:
            await self.store.drill(AWAY_S, COPY_AGE_S)
        else:
            await asyncio.sleep(AWAY_S)
        back_at = self.record.now()
        # What the operator and the replicas wrote is written again, by the replicas with their next report.
        self.operate(manifest(7, "desk-old"))
        await asyncio.sleep(0.5)
        acknowledged_at = self.operate(manifest(12, "desk-new"))
        rewritten_at = back_at + HEARTBEAT_S
        # Machines are in touch again this long after the end of the disturbance.
        judged_from = max(acknowledged_at + CONFIG_APPLY_S, rewritten_at + STABLE_WINDOW_S)
        await asyncio.sleep(25)
        judged = [r for r, at in self.sent.items() if at > judged_from and r in self.runs]
        broken = [r for r in judged if "desk-old" in self.runs[r]]
        # The hosts whose last request of all was run by the old service.
        last = {request.split("-")[1]: runs for request, runs in self.runs.items()}
        stale = sorted({self.hosts[int(caller) % len(self.hosts)].name for caller, runs in last.items()
                        if "desk-old" in runs})
        last_old = max((self.sent[r] for r, runs in self.runs.items() if "desk-old" in runs), default=0)
        for request in broken:
            self.record.line(f"BROKEN CONFIG: {request}, sent {self.sent[request] - acknowledged_at:.2f} s after the "
                             f"acknowledgement of manifest 12, was run by desk-old")
        for host in stale:
            self.record.line(f"{host} still sends to desk-old")
        print(json.dumps({"judged from, s after the acknowledgement": round(judged_from - acknowledged_at, 2),
                          "judged": len(judged), "hosts that are still on the old manifest": len(stale), "run by the old service": len(broken),
                          "last of them, s after the acknowledgement": round(last_old - acknowledged_at, 2)}))
        if not judged:
            return 2
        return 1 if broken else 0


async def main():
    case = Case()
    try:
        return await case.play()
    finally:
        await case.end()

run_case(main)

"""A planned stop of one machine while callers use their open channels for one stream after the other."""
import asyncio
import json
import os
import signal
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standins"))
sys.dont_write_bytecode = True
from world import World, read_message, run_case  # noqa: E402

# Without the disruption if it is 0.
TROUBLED = os.environ.get("TROUBLE", "1") != "0"

ZONES = ["kolkata-depot", "bardhaman-depot", "siliguri-depot"]
CALLERS = 12
# Each stream: 15 events, 300 ms apart. The route allows pauses of 400 ms and 5 s in all.
EVENTS, PAUSE_S = 15, 0.3
BUDGET_S = 5.0
# bounds.graceS, and the time after SIGTERM until which the last sixth of it may be used.
GRACE_S, EXCUSED_SENT_S = 8.0, 3.0

MANIFEST = {
    "version": 7,
    "routes": [{"name": "turner-quick-ask", "host": "sorter.example", "pathPrefix": "/ask/", "kind": "stream",
                "timeoutMs": 5000, "targetLatencyMs": 1200, "priority": 0, "service": "blank-sorter",
                "maxAttempts": 1, "sticky": True, "resumable": False, "targetGapMs": 400}],
    "services": [{"name": "blank-sorter", "healthPath": "/healthz", "maxConnections": 370, "protocol": "h1",
                  "tls": False,
                  "engine": {"slots": 64, "kvCapacityTokens": 430067, "tokenKvBytes": 18432, "linkMbps": 370000.0,
                             "handleTtlS": 5.0, "roleSwitchS": 3.0, "models": [{"name": "m"}]}}],
    "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
}


class Case(World):
    def __init__(self):
        super().__init__(HERE)
        self.stopped_at = None
        self.runs, self.cuts = {}, []
        for number, stage in enumerate(["prefill", "prefill", "decode"]):
            replica = self.add_replica("blank-sorter", ZONES[number], stage=stage, slots=64)
            replica.events, replica.pause_s = EVENTS, PAUSE_S
        for zone in ZONES:
            self.add_host(zone)

    def ran(self, replica, request):
        super().ran(replica, request)
        self.runs[request] = self.record.now()

    async def caller(self, number):
        """One channel to the first host, used until the host closes it or says that it will."""
        host = self.hosts[0]
        await asyncio.sleep(number * EVENTS * PAUSE_S / CALLERS)
        reader, writer = await asyncio.open_connection(host.ip, 8149)
        sequence = 0
        while True:
            sequence += 1
            request = f"ask-{number}-{sequence}"
            sent_at = self.record.now()
            self.record.line(f"caller {number} sends {request} to {host.name}")
            try:
                writer.write((f"POST /ask/x HTTP/1.1\r\nHost: sorter.example\r\nRequest-Id: {request}\r\n"
                              "Deadline-Ms: 5000\r\nModel-Id: m\r\nToken-Count: 1460,80\r\n"
                              f"Prefix-Hash: aa:350,b{number}:1110\r\nContent-Length: 4\r\n\r\nbody").encode())
                line, fields, body = await read_message(reader)
            except (OSError, asyncio.IncompleteReadError):
                self.record.line(f"caller {number}: the channel ended without a complete answer to {request}")
                self.cuts.append((request, sent_at, self.record.now()))
                return
            self.record.line(f"caller {number} gets {line.split()[1]}, {body.count(b'data:')} events, for {request}, "
                             f"Connection: {fields.get('connection', '-')}")
            if fields.get("connection", "").lower() == "close":
                return

    def judge(self):
        """LOST: a request that was passed on is cut around a SIGTERM, without one of the rule's excuses."""
        broken = []
        for request, sent_at, cut_at in self.cuts:
            if self.stopped_at is None or request not in self.runs:
                continue
            sent, cut = sent_at - self.stopped_at, cut_at - self.stopped_at
            excused = cut > GRACE_S + 1 or cut_at - sent_at >= BUDGET_S \
                or (sent <= EXCUSED_SENT_S and cut >= GRACE_S * 5 / 6)
            if not excused:
                broken.append(f"{request}, sent {sent:.2f} s after SIGTERM and passed on to a replica, was cut "
                              f"{cut:.2f} s after SIGTERM, {cut_at - sent_at:.2f} s after it was sent")
        return broken

    async def play(self):
        await self.start(MANIFEST)
        if not await self.wait_ready():
            print("the hosts did not become ready")
            return 2
        for number in range(CALLERS):
            self.spawn(self.caller(number))
        await asyncio.sleep(8)
        if TROUBLED:
            self.hosts[0].send(signal.SIGTERM)
            self.stopped_at = self.record.now()
            try:
                await asyncio.wait_for(self.hosts[0].process.wait(), GRACE_S)
            except asyncio.TimeoutError:
                self.hosts[0].send(signal.SIGKILL)
        else:
            await asyncio.sleep(GRACE_S)
        await asyncio.sleep(1)
        self.record.line(f"host {self.hosts[0].name}: exit status {self.hosts[0].process.returncode}")
        broken = self.judge()
        for each in broken:
            self.record.line(f"BROKEN LOST: {each}")
        print(json.dumps({"runs": len(self.runs), "cut": len(self.cuts), "cut without an excuse": len(broken)}))
        if not self.runs:
            return 2
        return 1 if broken else 0


async def main():
    case = Case()
    try:
        return await case.play()
    finally:
        await case.end()

run_case(main)

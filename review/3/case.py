"""A part of prompts that crashes each engine that begins to answer on it, behind many other parts."""
import asyncio
import json
import os
import random
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standins"))
sys.dont_write_bytecode = True
from world import HEARTBEAT_S, Replica, World, read_message, run_case  # noqa: E402

# Without the disruption if it is 0.
TROUBLED = os.environ.get("TROUBLE", "1") != "0"

ZONES = ["kolkata-depot", "bardhaman-depot", "siliguri-depot"]
ENGINES, DECODING = 9, 2
# The shared parts of a prompt, of 13,300 tokens in all as on the sheet, and the place of the one that crashes engines.
PARTS = 70
PLACE = int(os.environ.get("PLACE", "67"))
BAD = "bad0"
RESTART_S = 3.0
ENTRY_LIFE_S = 3 * HEARTBEAT_S
# bounds.stableWindowMs of the settings, and the figures of the rule.
STABLE_WINDOW_S = 3.0
CRASHES, ALLOWED_LATE = 5, 3
MIN_COUNTED = 20
# Sound requests come alone for the first of these times, and beside marked ones for the second.
ALONE_S, SEND_S = 6.0, 36.0

MANIFEST = {
    "version": 7,
    "routes": [{"name": "lot-register-sort", "host": "sorter.example", "pathPrefix": "/sort/", "kind": "stream",
                "timeoutMs": 5000, "targetLatencyMs": 800, "priority": 2, "service": "blank-sorter",
                "maxAttempts": 2, "sticky": True, "resumable": True, "targetGapMs": 400}],
    "services": [{"name": "blank-sorter", "healthPath": "/healthz", "maxConnections": 370, "protocol": "h1",
                  "tls": False,
                  "engine": {"slots": 64, "kvCapacityTokens": 430067, "tokenKvBytes": 18432, "linkMbps": 370000.0,
                             "handleTtlS": 5.0, "roleSwitchS": 3.0, "models": [{"name": "m"}]}}],
    "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
}


class Engine(Replica):
    """An engine that crashes when it begins to answer a prompt with the bad part, and is back under a new id."""

    def __init__(self, *arguments, **options):
        super().__init__(*arguments, **options)
        self.down, self.lives = False, 1

    def register(self):
        if not self.down:
            super().register()

    async def model(self, request, own, fields, writer):
        prefill = fields.get("serving-stage") == "prefill"
        marked = any(part.split(":")[0] == BAD for part in fields.get("prefix-hash", "").split(",")[:-1])
        self.world.arrived(self, request, marked)
        if marked and not prefill and self.stage == "decode" and not self.busy and TROUBLED:
            self.world.crashed(self, request)
            self.world.spawn(self.crash())
            return False
        return await super().model(request, own, fields, writer)

    async def crash(self):
        if self.down:
            return
        self.down = True
        self.stop()
        old = self.id
        await asyncio.sleep(RESTART_S)
        self.lives += 1
        self.id = f"{old.split('.')[0]}.{self.lives}"
        self.born, self.sequence, self.busy = int(1000 * time.time()), 0, False
        await self.start()
        self.down = False
        self.register()
        await asyncio.sleep(ENTRY_LIFE_S - RESTART_S)
        self.world.store.put("servers", old, None)


class Case(World):
    def __init__(self):
        super().__init__(HERE)
        self.crashes, self.marked = [], {}
        # Of each sound request: when it was sent, whether an engine began to answer it, and its status.
        self.sound, self.begun = {}, set()
        for number in range(ENGINES):
            engine = Engine(self, f"i-{number:08x}", f"{self.net}.3.{number + 1}:8080", "blank-sorter",
                            ZONES[number % 3], stage="decode" if number < DECODING else "prefill", slots=64)
            engine.events, engine.pause_s = 9, 0.02
            self.replicas.append(engine)
        for number in range(6):
            self.add_host(ZONES[number % 3])

    def crashed(self, engine, request):
        self.crashes.append(self.record.now())
        self.record.line(f"engine {engine.id} crashes as it begins to answer {request}: crash {len(self.crashes)}")

    def arrived(self, engine, request, marked):
        if marked:
            self.marked.setdefault(request, self.record.now())
            self.record.line(f"engine {engine.id} ({engine.stage}) is sent {request}, which has the bad part")

    def ran(self, engine, request):
        super().ran(engine, request)
        self.begun.add(request)

    async def ask(self, request, parts):
        host = random.choice(self.hosts)
        if request.startswith("sound"):
            self.sound[request] = self.record.now()
        shared = [f"{part}:190" for part in parts]
        own = f"{random.randrange(1 << 32):x}:3720"
        try:
            reader, writer = await asyncio.open_connection(host.ip, 8149)
            writer.write((f"POST /sort/x HTTP/1.1\r\nHost: sorter.example\r\nRequest-Id: {request}\r\nDeadline-Ms: 5000"
                          f"\r\nModel-Id: m\r\nToken-Count: 17020,40\r\nPrefix-Hash: {','.join(shared + [own])}\r\n"
                          f"Content-Length: {len(request)}\r\n\r\n{request}").encode())
            line, _, _ = await read_message(reader)
            status = int(line.split()[1])
            writer.close()
        except (OSError, asyncio.IncompleteReadError):
            status = 0
        self.record.line(f"{request} at {host.name}: {status or 'broken off'}")
        return status

    async def callers(self, kind, pause_s, until):
        sequence = 0
        while self.record.now() < until:
            sequence += 1
            parts = [f"a{number:x}" for number in range(PARTS)]
            if kind == "marked":
                parts[PLACE - 1] = BAD
            self.spawn(self.ask(f"{kind}-{sequence}", parts))
            await asyncio.sleep(pause_s)

    async def play(self):
        await self.start(MANIFEST)
        if not await self.wait_ready():
            print("the hosts did not become ready")
            return 2
        # Until the orders of the first seconds, if any, have been carried out.
        await asyncio.sleep(max(0.0, 10 - self.record.now()))
        begun_at = self.record.now()
        marked_from, until = begun_at + ALONE_S, begun_at + ALONE_S + SEND_S
        sound = self.spawn(self.callers("sound", 0.2, until))
        await asyncio.sleep(ALONE_S)
        await self.callers("marked", 0.5, until)
        await sound
        await asyncio.sleep(3)
        counted = self.crashes[:CRASHES]
        judged_from = (counted[-1] if counted else marked_from) + 2 * STABLE_WINDOW_S
        alone, before = self.share(begun_at, marked_from)
        beside, after = self.share(judged_from, until)
        late = [request for request, at in self.marked.items()
                if len(counted) == CRASHES and at > counted[-1] + STABLE_WINDOW_S]
        broken = min(before, after) >= MIN_COUNTED and beside < 0.5 * alone
        if broken:
            self.record.line(f"BROKEN LOST: engines began to answer {beside:.0%} of {after} sound requests, and "
                             f"{alone:.0%} of {before} before requests with the bad part came")
        if len(late) > ALLOWED_LATE:
            self.record.line(f"BROKEN BUDGET, too: {len(late)} requests with the bad part reached engines later than "
                             f"{STABLE_WINDOW_S} s after the fifth crash")
        print(json.dumps({"engines crashed": len(self.crashes), "marked requests that reached engines":
                          len(self.marked), "later than 3 s after the fifth crash": len(late),
                          "sound requests begun alone": round(alone, 3), "of": before,
                          "beside": round(beside, 3), "of these": after}))
        if min(before, after) < MIN_COUNTED:
            return 2
        return 1 if broken else 0

    def share(self, first, last):
        """The share of the sound requests sent in a time that an engine began to answer, and their number."""
        sent = [request for request, at in self.sound.items() if first <= at < last]
        return (sum(request in self.begun for request in sent) / len(sent) if sent else 0.0), len(sent)


async def main():
    case = Case()
    try:
        return await case.play()
    finally:
        await case.end()

run_case(main)

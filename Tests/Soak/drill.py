#!/usr/bin/env python3
"""Drills of the store: it comes back from an older copy of itself, in a new era, and gives out versions again.

Usage: Tests/Soak/drill.py --program FILE [--seeds FIRST-LAST] [--parallel N] [--before FILE]

After one or two drills: every host follows the newest manifest, no request reaches a server that left, and the
hosts have written their own rows again. With --before, some of the hosts run an older program.
"""
import argparse
import asyncio
import json
import os
import random
import signal
import sys
import tempfile
import time

from soak import HOSTS_TABLE, MANIFEST, World, run_seeds, run_world

HOSTS = 6
# Time from the store's acknowledgement until a change is in force (bounds.configApplyMs).
APPLY_S = 2.0
# Time after the store's return in which the hosts write their rows again.
ENROLL_S = 3.5
WATCH_S = 12.0


class Drill(World):
    def __init__(self, program, seed, before, folder):
        super().__init__(program, seed, HOSTS, folder)
        self.before = before
        self.route = "first"
        # Hosts that were killed, which cuts requests.
        self.killed = set()

    def put_manifest(self, **changes):
        """The manifest has one route whose name changes; the others stay."""
        manifest = json.loads(json.dumps({**MANIFEST, "version": self.manifest_version}))
        manifest["routes"].append({**manifest["routes"][0], "name": self.route, "pathPrefix": f"/{self.route}/"})
        self.store.put("op", "config", json.dumps(manifest))
        self.manifest_version += 1

    async def status_of(self, host, path):
        request = f"safe-{host.number}-{random.randrange(10**9)}"
        self.asked[request] = (host, time.monotonic())
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection(host.ip, 8149), 1)
            writer.write(f"GET /{path}/x HTTP/1.1\r\nHost: h\r\nRequest-Id: {request}\r\n\r\n".encode())
            line = await asyncio.wait_for(reader.readline(), 3)
            writer.close()
            return int(line.split()[1])
        except (OSError, asyncio.TimeoutError, IndexError, ValueError):
            return None

    def is_new(self, host):
        return self.before is None or host.number % 2 == 0

    async def watch_manifest(self, old, until):
        """Judges the hosts that run the program under test; the older one has the fault."""
        wrong = {}
        while time.monotonic() < until:
            for host in self.hosts:
                if not self.is_new(host) or time.monotonic() < host.paused_until + 3:
                    continue
                kept, dropped = await self.status_of(host, self.route), await self.status_of(host, old)
                if kept == 404 or dropped == 200:
                    wrong.setdefault(host.number, (kept, dropped, round(time.monotonic() - self.started, 2)))
            await asyncio.sleep(0.2)
        for number, seen in wrong.items():
            self.fail(f"host n{number} is not on the newest manifest: new route {seen[0]}, dropped route {seen[1]} "
                      f"at {seen[2]} s")

    def on_late_arrival(self, backend, request):
        host, _ = self.asked[request]
        # A host that started or ran again after the drill knows only what the copy says.
        if self.is_new(host) and host.paused_until == 0:
            super().on_late_arrival(backend, request)

    def check_cut(self, request, kind, host, asked_at, error):
        if host not in self.killed:
            super().check_cut(request, kind, host, asked_at, error)

    def leave(self, backend):
        backend.ending, backend.state, backend.left_at = True, "draining", time.monotonic()
        backend.register()

    async def remove_entry(self, identity):
        """The platform removes the entry of a server after three heartbeats of silence."""
        await asyncio.sleep(3.6)
        self.store.put("servers", identity, None)

    async def check_hosts(self):
        await asyncio.sleep(ENROLL_S)
        rows = self.store.tables.get(HOSTS_TABLE, {})
        for host in self.hosts:
            if self.is_new(host) and rows.get(f"n{host.number}", (None,))[0] is None:
                self.fail(f"host n{host.number} has not written its row again")

    async def disturb(self):
        """One more thing that goes on beside the drill."""
        host = self.hosts[self.seed % HOSTS]
        what = self.random.choice(["nothing", "pause", "restart", "kill"])
        if what == "pause":
            host.paused_until = time.monotonic() + 2
            host.signal(signal.SIGSTOP)
            await asyncio.sleep(2)
            host.signal(signal.SIGCONT)
        elif what != "nothing":
            host.paused_until = time.monotonic() + 9
            if what == "kill":
                self.killed.add(host)
            await host.end(signal.SIGTERM if what == "restart" else signal.SIGKILL)
            await host.start()

    async def play(self):
        for host in self.hosts:
            host.program = None if self.is_new(host) else self.before
        tasks = await self.begin()
        tasks += [asyncio.create_task(self.caller(number)) for number in range(8)]
        await asyncio.sleep(5)
        # Leaves and is gone from the list in the time that the drill takes back, and goes on serving.
        gone, leaves = self.random.sample(self.backends[:3], 2)
        self.leave(gone)
        await asyncio.sleep(3)
        self.store.put("servers", gone.identity, None)
        beside = asyncio.create_task(self.disturb())
        for _ in range(self.random.choice([1, 1, 2])):
            old_enough = self.random.choice([0.3, 2.0, 5.0, time.monotonic() - self.started - 0.3])
            await self.store.drill(self.random.choice([0.0, 0.3, 1.0]), old_enough)
            self.put_manifest()
            await asyncio.sleep(0.5)
        old, self.route = self.route, "second"
        self.put_manifest()
        checked = asyncio.create_task(self.check_hosts())
        removed = asyncio.create_task(self.remove_entry(gone.identity))
        until = time.monotonic() + WATCH_S
        await asyncio.sleep(APPLY_S)
        # A server whose heartbeat came again by now.
        self.leave(leaves)
        await self.watch_manifest(old, until)
        await asyncio.gather(beside, checked, removed)
        self.over = True
        for task in tasks:
            task.cancel()

    async def heartbeats(self):
        """Servers that left say nothing more."""
        while not self.over:
            await asyncio.sleep(1.2)
            for backend in self.backends:
                if backend.server is not None and not backend.ending:
                    backend.register()


def main():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--program", required=True, help="the almondscale-host to run")
    parser.add_argument("--before", help="an older almondscale-host, which every second host runs")
    parser.add_argument("--seeds", default="1-1", help="FIRST-LAST")
    parser.add_argument("--parallel", type=int, default=1)
    arguments = parser.parse_args()
    program = os.path.abspath(arguments.program)
    before = arguments.before and os.path.abspath(arguments.before)

    def play_seed(seed):
        random.seed(seed)
        return run_world(Drill(program, seed, before, tempfile.mkdtemp(prefix=f"drill-{seed}-")))

    sys.exit(0 if run_seeds(arguments.seeds, arguments.parallel, play_seed) else 1)


if __name__ == "__main__":
    main()

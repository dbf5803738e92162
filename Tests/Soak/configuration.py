#!/usr/bin/env python3
"""Changes of the manifest while readers are late, links between hosts are slow and the store fails some hosts.

Usage: Tests/Soak/configuration.py --program FILE [--seeds FIRST-LAST] [--parallel N] [--play all|readers|narrow]
       [--before FILE]

A request that is sent later than the bound after a change was acknowledged, to a host without a fault of its own, is
not handled as only an older manifest allows: no 404 for a route that is there, no answer on a dropped one. No host goes
back to an older manifest. With --play readers, the store has no faults. With --play narrow, manifests have 1,400 routes
more, connections carry 400 KB/s, the bound is 3 s, and hosts are paused for long enough to lose their links. With
--before, every second host runs an older program and is not judged.
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

from fakes import Proxy, read_message
from soak import MANIFEST, World, run_seeds, run_world

HOSTS = 8
# A host is judged only if for so long there was no fault of its own, and none of the store.
STABLE_S = 4.0
# With --play narrow: bytes a second of a connection, about a third of a link of 10 Mbit/s.
NARROW_RATE = 400e3
# A host that has once followed a change does not go back later than this.
ROLLBACK_S = 0.25
PLAY_S = 28.0
SEEN_AT_LEAST = 500


class LateProxy(Proxy):
    """Passes bytes on in their order, each as much later as it is told."""

    late_s = 0.0
    # Bytes a second of each connection; None: as many as there are.
    rate = None

    async def pump(self, reader, writer, direction):
        waiting = asyncio.Queue(maxsize=4 if self.rate else 0)
        passing = asyncio.create_task(self.write_in_time(waiting, writer))
        try:
            while data := await reader.read(16384 if self.rate else 65536):
                if self.mode != "silent":
                    await waiting.put((time.monotonic() + self.late_s, data))
        except ConnectionError:
            pass
        await waiting.put((0, None))
        await passing

    async def write_in_time(self, waiting, writer):
        try:
            while True:
                at, data = await waiting.get()
                if data is None:
                    return
                await asyncio.sleep(max(0, at - time.monotonic()))
                if self.rate:
                    await asyncio.sleep(len(data) / self.rate)
                writer.write(data)
                await writer.drain()
        except ConnectionError:
            while (await waiting.get())[1] is not None:
                pass


class Configuration(World):
    def __init__(self, program, seed, kind, before, folder):
        super().__init__(program, seed, HOSTS, folder)
        self.kind = kind
        for host in self.hosts[1::2]:
            host.program = before
        self.bound_s = 3.0 if kind == "narrow" else self.random.choice([2.0, 3.0])
        strict = self.random.random() < 0.5
        self.more_settings = f"bounds.configApplyMs={int(self.bound_s * 1000)}\n" + (
            "bounds.strictRevoke=true\nbounds.revokeMs=5000\n" if strict else "")
        self.add_peer_proxies()
        self.peer_proxies = [LateProxy(proxy.address, proxy.target) for proxy in self.peer_proxies]
        self.store_proxies = [LateProxy(proxy.address, proxy.target) for proxy in self.store_proxies]
        if kind == "narrow":
            for proxy in self.peer_proxies + self.store_proxies:
                proxy.rate = NARROW_RATE
        # By number of the route: when the store acknowledged that it was added and dropped.
        self.added, self.dropped = {0: 0.0}, {}
        # By host process and route: when the host was first seen to know it, or to have dropped it.
        self.known, self.forgotten = {}, {}
        self.faulty_until = {host.number: 0.0 for host in self.hosts}
        self.judged, self.worst = 0, (0.0, "")
        # No change is made until then.
        self.quiet_until = 0.0

    def put_manifest(self, filler=0, **changes):
        manifest = json.loads(json.dumps({**MANIFEST, "version": self.manifest_version}))
        for number in self.added:
            if number not in self.dropped:
                manifest["routes"].append({**manifest["routes"][0], "name": f"r{number}", "pathPrefix": f"/r{number}/"})
        for number in range(filler):
            manifest["routes"].append({**manifest["routes"][0], "name": f"f{number}", "pathPrefix": f"/filler-{number}/"})
        self.store.put("op", "config", json.dumps(manifest))
        self.manifest_version += 1

    async def changes(self):
        """Each change adds a route and drops the one before: alone, in series, and in large manifests."""
        while not self.over:
            pauses = [2.5, 5.0] if self.kind == "narrow" else [0.05, 0.3, 0.8, 0.8, 2.5, 5.0]
            await asyncio.sleep(self.random.choice(pauses))
            if self.store.mode == "sound" and time.monotonic() > self.quiet_until:
                self.change()

    def change(self):
        newest = max(self.added)
        now = time.monotonic()
        self.added[newest + 1], self.dropped[newest] = now, now
        self.put_manifest(filler=1400 if self.kind == "narrow" else self.random.choice([0, 0, 0, 150]))

    async def probes(self, host):
        rng = random.Random(self.seed * 1000 + host.number)
        while not self.over:
            await asyncio.sleep(rng.uniform(0.05, 0.15))
            newest = max(self.added)
            await self.probe(host, max(0, rng.choice([newest, newest, newest - 1, newest - 2])))

    async def probe(self, host, number):
        sent_at, process = time.monotonic(), host.process
        request = f"safe-{host.number}-{number}-{rng_number()}"
        self.asked[request] = (host, sent_at)
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection(host.ip, 8149), 1)
            writer.write(f"GET /r{number}/x HTTP/1.1\r\nHost: h\r\nRequest-Id: {request}\r\n\r\n".encode())
            line, _, _ = await asyncio.wait_for(read_message(reader), 4)
            writer.close()
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError):
            return
        self.judge(host, process, number, sent_at, int(line.split()[1]))

    def judge(self, host, process, number, sent_at, status):
        if status not in (200, 404) or host.program:
            return
        serves, now = status == 200, time.monotonic()
        dropped_at = self.dropped.get(number, 1e12)
        was_dropped, is_added = sent_at > dropped_at, dropped_at > now
        key = (process, number)
        if serves:
            self.known.setdefault(key, now)
        elif key in self.known and was_dropped:
            self.forgotten.setdefault(key, now)
        if serves and sent_at > self.forgotten.get(key, 1e12) + ROLLBACK_S:
            self.fail(f"n{host.number} serves route {number} again that it had dropped")
        if not serves and is_added and sent_at > self.known.get(key, 1e12) + ROLLBACK_S:
            self.fail(f"n{host.number} has lost route {number} that it had known")
        if not self.is_calm(host, sent_at):
            return
        self.judged += 1
        wrong = (serves and was_dropped) or (not serves and is_added and sent_at > self.added[number])
        late = sent_at - (dropped_at if serves else self.added[number])
        if wrong:
            self.worst = max(self.worst, (late, f"n{host.number}"))
        if wrong and late > self.bound_s:
            self.fail(f"n{host.number} answered {status} on route {number}, sent {late:.2f} s after the change")

    def is_calm(self, host, at):
        return at > max(self.faulty_until[host.number], self.store.disturbed_at) + STABLE_S

    def mark(self, host, until):
        self.faulty_until[host.number] = max(self.faulty_until[host.number], until)

    # Faults. Mostly of the two readers, the strongest hosts of their data centres.
    def victim(self):
        return self.random.choice(self.hosts[-2:]) if self.random.random() < 0.7 else self.random.choice(self.hosts)

    async def reader_faults(self):
        end = time.monotonic() + PLAY_S
        while time.monotonic() < end:
            action = self.random.choice([self.suspend, self.suspend_again, self.slow, self.restart, self.lose_store,
                                         self.late_store, self.late_links, self.silent_links])
            task = asyncio.create_task(action(self.victim()))
            await asyncio.sleep(self.random.uniform(0.2, 3.0))
            if self.random.random() < 0.5:
                await task

    async def long_pauses(self):
        """Of hosts that lose their links, and get manifests that came meanwhile when they run again."""
        end = time.monotonic() + PLAY_S
        while time.monotonic() < end:
            victims = self.random.sample(self.hosts, 2)
            await asyncio.gather(*[self.pause(host, self.random.uniform(1.2, 4.0)) for host in victims])
            await asyncio.sleep(self.random.uniform(4.0, 7.0))

    async def store_faults(self):
        """Rare, since no host is judged for some seconds after one."""
        await asyncio.sleep(self.random.uniform(4, 8))
        await self.random.choice([self.hide_changes, self.hide_changes, self.fail_store])()
        await asyncio.sleep(self.random.uniform(7, 9))
        await self.hide_changes()

    async def pause(self, host, span):
        self.mark(host, time.monotonic() + span)
        host.signal(signal.SIGSTOP)
        await asyncio.sleep(span)
        host.signal(signal.SIGCONT)
        self.mark(host, time.monotonic())

    async def suspend(self, host):
        await self.pause(host, self.random.uniform(0.3, 4.0))

    async def suspend_again(self, host):
        """Shorter than the silence after which the other side closes a link."""
        for _ in range(4):
            await self.pause(host, self.random.uniform(0.7, 0.95))
            await asyncio.sleep(self.random.uniform(0.01, 0.3))

    async def slow(self, host):
        end = time.monotonic() + 3
        while time.monotonic() < end:
            await self.pause(host, 0.09)
            await asyncio.sleep(0.01)

    async def restart(self, host):
        if host.ended_by_us:
            return
        self.mark(host, 1e12)
        await host.end(signal.SIGKILL)
        await asyncio.sleep(self.random.uniform(0, 2))
        await host.start()
        self.faulty_until[host.number] = time.monotonic() + 1

    async def lose_store(self, host):
        await self.fault_of(host, self.store_proxies[host.number], self.random.choice(["silent", "refuse"]), 0)

    async def late_store(self, host):
        await self.fault_of(host, self.store_proxies[host.number], "sound", self.random.uniform(0.2, 0.8))

    async def late_links(self, host):
        """Bytes wait longer and longer, as in a full buffer. The hosts behind these links are judged."""
        proxy, worst_s = self.peer_proxies[host.number], self.random.uniform(0.5, 5)
        self.mark(host, time.monotonic() + 3 * worst_s)
        while proxy.late_s < worst_s:
            await asyncio.sleep(0.1)
            proxy.late_s += 0.05
        await asyncio.sleep(self.random.uniform(0, 2))
        proxy.late_s = 0
        proxy.reset()
        self.mark(host, time.monotonic())

    async def silent_links(self, host):
        await self.fault_of(host, self.peer_proxies[host.number], "silent", 0)

    async def fault_of(self, host, proxy, mode, late_s):
        span = self.random.uniform(1, 5)
        self.mark(host, time.monotonic() + span)
        proxy.mode, proxy.late_s = mode, late_s
        await asyncio.sleep(span)
        if mode == "silent":
            proxy.reset()
        proxy.mode, proxy.late_s = "sound", 0
        self.mark(host, time.monotonic())

    async def fail_store(self):
        self.store.disturbed_at = 1e12
        self.store.mode = self.random.choice(["silent", "busy"])
        await asyncio.sleep(self.random.uniform(0.5, 2))
        self.store.mode = "sound"
        self.store.disturbed_at = time.monotonic()

    async def hide_changes(self):
        """The feed shows no change for a second; then its history may be gone. No other change follows for a while."""
        self.store.disturbed_at = 1e12
        self.quiet_until = time.monotonic() + STABLE_S + 4
        self.store.feed_shows = self.store.version
        await asyncio.sleep(self.random.uniform(0, 0.5))
        self.change()
        await asyncio.sleep(1)
        self.store.feed_shows = None
        if self.random.random() < 0.7:
            self.store.oldest = self.store.version
        self.store.disturbed_at = time.monotonic()

    def summary(self):
        return (f"bound_s={self.bound_s} changes={max(self.added)} judged={self.judged} "
                f"latest={self.worst[0]:.2f} s at {self.worst[1]}")

    async def play(self):
        tasks = await self.begin()
        tasks.append(asyncio.create_task(self.changes()))
        tasks += [asyncio.create_task(self.probes(host)) for host in self.hosts]
        faults = {"all": [self.reader_faults, self.store_faults], "readers": [self.reader_faults],
                  "narrow": [self.long_pauses]}
        await asyncio.gather(*[fault() for fault in faults[self.kind]])
        await asyncio.sleep(3)
        if self.judged < SEEN_AT_LEAST:
            self.fail(f"only {self.judged} answers could be judged")
        self.over = True
        for task in tasks:
            task.cancel()


def rng_number():
    return random.randrange(10**9)


def main():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--program", required=True, help="the almondscale-host to run")
    parser.add_argument("--seeds", default="1-1", help="FIRST-LAST")
    parser.add_argument("--parallel", type=int, default=1)
    parser.add_argument("--play", choices=["all", "readers", "narrow"], default="all")
    parser.add_argument("--before", help="an older almondscale-host, which every second host runs")
    arguments = parser.parse_args()
    program = os.path.abspath(arguments.program)
    before = arguments.before and os.path.abspath(arguments.before)

    def play_seed(seed):
        random.seed(seed)
        folder = tempfile.mkdtemp(prefix=f"configuration-{seed}-")
        return run_world(Configuration(program, seed, arguments.play, before, folder))

    sys.exit(0 if run_seeds(arguments.seeds, arguments.parallel, play_seed) else 1)


if __name__ == "__main__":
    main()

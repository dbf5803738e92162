#!/usr/bin/env python3
"""Requests that crash each backend server that runs them, repeated through real almondscale-host processes.

Usage: Tests/Soak/crashing.py --program FILE [--seeds FIRST-LAST] [--parallel N] [--senders N] [--play NAME]

Four requests are repeated for 32 s at random hosts, under a new id each time: one that may be retried, one that
may not, one that crashes prefill engines and one that crashes decode engines. Servers restart after 2 s under a new
identity. Checks that each of the requests crashes at most three servers and that other callers are served.
"""
import argparse
import asyncio
import os
import random
import signal
import sys
import tempfile
import time

from soak import World, run_seeds, run_world

SEND_S = 32.0
# Other callers are counted in the last seconds of the run only.
COUNTED_S = 6.0
RESTART_S = 2.0
# Number of simultaneous requests in a burst, and the time between bursts.
BURST_SIZE = 64
BURST_INTERVAL_S = 3.0
# A request may crash this many servers until it is distinguished from the requests that ran beside it.
MAX_CRASHED = 3
# Later than this after the last of these crashes, at most MAX_LATE_SENDS sends of it may still reach a server.
LATE_AFTER_S = 4.0
MAX_LATE_SENDS = 3
MIN_SERVED_SHARE = 0.95
# Up to this long, a busy proxy keeps connections to clients after their server has ended.
CLOSE_DELAY_S = 0.1
# The route of each request that crashes servers.
MARKED = {"safe": "safe", "unsafe": "unsafe", "prefill": "stream", "decode": "stream"}


class CrashingWorld(World):
    """A run in which marked requests crash the servers that run them."""

    def __init__(self, program, seed, hosts, folder, senders, play):
        super().__init__(program, seed, hosts, folder)
        self.senders, self.play_name = senders, play
        self.ended = {mark: [] for mark in MARKED}
        self.late = {mark: 0 for mark in MARKED}
        self.statuses = {mark: {} for mark in MARKED}
        self.counted = {"asked": 0, "served": 0}

    def ends_under(self, backend, request, target, prefill):
        mark = target.rsplit("/", 1)[1].partition("marked-")[2]
        if not mark:
            return False
        ended = self.ended[mark]
        if len(ended) >= MAX_CRASHED and time.monotonic() > ended[MAX_CRASHED - 1][0] + LATE_AFTER_S:
            self.late[mark] += 1
        if mark in ("prefill", "decode") and prefill != (mark == "prefill"):
            return False
        if not backend.ending:
            backend.ending = True
            ended.append((time.monotonic(), backend.identity))
            self.on_run(request, backend)
            asyncio.create_task(self.crash_and_restart(backend))
        return True

    def may_be_refused(self, request):
        return any(request.startswith(f"{MARKED[mark]}-{mark}-") for mark in MARKED)

    async def crash_and_restart(self, backend):
        old = backend.identity
        backend.crash()
        await asyncio.sleep(RESTART_S)
        self.store.put("servers", old, None)
        await backend.live()

    async def ask(self, request, kind, path):
        """Sends a request on a connection of its own; returns its status, or None if that failed."""
        body = b"x" * 200 if kind != "safe" else b""
        head = (f"{'GET' if kind == 'safe' else 'POST'} /{kind}/{path} HTTP/1.1\r\nHost: h\r\nRequest-Id: {request}\r\n"
                f"Deadline-Ms: 2500\r\nContent-Length: {len(body)}\r\n")
        if kind == "stream":
            head += "Model-Id: m\r\nToken-Count: 1000,60\r\nPrefix-Hash: aa:800,bb:200\r\n"
        return await self.ask_alone(request, kind, head.encode() + b"\r\n" + body)

    async def marked_sender(self, mark, number):
        end = time.monotonic() + SEND_S
        sequence = 0
        while time.monotonic() < end:
            sequence += 1
            status = await self.ask(f"{MARKED[mark]}-{mark}-{number}-{sequence}", MARKED[mark], f"marked-{mark}")
            self.statuses[mark][status] = self.statuses[mark].get(status, 0) + 1
            await asyncio.sleep(random.uniform(0.8, 2.0))

    async def other_caller(self, number):
        """Half of the requests share their content with others; the other half have unique content."""
        sequence = 0
        counted_from = time.monotonic() + SEND_S - COUNTED_S
        while not self.over:
            await asyncio.sleep(random.uniform(0.02, 0.12))
            sequence += 1
            kind = random.choice(["safe", "unsafe", "stream"])
            path = random.choice(["x", f"only-{number}-{sequence}"])
            counts = time.monotonic() > counted_from
            status = await self.ask(f"{kind}-{number}-{sequence}", kind, path)
            self.counted["asked"] += counts
            self.counted["served"] += counts and status == 200

    async def crowds(self):
        """Bursts of simultaneous requests with different content, enough to fill a server."""
        for crowd in range(int(SEND_S / BURST_INTERVAL_S)):
            await asyncio.sleep(BURST_INTERVAL_S)
            kinds = [random.choice(["safe", "unsafe", "stream"]) for _ in range(BURST_SIZE)]
            await asyncio.gather(*(self.ask(f"{kind}-crowd{crowd}-{i}", kind, f"only-{crowd}-{i}")
                                   for i, kind in enumerate(kinds)))

    async def end_quarter_twice(self):
        """Crashes a quarter of the servers at the same time, twice, independently of any request."""
        for _ in range(2):
            await asyncio.sleep(SEND_S / 4)
            ending = random.sample([each for each in self.backends if not each.ending], len(self.backends) // 4)
            for backend in ending:
                backend.ending = True
                asyncio.create_task(self.crash_and_restart(backend))

    async def power_loss(self):
        """Kills and restarts all hosts at once, halfway through the run."""
        await asyncio.sleep(SEND_S / 2)
        await asyncio.gather(*(host.end(signal.SIGKILL) for host in self.hosts))
        await asyncio.gather(*(host.start() for host in self.hosts))

    async def play(self):
        tasks = await self.begin()
        tasks += [asyncio.create_task(self.other_caller(number)) for number in range(12)]
        senders = [] if self.play_name in ("control", "quarter") else [
            self.marked_sender(mark, number) for mark in MARKED for number in range(self.senders)]
        if self.play_name == "late_close":
            for proxy in self.backend_proxies:
                proxy.max_close_delay_s = CLOSE_DELAY_S
        faults = {"power_loss": [self.power_loss], "crowd": [self.crowds],
                  "quarter": [self.end_quarter_twice, self.crowds]}.get(self.play_name, [])
        faults = [fault() for fault in faults]
        await asyncio.gather(asyncio.sleep(SEND_S), *senders, *faults)
        self.check_end()
        self.over = True
        for task in tasks:
            task.cancel()

    def check_end(self):
        for mark, ended in self.ended.items():
            # Each sender's request that was sent before the first crash was known may crash one more server.
            if len(ended) > MAX_CRASHED - 1 + self.senders:
                self.fail(f"the {mark} request ended {len(ended)} servers: {[name for _, name in ended]}")
            if self.late[mark] > MAX_LATE_SENDS:
                self.fail(f"the {mark} request reached servers {self.late[mark]} times later than {LATE_AFTER_S} s "
                          "after it had ended the third")
        served = self.counted["served"] / max(1, self.counted["asked"])
        if served < MIN_SERVED_SHARE:
            self.fail(f"of {self.counted['asked']} other requests in the last {COUNTED_S:.0f} s {served:.3f} were served")

    def summary(self):
        ended = " ".join(f"{mark}={len(ended)}/{self.late[mark]}" for mark, ended in self.ended.items())
        served = self.counted["served"] / max(1, self.counted["asked"])
        return (f"ended/late {ended} others={served:.3f} of {self.counted['asked']} "
                f"statuses={self.statuses}")


def main():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--program", required=True, help="the almondscale-host to run")
    parser.add_argument("--seeds", default="1-1", help="FIRST-LAST")
    parser.add_argument("--parallel", type=int, default=1)
    parser.add_argument("--hosts", type=int, default=4)
    parser.add_argument("--senders", type=int, default=1, help="of each request that ends servers")
    parser.add_argument("--play", choices=["plain", "power_loss", "crowd", "quarter", "late_close", "control"],
                        default="plain")
    arguments = parser.parse_args()
    program = os.path.abspath(arguments.program)

    def play_seed(seed):
        random.seed(seed)
        folder = tempfile.mkdtemp(prefix=f"crashing-{seed}-")
        return run_world(CrashingWorld(program, seed, arguments.hosts, folder, arguments.senders, arguments.play))

    sys.exit(0 if run_seeds(arguments.seeds, arguments.parallel, play_seed) else 1)


if __name__ == "__main__":
    main()

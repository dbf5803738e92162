#!/usr/bin/env python3
"""A part of prompts that crashes each engine that begins to answer on it, sent through real almondscale-host processes.

Usage: Tests/Soak/parts.py --program FILE [--seeds FIRST-LAST] [--parallel N] [--senders N] [--hosts N] [--play NAME]

Requests with a marked part arrive at random hosts for 36 s, no two alike. Engines complete their prefill, crash when
they begin to decode, and restart after 2 s under a new identity. Sound requests share the route and all other parts.
Checks how often marked requests reach servers once five have crashed, that sound requests are served as before, and
that none of them is refused as one that crashes servers.
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

SEND_S = 36.0
# Sound requests are sent alone for this long, to compare with.
SOUND_ONLY_S = 3.0
RESTART_S = 2.0
# A part may crash this many engines until it is distinguished from the parts that ran beside it.
MAX_CRASHED = 5
# Later than this after the last of these crashes, at most MAX_LATE_ARRIVALS marked requests may reach a server.
LATE_AFTER_S = 4.0
MAX_LATE_ARRIVALS = 3
# From this long after the last of these crashes, sound requests are served at least this often, compared to before.
SETTLED_AFTER_S = 8.0
MIN_SERVED_RATIO = 0.9
SOUND_CALLERS = 12
FIRST, SECOND = "f1", "5ec0"
# The parts that sound requests have in the place of a marked one.
SOUND_PARTS = ["a1", "a2", "a3"]
MARKED_PARTS = ["bad1", "bad2"]
# The shared parts of a prompt, by play; None is the place of the marked part.
LAYOUTS = {"second": [FIRST, None], "third": [FIRST, SECOND, None], "first": [None, SECOND], "two": [FIRST, None],
           # Behind as many parts as fit into most of a header of 16 KB.
           "far": [f"{0x100 + i:x}" for i in range(1600)] + [None] + [f"{0x1000 + i:x}" for i in range(100)]}


class PartsWorld(World):
    """A run in which prompts with a marked part crash the engines that begin to answer them."""

    def __init__(self, program, seed, hosts, folder, senders, play, before):
        super().__init__(before or program, seed, hosts, folder)
        self.program_after = program
        self.senders, self.play_name = senders, play
        self.layout = LAYOUTS.get(play, LAYOUTS["second"])
        self.marked = MARKED_PARTS if play == "two" else MARKED_PARTS[:1]
        # The marked part of each request that has one, and the content that crashes servers.
        self.marks = {}
        self.crashed = {part: [] for part in MARKED_PARTS + ["content"]}
        self.late = {part: 0 for part in MARKED_PARTS + ["content"]}
        self.sound = []
        self.sequence = 0
        if play == "cut":
            self.add_peer_proxies()

    def on_arrival(self, backend, request):
        super().on_arrival(backend, request)
        part = self.marks.get(request)
        if part and self.is_settled(part, LATE_AFTER_S):
            self.late[part] += 1

    def is_settled(self, part, after_s):
        crashed = self.crashed[part]
        return len(crashed) >= MAX_CRASHED and time.monotonic() > crashed[MAX_CRASHED - 1][0] + after_s

    def ends_under(self, backend, request, target, prefill):
        part = self.marks.get(request)
        if not part or prefill or not backend.role:
            return False
        if not backend.ending:
            backend.ending = True
            self.crashed[part].append((time.monotonic(), backend.identity))
            self.on_run(request, backend)
            asyncio.create_task(self.crash_and_restart(backend))
        return True

    def may_be_refused(self, request):
        return request in self.marks

    async def crash_and_restart(self, backend):
        old = backend.identity
        backend.crash()
        await asyncio.sleep(RESTART_S)
        self.store.put("servers", old, None)
        await backend.live()

    async def ask(self, request, kind, parts, path="x"):
        """Sends a request on a connection of its own; returns its status, or None if that failed."""
        tokens = max(1, 800 // len(parts))
        prefix = ",".join(f"{part}:{tokens}" for part in parts) + f",{random.getrandbits(48):x}:200"
        body = request.encode() if path == "x" else b"the same"
        head = (f"POST /{kind}/{path} HTTP/1.1\r\nHost: h\r\nRequest-Id: {request}\r\nDeadline-Ms: 2500\r\n"
                f"Model-Id: {'m' if kind == 'stream' else 'n'}\r\nToken-Count: 1000,60\r\nPrefix-Hash: {prefix}\r\n"
                f"Content-Length: {len(body)}\r\n\r\n")
        return await self.ask_alone(request, kind, head.encode() + body)

    def prompt(self, part):
        return [part if each is None else each for each in self.layout]

    async def marked_sender(self, part):
        end = time.monotonic() + SEND_S
        while time.monotonic() < end:
            self.sequence += 1
            kind = random.choice(["stream", "once"])
            request = f"{kind}-{part}-{self.sequence}"
            self.marks[request] = part
            await self.ask(request, kind, self.prompt(part))
            await asyncio.sleep(random.uniform(0.4, 1.2))

    async def marked_bursts(self, part):
        """One request at each host at the same moment."""
        end = time.monotonic() + SEND_S
        while time.monotonic() < end:
            self.sequence += 1
            requests = [f"stream-{part}-{self.sequence}-{i}" for i in range(len(self.hosts))]
            self.marks.update({request: part for request in requests})
            await asyncio.gather(*(self.ask(request, "stream", self.prompt(part)) for request in requests))
            await asyncio.sleep(random.uniform(0.8, 1.6))

    async def content_sender(self):
        """Repeats one request that crashes servers by its content; its parts are those of sound requests."""
        end = time.monotonic() + SEND_S
        while time.monotonic() < end:
            self.sequence += 1
            request = f"once-content-{self.sequence}"
            self.marks[request] = "content"
            await self.ask(request, "once", self.prompt(SOUND_PARTS[0]), "content")
            await asyncio.sleep(random.uniform(0.8, 1.6))

    async def sound_caller(self, number):
        sequence = 0
        while not self.over:
            await asyncio.sleep(random.uniform(0.05, 0.15))
            sequence += 1
            kind = random.choice(["stream", "once"])
            asked_at = time.monotonic()
            status = await self.ask(f"{kind}-{number}-{sequence}", kind, self.prompt(random.choice(SOUND_PARTS)))
            self.sound.append((asked_at, status == 200))

    async def power_loss(self):
        """Kills all hosts at once after the third crash and starts them again."""
        while sum(len(each) for each in self.crashed.values()) < 3:
            await asyncio.sleep(0.02)
        await asyncio.gather(*(host.end(signal.SIGKILL) for host in self.hosts))
        await asyncio.gather(*(host.start() for host in self.hosts))

    async def cut_hosts_off(self):
        """Cuts all hosts off from each other; each reaches the store."""
        while not self.over:
            for proxy in self.peer_proxies:
                proxy.mode = "refuse"
                proxy.reset()
            await asyncio.sleep(1)

    async def rolling_restart(self):
        """Stops one host after the other and starts it again, all the time; an older program is replaced by the new one."""
        self.program = self.program_after
        while not self.over:
            for host in self.hosts:
                await asyncio.sleep(1)
                await host.end(signal.SIGTERM)
                await host.start()

    async def play(self):
        tasks = await self.begin()
        tasks += [asyncio.create_task(self.sound_caller(number)) for number in range(SOUND_CALLERS)]
        await asyncio.sleep(SOUND_ONLY_S)
        self.marked_from = time.monotonic()
        marked_sender = self.marked_bursts if self.play_name == "bursts" else self.marked_sender
        senders = []
        if self.play_name != "control":
            senders = [marked_sender(part) for part in self.marked for _ in range(self.senders)]
        if self.play_name == "content":
            senders.append(self.content_sender())
        faults = {"power_loss": [self.power_loss], "rolling": [self.rolling_restart],
                  "cut": [self.cut_hosts_off]}.get(self.play_name, [])
        tasks += [asyncio.create_task(fault()) for fault in faults]
        await asyncio.gather(asyncio.sleep(SEND_S), *senders)
        self.check_end()
        self.over = True
        for task in tasks:
            task.cancel()

    def served_share(self, begin, end):
        counted = [served for asked_at, served in self.sound if begin <= asked_at < end]
        return sum(counted) / max(1, len(counted))

    def settled_from(self):
        crashed = sorted(at for each in self.crashed.values() for at, _ in each[:MAX_CRASHED])
        return (crashed[-1] if crashed else self.marked_from) + SETTLED_AFTER_S

    def check_end(self):
        for part, crashed in self.crashed.items():
            # Each sender's request that was sent before a crash was known may crash one more engine.
            if self.play_name != "bursts" and len(crashed) > MAX_CRASHED - 1 + self.senders:
                self.fail(f"{part} crashed {len(crashed)} servers: {[name for _, name in crashed]}")
            if self.late[part] > MAX_LATE_ARRIVALS:
                self.fail(f"requests with {part} reached servers {self.late[part]} times later than {LATE_AFTER_S} s "
                          f"after the fifth crash; {len(crashed)} crashed in all")
        before = self.served_share(0, self.marked_from)
        after = self.served_share(self.settled_from(), time.monotonic() - 4)
        if after < MIN_SERVED_RATIO * before:
            self.fail(f"of the sound requests {before:.3f} were served before, and {after:.3f} from {SETTLED_AFTER_S} s "
                      "after the fifth crash")

    def summary(self):
        crashed = " ".join(f"{part}={len(each)}/{self.late[part]}" for part, each in self.crashed.items() if each)
        return (f"crashed/late {crashed} sound before={self.served_share(0, self.marked_from):.3f} "
                f"during={self.served_share(self.marked_from, self.settled_from()):.3f} "
                f"after={self.served_share(self.settled_from(), time.monotonic() - 4):.3f} of {len(self.sound)}")


def main():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--program", required=True, help="the almondscale-host to run")
    parser.add_argument("--before", help="an older almondscale-host that the play 'rolling' begins with")
    parser.add_argument("--seeds", default="1-1", help="FIRST-LAST")
    parser.add_argument("--parallel", type=int, default=1)
    parser.add_argument("--hosts", type=int, default=4)
    parser.add_argument("--senders", type=int, default=1, help="of each marked part")
    parser.add_argument("--play", default="second",
                        choices=list(LAYOUTS) + ["bursts", "content", "power_loss", "rolling", "cut", "control"])
    arguments = parser.parse_args()
    program = os.path.abspath(arguments.program)
    before = os.path.abspath(arguments.before) if arguments.before else None

    def play_seed(seed):
        random.seed(seed)
        folder = tempfile.mkdtemp(prefix=f"parts-{seed}-")
        return run_world(PartsWorld(program, seed, arguments.hosts, folder, arguments.senders, arguments.play,
                                    before))

    sys.exit(0 if run_seeds(arguments.seeds, arguments.parallel, play_seed) else 1)


if __name__ == "__main__":
    main()

#!/usr/bin/env python3
"""Backend servers that name limits (Server-Limit), under load through real almondscale-host processes.

Usage: Tests/Soak/limits.py --program FILE [--seeds FIRST-LAST] [--parallel N] [--hosts N] [--play NAME]

Servers name, change and end limits while callers, most of them at the first hosts, ask for more than the limits
allow. Checks that all hosts together keep each limit, that limits are spent, that a request that cannot be served is
refused at once with Retry-After, and that responses with unusable limits are delivered.
"""
import argparse
import asyncio
import os
import random
import signal
import sys
import tempfile
import time

from fakes import read_message
from soak import World, run_seeds, run_world

PLAY_S = 24.0
# The platform's bound: in any window, at most this multiple of what the limit allows and a constant.
WINDOW_S = 4.0
MAX_FACTOR, MAX_EXTRA = 1.5, 5
# It holds this long after a server first named its limit, for hosts that passed it on some time ago.
STABLE_S = 3.0
TOLD_S = 0.5
# Minimum share of the limits of a service that is spent while all of its servers have one and more is asked.
MIN_SPENT_SHARE = 0.6
# A refusal takes at most this long from the arrival of the request.
MAX_REFUSAL_S = 1.0
UNUSABLE = ["0", "-3", "many", "", "nan", "inf", "1e300", "9" * 400, "1,5"]


class LimitedWorld(World):
    """A run in which servers name limits."""

    def __init__(self, program, seed, hosts, folder, play):
        super().__init__(program, seed, hosts, folder)
        self.play_name = play
        # By server identity: (time, limit) of each change, and by host process when it was first told.
        self.named, self.told = {}, {}
        # By server identity: (time, host) of each request that reached it.
        self.arrivals = {}
        # Until when limits are not checked, by host process.
        self.excused = {}
        self.statuses = {}
        self.spent = []
        self.worst = 0.0
        if play == "partitions":
            self.add_peer_proxies()

    def set_limit(self, backend, limit):
        backend.limit = limit
        self.named.setdefault(backend.identity, []).append((time.monotonic(), limit))

    def on_limit_answer(self, backend, request):
        host, _ = self.asked[request]
        self.told.setdefault((backend.identity, host.process), time.monotonic())

    def on_arrival(self, backend, request):
        super().on_arrival(backend, request)
        host, _ = self.asked[request]
        now = time.monotonic()
        arrivals = self.arrivals.setdefault(backend.identity, [])
        arrivals.append((now, host.process))
        self.check_limit(backend, now, arrivals)

    def check_limit(self, backend, now, arrivals):
        named = self.named.get(backend.identity)
        if not named or now < named[0][0] + STABLE_S + WINDOW_S:
            return
        # The highest limit of the window counts, because hosts learn of a change with the next response.
        limits = [limit for at, limit in named if at > now - WINDOW_S - TOLD_S] + [
            limit for at, limit in named if at <= now - WINDOW_S - TOLD_S][-1:]
        if not all(isinstance(limit, float) for limit in limits):
            return
        allowed = MAX_FACTOR * max(limits) * WINDOW_S + MAX_EXTRA
        count = sum(1 for at, process in arrivals if at > now - WINDOW_S
                    and at > self.told.get((backend.identity, process), 1e12) + TOLD_S
                    and at > self.excused.get(process, 0))
        self.worst = max(self.worst, count / allowed)
        if count > allowed:
            self.fail(f"{backend.identity}, with a limit of {max(limits):.2f} a second, got {count} requests in "
                      f"{WINDOW_S} s; allowed {allowed:.0f}")

    async def limited_caller(self, number):
        """Most callers are at the first two hosts."""
        sequence = 0
        rng = random.Random(self.seed * 1000 + number)
        while not self.over:
            await asyncio.sleep(rng.uniform(0.02, 0.12))
            sequence += 1
            ready = [each for each in self.hosts if each.ready] or self.hosts
            host = rng.choice(ready[:2] if number % 3 else ready)
            kind = rng.choice(["safe", "unsafe", "stream"])
            await self.ask(f"{kind}-{number}-{sequence}", kind, host)

    async def ask(self, request, kind, host):
        body = b"x" * 200 if kind != "safe" else b""
        head = (f"{'GET' if kind == 'safe' else 'POST'} /{kind}/x HTTP/1.1\r\nHost: h\r\nRequest-Id: {request}\r\n"
                f"Deadline-Ms: 2500\r\nContent-Length: {len(body)}\r\n")
        if kind == "stream":
            part = random.randrange(16)
            head += f"Model-Id: m\r\nToken-Count: 1000,60\r\nPrefix-Hash: a{part:x}:800,bb:200\r\n"
        asked_at = time.monotonic()
        self.asked[request] = (host, asked_at)
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection(host.ip, 8149), 1)
        except (OSError, asyncio.TimeoutError):
            return
        try:
            writer.write(head.encode() + b"\r\n" + body)
            line, fields, answer = await asyncio.wait_for(read_message(reader), 4)
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.TimeoutError, ValueError):
            self.statuses["none"] = self.statuses.get("none", 0) + 1
            return
        finally:
            writer.close()
        status = int(line.split()[1])
        self.statuses[status] = self.statuses.get(status, 0) + 1
        self.check_answer(request, kind, status, fields, answer)
        calm = time.monotonic() > self.unplanned_until + 3
        if status == 503 and calm and "retry-after" not in fields:
            self.fail(f"request {request} was refused without Retry-After: {answer[:100]!r}")
        if status == 503 and calm and time.monotonic() - asked_at > MAX_REFUSAL_S:
            self.fail(f"request {request} was refused after {time.monotonic() - asked_at:.2f} s")

    def servers(self, service):
        role = {"desk": [None], "prefill": ["prefill"], "decode": ["decode"]}[service]
        return [each for each in self.backends if each.role in role and not each.ending]

    async def limits(self):
        """Names, changes and ends limits."""
        await asyncio.sleep(2.0)
        rng = random.Random(f"limits {self.seed}")
        service = rng.choice(["desk", "decode", "prefill"])
        chosen = self.servers(service)
        whole = rng.random() < 0.6
        if not whole:
            chosen = rng.sample(chosen, 1)
        rates = {each.name: rng.choice([0.4, 1.0, 2.0, 5.0, 10.0]) for each in chosen}
        for backend in chosen:
            self.set_limit(backend, rates[backend.name])
        await asyncio.sleep(STABLE_S)
        since = time.monotonic()
        identities = {each.identity for each in chosen}
        before = {each: len(self.arrivals.get(each, [])) for each in identities}
        await asyncio.sleep(7.0)
        spent = sum(len(self.arrivals.get(each, [])) - before[each] for each in identities)
        share = spent / (sum(rates.values()) * (time.monotonic() - since))
        if whole and service == "desk" and sum(rates.values()) > 3:
            self.spent.append(share)
            if share < MIN_SPENT_SHARE and self.play_name == "plain":
                self.fail(f"only {share:.2f} of the limits of all servers of {service} was spent")
        for backend in chosen:
            self.set_limit(backend, rates[backend.name] * rng.choice([0.3, 0.5, 2.0]))
        await asyncio.sleep(5.0)
        for backend in chosen:
            self.set_limit(backend, rng.choice(UNUSABLE))
        await asyncio.sleep(2.0)
        for backend in chosen:
            self.set_limit(backend, None)

    def excuse(self, host, seconds):
        until = time.monotonic() + seconds
        self.unplanned(seconds)
        self.excused[host.process] = max(self.excused.get(host.process, 0), until)

    async def restarts(self):
        end = time.monotonic() + PLAY_S - 6
        while time.monotonic() < end:
            host = self.random.choice(self.hosts)
            self.excuse(host, 3.0)
            await host.end(signal.SIGKILL)
            await asyncio.sleep(self.random.uniform(0.2, 1.0))
            await host.start()
            self.excuse(host, 3.0)
            await asyncio.sleep(self.random.uniform(0.5, 3.0))

    async def rolls(self):
        for host in self.hosts:
            self.excuse(host, 3.0)
            await host.end(signal.SIGTERM)
            await host.start()
            self.excuse(host, 3.0)

    async def freezes(self):
        end = time.monotonic() + PLAY_S - 6
        while time.monotonic() < end:
            host = self.random.choice(self.hosts)
            seconds = self.random.uniform(0.5, 3.0)
            self.excuse(host, seconds + 3.0)
            host.signal(signal.SIGSTOP)
            host.paused_until = time.monotonic() + seconds
            await asyncio.sleep(seconds)
            host.signal(signal.SIGCONT)
            await asyncio.sleep(self.random.uniform(0.5, 2.0))

    async def cuts(self):
        end = time.monotonic() + PLAY_S - 6
        while time.monotonic() < end:
            self.unplanned(5.0)
            await self.random.choice([self.link_fault, self.store_link_fault, self.store_fault])()

    async def partitions(self):
        """Cuts hosts off from each other; all of them serve on, and nothing is excused."""
        end = time.monotonic() + PLAY_S - 4
        while time.monotonic() < end:
            cut = self.random.choice([self.peer_proxies, self.peer_proxies,
                                      self.random.sample(self.peer_proxies, len(self.peer_proxies) // 2)])
            mode = self.random.choice(["silent", "refuse", "one_way", "delay"])
            for proxy in cut:
                proxy.mode = mode
                if mode == "refuse":
                    proxy.reset()
            await asyncio.sleep(self.random.uniform(1.0, 6.0))
            for proxy in cut:
                # Dropped bytes are not retransmitted, so connections that lost bytes cannot continue.
                if mode in ("silent", "one_way"):
                    proxy.reset()
                proxy.mode = "sound"
            await asyncio.sleep(self.random.uniform(0.5, 3.0))

    async def play(self):
        tasks = await self.begin()
        tasks += [asyncio.create_task(self.limited_caller(number)) for number in range(16)]
        faults = {"restarts": [self.restarts], "rolls": [self.rolls], "freezes": [self.freezes],
                  "cuts": [self.cuts], "partitions": [self.partitions]}.get(self.play_name, [])
        await asyncio.gather(asyncio.sleep(PLAY_S), self.limits(), *[fault() for fault in faults])
        self.over = True
        for task in tasks:
            task.cancel()

    def summary(self):
        limits = {name: [limit for _, limit in named][:2] for name, named in self.named.items()}
        spent = " ".join(f"{share:.2f}" for share in self.spent)
        return f"limits={limits} worst={self.worst:.2f} of the bound spent={spent or '-'} statuses={self.statuses}"


def main():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--program", required=True, help="the almondscale-host to run")
    parser.add_argument("--seeds", default="1-1", help="FIRST-LAST")
    parser.add_argument("--parallel", type=int, default=1)
    parser.add_argument("--hosts", type=int, default=4)
    parser.add_argument("--play", choices=["plain", "restarts", "rolls", "freezes", "cuts", "partitions"],
                        default="plain")
    arguments = parser.parse_args()
    program = os.path.abspath(arguments.program)

    def play_seed(seed):
        random.seed(seed)
        folder = tempfile.mkdtemp(prefix=f"limits-{seed}-")
        return run_world(LimitedWorld(program, seed, arguments.hosts, folder, arguments.play))

    sys.exit(0 if run_seeds(arguments.seeds, arguments.parallel, play_seed) else 1)


if __name__ == "__main__":
    main()

#!/usr/bin/env python3
"""Pools of servers that are ordered from a fake platform by real almondscale-host processes, under load.

Usage: Tests/Soak/pools.py --program FILE [--seeds FIRST-LAST] [--parallel N] [--hosts N]

The platform loses answers, reclaims the spot servers of a data centre and refuses others for a while, and the host
that gives the orders is killed. Checks that one host at a time gives orders, that each order stays within the bounds of
the pool, that cheaper servers take the place of the reserved ones, and that callers are served.
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

from fakes import Backend, Server, response
from soak import World, run_seeds, run_world

POOL = {"min": 1, "max": 8, "bootTimeoutS": 2, "spotPrice": 0.22, "zonePrices": {"a": 1.0, "b": 0.8, "c": 1.2}}
FOUND = 4
CALLS_PER_S = 20
# A holder may act this long after the last act of another one.
LEASE_S = 3.0
RECLAIM_NOTICE_S = 2.0
UNAVAILABLE_S = 6.0
DRAIN_S = 3.0
HEARTBEAT_S = 1.2
TRAFFIC_S = 30.0
CALM_S = 8.0
MIN_SERVED_SHARE = 0.95


class PoolEngine(Backend):
    """An engine of the pool."""

    def __init__(self, world, number, zone, spot):
        ip = f"{world.net}.{6 + number // 200}.{1 + number % 200}:8080"
        super().__init__(world, f"e{number}", ip, ip, "decode" if number % 3 == 2 else "prefill")
        self.zone, self.spot = zone, spot
        self.leaving = False

    def register(self):
        self.world.store.put("servers", self.identity, json.dumps(
            {"service": "llm", "address": self.seen_at, "zone": self.zone, "version": "v1", "slots": self.slots,
             "state": "draining" if self.leaving else "ready", "coldRemainingMs": 0, "sequence": 1, "born": self.born,
             "stage": self.role, "spot": self.spot}))

    async def leave(self, after_s):
        self.leaving = True
        if self.server:
            self.register()
        await asyncio.sleep(after_s)
        if self.server:
            self.crash()
            self.store_removal()

    def store_removal(self):
        self.world.store.put("servers", self.identity, None)


class Cloud(Server):
    """The platform's calls for pools."""

    def __init__(self, world, address):
        super().__init__(address)
        self.world = world
        self.engines = []
        self.unavailable_until = {}
        self.loss = 0.0
        # (time, holder, token, zone, spot, number, status).
        self.orders = []

    def present(self, zone, spot):
        return [each for each in self.engines if each.zone == zone and each.spot == spot and not each.leaving]

    def add(self, zone, spot, boot_s):
        engine = PoolEngine(self.world, len(self.engines), zone, spot)
        self.engines.append(engine)
        asyncio.create_task(self.boot(engine, boot_s))

    @staticmethod
    async def boot(engine, boot_s):
        await asyncio.sleep(boot_s)
        if not engine.leaving:
            await engine.live()

    def reclaim(self, zone):
        for each in self.present(zone, True):
            asyncio.create_task(each.leave(RECLAIM_NOTICE_S))
        for each in "abc":
            self.unavailable_until[each] = time.monotonic() + UNAVAILABLE_S

    async def answer(self, line, fields, body, writer):
        order = json.loads(body)
        zone, spot, number = order["zone"], order.get("spot", False), order["desiredCount"]
        present = self.present(zone, spot)
        status = 200
        if spot and number > len(present) and time.monotonic() < self.unavailable_until.get(zone, 0):
            status = 409
        self.note(fields, zone, spot, number, status)
        if status == 200:
            for _ in range(number - len(present)):
                self.add(zone, spot, POOL["bootTimeoutS"])
            for each in random.sample(present, max(0, len(present) - number)):
                asyncio.create_task(each.leave(DRAIN_S))
        await asyncio.sleep(random.uniform(0.0, 0.1))
        if random.random() < self.loss:
            return False
        writer.write(response(status))
        return True

    def note(self, fields, zone, spot, number, status):
        now, holder, token = time.monotonic(), fields["duty-holder"], int(fields["fencing-token"])
        for at, other, other_token, *_ in self.orders:
            if token < other_token or (token == other_token) != (holder == other):
                self.world.fail(f"order of {holder} with {token} after one of {other} with {other_token}")
            if holder != other and now - at < LEASE_S:
                self.world.fail(f"orders of {holder} and {other} within {now - at:.2f} s")
        if sum(1 for each in self.orders if each[0] > now - 1) >= CALLS_PER_S:
            self.world.fail(f"more than {CALLS_PER_S} orders in a second")
        total = number + len(self.present(zone, not spot))
        if not POOL["min"] <= total <= POOL["max"]:
            self.world.fail(f"an order makes it {total} servers in {zone}")
        self.orders.append((now, holder, token, zone, spot, number, status))


class PoolWorld(World):
    """A run with a pool of engines in three data centres."""

    def __init__(self, program, seed, hosts, folder):
        super().__init__(program, seed, hosts, folder)
        self.cloud = Cloud(self, f"{self.net}.0.2:7100")
        self.more_settings = (f"cloud.address={self.cloud.address}\ncloud.duties=autoscale\n"
                               f"cloud.dutyPerS={CALLS_PER_S}\nzones.a=1\nzones.b=1\nzones.c=1\n")
        self.extra_members = {"llm": {"autoscaling": POOL}}
        self.backends = self.backends[:3]

    async def beat(self):
        while not self.over:
            for engine in self.cloud.engines:
                if engine.server:
                    engine.register()
            await asyncio.sleep(HEARTBEAT_S)

    def reserved(self):
        return sum(len(self.cloud.present(zone, False)) for zone in "abc")

    def spot(self):
        return sum(len(self.cloud.present(zone, True)) for zone in "abc")

    async def play(self):
        await self.cloud.start()
        for zone in "abc":
            for _ in range(FOUND):
                self.cloud.add(zone, False, 0)
        await asyncio.sleep(0.2)
        tasks = await self.begin()
        tasks.append(asyncio.create_task(self.beat()))
        self.cloud.loss = 0.3
        await asyncio.sleep(14)
        if self.spot() < 2 * FOUND or self.reserved() + self.spot() < 3 * FOUND:
            self.fail(f"before any traffic, {self.reserved()} reserved and {self.spot()} spot servers")
        tasks += [asyncio.create_task(self.caller(number)) for number in range(12)]
        await asyncio.sleep(8)
        self.cloud.reclaim(self.random.choice("abc"))
        await asyncio.sleep(1)
        await self.kill_holder()
        await asyncio.sleep(TRAFFIC_S - 9)
        self.calm = True
        await asyncio.sleep(CALM_S)
        self.calm = False
        if self.reserved() > 7:
            self.fail(f"{self.reserved()} reserved servers at the end, {self.spot()} spot")
        if self.counts["calm_served"] < MIN_SERVED_SHARE * self.counts["calm_asked"]:
            self.fail(f"of {self.counts['calm_asked']} requests at the end {self.counts['calm_served']} were served")
        if len({order[1] for order in self.cloud.orders}) < 2:
            self.fail("only one host gave orders")
        self.over = True
        for task in tasks:
            task.cancel()

    async def kill_holder(self):
        holder = self.cloud.orders[-1][1]
        for host in self.hosts:
            if f"n{host.number}" == holder:
                self.unplanned(6)
                await host.end(signal.SIGKILL)
                await asyncio.sleep(2)
                await host.start()

    def summary(self):
        return (f"{super().summary()} pool_orders={len(self.cloud.orders)} reserved={self.reserved()} "
                f"spot={self.spot()}")


def main():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--program", required=True, help="the almondscale-host to run")
    parser.add_argument("--seeds", default="1-1", help="FIRST-LAST")
    parser.add_argument("--parallel", type=int, default=1)
    parser.add_argument("--hosts", type=int, default=4)
    arguments = parser.parse_args()
    program = os.path.abspath(arguments.program)

    def play_seed(seed):
        random.seed(seed)
        folder = tempfile.mkdtemp(prefix=f"pools-{seed}-")
        return run_world(PoolWorld(program, seed, arguments.hosts, folder))

    sys.exit(0 if run_seeds(arguments.seeds, arguments.parallel, play_seed) else 1)


if __name__ == "__main__":
    main()

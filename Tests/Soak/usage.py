#!/usr/bin/env python3
"""Usage reports of real almondscale-host processes, of which some are killed, suspended and cut off.

Usage: Tests/Soak/usage.py --program FILE [--seeds FIRST-LAST] [--parallel N] [--hosts N] [--play NAME]

Callers of several organisations send requests; a fake platform takes the reports. Checks that each window is reported
once, in time, by holders in order, and that its counts are those that the backend servers observed. Only what a killed
host had not passed on may be missing, and no more of it than the tolerance for all organisations together. In the play
`restore`, in which the store comes back from an older copy while the holder is killed, single windows about that time may
have no report: nobody may know whether they had one.
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

from fakes import Server, read_message, response
from soak import World, run_seeds, run_world

WINDOW_S, DUE_S, LEASE_S = 5, 10, 3.0
PLAY_S = 36.0
ORGANISATIONS = [f"org{number}" for number in range(6)]
TOLERANCE = 0.05
# A request that begins within this time of a boundary may count on either side of it.
BOUNDARY_S = 0.05
# A host passes its counts on each 0.2 s, which takes up to the transit time of 0.2 s. A killed host takes the rest with it.
UNSENT_S = 0.4
# After a restore of the store a new holder may report no window that ended before it got the lease, which takes up to
# 7 s, or whose report its predecessor was about to send.
UNKNOWN_BEFORE_S, UNKNOWN_AFTER_S = 8.0, 7.0


class Cloud(Server):
    """The platform's side of the duties."""

    def __init__(self, world, address):
        super().__init__(address)
        self.world = world
        self.mode = "sound"
        # By window: (time, body) of the first report.
        self.reports = {}
        self.acts = []

    async def answer(self, line, fields, body, writer):
        if self.mode == "down":
            writer.write(response(503))
            return True
        if self.mode == "silent":
            return False
        if self.mode == "slow":
            await asyncio.sleep(0.8)
        window = json.loads(body)["windowSeq"]
        self.check_holder(fields["duty-holder"], int(fields["fencing-token"]))
        if self.reports.setdefault(window, (time.time(), body))[1] != body:
            self.world.fail(f"window {window} was reported with {self.reports[window][1]} and then {body}")
        if self.mode == "lossy" and random.random() < 0.5:
            return False
        writer.write(response(200))
        return True

    def check_holder(self, holder, fence):
        now = time.monotonic()
        for at, earlier, earlier_fence in self.acts:
            if holder != earlier and earlier_fence >= fence:
                self.world.fail(f"report of {holder} with fence {fence} after fence {earlier_fence} of {earlier}")
            if holder != earlier and now - at < LEASE_S:
                self.world.fail(f"reports of {earlier} and {holder} within the time of a lease")
        self.acts.append((now, holder, fence))


class UsageWorld(World):
    """A run in which the hosts report usage."""

    def __init__(self, program, seed, hosts, folder, play):
        super().__init__(program, seed, hosts, folder)
        self.play_name = play
        self.cloud = Cloud(self, f"{self.net}.6.1:7100")
        self.more_settings = (f"bounds.usageWindowS={WINDOW_S}\nbounds.usageLateS={DUE_S}\n"
                                 f"cloud.address={self.cloud.address}\ncloud.duties=usage_report\ncloud.dutyPerS=50\n")
        self.organisation = {}
        # When each request began to run.
        self.began = {}
        # The host that was killed, and when.
        self.killed = None, 0.0
        # When the store came back from an older copy.
        self.restored_at = None
        self.statuses = {}

    def put_manifest(self, **changes):
        super().put_manifest(**changes)
        manifest = json.loads(self.store.tables["op"]["config"][0])
        manifest["tenants"] = [{"name": name, "apiKeys": [f"key-{name}"]} for name in ORGANISATIONS]
        self.store.put("op", "config", json.dumps(manifest))

    def on_run(self, request, backend):
        super().on_run(request, backend)
        if not backend.role:
            self.began.setdefault(request, time.time())

    def on_event(self, request):
        self.began.setdefault(request, time.time())

    async def keyed_caller(self, number):
        rng = random.Random(self.seed * 1000 + number)
        sequence = 0
        while not self.over:
            await asyncio.sleep(rng.uniform(0.02, 0.12))
            sequence += 1
            ready = [each for each in self.hosts if each.ready and time.monotonic() > each.paused_until]
            kind = rng.choice(["safe", "unsafe", "stream", "once"])
            await self.ask(f"{kind}-{number}-{sequence}", kind, rng.choice(ready or self.hosts), rng.choice(ORGANISATIONS))

    async def ask(self, request, kind, host, organisation):
        body = b"x" * 200 if kind != "safe" else b""
        head = (f"{'GET' if kind == 'safe' else 'POST'} /{kind}/x HTTP/1.1\r\nHost: h\r\nRequest-Id: {request}\r\n"
                f"Authorization: Bearer key-{organisation}\r\nDeadline-Ms: 2500\r\nContent-Length: {len(body)}\r\n")
        if kind in ("stream", "once"):
            head += "Model-Id: m\r\nToken-Count: 1000,60\r\nPrefix-Hash: aa:800,bb:200\r\n"
        self.asked[request] = (host, time.monotonic())
        self.organisation[request] = organisation
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection(host.ip, 8149), 1)
        except (OSError, asyncio.TimeoutError):
            return
        status = None
        try:
            writer.write(head.encode() + b"\r\n" + body)
            line, fields, answer = await asyncio.wait_for(read_message(reader), 4)
            status = int(line.split()[1])
            self.check_answer(request, kind, status, fields, answer)
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.TimeoutError, ValueError):
            pass
        finally:
            writer.close()
        self.statuses[status] = self.statuses.get(status, 0) + 1

    def holder(self):
        return next((each for each in self.hosts if self.cloud.acts and f"n{each.number}" == self.cloud.acts[-1][1]), None)

    async def disturb(self):
        """The faults of the play, from a random time on."""
        await asyncio.sleep(random.uniform(8, 13))
        holder = self.holder()
        if self.play_name in ("kill", "term") and holder:
            holder.paused_until = time.monotonic() + 13
            if self.play_name == "kill":
                self.killed = holder, time.time()
            await holder.end(signal.SIGKILL if self.play_name == "kill" else signal.SIGTERM)
            await asyncio.sleep(4)
            await holder.start()
        elif self.play_name == "roll":
            for host in self.hosts:
                host.paused_until = time.monotonic() + 9
                await host.end(signal.SIGTERM)
                await host.start()
                await asyncio.sleep(2)
        elif self.play_name == "pause" and holder:
            holder.paused_until = time.monotonic() + 6
            holder.signal(signal.SIGSTOP)
            await asyncio.sleep(6)
            holder.signal(signal.SIGCONT)
        elif self.play_name == "store":
            self.store.mode = "silent"
            await asyncio.sleep(6)
            self.store.mode = "sound"
        elif self.play_name == "restore" and holder:
            await self.restore(holder)
        elif self.play_name in ("down", "silent", "slow", "lossy"):
            self.cloud.mode = self.play_name
            await asyncio.sleep(12)
            self.cloud.mode = "sound"

    async def restore(self, holder):
        """The store comes back from an older copy, and the holder is killed just before, meanwhile or after."""
        drill = asyncio.create_task(self.store.drill(random.uniform(0, 1), random.uniform(2, 8)))
        self.restored_at = time.time()
        await asyncio.sleep(random.uniform(0, 1.5))
        holder.paused_until = time.monotonic() + 13
        self.killed = holder, time.time()
        await holder.end(signal.SIGKILL)
        await drill
        self.put_manifest()
        await asyncio.sleep(random.uniform(0.2, 4))
        await holder.start()

    def may_have_no_report(self, window):
        end = (window + 1) * WINDOW_S
        return self.restored_at and -UNKNOWN_BEFORE_S < end - self.restored_at < UNKNOWN_AFTER_S

    def may_be_lost(self, request):
        """Whether the host that ran the request was killed before it had to pass the count on."""
        host, at = self.killed
        return self.asked[request][0] is host and abs(self.began[request] - at) < UNSENT_S

    def check_windows(self, first, end):
        worst, windows = 0.0, range(first, end)
        for window in windows:
            if window not in self.cloud.reports and self.may_have_no_report(window):
                continue
            if window not in self.cloud.reports:
                self.fail(f"window {window} was not reported")
                continue
            at, body = self.cloud.reports[window]
            late = at - (window + 1) * WINDOW_S - DUE_S
            if late > 0 and self.play_name not in ("down", "silent", "store", "restore"):
                self.fail(f"window {window} was reported {late:.2f} s late")
            counts = json.loads(body)["counts"]
            began = [(request, at / WINDOW_S - window) for request, at in self.began.items()]
            margin = BOUNDARY_S / WINDOW_S
            inside = [request for request, at in began if margin <= at < 1 - margin]
            near = [request for request, at in began if -margin <= at < 1 + margin]
            lost = set(filter(self.may_be_lost, inside))
            for organisation in ORGANISATIONS:
                least = sum(1 for each in inside if self.organisation[each] == organisation and each not in lost)
                most = sum(1 for each in near if self.organisation[each] == organisation)
                got = counts.get(organisation, 0)
                off = max(least - got, got - most, 0) / max(least, 1)
                worst = max(worst, off)
                if off > TOLERANCE:
                    self.fail(f"window {window} of {organisation}: reported {got}, observed {least} to {most}")
            got = sum(counts.values())
            if len(inside) - got > TOLERANCE * len(inside):
                self.fail(f"window {window}: reported {got}, observed {len(inside)}, of which {len(lost)} may be lost")
        self.worst = worst

    def summary(self):
        usage = {kind: count for (kind, table), count in self.store.calls.items() if table == "almondscale-usage"}
        return (f"play={self.play_name} {self.statuses} reports={len(self.cloud.reports)} posts={len(self.cloud.acts)} "
                f"store={usage} worst={getattr(self, 'worst', -1):.3f}")

    async def play(self):
        await self.cloud.start()
        tasks = await self.begin()
        first = int(time.time() // WINDOW_S) + 1
        tasks += [asyncio.create_task(self.keyed_caller(number)) for number in range(8)]
        disturbance = asyncio.create_task(self.disturb())
        await asyncio.sleep(PLAY_S)
        await disturbance
        end = int(time.time() // WINDOW_S)
        await asyncio.sleep(DUE_S + 0.5)
        self.check_windows(first, end)
        self.over = True
        for task in tasks:
            task.cancel()


def main():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--program", required=True, help="the almondscale-host to run")
    parser.add_argument("--seeds", default="1-1", help="FIRST-LAST")
    parser.add_argument("--parallel", type=int, default=1)
    parser.add_argument("--hosts", type=int, default=4)
    parser.add_argument("--play", default="calm")
    arguments = parser.parse_args()
    program = os.path.abspath(arguments.program)

    def play_seed(seed):
        random.seed(seed)
        return run_world(UsageWorld(program, seed, arguments.hosts, tempfile.mkdtemp(prefix=f"usage-{seed}-"),
                                    arguments.play))

    sys.exit(0 if run_seeds(arguments.seeds, arguments.parallel, play_seed) else 1)


if __name__ == "__main__":
    main()

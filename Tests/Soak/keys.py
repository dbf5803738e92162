#!/usr/bin/env python3
"""Keys of callers that are added and removed while hosts are suspended, cut off or restarted, and the store is slow.

Usage: Tests/Soak/keys.py --program FILE [--seeds FIRST-LAST] [--parallel N]

No request runs with a key that was removed longer ago than the bound when the caller sent it, or with one that was
never in a manifest; no request with a valid key gets 401; keys reach no backend server, log, metric, page or peer.
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

from fakes import Backend, read_message
from soak import MANIFEST, World, run_seeds, run_world

HOSTS = 4
REVOKE_S = 5.0
# Share of the bound for which a host without a path to the store has to serve.
SERVED_SHARE = 0.6
# Time from the store's acknowledgement until a manifest is in force everywhere (bounds.configApplyMs); its keys may be
# unknown until then.
APPLY_S = 3.0
PLAY_S = 24.0
KEY_PREFIX = "secret-key-"


class CheckedBackend(Backend):
    async def answer(self, line, fields, body, writer):
        self.world.check_arrival(line, fields, body)
        return await super().answer(line, fields, body, writer)


class Keys(World):
    backend_type = CheckedBackend
    more_settings = (f"bounds.strictRevoke=true\nbounds.revokeMs={int(REVOKE_S * 1000)}\n"
                     f"bounds.configApplyMs={int(APPLY_S * 1000)}\n")

    def __init__(self, program, seed, folder):
        super().__init__(program, seed, HOSTS, folder)
        self.add_peer_proxies()
        # By key: organisation, and when the store acknowledged that it was added and removed.
        self.keys = {}
        self.next_key = 0
        # By request: key, whether the caller may be anonymous, and the time at which it was sent.
        self.sent = {}
        self.statuses = {}
        self.peer_bytes = 0
        # Until when hosts may refuse, since they have no path to the store.
        self.disturbed_until = 0.0
        for _ in range(3):
            self.add_key("north")
            self.add_key("south")
        for proxy in self.peer_proxies:
            proxy.on_bytes = self.check_peer_bytes

    def add_key(self, organisation):
        self.next_key += 1
        key = f"{KEY_PREFIX}{self.seed}-{self.next_key}"
        self.keys[key] = {"organisation": organisation, "added": time.monotonic(), "removed": None}

    def valid_keys(self):
        return [key for key, state in self.keys.items() if state["removed"] is None]

    def put_manifest(self, **changes):
        manifest = json.loads(json.dumps({**MANIFEST, "version": self.manifest_version}))
        manifest["routes"].append({**manifest["routes"][0], "name": "open", "pathPrefix": "/open/", "allowAnonymous": True})
        manifest["tenants"] = [
            {"name": name, "apiKeys": [key for key in self.valid_keys() if self.keys[key]["organisation"] == name],
             **({"priority": 0} if name == "north" else {})} for name in ("north", "south")]
        self.store.put("op", "config", json.dumps(manifest))
        self.manifest_version += 1

    def check_peer_bytes(self, data):
        self.peer_bytes += len(data)
        if KEY_PREFIX.encode() in data:
            self.fail("a key was sent to another host")

    def check_arrival(self, line, fields, body):
        if KEY_PREFIX in line + str(fields) + body.decode() or "authorization" in fields:
            self.fail(f"a key reached a backend server: {line} {fields}")
        request = fields.get("request-id")
        if request not in self.sent:
            return
        key, anonymous, sent_at = self.sent[request]
        state = self.keys.get(key)
        if state is None:
            if key is not None or not anonymous:
                self.fail(f"request {request} with an unknown key ran")
            elif "tenant-id" in fields:
                self.fail(f"request {request} without a key has the organisation {fields['tenant-id']}")
            return
        if fields.get("tenant-id") != state["organisation"]:
            self.fail(f"request {request} has the organisation {fields.get('tenant-id')}, not {state['organisation']}")
        if state["removed"] is not None and sent_at > state["removed"] + REVOKE_S:
            self.fail(f"request {request} ran, sent {sent_at - state['removed']:.2f} s after its key was removed")

    async def key_changes(self):
        while not self.over:
            await asyncio.sleep(self.random.uniform(0.7, 2.5))
            if self.store.server is None or self.store.mode != "sound":
                continue
            removed = self.random.choice(self.valid_keys())
            self.add_key(self.keys[removed]["organisation"])
            self.keys[removed]["removed"] = time.monotonic()
            self.put_manifest()

    async def keyed_caller(self, number):
        rng = random.Random(self.seed * 1000 + number)
        sequence, reader, writer, host = 0, None, None, None
        while not self.over:
            await asyncio.sleep(rng.uniform(0.02, 0.1))
            if writer is None or rng.random() < 0.1:
                host = rng.choice(self.hosts)
                try:
                    reader, writer = await asyncio.wait_for(asyncio.open_connection(host.ip, 8149), 1)
                except (OSError, asyncio.TimeoutError):
                    continue
            sequence += 1
            if not await self.ask(f"k-{number}-{sequence}", rng, reader, writer, host):
                writer.close()
                writer = None

    async def ask(self, request, rng, reader, writer, host):
        kind = rng.choice(["safe", "stream", "open"])
        key = rng.choice([None, KEY_PREFIX + "never"] + 6 * list(self.keys)[-12:])
        body = b"x" * 20
        head = (f"POST /{kind}/x HTTP/1.1\r\nHost: h\r\nRequest-Id: {request}\r\nTenant-Id: forged\r\n"
                f"Connection: keep-alive, Tenant-Id{rng.choice(['', ', Authorization'])}\r\n"
                f"Content-Length: {len(body)}\r\n")
        if kind == "stream":
            head += "Model-Id: m\r\nToken-Count: 1000,60\r\nPrefix-Hash: aa:800,bb:200\r\n"
        if key is not None:
            head += f"{rng.choice(['Authorization: Bearer', 'authorization: bearer'])} {key}\r\n"
        sent_at = time.monotonic()
        self.sent[request] = (key, kind == "open", sent_at)
        self.asked[request] = (host, sent_at)
        try:
            writer.write(head.encode() + b"\r\n" + body)
            line, fields, _ = await asyncio.wait_for(read_message(reader), 4)
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.TimeoutError, ValueError):
            return False
        status = int(line.split()[1])
        self.statuses[status] = self.statuses.get(status, 0) + 1
        self.check_status(request, status, fields, host)
        return fields.get("connection", "").lower() != "close"

    def check_status(self, request, status, fields, host):
        key, anonymous, sent_at = self.sent[request]
        state, now = self.keys.get(key), time.monotonic()
        if status == 401 and state is None and key is None and anonymous:
            self.fail(f"request {request} without a key got 401 on a route that needs none")
        if status == 401 and state and state["removed"] is None and sent_at > state["added"] + APPLY_S:
            self.fail(f"request {request} with a valid key got 401")
        if status == 503 and "retry-after" not in fields:
            self.fail(f"request {request} got 503 without Retry-After")
        known = state and state["removed"] is None and sent_at > state["added"] + APPLY_S
        if status == 503 and known and sent_at > self.disturbed_until and now > host.paused_until + 2:
            self.fail(f"request {request} with a valid key got 503 from n{host.number} without a fault")

    # Faults. Hosts have no path to the store from the beginning; they must serve for a share of the bound.
    async def key_faults(self):
        end = time.monotonic() + PLAY_S
        while time.monotonic() < end:
            await self.random.choice([self.suspend, self.silent_store, self.slow_store, self.cut_host, self.slow_peers,
                                      self.restart])()
            # Until proofs have arrived again.
            self.disturbed_until = time.monotonic() + 2.5
            await asyncio.sleep(self.random.uniform(3.0, 4.0))

    async def suspend(self):
        """Requests are sent to the host while it is suspended; it sees them when it resumes."""
        host, span = self.random.choice(self.hosts), self.random.uniform(5.5, 8)
        host.paused_until = time.monotonic() + span
        self.disturbed_until = time.monotonic() + span + 2.5
        host.signal(signal.SIGSTOP)
        await asyncio.sleep(span)
        host.signal(signal.SIGCONT)

    async def cut(self, span, begin, end):
        await asyncio.sleep(0)
        self.disturbed_until = 0.0
        begin()
        await asyncio.sleep(SERVED_SHARE * REVOKE_S)
        self.disturbed_until = 1e12
        await asyncio.sleep(span)
        end()

    async def silent_store(self):
        await self.cut(self.random.uniform(1, 5), lambda: setattr(self.store, "mode", "silent"),
                       lambda: setattr(self.store, "mode", "sound"))

    async def slow_store(self):
        self.store.mode = "slow"
        await asyncio.sleep(self.random.uniform(3, 6))
        self.store.mode = "sound"

    async def slow_peers(self):
        for proxy in self.peer_proxies:
            proxy.mode = "delay"
        await asyncio.sleep(self.random.uniform(2, 5))
        for proxy in self.peer_proxies:
            proxy.mode = "sound"

    async def cut_host(self):
        """One host loses the store and all other hosts."""
        number = self.random.randrange(HOSTS)
        proxies = [self.store_proxies[number]] + self.peer_proxies
        await self.cut(self.random.uniform(1, 5), lambda: [setattr(proxy, "mode", "silent") for proxy in proxies],
                       lambda: [(setattr(proxy, "mode", "sound"), proxy.reset()) for proxy in proxies])

    async def restart(self):
        host = self.random.choice(self.hosts)
        self.disturbed_until = 1e12
        await host.end(signal.SIGKILL)
        await host.start()
        await asyncio.sleep(2)

    async def fetch(self, host, path):
        reader, writer = await asyncio.open_connection(host.ip, 9464)
        writer.write(f"GET {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n".encode())
        text = (await reader.read()).decode()
        writer.close()
        return text

    async def check_texts(self):
        for host in self.hosts:
            for path in ("/metrics", "/status", "/hosts", "/servers", "/leases", "/suspects"):
                text = await self.fetch(host, path)
                if KEY_PREFIX in text:
                    self.fail(f"{path} of n{host.number} has a key")
                if path == "/status" and "manifest_proof_age_ms" not in text:
                    self.fail(f"the status page of n{host.number} lacks the age of the proof")
                if path == "/metrics" and "almondscale_manifest_proof_age_seconds" not in text:
                    self.fail(f"the metrics of n{host.number} lack the age of the proof")
            with open(host.settings + ".log", encoding="utf-8", errors="replace") as log:
                text = log.read()
            if KEY_PREFIX in text or "organisation=north" not in text:
                self.fail(f"the log of n{host.number} has a key, or no organisation")

    def summary(self):
        return f"statuses={self.statuses} keys={len(self.keys)} peer_bytes={self.peer_bytes}"

    async def play(self):
        tasks = await self.begin()
        tasks += [asyncio.create_task(self.keyed_caller(number)) for number in range(10)]
        tasks.append(asyncio.create_task(self.key_changes()))
        await self.key_faults()
        await asyncio.sleep(2)
        await self.check_texts()
        if self.statuses.get(200, 0) < 500 or self.statuses.get(401, 0) < 50:
            self.fail("too few requests were answered to judge")
        self.over = True
        for task in tasks:
            task.cancel()


def main():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--program", required=True, help="the almondscale-host to run")
    parser.add_argument("--seeds", default="1-1", help="FIRST-LAST")
    parser.add_argument("--parallel", type=int, default=1)
    arguments = parser.parse_args()
    program = os.path.abspath(arguments.program)

    def play_seed(seed):
        random.seed(seed)
        return run_world(Keys(program, seed, tempfile.mkdtemp(prefix=f"keys-{seed}-")))

    sys.exit(0 if run_seeds(arguments.seeds, arguments.parallel, play_seed) else 1)


if __name__ == "__main__":
    main()

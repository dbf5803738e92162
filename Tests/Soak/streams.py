#!/usr/bin/env python3
"""Holds many streams open at once through one almondscale-host.

Usage: Tests/Soak/streams.py --program FILE [--streams N]

Fails if a stream is incomplete; prints the host's peak memory and CPU time.
"""
import argparse
import asyncio
import json
import os
import sys
import tempfile
import time

from fakes import read_message
from soak import World

# Each stream has six events; at this interval all streams are open at the same time.
EVENT_PAUSE_S = 2.5
# Timeout of the routes' requests.
ROUTE_TIMEOUT_MS = 40000
START_S = 5.5
# The callers start spread over this time, because one process runs all of them and all servers.
RAMP_S = 8.0


def host_usage(pid):
    """CPU seconds and peak memory in MB of the process so far."""
    with open(f"/proc/{pid}/stat", encoding="ascii") as file:
        fields = file.read().rsplit(")", 1)[1].split()
    ticks = os.sysconf("SC_CLK_TCK")
    with open(f"/proc/{pid}/status", encoding="ascii") as file:
        peak = next(int(line.split()[1]) for line in file if line.startswith("VmHWM"))
    return (int(fields[11]) + int(fields[12])) / ticks, peak / 1024


async def stream(world, number, delay, open_streams):
    """A caller of a route without retries, so that hosts wait for a slow server; returns whether all events came."""
    await asyncio.sleep(delay)
    request = f"once-{number}-1"
    world.asked[request] = (world.hosts[0], time.monotonic())
    reader, writer = await asyncio.open_connection(world.hosts[0].ip, 8149)
    writer.write((f"POST /once/x HTTP/1.1\r\nHost: h\r\nRequest-Id: {request}\r\nDeadline-Ms: {ROUTE_TIMEOUT_MS}\r\n"
                  "Content-Length: 0\r\nModel-Id: m\r\nToken-Count: 1000,60\r\nPrefix-Hash: aa:800,bb:200\r\n\r\n").encode())
    open_streams["now"] += 1
    open_streams["most"] = max(open_streams["most"], open_streams["now"])
    try:
        line, _, body = await asyncio.wait_for(read_message(reader), ROUTE_TIMEOUT_MS / 1000)
    except (asyncio.IncompleteReadError, ConnectionError, asyncio.TimeoutError):
        return False
    finally:
        open_streams["now"] -= 1
        writer.close()
    expected = "".join(f"id: {event}\ndata: {request}-{event}\n\n" for event in range(1, 7))
    return " 200 " in line and body.decode() == expected


async def play(program, streams):
    world = World(program, 0, 1, tempfile.mkdtemp(prefix="streams-"))
    world.started = time.monotonic()
    await world.store.start()
    for proxy in world.store_proxies + world.backend_proxies:
        await proxy.start()
    for backend in world.backends:
        backend.event_pause_s = EVENT_PAUSE_S
        backend.slots = streams
        await backend.live()
    world.put_manifest(timeoutMs=ROUTE_TIMEOUT_MS, targetGapMs=10000, slots=streams, kvCapacityTokens=10**9)
    host = world.hosts[0]
    await host.start()
    beats = asyncio.create_task(world.heartbeats())
    await asyncio.sleep(START_S)
    before, _ = host_usage(host.process.pid)
    open_streams = {"now": 0, "most": 0}
    whole = await asyncio.gather(*(stream(world, number, RAMP_S * number / streams, open_streams)
                                  for number in range(streams)))
    after, peak = host_usage(host.process.pid)
    world.over = True
    beats.cancel()
    await host.end(15)
    print(json.dumps({"streams": streams, "whole": sum(whole), "open_at_once": open_streams["most"],
                      "host_cpu_s": round(after - before, 2), "host_peak_mb": round(peak, 1)}))
    return all(whole) and open_streams["most"] == streams


def main():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--program", required=True, help="the almondscale-host to run")
    parser.add_argument("--streams", type=int, default=1000)
    arguments = parser.parse_args()
    sys.exit(0 if asyncio.run(play(os.path.abspath(arguments.program), arguments.streams)) else 1)


if __name__ == "__main__":
    main()

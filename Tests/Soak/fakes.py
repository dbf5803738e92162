"""Fakes of the platform for the soak: a store, backend servers, and a fault-injecting proxy."""
import asyncio
import base64
import collections
import json
import random
import time
import urllib.parse


async def read_message(reader):
    """A request or response as (first line, fields, body); raises IncompleteReadError at the end of the connection."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            fields[name.lower()] = value.strip()
    body = b""
    if fields.get("transfer-encoding") == "chunked":
        while True:
            size = int(await reader.readuntil(b"\r\n"), 16)
            piece = await reader.readexactly(size + 2)
            if size == 0:
                break
            body += piece[:-2]
    elif "content-length" in fields:
        body = await reader.readexactly(int(fields["content-length"]))
    return lines[0], fields, body


def response(status, body=b"", **fields):
    lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}"]
    lines += [f"{name.replace('_', '-')}: {value}" for name, value in fields.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


class Server:
    """An HTTP server that can abort all its connections at once."""

    def __init__(self, address):
        self.address = address
        self.server = None
        # Identifies one lifetime of the process. Connections of an earlier one, even just accepted, are aborted.
        self.life = None
        self.writers = set()
        self.tasks = set()

    async def start(self):
        life = self.life = object()

        def accept(reader, writer):
            if self.life is not life:
                writer.transport.abort()
                return
            self.writers.add(writer)
            task = asyncio.create_task(self.serve(reader, writer))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

        host, port = self.address.split(":")
        self.server = await asyncio.start_server(accept, host, int(port), reuse_address=True)

    def crash(self):
        self.life = None
        if self.server:
            self.server.close()
            self.server = None
        for writer in list(self.writers):
            writer.transport.abort()

    async def serve(self, reader, writer):
        try:
            while True:
                line, fields, body = await read_message(reader)
                if not await self.answer(line, fields, body, writer):
                    break
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError, ValueError):
            pass
        finally:
            self.writers.discard(writer)
            writer.transport.abort()


class Store(Server):
    """The platform's store: tables of rows with a common version counter, a change feed, and drills."""

    def __init__(self, address):
        super().__init__(address)
        self.tables = {}
        self.version = 0
        # Rises when the store comes back from an older copy of itself.
        self.era = 1
        # Copies of the last seconds: (time, tables, version).
        self.copies = collections.deque(maxlen=200)
        self.changed = asyncio.Event()
        self.mode = "sound"
        self.disturbed_at = -1e9
        # The feed shows no rows above this version, although it states the newest one; None for all rows.
        self.feed_shows = None
        # The history before this version is dropped.
        self.oldest = 0
        # Number of calls, by kind and table.
        self.calls = collections.Counter()
        # The value that is stored for a row that is written.
        self.stored_value = lambda table, key, value: value

    async def keep_copies(self):
        while True:
            if self.server:
                tables = {table: dict(rows) for table, rows in self.tables.items()}
                self.copies.append((time.monotonic(), tables, self.version))
            await asyncio.sleep(0.1)

    async def drill(self, away_s, copy_age_s):
        """Goes away and comes back from a copy of that age; what was written since is gone."""
        wanted = time.monotonic() - copy_age_s
        _, tables, version = min(self.copies, key=lambda copy: abs(copy[0] - wanted))
        self.crash()
        await asyncio.sleep(away_s)
        self.tables = {table: dict(rows) for table, rows in tables.items()}
        self.version, self.era = version, self.era + 1
        await self.start()

    def respond(self, writer, status, answer=None):
        body = b"" if answer is None else json.dumps(answer).encode()
        writer.write(response(status, body, Store_Era=self.era))
        return True

    def put(self, table, key, value):
        self.version += 1
        self.set_row(table, key, value)

    def set_row(self, table, key, value):
        value = self.stored_value(table, key, value)
        self.tables.setdefault(table, {})[key] = (value, self.version, value is None)
        self.changed.set()
        self.changed = asyncio.Event()

    def rows(self, table, after):
        found = [(key, *row) for key, row in self.tables.get(table, {}).items() if row[1] > after]
        return [self.row(table, *row) for row in sorted(found, key=lambda row: row[2])]

    def feed(self, table, after):
        rows = self.rows(table, after)
        return rows if self.feed_shows is None else [row for row in rows if row["rowVersion"] <= self.feed_shows]

    @staticmethod
    def row(table, key, value, version, removed):
        row = {"table": table, "part": "", "key": key, "rowVersion": version}
        if removed:
            row["deleted"] = True
        else:
            row["value"] = base64.b64encode(value.encode(errors="surrogateescape")).decode()
        return row

    async def answer(self, line, fields, body, writer):
        if self.mode == "silent":
            await asyncio.sleep(60)
            return False
        if self.mode == "busy":
            return self.respond(writer, 503)
        await asyncio.sleep(0.3 if self.mode == "slow" else 0.002)
        target = urllib.parse.urlsplit(line.split()[1])
        query = {key: value[0] for key, value in urllib.parse.parse_qs(target.query).items()}
        if target.path.endswith("rows-tx"):
            call = json.loads(body)
            self.calls[("write", call["expected"][0]["table"])] += 1
            status, answer = self.transact(call)
            if self.mode == "lossy" and random.random() < 0.4:
                return False
            return self.respond(writer, status, answer)
        table = query["table"]
        self.calls[("read", table)] += 1
        after = int(query.get("after", 0))
        if target.path.endswith("rows-feed") and (after > self.version or after < self.oldest):
            return self.respond(writer, 410)
        if target.path.endswith("rows-feed"):
            deadline = asyncio.get_running_loop().time() + int(query["waitMs"]) / 1000
            while not self.feed(table, after) and asyncio.get_running_loop().time() < deadline:
                try:
                    await asyncio.wait_for(self.changed.wait(), deadline - asyncio.get_running_loop().time())
                except asyncio.TimeoutError:
                    break
        rows = self.feed(table, after) if target.path.endswith("rows-feed") else self.rows(table, after)
        if target.path.endswith("rows-get"):
            first, end = query.get("from", ""), query.get("target")
            rows = [row for row in rows
                    if not row.get("deleted") and row["key"] >= first and (end is None or row["key"] < end)]
        return self.respond(writer, 200, {"rows": rows, "hasMore": False, "rowVersion": self.version})

    def transact(self, call):
        kept = {}
        for row in call["expected"]:
            found = self.tables.get(row["table"], {}).get(row["key"])
            if found is not None and not found[2]:
                kept[row["key"]] = self.row(row["table"], row["key"], *found)
        if any(kept.get(row["key"], {"rowVersion": 0})["rowVersion"] != row["rowVersion"] for row in call["expected"]):
            return 412, {"rows": list(kept.values()), "rowVersion": self.version}
        self.version += 1
        for row in call["puts"]:
            self.set_row(row["table"], row["key"], base64.b64decode(row["value"]).decode())
        for row in call["remove"]:
            self.set_row(row["table"], row["key"], None)
        return 200, {"rowVersion": self.version}


class Backend(Server):
    """A backend server, plain or an engine, that reports the requests it runs to the world."""

    def __init__(self, world, name, address, seen_at, role):
        super().__init__(address)
        self.world, self.name, self.seen_at, self.role = world, name, seen_at, role
        self.lives = 0
        self.mode = "sound"
        self.state = "ready"
        self.left_at = None
        # A crash or a planned shutdown is in progress.
        self.ending = False
        # The limit in its responses, as text; None for none.
        self.limit = None
        self.orders = 0
        self.event_pause_s = 0.02
        # Number of concurrent requests that it registers; engines register more than plain servers.
        self.slots = 64 if role else 6
        # Start time by its own clock, which may be wrong, in milliseconds since 1970.
        self.born = 0

    @property
    def identity(self):
        return f"{self.name}-{self.lives}"

    async def live(self):
        self.lives += 1
        self.born = int(1000 * (time.time() + self.world.clock_random.uniform(-3600, 3600)))
        self.state, self.left_at, self.ending, self.limit = "ready", None, False, None
        await self.start()
        self.register()

    def register(self):
        entry = {"service": "llm" if self.role else "desk", "address": self.seen_at, "zone": "a", "version": "v1",
                 "slots": self.slots, "state": self.state, "coldRemainingMs": 0, "sequence": 1,
                 "born": self.born}
        if self.role:
            entry["stage"] = self.role
        self.world.store.put("servers", self.identity, json.dumps(entry))

    async def answer(self, line, fields, body, writer):
        method, target, _ = line.split()
        if target.startswith("/almondscale/"):
            return await self.control(method, target, body, writer)
        wanted = fields.get("expect-instance")
        if wanted and wanted != self.identity:
            writer.write(response(421, Instance_Id=self.identity))
            return True
        request = fields["request-id"]
        if self.left_at is not None:
            self.world.on_late_arrival(self, request)
        self.world.on_arrival(self, request)
        notices = {}
        if self.left_at is not None:
            notices["Server_Leaving"] = 1
            self.world.on_leaving_answer(self, request)
        if self.limit is not None:
            notices["Server_Limit"] = self.limit
            self.world.on_limit_answer(self, request)
        if self.mode in ("shed", "pause") and random.random() < 0.5:
            pause = {}
            if self.mode == "pause":
                seconds = min(random.choice([0.1, 0.7, 2.5, 30.0]), self.world.max_backoff_s())
                pause = {"Retry_After": seconds}
                self.world.on_pause_answer(self, request, seconds)
            writer.write(response(503, Not_Executed=1, Request_Id=request, **pause, **notices))
            return True
        prefill = fields.get("serving-stage") == "prefill"
        if self.world.ends_under(self, request, target, prefill):
            return False
        if prefill:
            handle = json.dumps({"kvHandle": "h" + request, "tokens": 100, "version": 1}).encode()
            await asyncio.sleep(0.01)
            writer.write(response(200, handle, Request_Id=request, **notices))
            return True
        self.world.on_run(request, self)
        await asyncio.sleep(0.3 if self.mode == "slow" else 0.02)
        if self.mode == "lose" and random.random() < 0.5:
            return False
        if self.role:
            return await self.stream(request, fields, writer, notices)
        writer.write(response(200, f"answer to {request}".encode(), Request_Id=request, Response_Signature="s",
                              **notices))
        return True

    async def stream(self, request, fields, writer, notices):
        writer.write((f"HTTP/1.1 200 X\r\nRequest-Id: {request}\r\nResponse-Signature: s\r\n"
                      + "".join(f"{name.replace('_', '-')}: {value}\r\n" for name, value in notices.items()) +
                      "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n").encode())
        for event in range(int(fields.get("last-event-id") or 0) + 1, 7):
            text = f"id: {event}\ndata: {request}-{event}\n\n".encode()
            self.world.on_event(request)
            if self.mode == "lose" and random.random() < 0.1:
                writer.write(b"%x\r\n" % len(text) + text[:9])
                return False
            writer.write(b"%x\r\n" % len(text) + text + b"\r\n")
            await writer.drain()
            await asyncio.sleep(self.event_pause_s)
        writer.write(b"0\r\n\r\n")
        return True

    async def control(self, method, target, body, writer):
        if target.endswith("/report"):
            report = {"stage": self.role, "busy": False, "sequence": self.orders}
            writer.write(response(200, json.dumps(report).encode()))
        elif target.endswith("/order"):
            order = json.loads(body)
            status = 409 if order.get("expected", self.orders) != self.orders else 202
            if status == 202:
                self.world.on_order(self, order)
                self.orders += 1
                self.role = order["stage"]
                self.register()
            writer.write(response(status))
        else:
            writer.write(response(200))
        return True


class Proxy:
    """Forwards connections to a server; delays, resets, refuses or silences them, depending on its mode."""

    def __init__(self, address, target):
        self.address, self.target = address, target
        self.mode = "sound"
        # Maximum delay after which the end of a connection to the server ends the one to the client.
        self.max_close_delay_s = 0.0
        self.writers = set()
        # Called with all bytes that are passed on.
        self.on_bytes = None

    async def start(self):
        host, port = self.address.split(":")
        await asyncio.start_server(self.carry, host, int(port), reuse_address=True)

    def reset(self):
        for writer in list(self.writers):
            writer.transport.abort()

    async def carry(self, reader, writer):
        host, port = self.target.split(":")
        if self.mode == "refuse":
            writer.transport.abort()
            return
        try:
            far_reader, far_writer = await asyncio.open_connection(host, int(port))
        except OSError:
            await self.delay_close()
            writer.transport.abort()
            return
        self.writers |= {writer, far_writer}
        pumps = [asyncio.create_task(self.pump(reader, far_writer, "in")),
                 asyncio.create_task(self.pump(far_reader, writer, "out"))]
        await asyncio.wait(pumps, return_when=asyncio.FIRST_COMPLETED)
        await self.delay_close()
        for each in (writer, far_writer):
            self.writers.discard(each)
            each.close()

    async def delay_close(self):
        if self.max_close_delay_s:
            await asyncio.sleep(random.uniform(0, self.max_close_delay_s))

    async def pump(self, reader, writer, direction):
        try:
            while data := await reader.read(65536):
                if self.on_bytes:
                    self.on_bytes(data)
                if self.mode == "delay":
                    await asyncio.sleep(0.15)
                # Silent, or partitioned in one direction: bytes are dropped and the connection stays open.
                if self.mode == "silent" or (self.mode == "one_way" and direction == "out"):
                    continue
                writer.write(data)
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass

"""Stand-ins for the metadata store and the minions of the platform, as PROTOCOL.md
describes them. They run in the process of the script that uses them."""

import asyncio
import base64
import json
import time
import urllib.parse

STORE_LATENCY_S = 0.004
MAX_ROWS = 500


async def read_message(reader):
    """Returns (first line, headers, body), or None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, separator, value = line.partition(":")
        if separator:
            headers[name.lower()] = value.strip()
    try:
        body = await reader.readexactly(int(headers.get("content-length", 0)))
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return lines[0], headers, body


class Server:
    """HTTP server. handle(method, target, headers, body) returns (status, object), or
    None to close the connection without a response."""

    async def listen(self, ip, port=0):
        self.connections = set()
        self.server = await asyncio.start_server(self.serve, ip, port)
        self.port = self.server.sockets[0].getsockname()[1]
        self.address = f"{ip}:{self.port}"

    async def serve(self, reader, writer):
        self.connections.add(writer)
        try:
            while (message := await read_message(reader)) is not None:
                method, target, _ = message[0].split(" ", 2)
                response = await self.handle(method, target, message[1], message[2])
                if response is None:
                    break
                text = json.dumps(response[1]).encode()
                writer.write(b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\n"
                             b"Content-Length: %d\r\n\r\n" % (response[0], len(text))
                             + text)
                await writer.drain()
        except (ConnectionError, ValueError, asyncio.CancelledError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    def abort_connections(self):
        for writer in list(self.connections):
            writer.transport.abort()


class Store(Server):
    """The platform's store, form "table"."""

    def __init__(self):
        self.rows, self.changes, self.version = {}, [], 1
        self.changed = asyncio.Condition()

    async def put(self, table, key, value):
        await self.put_encoded(table, key, base64.b64encode(value).decode())

    async def put_encoded(self, table, key, value, removed=False):
        self.version += 1
        row = {"table": table, "part": "", "key": key, "ver": self.version}
        if removed:
            row["removed"] = True
            self.rows.pop((table, key), None)
        else:
            row["value"] = value
            self.rows[table, key] = row
        self.changes.append(row)
        async with self.changed:
            self.changed.notify_all()

    def reply(self, rows, more=False):
        return 200, {"rows": rows, "has-more": more, "ver": self.version,
                     "now-ms": int(time.monotonic() * 1000)}

    async def transact(self, body):
        transaction = json.loads(body)
        for row in transaction["puts"] + transaction["remove"]:
            if row["table"] in ("op", "servers"):
                return 403, {}
        for row in transaction["precondition"]:
            known = self.rows.get((row["table"], row["key"]))
            if (known["ver"] if known else 0) != row["ver"]:
                return 412, {"rows": [known] if known else [], "ver": self.version,
                             "now-ms": int(time.monotonic() * 1000)}
        for row in transaction["puts"]:
            await self.put_encoded(row["table"], row["key"], row["value"])
        for row in transaction["remove"]:
            await self.put_encoded(row["table"], row["key"], None, True)
        return self.reply([])

    async def feed(self, query):
        table, after = query["table"][0], int(query["after"][0])
        limit = time.monotonic() + int(query.get("wait-ms", ["0"])[0]) / 1000
        while True:
            rows = [row for row in self.changes
                    if row["ver"] > after and row["table"] == table]
            left = limit - time.monotonic()
            if rows or left <= 0:
                return self.reply(rows)
            async with self.changed:
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass

    async def handle(self, method, target, headers, body):
        await asyncio.sleep(STORE_LATENCY_S)
        url = urllib.parse.urlparse(target)
        query = urllib.parse.parse_qs(url.query, keep_blank_values=True)
        if url.path == "/cassiahub/rows-tx":
            return await self.transact(body)
        if url.path == "/cassiahub/rows-feed":
            return await self.feed(query)
        if url.path != "/cassiahub/rows-get":
            return 404, {}
        first = query.get("from", [""])[0]
        limit = min(int(query.get("limit", [MAX_ROWS])[0]), MAX_ROWS)
        rows = [row for (table, key), row in sorted(self.rows.items())
                if table == query["table"][0] and key >= first]
        return self.reply(rows[:limit], len(rows) > limit)


class Run:
    def __init__(self, task, number, spec, work_s):
        self.task, self.number, self.spec = task, number, spec
        self.begin, self.until = time.monotonic(), time.monotonic() + work_s
        self.stopped_at = None


class Minion(Server):
    """Runs tasks under a lease. The spec of a task is JSON with its "work-ms" and "cpu".
    record(text) is called for each start and end. Guards its capacity."""

    HOLD_MAX_MS, STOP_S, HEARTBEAT_S = 1000, 0.04, 1.5

    def __init__(self, store, name, zone, service, cpu, record, slots=8):
        self.store, self.name, self.zone, self.service = store, name, zone, service
        self.cpu, self.slots, self.record = cpu, slots, record
        self.state = "ready"
        self.history = []  # (task, run number, begin, end or None, how)
        self.reset()

    def reset(self):
        self.started = time.monotonic()
        self.born = int(time.time() * 1000)
        self.runs, self.ended, self.last_end = {}, [], 0
        self.token, self.lease_until, self.refused, self.seq = 0, 0, {}, 0

    async def start(self, ip):
        await self.listen(ip)
        self.driver = asyncio.create_task(self.drive())
        self.heart = asyncio.create_task(self.beat())

    def crash(self):
        """Loses power: what runs is lost, and nobody answers."""
        self.record(f"{self.name}: crashes with {len(self.runs)} runs")
        now = time.monotonic()
        self.history += [(run.task, run.number, run.begin, now, "crashed")
                         for run in self.runs.values()]
        self.runs = {}
        self.driver.cancel()
        self.heart.cancel()
        self.server.close()
        self.abort_connections()

    def clock(self):
        return int((time.monotonic() - self.started) * 1000)

    def registration(self):
        return {"service": self.service, "address": self.address, "zone": self.zone,
                "version": "v1", "slots": self.slots, "state": self.state,
                "cold-remaining-ms": 0,
                "capacity": {"cpu": self.cpu, "mem-mb": 65536, "gpu": 0},
                "labels": ["a", "r1-1"], "clock-ms": self.clock(), "seq": self.seq,
                "born": self.born}

    async def beat(self):
        while True:
            self.seq += 1
            await self.store.put("servers", self.name,
                                 json.dumps(self.registration()).encode())
            await asyncio.sleep(self.HEARTBEAT_S)

    async def drive(self):
        while True:
            self.advance()
            await asyncio.sleep(0.005)

    def advance(self):
        now = time.monotonic()
        for run in list(self.runs.values()):
            if self.clock() > self.lease_until:
                self.end(run, "lapsed")
            elif run.stopped_at is not None and now >= run.stopped_at:
                self.end(run, "stopped")
            elif now >= run.until and run.stopped_at is None:
                self.end(run, "done")

    def end(self, run, how):
        del self.runs[run.task, run.number]
        self.last_end += 1
        self.ended.append([self.last_end, run.task, run.number, how, ""])
        self.refuse(run.task, run.number)
        self.history.append((run.task, run.number, run.begin, time.monotonic(), how))
        self.record(f"{self.name}: run {run.number} of {run.task} ended: {how}")

    def refuse(self, task, number):
        self.refused[task] = max(self.refused.get(task, 0), number)

    def extend(self, message):
        if "deadline-ms" in message:
            longest = self.clock() + self.HOLD_MAX_MS
            self.lease_until = max(self.lease_until,
                                   min(message["deadline-ms"], longest))

    def reply(self, status=200, **more):
        return status, {"clock-ms": self.clock(), **more}

    def run_start(self, message):
        task, number = message["task"], message["run"]
        if message["deadline-ms"] < self.clock():
            return self.reply(409, reason="late")
        self.extend(message)
        if (task, number) in self.runs:
            return self.reply()
        if number <= self.refused.get(task, 0):
            return self.reply(409, reason="old")
        spec = json.loads(message["spec"])
        used = sum(json.loads(run.spec)["cpu"] for run in self.runs.values())
        if used + spec["cpu"] > self.cpu:
            return self.reply(409, reason="room")
        self.runs[task, number] = Run(task, number, message["spec"],
                                      spec["work-ms"] / 1000)
        self.record(f"{self.name}: run {number} of {task} started")
        return self.reply()

    def run_stop(self, message):
        run = self.runs.get((message["task"], message["run"]))
        self.refuse(message["task"], message["run"])
        if run is not None and run.stopped_at is None:
            run.stopped_at = time.monotonic() + self.STOP_S
        return self.reply()

    async def hold(self, message):
        self.extend(message)
        self.ended = [row for row in self.ended
                      if row[0] > message.get("ack-cursor", 0)]
        limit = time.monotonic() + min(message.get("wait-ms", 0), 2000) / 1000
        while not self.ended and time.monotonic() < limit:
            await asyncio.sleep(0.005)
        now = time.monotonic()
        running = [[run.task, run.number, "",
                    min(99, int(100 * (now - run.begin) / (run.until - run.begin))), 0]
                   for run in self.runs.values()]
        return self.reply(born=self.born, running=running, ended=self.ended[:500])

    async def handle(self, method, target, headers, body):
        if target == "/health":
            return 200, {}
        if headers.get("cassiahub-expect-instance", self.name) != self.name:
            return self.reply(421)
        message = json.loads(body)
        self.advance()
        if message.get("fencing-token", 0) < self.token:
            return self.reply(409, reason="fence")
        self.token = message.get("fencing-token", 0)
        if target == "/cassiahub/run-start":
            return self.run_start(message)
        if target == "/cassiahub/run-stop":
            return self.run_stop(message)
        if target == "/cassiahub/hold":
            return await self.hold(message)
        return 404, {}

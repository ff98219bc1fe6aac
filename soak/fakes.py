"""Fakes of the platform: its store and its upstreams, with faults that the soak sets."""
import asyncio
import base64
import json
import time
import urllib.parse

from http_server import serve

HOLD_MAX_MS = 1000
STOP_MS = 20


def now_ms():
    return int(time.monotonic() * 1000)


class Store:
    """Tables with one version counter. mode: up, refuse, silent, slow."""

    def __init__(self, rewrite_peer):
        self.rows = {}
        self.version = 1
        self.log = []
        self.mode = "up"
        self.calls = 0
        self.rewrite_peer = rewrite_peer

    def put(self, table, key, value):
        self.version += 1
        encoded = base64.b64encode(json.dumps(value).encode()).decode()
        row = {"table": table, "part": "", "key": key, "value": encoded,
               "ver": self.version}
        self.rows[(table, key)] = row
        self.log.append((self.version, table, row))

    def drop(self, table, key):
        if self.rows.pop((table, key), None):
            self.version += 1
            row = {"table": table, "part": "", "key": key, "ver": self.version,
                   "removed": True}
            self.log.append((self.version, table, row))

    def answer(self, rows):
        return 200, {"rows": rows, "has-more": False, "ver": self.version,
                     "now-ms": now_ms()}

    def transact(self, body):
        change = json.loads(body)
        for row in change["puts"]:
            value = json.loads(base64.b64decode(row["value"]))
            if "peer_address" in value:
                value["peer_address"] = self.rewrite_peer(row["key"],
                                                          value["peer_address"])
            self.put(row["table"], row["key"], value)
        for row in change["remove"]:
            self.drop(row["table"], row["key"])
        return self.answer([])

    async def watch(self, query):
        after, table = int(query["after"][0]), query["table"][0]
        limit = time.monotonic() + int(query["wait-ms"][0]) / 1000
        while True:
            rows = [row for version, name, row in self.log
                    if version > after and name == table]
            if rows or time.monotonic() >= limit:
                return self.answer(rows)
            await asyncio.sleep(0.02)

    async def handle(self, method, target, headers, body):
        self.calls += 1
        if self.mode == "silent":
            await asyncio.sleep(30)
            return None
        if self.mode == "refuse":
            return 503, {}
        if self.mode == "slow":
            await asyncio.sleep(0.3)
        url = urllib.parse.urlparse(target)
        query = urllib.parse.parse_qs(url.query, keep_blank_values=True)
        if url.path == "/cassiahub/rows-tx":
            return self.transact(body)
        if url.path == "/cassiahub/rows-feed":
            return await self.watch(query)
        rows = [row for (table, _), row in sorted(self.rows.items())
                if table == query["table"][0]]
        return self.answer(rows)


class Upstream:
    """Runs tasks under leases. mode: up, silent, failing, stalled, late."""

    def __init__(self, name, port, room, checks):
        self.name, self.port, self.room, self.checks = name, port, room, checks
        self.mode = "up"
        self.reset()

    def reset(self):
        self.born = time.time_ns() // 1_000_000
        self.started = time.monotonic()
        self.runs = {}
        self.ended = []
        self.number = 0
        self.fence = 0
        self.lease_until = 0
        self.refused = {}
        self.changed = asyncio.Event()

    def crash(self):
        for task, run in list(self.runs.items()):
            self.checks.run_over(task, run["run"], self.name)
        self.reset()

    def clock(self):
        return int((time.monotonic() - self.started) * 1000)

    def end(self, task, how):
        run = self.runs.pop(task)
        self.number += 1
        self.ended.append([self.number, task, run["run"], how, ""])
        self.refused[task] = max(self.refused.get(task, 0), run["run"])
        self.checks.run_over(task, run["run"], self.name)
        self.changed.set()
        self.changed = asyncio.Event()

    def advance(self):
        """Ends what is done, and everything once the lease has passed."""
        lapsed = self.clock() > self.lease_until
        for task, run in list(self.runs.items()):
            if lapsed:
                self.end(task, "lapsed")
            elif time.monotonic() >= run["until"] and self.mode != "stalled":
                self.end(task, "failed" if self.mode == "failing" else "done")

    def extend(self, body):
        if "deadline-ms" in body:
            limit = self.clock() + HOLD_MAX_MS
            self.lease_until = max(self.lease_until, min(body["deadline-ms"], limit))

    def start(self, body):
        task, run = body["task"], body["run"]
        if body["deadline-ms"] < self.clock():
            return self.reply(409, reason="late")
        self.extend(body)
        if task in self.runs and self.runs[task]["run"] == run:
            return self.reply(200)
        if run <= self.refused.get(task, 0):
            return self.reply(409, reason="old")
        used = sum(entry["cpu"] for entry in self.runs.values())
        spec = json.loads(body["spec"])
        if used + spec["cpu"] > self.room:
            return self.reply(409, reason="room")
        self.runs[task] = {"run": run, "cpu": spec["cpu"], "begin": time.monotonic(),
                           "until": time.monotonic() + spec["run_ms"] / 1000}
        self.checks.run_begun(task, run, self.name)
        return self.reply(200)

    def stop(self, body):
        task, run = body["task"], body["run"]
        self.refused[task] = max(self.refused.get(task, 0), run)
        if task in self.runs and self.runs[task]["run"] == run:
            self.end(task, "stopped")
        return self.reply(200)

    def reply(self, status, **more):
        return status, {"clock-ms": self.clock(), "born": self.born, **more}

    def lists(self):
        running = []
        for task, run in self.runs.items():
            length = max(run["until"] - run["begin"], 0.001)
            done = 0 if self.mode == "stalled" else time.monotonic() - run["begin"]
            running.append([task, run["run"], "", min(99, int(100 * done / length)), 0])
        return running

    async def hold(self, body):
        self.extend(body)
        acknowledged = body.get("ack-cursor", 0)
        self.ended = [end for end in self.ended if end[0] > acknowledged]
        limit = time.monotonic() + body.get("wait-ms", 0) / 1000
        while not self.ended and time.monotonic() < limit:
            await asyncio.sleep(0.01)
        return self.reply(200, running=self.lists(), ended=self.ended)

    async def handle(self, method, target, headers, body):
        incarnation = self.born
        if self.mode == "silent":
            await asyncio.sleep(30)
            return None
        message = json.loads(body)
        if self.mode == "late" and target.endswith("run-start"):
            await asyncio.sleep(2)
        if self.born != incarnation:
            return None  # a crash lost the call
        if message["fencing-token"] < self.fence:
            return self.reply(409, reason="fence")
        self.fence = message["fencing-token"]
        if target.endswith("run-start"):
            return self.start(message)
        if target.endswith("run-stop"):
            return self.stop(message)
        return await self.hold(message)

    def registration(self):
        return {"service": "pool", "address": f"127.0.0.1:{self.port}", "zone": "north",
                "version": "v1", "slots": 8, "state": "ready", "cold-remaining-ms": 0,
                "capacity": {"cpu": self.room, "mem-mb": 65536, "gpu": 0},
                "labels": [], "born": self.born}


class Relay:
    """A TCP relay with faults. mode: open, silent, slow, reset, one_way."""

    def __init__(self, target):
        self.target, self.mode, self.server = target, "open", None
        self.writers = set()

    async def start(self, port):
        self.server = await asyncio.start_server(self.connect, "127.0.0.1", port)

    def set_mode(self, mode):
        self.mode = mode
        if mode == "reset":
            for writer in list(self.writers):
                writer.transport.abort()

    async def pump(self, reader, writer, backwards):
        try:
            while data := await reader.read(65536):
                while self.mode == "silent" or (self.mode == "one_way" and backwards):
                    await asyncio.sleep(0.05)
                if self.mode == "slow":
                    await asyncio.sleep(0.05)
                writer.write(data)
                await writer.drain()
        except ConnectionError:
            pass  # the other half closes its side below
        finally:
            writer.close()

    async def connect(self, reader, writer):
        if self.mode == "reset":
            writer.transport.abort()
            return
        try:
            to_reader, to_writer = await asyncio.open_connection("127.0.0.1", self.target)
        except OSError:
            writer.transport.abort()
            return
        self.writers |= {writer, to_writer}
        await asyncio.gather(self.pump(reader, to_writer, False),
                             self.pump(to_reader, writer, True))
        self.writers -= {writer, to_writer}


async def start_fakes(store, store_port, upstreams):
    servers = [await serve(store_port, store.handle)]
    for upstream in upstreams:
        servers.append(await serve(upstream.port, upstream.handle))
    return servers

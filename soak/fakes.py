"""In-process stand-ins of the fault soak for the platform's store, the upstreams and the
TCP links between gateways. The soak injects their faults."""
import asyncio
import base64
import json
import time
import urllib.parse

from http_server import serve

MAX_LEASE_MS = 1000  # longest lease that an upstream grants
STOP_MS = 20


def now_ms():
    return int(time.monotonic() * 1000)


class Store:
    """Store of the platform: tables with one version counter. mode is one of:
    up, refuse (status 503), silent (no response), slow (delays each response)."""

    def __init__(self, rewrite_peer_address):
        self.rows = {}
        self.version = 1
        self.changes = []
        self.mode = "up"
        self.calls = 0
        self.rewrite_peer_address = rewrite_peer_address

    def put(self, table, key, value):
        self.version += 1
        encoded = base64.b64encode(json.dumps(value).encode()).decode()
        row = {"table": table, "part": "", "key": key, "value": encoded,
               "ver": self.version}
        self.rows[(table, key)] = row
        self.changes.append((self.version, table, row))

    def remove(self, table, key):
        if self.rows.pop((table, key), None):
            self.version += 1
            row = {"table": table, "part": "", "key": key, "ver": self.version,
                   "removed": True}
            self.changes.append((self.version, table, row))

    def rows_response(self, rows):
        return 200, {"rows": rows, "has-more": False, "ver": self.version,
                     "now-ms": now_ms()}

    def transact(self, body):
        transaction = json.loads(body)
        for row in transaction["puts"]:
            value = json.loads(base64.b64decode(row["value"]))
            if "peer_address" in value:
                value["peer_address"] = self.rewrite_peer_address(
                    row["key"], value["peer_address"])
            self.put(row["table"], row["key"], value)
        for row in transaction["remove"]:
            self.remove(row["table"], row["key"])
        return self.rows_response([])

    # Long poll: returns the changes of a table after a version.
    async def watch(self, query):
        after, table = int(query["after"][0]), query["table"][0]
        limit = time.monotonic() + int(query["wait-ms"][0]) / 1000
        while True:
            rows = [row for version, name, row in self.changes
                    if version > after and name == table]
            if rows or time.monotonic() >= limit:
                return self.rows_response(rows)
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
        return self.rows_response(rows)


class Upstream:
    """Runs tasks while a gateway renews its lease. mode is one of: up, silent (no
    response), failing (runs fail), stalled (runs do not end), late (delays starts)."""

    def __init__(self, name, port, cpu_limit, checks):
        self.name, self.port, self.cpu_limit, self.checks = name, port, cpu_limit, checks
        self.mode = "up"
        self.reset()

    def reset(self):
        self.incarnation_ms = time.time_ns() // 1_000_000
        self.started = time.monotonic()
        self.runs = {}  # by task: the current run
        self.ended = []  # ended runs that no gateway has acknowledged
        self.end_cursor = 0  # number of the last ended run
        self.highest_fencing_token = 0
        self.lease_until = 0
        self.highest_refused_run = {}  # by task: runs up to this number must not start
        self.changed = asyncio.Event()

    def crash(self):
        for task, run in list(self.runs.items()):
            self.checks.run_ended(task, run["run"], self.name)
        self.reset()

    def clock(self):
        return int((time.monotonic() - self.started) * 1000)

    def end_run(self, task, outcome):
        run = self.runs.pop(task)
        self.end_cursor += 1
        self.ended.append([self.end_cursor, task, run["run"], outcome, ""])
        self.highest_refused_run[task] = max(self.highest_refused_run.get(task, 0),
                                             run["run"])
        self.checks.run_ended(task, run["run"], self.name)
        self.changed.set()
        self.changed = asyncio.Event()

    def advance(self):
        """Ends completed runs, and all runs once the lease has expired."""
        lease_expired = self.clock() > self.lease_until
        for task, run in list(self.runs.items()):
            if lease_expired:
                self.end_run(task, "lapsed")
            elif time.monotonic() >= run["until"] and self.mode != "stalled":
                self.end_run(task, "failed" if self.mode == "failing" else "done")

    def extend_lease(self, body):
        if "deadline-ms" in body:
            limit = self.clock() + MAX_LEASE_MS
            self.lease_until = max(self.lease_until, min(body["deadline-ms"], limit))

    def start(self, body):
        task, run = body["task"], body["run"]
        if body["deadline-ms"] < self.clock():
            return self.reply(409, reason="late")
        self.extend_lease(body)
        if task in self.runs and self.runs[task]["run"] == run:
            return self.reply(200)
        if run <= self.highest_refused_run.get(task, 0):
            return self.reply(409, reason="old")
        used = sum(entry["cpu"] for entry in self.runs.values())
        spec = json.loads(body["spec"])
        if used + spec["cpu"] > self.cpu_limit:
            return self.reply(409, reason="room")
        self.runs[task] = {"run": run, "cpu": spec["cpu"], "begin": time.monotonic(),
                           "until": time.monotonic() + spec["run_ms"] / 1000}
        self.checks.run_started(task, run, self.name)
        return self.reply(200)

    def stop(self, body):
        task, run = body["task"], body["run"]
        self.highest_refused_run[task] = max(self.highest_refused_run.get(task, 0), run)
        if task in self.runs and self.runs[task]["run"] == run:
            self.end_run(task, "stopped")
        return self.reply(200)

    def reply(self, status, **more):
        return status, {"clock-ms": self.clock(), "born": self.incarnation_ms, **more}

    def running_runs(self):
        running = []
        for task, run in self.runs.items():
            length = max(run["until"] - run["begin"], 0.001)
            elapsed = 0 if self.mode == "stalled" else time.monotonic() - run["begin"]
            running.append([task, run["run"], "",
                            min(99, int(100 * elapsed / length)), 0])
        return running

    # Extends the lease, then waits until a run ends or the wait time is over.
    async def renew_lease(self, body):
        self.extend_lease(body)
        acknowledged = body.get("ack-cursor", 0)
        self.ended = [end for end in self.ended if end[0] > acknowledged]
        limit = time.monotonic() + body.get("wait-ms", 0) / 1000
        while not self.ended and time.monotonic() < limit:
            await asyncio.sleep(0.01)
        return self.reply(200, running=self.running_runs(), ended=self.ended)

    async def handle(self, method, target, headers, body):
        incarnation = self.incarnation_ms
        if self.mode == "silent":
            await asyncio.sleep(30)
            return None
        message = json.loads(body)
        if self.mode == "late" and target.endswith("run-start"):
            await asyncio.sleep(2)
        if self.incarnation_ms != incarnation:
            return None  # a crash during the wait lost the request
        if message["fencing-token"] < self.highest_fencing_token:
            return self.reply(409, reason="fence")
        self.highest_fencing_token = message["fencing-token"]
        if target.endswith("run-start"):
            return self.start(message)
        if target.endswith("run-stop"):
            return self.stop(message)
        return await self.renew_lease(message)

    def registration(self):
        return {"service": "pool", "address": f"127.0.0.1:{self.port}", "zone": "north",
                "version": "v1", "slots": 8, "state": "ready", "cold-remaining-ms": 0,
                "capacity": {"cpu": self.cpu_limit, "mem-mb": 65536, "gpu": 0},
                "labels": [], "seq": 1, "born": self.incarnation_ms}


class Relay:
    """TCP relay of a gateway's peer port. mode is one of: open, silent (forwards nothing),
    slow (delays each chunk), reset (resets connections), one_way (forwards nothing to the
    caller)."""

    def __init__(self, target_port):
        self.target_port, self.mode, self.server = target_port, "open", None
        self.writers = set()

    async def start(self, port):
        self.server = await asyncio.start_server(self.connect, "127.0.0.1", port)

    def set_mode(self, mode):
        self.mode = mode
        if mode == "reset":
            for writer in list(self.writers):
                writer.transport.abort()

    async def forward(self, reader, writer, to_caller):
        try:
            while data := await reader.read(65536):
                while self.mode == "silent" or (self.mode == "one_way" and to_caller):
                    await asyncio.sleep(0.05)
                if self.mode == "slow":
                    await asyncio.sleep(0.05)
                writer.write(data)
                await writer.drain()
        except ConnectionError:
            pass  # each direction closes its own writer below
        finally:
            writer.close()

    async def connect(self, reader, writer):
        if self.mode == "reset":
            writer.transport.abort()
            return
        try:
            target_reader, target_writer = await asyncio.open_connection(
                "127.0.0.1", self.target_port)
        except OSError:
            writer.transport.abort()
            return
        self.writers |= {writer, target_writer}
        await asyncio.gather(self.forward(reader, target_writer, False),
                             self.forward(target_reader, writer, True))
        self.writers -= {writer, target_writer}


async def start_standins(store, store_port, upstreams):
    servers = [await serve(store_port, store.handle)]
    for upstream in upstreams:
        servers.append(await serve(upstream.port, upstream.handle))
    return servers

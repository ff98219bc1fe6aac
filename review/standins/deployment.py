"""Stand-ins of the platform's store, of minions and of clients, and gateway processes that
are started with the command and the template of the deploy file. Everything listens on
loopback addresses."""
import asyncio
import base64
import contextlib
import json
import logging
import os
import random
import re
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import urllib.parse

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, NOT_RUN = 0, 1, 2  # exit codes of a case

ANSWER_S = 0.004  # of the store
MAX_ROWS = 500  # of one answer of the store
MAX_LEASE_MS = 1000  # hold-max-ms
STOP_S = 0.05  # stop-ms
HEARTBEAT_S = 1.5
RETRY_S = 1.3  # retry-delay-ms
DEADLINE_MS = 1500


def now_ms():
    return int(time.monotonic() * 1000)


class Record:
    """record.txt of a case: what was sent, answered and run."""

    def __init__(self, directory):
        self.file = open(os.path.join(directory, "record.txt"), "w")
        self.began = time.monotonic()
        self.broken = []

    def write(self, text):
        self.file.write(f"{time.monotonic() - self.began:8.3f} {text}\n")
        self.file.flush()

    def add_violation(self, text):
        self.broken.append(text)
        self.write(f"BROKEN {text}")


class HttpProtocol(asyncio.Protocol):
    """One connection of a server. handler(method, target, headers, body) returns
    (status, object), None to close the connection, or an awaitable of one of these."""

    def __init__(self, server):
        self.server, self.buffer, self.task, self.transport = server, b"", None, None

    def connection_made(self, transport):
        self.transport = transport
        self.server.connections.add(self)

    def connection_lost(self, _):
        self.server.connections.discard(self)
        if self.task:
            self.task.cancel()

    def data_received(self, data):
        self.buffer += data
        self.advance()

    def advance(self):
        while self.task is None:
            end = self.buffer.find(b"\r\n\r\n")
            if end < 0:
                return
            head = self.buffer[:end].decode("latin-1").split("\r\n")
            headers = {}
            for line in head[1:]:
                name, _, value = line.partition(":")
                headers[name.strip().lower()] = value.strip()
            size = end + 4 + int(headers.get("content-length", 0))
            if len(self.buffer) < size:
                return
            body, self.buffer = self.buffer[end + 4:size], self.buffer[size:]
            method, target, _ = head[0].split(" ", 2)
            answer = self.server.handler(method, target, headers, body)
            if asyncio.iscoroutine(answer):
                self.task = asyncio.ensure_future(self.finish(answer))
            else:
                self.send(answer)

    async def finish(self, answer):
        response = await answer
        self.task = None
        self.send(response)
        self.advance()

    def send(self, response):
        if self.transport.is_closing():
            return
        if response is None:
            self.transport.close()
            return
        text = json.dumps(response[1]).encode()
        self.transport.write(b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\n"
                             b"Content-Length: %d\r\n\r\n" % (response[0], len(text))
                             + text)


class HttpServer:
    def __init__(self, handler):
        self.handler, self.connections, self.listener = handler, set(), None

    async def start(self, ip, port):
        loop = asyncio.get_running_loop()
        self.listener = await loop.create_server(lambda: HttpProtocol(self), ip, port,
                                                 backlog=512)

    def stop(self):
        """Ends like a process that is killed: resets what is open."""
        self.listener.close()
        for connection in list(self.connections):
            connection.transport.abort()


async def call(address, method, target, headers, body=b"", timeout=5.0):
    """Returns (status, body); status 0: no complete answer within the time."""

    async def exchange():
        host, port = address.rsplit(":", 1)
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            lines = [f"{method} {target} HTTP/1.1", f"Content-Length: {len(body)}"]
            lines += [f"{name}: {value}" for name, value in headers.items()]
            writer.write("\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body)
            head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
            length = re.search(r"(?i)content-length: *(\d+)", head)
            text = await reader.readexactly(int(length[1])) if length else b""
            return int(head.split(" ")[1]), text
        finally:
            writer.close()

    try:
        return await asyncio.wait_for(exchange(), timeout)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
        return 0, b""


class Store:
    """The platform's store: tables with one version counter. slow multiplies the time of
    an answer."""

    def __init__(self, record):
        self.record, self.server = record, HttpServer(self.handle)
        self.rows, self.changes, self.version, self.slow = {}, [], 1, 1
        self.first_change = 0  # the history begins after this version
        self.changed = asyncio.Event()
        self.address = ""

    async def start(self, ip, port):
        self.address = f"{ip}:{port}"
        await self.server.start(ip, port)

    def put(self, table, key, value):
        """value: bytes."""
        self.version += 1
        row = {"table": table, "part": "", "key": key, "ver": self.version,
               "value": base64.b64encode(value).decode()}
        self.rows[table, key] = row
        self.add_change(table, row)

    def put_json(self, table, key, value):
        self.put(table, key, json.dumps(value).encode())

    def remove(self, table, key):
        if self.rows.pop((table, key), None):
            self.version += 1
            self.add_change(table, {"table": table, "part": "", "key": key,
                                    "ver": self.version, "removed": True})

    def add_change(self, table, row):
        self.changes.append((self.version, table, row))
        self.changed.set()
        self.changed = asyncio.Event()

    def answer(self, rows, more=False):
        return 200, {"rows": rows, "has-more": more, "ver": self.version,
                     "now-ms": now_ms()}

    async def handle(self, method, target, headers, body):
        url = urllib.parse.urlparse(target)
        query = {name: values[0] for name, values in
                 urllib.parse.parse_qs(url.query, keep_blank_values=True).items()}
        delay = ANSWER_S * self.slow / 2  # on the way there and back
        await asyncio.sleep(delay)
        if url.path.endswith("rows-tx"):
            answer = self.transact(json.loads(body))
        elif url.path.endswith("rows-feed"):
            answer = await self.feed(query)
        else:
            answer = self.read(query)
        await asyncio.sleep(delay)
        return answer

    def transact(self, transaction):
        rows = transaction.get("precondition", [])
        current = [self.rows.get((row["table"], row["key"]), {"ver": 0}) for row in rows]
        if any(row["ver"] != known["ver"] for row, known in zip(rows, current)):
            return 412, {"rows": current, "ver": self.version, "now-ms": now_ms()}
        for row in transaction.get("puts", []):
            self.put(row["table"], row["key"], base64.b64decode(row["value"]))
        for row in transaction.get("remove", []):
            self.remove(row["table"], row["key"])
        return self.answer([])

    def read(self, query):
        limit = min(int(query.get("limit", MAX_ROWS)), MAX_ROWS)
        keys = sorted(key for table, key in self.rows
                      if table == query["table"] and key >= query.get("from", ""))
        rows = [self.rows[query["table"], key] for key in keys[:limit]]
        if query["table"] == "servers":
            self.record.write(f"store: rows-get of servers from '{query.get('from', '')}': "
                              f"{len(rows)} of {len(keys)} rows, ver {self.version}")
        return self.answer(rows, len(keys) > limit)

    async def feed(self, query):
        after, limit = int(query["after"]), time.monotonic() + int(query["wait-ms"]) / 1000
        while True:
            if after < self.first_change:
                return 410, {"ver": self.version, "now-ms": now_ms()}
            rows = [row for version, table, row in self.changes
                    if version > after and table == query["table"]]
            left = limit - time.monotonic()
            if rows or left <= 0:
                return self.answer(rows)
            with contextlib.suppress(asyncio.TimeoutError):
                await asyncio.wait_for(self.changed.wait(), left)


class Run:
    def __init__(self, task, number, cpu, until):
        self.task, self.number, self.cpu, self.until = task, number, cpu, until
        self.began, self.stopped_at = time.monotonic(), None


class Fleet:
    """All minions, and what runs on them."""

    def __init__(self, store, record):
        self.store, self.record, self.minions = store, record, {}
        self.on_start = lambda minion, task: None
        self.starts = 0


class Minion:
    """A minion: guards its capacity, runs tasks under one lease, and refuses tokens below
    the highest that it has seen. A task's spec is {"run_ms": N, "cpu": N}."""

    def __init__(self, fleet, name, address, zone, service, cpu=16_000):
        self.fleet, self.name, self.address = fleet, name, address
        self.zone, self.service, self.cpu = zone, service, cpu
        self.state, self.draining_since, self.seq = "ready", None, 0
        self.is_up, self.server, self.born, self.beat_at = False, None, 0, 0
        self.late = lambda target, message: None  # seconds; None: carried out at once
        fleet.minions[name] = self

    async def start(self):
        self.born = max(time.time_ns() // 1_000_000, self.born + 1)
        self.started, self.runs, self.ended, self.end_number = time.monotonic(), {}, [], 0
        self.token, self.refused, self.lease_until = 0, {}, 0
        self.ends = asyncio.Event()
        self.server = HttpServer(self.handle)
        host, port = self.address.rsplit(":", 1)
        await self.server.start(host, int(port))
        self.is_up = True

    def kill(self):
        self.is_up = False
        self.server.stop()
        for run in list(self.runs.values()):
            self.fleet.record.write(f"{self.name} down under {run.task} run {run.number}")
        self.runs = {}

    def register(self):
        """Writes the registration. Its clock, and the time left while it drains, change
        with each heartbeat, so the entry does, too."""
        self.seq += 1
        self.beat_at = time.monotonic()
        left = {}
        if self.draining_since is not None:
            passed = int((time.monotonic() - self.draining_since) * 1000)
            left = {"drain-remaining-ms": max(0, self.drain_ms - passed)}
        self.fleet.store.put_json("servers", self.name, {
            **left,
            "service": self.service, "address": self.address, "zone": self.zone,
            "version": "v1", "slots": 8, "state": self.state, "cold-remaining-ms": 0,
            "capacity": {"cpu": self.cpu, "mem-mb": 65536, "gpu": 0},
            "labels": ["a", "r1-1"], "clock-ms": self.clock(), "seq": self.seq,
            "born": self.born})

    def drain(self, drain_ms):
        self.state, self.draining_since = "draining", time.monotonic()
        self.drain_ms = drain_ms
        self.register()
        self.fleet.record.write(f"{self.name} registers as draining, ver "
                                f"{self.fleet.store.version}")

    def clock(self):
        return int((time.monotonic() - self.started) * 1000)

    def end(self, run, how):
        del self.runs[run.task]
        self.end_number += 1
        self.ended.append([self.end_number, run.task, run.number, how, ""])
        self.refused[run.task] = max(self.refused.get(run.task, 0), run.number)
        self.ends.set()
        self.ends = asyncio.Event()
        self.fleet.record.write(f"{self.name} {run.task} run {run.number} ended {how}")

    def advance(self):
        now = time.monotonic()
        for run in list(self.runs.values()):
            if self.clock() > self.lease_until:
                self.end(run, "lapsed")
            elif run.stopped_at and now >= run.stopped_at:
                self.end(run, "stopped")
            elif now >= run.until and not run.stopped_at:
                self.end(run, "done")

    def extend(self, message):
        if "deadline-ms" in message:
            self.lease_until = max(self.lease_until, min(message["deadline-ms"],
                                                         self.clock() + MAX_LEASE_MS))

    def reply(self, status, **more):
        return status, {"clock-ms": self.clock(), "born": self.born, **more}

    def handle(self, method, target, headers, body):
        if headers.get("cassiahub-expect-instance", self.name) != self.name:
            return self.reply(421)
        message = json.loads(body) if body else {}
        delay = self.late(target, message)
        if delay is not None:
            return self.carry_out_late(target, message, delay)
        return self.carry_out(target, message)

    async def carry_out_late(self, target, message, delay):
        asyncio.ensure_future(self.deliver(target, message, delay))
        await asyncio.sleep(30)

    async def deliver(self, target, message, delay):
        await asyncio.sleep(delay)
        if self.is_up:
            answer = self.carry_out(target, message)
            if asyncio.iscoroutine(answer):
                answer.close()
                answer = "a list"
            if target.endswith("run-start"):
                self.fleet.record.write(f"{self.name} carries out a late start of "
                                        f"{message['task']} run {message['run']}: {answer}")

    def carry_out(self, target, message):
        self.advance()
        if message["fencing-token"] < self.token:
            return self.reply(409, reason="fence")
        self.token = message["fencing-token"]
        if target.endswith("run-start"):
            return self.start_run(message)
        if target.endswith("run-stop"):
            return self.stop_run(message)
        self.extend(message)
        self.ended = [end for end in self.ended if end[0] > message.get("ack-cursor", 0)]
        return self.list_runs(message)

    def start_run(self, message):
        task, number = message["task"], message["run"]
        if message["deadline-ms"] < self.clock():
            return self.reply(409, reason="late")
        self.extend(message)
        known = self.runs.get(task)
        if known and known.number == number:
            return self.reply(200)
        if known or number <= self.refused.get(task, 0):
            return self.reply(409, reason="old")
        spec = json.loads(message["spec"])
        if sum(run.cpu for run in self.runs.values()) + spec["cpu"] > self.cpu or (
                len(self.runs) >= 8):
            return self.reply(409, reason="room")
        self.runs[task] = Run(task, number, spec["cpu"],
                              time.monotonic() + spec["run_ms"] / 1000)
        self.fleet.starts += 1
        self.fleet.record.write(f"{self.name} ({self.service}, {self.state}) starts {task} "
                                f"run {number} token {message['fencing-token']}")
        self.fleet.on_start(self, task)
        return self.reply(200)

    def stop_run(self, message):
        task, number = message["task"], message["run"]
        self.refused[task] = max(self.refused.get(task, 0), number)
        run = self.runs.get(task)
        if run and run.number <= number and not run.stopped_at:
            run.stopped_at = time.monotonic() + random.uniform(0, STOP_S)
        return self.reply(200)

    async def list_runs(self, message):
        limit = time.monotonic() + message.get("wait-ms", 0) / 1000
        while not self.ended and (left := limit - time.monotonic()) > 0:
            with contextlib.suppress(asyncio.TimeoutError):
                await asyncio.wait_for(self.ends.wait(), left)
        rows = []
        for run in self.runs.values():
            length = max(run.until - run.began, 0.001)
            done = (time.monotonic() - run.began) / length
            rows.append([run.task, run.number, "", min(99, int(100 * done)), run.cpu])
        return self.reply(200, running=rows, ended=self.ended[:500])


class Gateway:
    """A gateway process, as the deploy file starts it."""

    def __init__(self, directory, name, zone, ip, ports, store, grace_s=6):
        with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as file:
            role = tomllib.load(file)["roles"]["gateway"]
        with open(os.path.join(ROOT, role["template"])) as file:
            template = file.read()
        values = {"node": name, "zone": zone, "ip": ip, "listen.front": f"{ip}:{ports[0]}",
                  "listen.ready": f"{ip}:{ports[1]}", "internal-ports.0": str(ports[2]),
                  "platform.address": store.address, "bounds.grace-s": str(grace_s),
                  "bounds.hold-max-ms": str(MAX_LEASE_MS)}
        self.name, self.record = name, store.record
        self.front, self.ready = values["listen.front"], values["listen.ready"]
        self.settings = os.path.join(directory, f"{name}.ini")
        with open(self.settings, "w") as file:
            file.write(re.sub(r"\{\{(.*?)\}\}", lambda match: values[match[1]], template))
        self.command = role["run"].replace("/etc/cassiahub/local.toml",
                                           self.settings).split(" ")
        self.log = open(os.path.join(directory, f"{name}.log"), "ab")
        self.log_path = self.log.name
        self.process = None

    def start(self):
        self.process = subprocess.Popen(self.command, cwd=ROOT, stdout=self.log,
                                        stderr=self.log)
        self.record.write(f"{self.name} starts")

    def signal(self, number):
        self.record.write(f"{signal.Signals(number).name} to {self.name}")
        self.process.send_signal(number)

    def end(self):
        if self.process and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()

    async def wait_until_ready(self, limit_s=20):
        limit = time.monotonic() + limit_s
        while time.monotonic() < limit:
            status, _ = await call(self.ready, "GET", "/cassiahub/ready", {}, timeout=1)
            if status == 200:
                return
            await asyncio.sleep(0.1)
        raise CannotRun(f"{self.name} is not ready")


class CannotRun(Exception):
    pass


def find_ports(ip, count):
    ports = []
    sockets = [socket.socket() for _ in range(count)]
    for item in sockets:
        item.bind((ip, 0))
        ports.append(item.getsockname()[1])
    for item in sockets:
        item.close()
    return ports


def find_network():
    """Returns two numbers of a free part 127.A.B.0/24 of the loopback network."""
    for _ in range(100):
        network = (random.randrange(16, 240), random.randrange(1, 250))
        with socket.socket() as probe:
            with contextlib.suppress(OSError):
                probe.bind(("127.%d.%d.1" % network, 9464))
                return network
    raise CannotRun("no free loopback address")


def route(name, prefix, service, priority, host):
    return {"name": name, "host": host, "prefix": prefix, "type": "unsafe",
            "timeout-ms": 1500, "target-duration-ms": 60, "priority": priority,
            "service": service, "max-attempts": 4, "stretch": 1.6}


def service_entry(name):
    return {"name": name, "health-path": "/health", "max-conns": 64, "protocol": "h1",
            "tls": False, "enforces-capacity": True, "standby": False}


def configuration(version, routes, services):
    return {"version": version, "routes": routes,
            "services": [service_entry(name) for name in services],
            "limits": {"max-header-bytes": 16384, "max-body-bytes": 262144,
                       "header-timeout-ms": 3000, "idle-timeout-ms": 15000}}


def job_body(tasks, run_ms, cpu):
    return json.dumps({"spec": json.dumps({"run_ms": run_ms, "cpu": cpu}),
                       "best-effort": True,
                       "steps": [{"count": tasks, "cpu": cpu, "mem-mb": 64,
                                  "estimate-ms": run_ms}]}).encode()


async def submit(record, gateway, host, prefix, job, body, timeout_s=DEADLINE_MS / 1000):
    record.write(f"client: POST {prefix}{job} to {gateway.name}")
    status, text = await call(
        gateway.front, "POST", prefix + job,
        {"Host": host, "Content-Type": "application/json",
         "Cassiahub-Deadline-Ms": str(DEADLINE_MS)}, body, timeout_s)
    record.write(f"client: {job}: {status} {text.decode(errors='replace')}")
    return status, text


def beat(fleet):
    """Writes the heartbeats that are due, and removes entries after three that were
    missed."""
    now = time.monotonic()
    for minion in fleet.minions.values():
        if minion.is_up and now - minion.beat_at >= HEARTBEAT_S:
            minion.register()
        elif not minion.is_up and now - minion.beat_at >= 3 * HEARTBEAT_S:
            fleet.store.remove("servers", minion.name)


async def advance_minions(fleet):
    while True:
        beat(fleet)
        for minion in fleet.minions.values():
            if minion.is_up and minion.runs:
                minion.advance()
        await asyncio.sleep(0.005)


def run_case(case, directory):
    """Runs case(scratch directory, record, list of gateways to end), which returns one of
    the exit codes."""
    logging.getLogger("asyncio").setLevel(logging.CRITICAL)  # tasks pending at the end
    record = Record(directory)
    gateways = []
    signal.signal(signal.SIGTERM, signal.default_int_handler)  # ends the gateways below
    with tempfile.TemporaryDirectory() as scratch:
        try:
            code = asyncio.run(asyncio.wait_for(case(scratch, record, gateways), 110))
        except (CannotRun, OSError, asyncio.TimeoutError, KeyboardInterrupt) as error:
            record.write(f"cannot run: {error!r}")
            code = NOT_RUN
        finally:
            for gateway in gateways:
                gateway.end()
            if os.environ.get("KEEP_LOGS"):
                subprocess.run(["cp", "-r", scratch, os.environ["KEEP_LOGS"]], check=False)
    record.write(f"exit {code}")
    print(f"exit {code}; {len(record.broken)} violations"
          + "".join(f"\n  {text}" for text in record.broken[:10]))
    sys.exit(code)

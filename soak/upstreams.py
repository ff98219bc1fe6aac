"""In-process stand-ins of the fault soak for the upstreams and for their links to the
gateways. The soak injects their faults."""
import asyncio
import collections
import functools
import json
import random
import time

from http_server import serve

MAX_LEASE_MS = 1000  # longest lease that an upstream grants
STOP_S = 0.05  # longest time until a stopped run has ended
HEARTBEAT_S = 1.5  # longest time from a change until it is registered
LATE_ORDER_S = (2, 12)  # until an order that got no reply is carried out
LATE_ORDER_SHARE = 0.5
KEPT_ID_SHARE = 0.5  # of the restarts that no late order outlasts
SLOW_FACTOR = 6  # run time while an upstream is slow
RETRANSMISSION_S = 0.2  # delay of a lost packet
LOSS_SHARE = 0.3
NO_REPLY_S = 30


class Run:
    """A run on an upstream. gateway sent its start; late: carried out long after that."""

    def __init__(self, upstream, message, gateway, late):
        spec = json.loads(message["spec"])
        factor = SLOW_FACTOR if upstream.faults["slow"] else 1
        self.upstream, self.gateway, self.late = upstream, gateway, late
        self.service = upstream.service
        self.task, self.number = message["task"], message["run"]
        self.token = message["fencing-token"]
        self.incarnation_ms = upstream.incarnation_ms
        self.cpu, self.begin, self.wall_time = spec["cpu"], time.monotonic(), time.time()
        self.until = self.begin + factor * spec["run_ms"] / 1000
        self.stopped_at = None

    def describe(self):
        at = time.strftime("%H:%M:%S", time.gmtime(self.wall_time))
        return (f"{self.upstream.name} (run {self.number} from {self.gateway}, token "
                f"{self.token}, began {at}.{int(self.wall_time * 1000) % 1000:03d}, "
                f"incarnation {self.incarnation_ms}{', late' if self.late else ''})")


class Upstream:
    """Runs tasks while a gateway renews its lease. Active faults: silent (no response),
    failing (runs fail), stalled (runs do not end), late (delays starts), slow (runs take
    longer), late_orders (some orders get no response and are carried out seconds later),
    late_renewals (so do some renewals, and their time counts from then), lag (does not
    write its registration)."""

    def __init__(self, name, first_port, domain, gateways, cpu_limit, checks, seed,
                 keeps_id, services, index):
        """keeps_id: every restart is under the id of before. index: of the first service;
        each new id has one drawn from services."""
        self.name, self.first_port, self.domain = name, first_port, domain
        self.cpu_limit, self.checks = cpu_limit, checks
        self.keeps_id = keeps_id
        self.services, self.service = services, services[index % len(services)]
        self.id, self.number_of_ids = name, 1
        self.former_ids = {}  # still registered, with the time of their last heartbeat
        self.random = random.Random(f"{seed}-{name}")
        self.id_random = random.Random(f"{seed}-{name}-ids")
        self.service_random = random.Random(f"{seed}-{name}-services")
        self.clock_rate = self.random.choice((1, 1, 0.98))
        self.links = [Link(self, gateway) for gateway in gateways]
        self.faults = collections.Counter()
        self.side = 0  # selects one of two addresses
        self.down = True
        self.incarnation_ms = 0
        self.connections_after_crash = "reset"
        self.servers = []
        self.late_tasks = set()
        self.heartbeat_at = 0
        self.last_gateway = gateways[0]  # whose call was carried out last
        self.runs = {}  # by task and number

    def port(self):
        """Port of the link to the first gateway; those of the others follow."""
        return self.first_port + self.side * len(self.links)

    def is_held_by(self, link):
        return link.gateway == self.last_gateway

    async def start(self):
        """Starts a new incarnation, which knows nothing of the one before."""
        now = time.time_ns() // 1_000_000
        self.incarnation_ms = max(now, self.incarnation_ms + 1)
        self.started = time.monotonic()
        self.runs = {}
        self.ended = []  # ended runs that no gateway has acknowledged
        self.end_cursor = 0  # number of the last ended run
        self.highest_fencing_token = 0
        self.lease_until = 0
        self.highest_refused_run = {}  # by task: runs up to this number must not start
        self.register_from = time.monotonic() + self.random.uniform(0, HEARTBEAT_S)
        self.servers = [await serve(self.port() + number, link.accept)
                        for number, link in enumerate(self.links)]
        self.down = False
        self.checks.trace(f"{self.name} began incarnation {self.incarnation_ms} as "
                          f"{self.id} in {self.service}")

    async def crash(self, down_s, connections, moved):
        """connections: those of before are reset now ("reset"), when they are used after
        the restart ("unknown"), or never ("silent"). moved: the next incarnation has
        another address."""
        if self.down:
            return
        self.down = True
        self.connections_after_crash = connections
        self.checks.trace(f"{self.name} crashed, connections={connections} moved={moved}")
        for run in self.runs.values():
            self.checks.run_ended(run, "crashed")
        self.runs = {}
        for server in self.servers:
            server.close()
        if connections == "reset":
            for link in self.links:
                link.reset()
        await asyncio.sleep(down_s)
        self.side ^= moved
        self.select_id()
        await self.start()

    def select_id(self):
        """Selects the id of the next incarnation. While orders are late, it is a new one,
        for which they are not intended."""
        keeps_id = self.id_random.random() < KEPT_ID_SHARE and not self.late_tasks
        if not self.keeps_id and not keeps_id:
            self.former_ids[self.id] = self.heartbeat_at
            self.number_of_ids += 1
            self.id = f"{self.name}-{self.number_of_ids}"
            self.service = self.service_random.choice(self.services)

    def clock(self):
        return int((time.monotonic() - self.started) * 1000 * self.clock_rate)

    def end_run(self, run, outcome):
        del self.runs[run.task, run.number]
        self.end_cursor += 1
        self.ended.append([self.end_cursor, run.task, run.number, outcome, ""])
        self.refuse_up_to(run.task, run.number)
        self.checks.run_ended(run, outcome)

    def refuse_up_to(self, task, number):
        self.highest_refused_run[task] = max(self.highest_refused_run.get(task, 0),
                                             number)

    def advance(self):
        """Ends stopped and completed runs, and all runs once the lease has expired."""
        now = time.monotonic()
        for run in list(self.runs.values()):
            if self.clock() > self.lease_until:
                self.end_run(run, "lapsed")
            elif run.stopped_at and now >= run.stopped_at:
                self.end_run(run, "stopped")
            elif now >= run.until and not self.faults["stalled"] and not run.stopped_at:
                self.end_run(run, "failed" if self.faults["failing"] else "done")

    def extend_lease(self, message):
        if "deadline-ms" in message:
            limit = self.clock() + MAX_LEASE_MS
            self.lease_until = max(self.lease_until, min(message["deadline-ms"], limit))

    def start_run(self, message, gateway, late):
        task, number = message["task"], message["run"]
        if message["deadline-ms"] < self.clock():
            return self.reply(409, reason="late")
        self.extend_lease(message)
        if (task, number) in self.runs:
            return self.reply(200)
        if number <= self.highest_refused_run.get(task, 0):
            return self.reply(409, reason="old")
        run = Run(self, message, gateway, late)
        if sum(entry.cpu for entry in self.runs.values()) + run.cpu > self.cpu_limit:
            return self.reply(409, reason="room")
        self.runs[task, number] = run
        self.checks.run_started(run)
        return self.reply(200)

    def stop_run(self, message):
        task, number = message["task"], message["run"]
        self.refuse_up_to(task, number)
        run = self.runs.get((task, number))
        if run and not run.stopped_at:
            run.stopped_at = time.monotonic() + self.random.uniform(0, STOP_S)
        return self.reply(200)

    def reply(self, status, **more):
        return status, {"clock-ms": self.clock(), **more}

    def running_rows(self):
        rows = []
        for run in self.runs.values():
            length = max(run.until - run.begin, 0.001)
            elapsed = 0 if self.faults["stalled"] else time.monotonic() - run.begin
            rows.append([run.task, run.number, "", min(99, int(100 * elapsed / length)),
                         0])
        return rows

    # Waits until a run ends or the wait time is over.
    async def list_runs(self, message):
        limit = time.monotonic() + message.get("wait-ms", 0) / 1000
        while not self.ended and time.monotonic() < limit:
            await asyncio.sleep(0.01)
        return self.reply(200, born=self.incarnation_ms, running=self.running_rows(),
                          ended=self.ended)

    def carry_out(self, target, message, gateway, late=False):
        """Returns the response to a call, or None if that to a renewal is due."""
        self.advance()
        if message["fencing-token"] < self.highest_fencing_token:
            return self.reply(409, reason="fence")
        self.highest_fencing_token = message["fencing-token"]
        self.last_gateway = gateway
        if target.endswith("run-start"):
            return self.start_run(message, gateway, late)
        if target.endswith("run-stop"):
            return self.stop_run(message)
        self.extend_lease(message)
        self.ended = [end for end in self.ended
                      if end[0] > message.get("ack-cursor", 0)]
        return None

    # The order may reach a later incarnation. It is lost if the upstream is down.
    async def carry_out_late(self, target, message, gateway, expected_id):
        delay_s = self.random.uniform(*LATE_ORDER_S)
        if self.faults["late_renewals"] and target.endswith("hold") and (
                "deadline-ms" in message):
            message["deadline-ms"] += int(delay_s * 1000)
        await asyncio.sleep(delay_s)
        if self.down:
            return
        response = (self.reply(421) if expected_id != self.id
                    else self.carry_out(target, message, gateway, True))
        self.checks.trace(f"{self.name} carried out late: {target} of {gateway} "
                          f"{message.get('task', '')} {message.get('run', '')} "
                          f"{response}")

    async def handle(self, gateway, target, headers, body):
        message = json.loads(body)
        expected_id = headers.get("cassiahub-expect-instance", self.id)
        if expected_id != self.id:
            return self.reply(421)
        renews = target.endswith("hold")
        if (self.faults["late_orders"] or (renews and self.faults["late_renewals"])) and (
                self.random.random() < LATE_ORDER_SHARE):
            task = asyncio.create_task(
                self.carry_out_late(target, message, gateway, expected_id))
            self.late_tasks.add(task)
            task.add_done_callback(self.late_tasks.discard)
            self.checks.trace(f"{self.name} delays {target} of {gateway} "
                              f"{message.get('task', '')} {message.get('run', '')}")
            await asyncio.sleep(NO_REPLY_S)
            return None
        if self.faults["late"] and target.endswith("run-start"):
            incarnation_ms = self.incarnation_ms
            await asyncio.sleep(2)
            if self.down or self.incarnation_ms != incarnation_ms:
                return None
        return self.carry_out(target, message, gateway) or await self.list_runs(message)

    def write_registration(self, store):
        """Writes the registration if it has changed; removes it after three missed
        heartbeats."""
        now = time.monotonic()
        for former_id, heartbeat_at in list(self.former_ids.items()):
            if now - heartbeat_at > 3 * HEARTBEAT_S:
                store.remove("servers", former_id)
                del self.former_ids[former_id]
        if self.down or self.faults["lag"] or self.faults["silent"]:
            if now - self.heartbeat_at > 3 * HEARTBEAT_S:
                store.remove("servers", self.id)
        elif now >= self.register_from:
            self.heartbeat_at = now
            store.put_if_changed("servers", self.id, {
                "service": self.service, "address": f"127.0.0.1:{self.port()}",
                "zone": self.domain,
                "version": "v1", "slots": 8, "state": "ready", "cold-remaining-ms": 0,
                "capacity": {"cpu": self.cpu_limit, "mem-mb": 65536, "gpu": 0},
                "labels": [], "seq": 1, "born": self.incarnation_ms})


class Link:
    """Connections from one gateway to one upstream. Active faults: silent (delivers when
    the fault ends), one_way (does so with responses only), reset (resets connections),
    lossy (delays some packets)."""

    def __init__(self, upstream, gateway):
        self.upstream, self.gateway = upstream, gateway
        self.name = f"{upstream.name}-{gateway}"
        self.faults = collections.Counter()
        self.writers = set()

    def accept(self, writer):
        """Returns the handler of a new connection, or None if it is refused."""
        self.writers = {other for other in self.writers if not other.is_closing()}
        if self.faults["reset"]:
            writer.transport.abort()
            return None
        self.writers.add(writer)
        return functools.partial(self.handle, writer, self.upstream.incarnation_ms)

    def reset(self):
        for writer in self.writers:
            writer.transport.abort()
        self.writers = set()

    async def cross(self, *faults):
        if self.faults["lossy"] and self.upstream.random.random() < LOSS_SHARE:
            await asyncio.sleep(RETRANSMISSION_S)
        while any(self.faults[fault] for fault in faults):
            await asyncio.sleep(0.02)

    async def handle(self, writer, incarnation_ms, method, target, headers, body):
        upstream = self.upstream
        await self.cross("silent")
        while upstream.down or upstream.faults["silent"]:
            await asyncio.sleep(0.02)
        if upstream.incarnation_ms != incarnation_ms:
            if upstream.connections_after_crash == "silent":
                await asyncio.sleep(NO_REPLY_S)
            writer.transport.abort()
            return None
        response = await upstream.handle(self.gateway, target, headers, body)
        await self.cross("silent", "one_way")
        if upstream.down or upstream.incarnation_ms != incarnation_ms:
            await asyncio.sleep(NO_REPLY_S)
            return None
        return response

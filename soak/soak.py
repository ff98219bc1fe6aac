"""Fault soak: runs gateway processes under load and injected faults, and checks invariants
that callers and upstreams observe. Exits 1 on a violation. A seed determines the sequence
of faults."""
import argparse
import asyncio
import collections
import contextlib
import functools
import json
import math
import os
import random
import signal
import subprocess
import sys
import tempfile
import time

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
from fakes import Relay, Store
from http_server import request, serve
from upstreams import Upstream

HOST = "soak.example"
RESUBMIT_AFTER_S = 1.3  # until a caller resubmits a job that got no response
BREAK_SHARE = 0.04  # of the requests whose connection breaks before the response
RECOVERY_LIMIT_S = 12  # from the last fault until jobs must complete again
STOP_GRACE_S = 6  # limit of a graceful stop, as set in the gateways
DRAIN_LIMIT_S = 5  # from the operator's row until no task starts in its domain
CONFIGURATION_LIMIT_S = 7  # from a new version until it is in force everywhere
KINDS = ("check", "lookup", "levy")  # from most to least urgent


class Checks:
    """Invariants that the upstreams and the callers observe, and their violations."""

    def __init__(self, trace_path):
        self.running = collections.defaultdict(list)  # by task: its current runs
        self.started = collections.Counter()  # runs by job
        self.kinds = {}  # by submitted job
        self.used_until = {}  # by kind and service; infinite: it is used now
        self.drained_at = {}  # by failure domain, while it is drained
        self.store_away_at = 0  # last time at which the store did not answer
        self.violations = []
        self.counts = collections.Counter()
        self.trace_file = open(trace_path, "w")

    def trace(self, text):
        now = time.time()
        at = time.strftime("%H:%M:%S", time.gmtime(now))
        self.trace_file.write(f"{at}.{int(now * 1000) % 1000:03d} {text}\n")

    def add_violation(self, text):
        self.violations.append(f"{time.monotonic():.3f} {text}")
        self.trace(f"violation: {text}")

    def set_services(self, services):
        """services: by kind, as the newest version of the configuration has them."""
        now = time.monotonic()
        for (kind, service), until in self.used_until.items():
            if until == math.inf and services[kind] != service:
                self.used_until[kind, service] = now
        self.used_until.update({item: math.inf for item in services.items()})

    def check_service(self, run, kind):
        if run.late:
            return
        until = self.used_until.get((kind, run.service))
        # A gateway cannot read a version while the store is away.
        if until is None or (time.monotonic() - max(until, self.store_away_at) >
                             CONFIGURATION_LIMIT_S):
            self.add_violation(f"{run.task} of {kind} runs in {run.service}: "
                               f"{run.describe()}")

    def run_started(self, run):
        self.counts["runs"] += 1
        self.trace(f"started {run.task} on {run.describe()}")
        for other in list(self.running[run.task]):
            other.upstream.advance()  # ends it if it should have ended by now
        for other in self.running[run.task]:
            self.counts["two concurrent runs"] += 1
            self.add_violation(f"two concurrent runs of {run.task}: {other.describe()} "
                               f"and {run.describe()}")
        job = run.task.split(".")[0]
        if job in self.kinds:
            self.check_service(run, self.kinds[job])
        else:
            self.add_violation(f"{run.task} runs but its job was not submitted")
        domain = run.upstream.domain
        if domain in self.drained_at:
            # Without the store a gateway may not hear of the row in time.
            since = max(self.drained_at[domain], self.store_away_at)
            if time.monotonic() - since > DRAIN_LIMIT_S:
                self.add_violation(f"{run.task} starts {time.monotonic() - since:.3f} s "
                                   f"after the drain of {domain}: {run.describe()}")
        self.running[run.task].append(run)
        self.started[job] += 1

    def run_ended(self, run, outcome):
        self.trace(f"ended {run.task} run {run.number} on {run.upstream.name}: {outcome}")
        self.running[run.task].remove(run)


def domain_of(index, options):
    return f"domain-{index % options.domains}"


def list_services(options):
    return [f"pool-{index}" for index in range(options.services)]


class Gateway:
    """One cassiahub-gateway process, with a relay in front of its peer port."""

    def __init__(self, options, index, base, store_port, directory, checks):
        self.name = f"gateway-{index}"
        self.checks = checks
        domain = domain_of(index, options)
        self.port, self.ready_port = base, base + 1
        self.peer_port, self.relay_port = base + 3, base + 4
        self.binary = options.gateway
        self.settings = os.path.join(directory, self.name + ".ini")
        self.log = open(os.path.join(directory, self.name + ".log"), "ab")
        self.relay = Relay(self.peer_port)
        self.process = None
        self.paused_at = None  # since when the process is stopped by a signal
        self.paused_s = 0  # total of the pauses that have ended
        with open(self.settings, "w") as file:
            file.write(f"[gateway]\ninstance = {self.name}\ndomain = {domain}\n"
                       f"caller_address = 127.0.0.1:{self.port}\n"
                       f"ready_address = 127.0.0.1:{self.ready_port}\n"
                       f"metrics_address = 127.0.0.1:{base + 2}\n"
                       f"peer_address = 127.0.0.1:{self.peer_port}\n"
                       f"peer_secret = secret-of-the-soak\n"
                       f"store_address = 127.0.0.1:{store_port}\n"
                       f"grace = {STOP_GRACE_S}s\n")

    def start(self):
        self.end_pause()  # one in which the process was killed
        self.process = subprocess.Popen([self.binary, "--settings", self.settings],
                                        stdout=self.log, stderr=self.log)
        self.checks.trace(f"{self.name} started as process {self.process.pid}")

    def signal_process(self, number):
        if self.process.poll() is not None:
            return
        self.checks.trace(f"{signal.Signals(number).name} to {self.name}")
        if number == signal.SIGCONT:
            self.end_pause()
        self.process.send_signal(number)
        if number == signal.SIGSTOP and self.paused_at is None:
            self.paused_at = time.monotonic()

    def end_pause(self):
        if self.paused_at is not None:
            self.paused_s += time.monotonic() - self.paused_at
            self.paused_at = None

    def runnable_time(self):
        """Seconds on a clock that stands still while the process is paused."""
        until = time.monotonic() if self.paused_at is None else self.paused_at
        return until - self.paused_s

    async def wait_until_ended(self):
        process = self.process  # not one that an overlapping fault starts
        while process.poll() is None:
            await asyncio.sleep(0.02)
        self.checks.trace(f"{self.name} ended with code {process.returncode}")


# One run of the soak: the gateways, the stand-ins, the load and the faults.
class Soak:
    def __init__(self, options, directory):
        self.random = random.Random(options.seed)
        self.options = options
        self.checks = Checks(os.path.join(directory, "upstreams.log"))
        base = options.port
        self.store = Store(self.rewrite_peer_address)
        self.gateways = [Gateway(options, index, base + 10 + 10 * index, base + index,
                                 directory, self.checks)
                         for index in range(options.gateways)]
        names = [gateway.name for gateway in self.gateways]
        self.upstreams = [Upstream(f"up-{index}", base + 500 + 2 * index * len(names),
                                   domain_of(index, options), names, 32_000, self.checks,
                                   options.seed, options.kept_ids,
                                   list_services(options), index)
                          for index in range(options.upstreams)]
        self.gateways_by_name = {gateway.name: gateway for gateway in self.gateways}
        self.faults = collections.Counter()
        self.completed_at = []
        self.stopping = False
        self.last_fault = time.monotonic()

    def rewrite_peer_address(self, name, address):
        return f"127.0.0.1:{self.gateways_by_name[name].relay_port}"

    def configure(self, version, services):
        """services: by kind."""
        self.checks.set_services(services)
        self.store.put("op", "config", {
            "version": version, "services": [], "limits": {},
            "routes": [{"name": name, "host": HOST, "prefix": f"/{name}/", "type": "unsafe",
                        "timeout-ms": 1500, "target-duration-ms": 60, "priority": priority,
                        "service": services[name], "max-attempts": 4, "stretch": 1.6}
                       for priority, name in enumerate(KINDS)]})

    async def run_job(self):
        kind, task_count, run_ms = self.random.choice(
            [("check", 6, 60), ("lookup", 2, 200), ("levy", 3, 800)])
        job = f"{self.random.getrandbits(64):016x}"
        self.checks.kinds[job] = kind
        rng = random.Random(job)
        # A change of the typical demand makes a gateway count its capacity anew.
        cpu = rng.choice((2_000, 8_000, 14_000)) if self.options.services > 1 else 14_000
        spec = json.dumps({"run_ms": run_ms, "cpu": cpu})
        body = json.dumps({"spec": spec, "best-effort": True, "steps": [
            {"count": task_count, "cpu": cpu, "mem-mb": 64,
             "estimate-ms": run_ms}]}).encode()
        headers = {"Host": HOST, "Cassiahub-Deadline-Ms": "1500", "Request-Id": job}
        statuses = []
        for _ in range(3):
            gateway = self.random.choice(self.gateways)
            limit = rng.uniform(0, 1.5) if rng.random() < BREAK_SHARE else 1.5
            status, response = await request(gateway.port, "POST", f"/{kind}/{job}",
                                             headers, body, limit)
            statuses.append(status)
            if status == 200 and json.loads(response) == {"state": "completed"}:
                self.completed_at.append(time.monotonic())
                if self.checks.started[job] < task_count:
                    self.checks.add_violation(
                        f"{job} completed with fewer runs than tasks")
            if status not in (0, 502, 504):
                break
            await asyncio.sleep(RESUBMIT_AFTER_S)
        self.checks.counts[f"answer {statuses[-1]}"] += 1
        if all(status in (404, 429, 503) for status in statuses):
            await asyncio.sleep(0.2)
            if self.checks.started[job]:
                self.checks.add_violation(f"{job} ran although every response refused it")

    async def load(self, until):
        job_tasks = set()
        while time.monotonic() < until:
            job_tasks.add(asyncio.create_task(self.run_job()))
            await asyncio.sleep(self.random.expovariate(self.options.rate))
        await asyncio.gather(*job_tasks)

    async def drive_upstreams(self):
        while not self.stopping:
            for upstream in self.upstreams:
                upstream.advance()
                upstream.write_registration(self.store)
            if not self.store.answers():
                self.checks.store_away_at = time.monotonic()
            await asyncio.sleep(0.01)

    async def restart(self, gateway, rng):
        await asyncio.sleep(rng.uniform(0.1, 2))
        if gateway.process.poll() is not None:  # not restarted by an overlapping fault
            gateway.start()

    async def break_gateway(self, kind, rng):
        gateway = rng.choice(self.gateways)
        if kind == "kill":
            gateway.signal_process(signal.SIGKILL)
            await gateway.wait_until_ended()
            await self.restart(gateway, rng)
        elif kind == "term":
            # The limit holds for the time in which the process could run: in a pause it
            # receives no signal and executes nothing.
            stop_requested_at = gateway.runnable_time()
            gateway.signal_process(signal.SIGTERM)
            await gateway.wait_until_ended()
            stop_time = gateway.runnable_time() - stop_requested_at
            self.checks.trace(f"{gateway.name} stopped in {stop_time:.3f} s")
            if stop_time > STOP_GRACE_S:
                self.checks.add_violation(
                    f"{gateway.name} did not stop within {STOP_GRACE_S} s")
            await self.restart(gateway, rng)
        elif kind == "hup":
            gateway.signal_process(signal.SIGHUP)
        elif kind == "pause":
            gateway.signal_process(signal.SIGSTOP)
            await asyncio.sleep(rng.uniform(0.2, 5))
            gateway.signal_process(signal.SIGCONT)
        else:
            gateway.relay.set_mode(kind)
            await asyncio.sleep(rng.uniform(0.2, 4))
            gateway.relay.set_mode("open")

    async def break_upstream(self, kind, rng):
        upstreams = [rng.choice(self.upstreams)]
        fault, _, then = kind.partition("+")
        if fault in ("late_orders", "late_renewals", "lag"):
            upstreams = rng.sample(self.upstreams, rng.choice((1, 3, len(self.upstreams))))
        if fault == "crash":
            await self.crash(upstreams, rng)
            return
        async with self.impaired(upstreams, fault):
            await asyncio.sleep(rng.uniform(0.5, 4))
            if then == "crash":
                await self.crash(upstreams[:3], rng)

    async def break_link(self, kind, rng):
        """Breaks the links of some upstreams to the gateways that hold them, to the
        others, or to all."""
        upstreams = rng.sample(self.upstreams, rng.choice((1, 3)))
        fault, _, then = kind.partition("+")
        which = rng.choice(("holder", "others", "all"))
        links = [link for upstream in upstreams for link in upstream.links
                 if which == "all" or (which == "holder") == upstream.is_held_by(link)]
        async with self.impaired(links, fault):
            if fault == "reset":
                for link in links:
                    link.reset()
            await asyncio.sleep(rng.uniform(0.2, 4))
            if then == "crash":
                await self.crash(upstreams, rng)
                await asyncio.sleep(rng.uniform(0, 1))

    @contextlib.asynccontextmanager
    async def impaired(self, parts, fault):
        names = " ".join(part.name for part in parts)
        self.checks.trace(f"{fault} begins: {names}")
        for part in parts:
            part.faults[fault] += 1
        yield
        for part in parts:
            part.faults[fault] -= 1
        self.checks.trace(f"{fault} ends: {names}")

    async def crash(self, upstreams, rng):
        await asyncio.gather(*(
            upstream.crash(rng.choice((rng.uniform(0.02, 0.4), rng.uniform(0.4, 4))),
                           rng.choice(("reset", "unknown", "silent")), rng.random() < 0.3)
            for upstream in upstreams))

    async def break_store(self, kind, rng):
        if kind == "change":
            services = {name: rng.choice(list_services(self.options)) for name in KINDS}
            self.configure(self.store.version + 1, services)
            self.checks.trace(f"version {self.store.version}: {services}")
            return
        self.store.mode = kind
        await asyncio.sleep(rng.uniform(0.5, 6))
        self.store.mode = "up"

    async def drain_domains(self, until):
        """The operator drains one failure domain after another and takes it back."""
        rng = random.Random(f"{self.options.seed}-drains")
        while time.monotonic() < until:
            domain = f"domain-{rng.randrange(self.options.domains)}"
            await self.wait_for_store()
            self.store.put("op", f"evacuate/{domain}", "")
            self.checks.drained_at[domain] = time.monotonic()
            self.checks.trace(f"{domain} is drained")
            self.faults["store drain"] += 1
            await asyncio.sleep(rng.uniform(3, 10))
            await self.wait_for_store()
            del self.checks.drained_at[domain]
            self.store.remove("op", f"evacuate/{domain}")
            self.checks.trace(f"{domain} is restored")
            await asyncio.sleep(rng.uniform(0, 3))

    async def wait_for_store(self):
        while not self.store.answers():
            await asyncio.sleep(0.02)

    async def inject(self, until):
        """Injects the faults of gateways, upstreams and the store, and, with random
        sources of their own, those of the platform that hit calls to upstreams."""
        fault_kinds = [(self.break_gateway, kind) for kind in
                       ("kill", "term", "hup", "pause", "silent", "slow", "reset",
                        "one_way")]
        fault_kinds += [(self.break_upstream, kind) for kind in
                        ("crash", "silent", "failing", "stalled", "late")]
        fault_kinds += [(self.break_store, kind) for kind in
                        ("refuse", "silent", "slow", "change")]
        upstream_kinds = [(self.break_link, kind) for kind in
                          ("silent", "silent+crash", "one_way", "one_way+crash", "reset",
                           "lossy")]
        upstream_kinds += [(self.break_upstream, kind) for kind in
                           ("crash", "crash", "slow", "late_orders", "late_orders+crash",
                            "late_renewals", "lag", "lag+crash")]
        drains = not self.options.only or "store-drain" in self.options.only
        await asyncio.gather(
            self.drain_domains(until if drains else 0),
            self.inject_kinds(fault_kinds, f"{self.options.seed}", until),
            self.inject_kinds(upstream_kinds, f"{self.options.seed}-upstreams", until))
        self.last_fault = time.monotonic()

    async def inject_kinds(self, fault_kinds, seed, until):
        if self.options.only:
            fault_kinds = [(fault, kind) for fault, kind in fault_kinds
                           if f"{fault.__name__[6:]}-{kind}" in self.options.only]
            if not fault_kinds:
                return
        fault_tasks = set()
        number = 0
        while time.monotonic() < until:
            # Each fault has its own random source, so that timing does not change the
            # sequence of faults.
            number += 1
            rng = random.Random(f"{seed}-{number}")
            fault, kind = rng.choice(fault_kinds)
            self.faults[f"{fault.__name__[6:]} {kind}"] += 1
            fault_tasks.add(asyncio.create_task(fault(kind, rng)))
            await asyncio.sleep(rng.expovariate(1 / self.options.gap))
        await asyncio.gather(*fault_tasks)

    async def run(self):
        services = list_services(self.options)
        self.configure(1, {name: services[index % len(services)]
                           for index, name in enumerate(KINDS)})
        for number in range(len(self.gateways)):
            handle = functools.partial(self.store.handle, number)
            await serve(self.options.port + number, lambda _, handle=handle: handle)
        for upstream in self.upstreams:
            await upstream.start()
        for gateway in self.gateways:
            await gateway.relay.start(gateway.relay_port)
            gateway.start()
        upstream_driver = asyncio.create_task(self.drive_upstreams())
        await asyncio.sleep(3)
        faults_until = time.monotonic() + self.options.seconds
        injection = asyncio.create_task(self.inject(faults_until))
        await self.load(faults_until + RECOVERY_LIMIT_S + 8)
        await injection
        if not any(at > self.last_fault + RECOVERY_LIMIT_S / 2 for at in self.completed_at):
            self.checks.add_violation("no job completed after the last fault")
        for gateway in self.gateways:
            gateway.signal_process(signal.SIGTERM)
        for gateway in self.gateways:
            try:
                code = await asyncio.to_thread(gateway.process.wait, STOP_GRACE_S + 2)
                if code != 0:
                    self.checks.add_violation(f"{gateway.name} exited with code {code}")
            except subprocess.TimeoutExpired:
                self.checks.add_violation(f"{gateway.name} did not stop")
        self.stopping = True
        await upstream_driver
        self.checks.trace_file.close()


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--gateway", default="build/bin/cassiahub-gateway")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=20,
                        help="duration of the fault injection")
    parser.add_argument("--gateways", type=int, default=4)
    parser.add_argument("--domains", type=int, default=2)
    parser.add_argument("--upstreams", type=int, default=12)
    parser.add_argument("--services", type=int, default=1,
                        help="services; kinds and restarted upstreams change theirs")
    parser.add_argument("--kept-ids", action="store_true",
                        help="upstreams restart under their id also while orders are late")
    parser.add_argument("--rate", type=float, default=12, help="jobs per second")
    parser.add_argument("--gap", type=float, default=0.8,
                        help="mean seconds between faults")
    parser.add_argument("--only", nargs="*", metavar="PART-FAULT",
                        help="inject only these faults, such as upstream-crash")
    parser.add_argument("--port", type=int, default=24000)
    parser.add_argument("--logs", help="directory for the logs of the gateways")
    options = parser.parse_args()
    signal.signal(signal.SIGTERM, signal.default_int_handler)  # ends the gateways below
    with tempfile.TemporaryDirectory() as scratch:
        soak = Soak(options, options.logs or scratch)
        try:
            asyncio.run(soak.run())
        finally:
            for gateway in soak.gateways:
                if gateway.process and gateway.process.poll() is None:
                    gateway.process.send_signal(signal.SIGCONT)
                    gateway.process.kill()
                    gateway.process.wait()
    print(json.dumps({"seed": options.seed, "served": len(soak.completed_at),
                      "counts": soak.checks.counts, "faults": soak.faults,
                      "violations": soak.checks.violations}))
    return 1 if soak.checks.violations else 0


if __name__ == "__main__":
    sys.exit(main())

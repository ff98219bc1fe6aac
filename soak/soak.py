"""Fault soak: real gateways as processes, faults from outside, promises checked by what
callers and upstreams see. Exits 1 on a violation. One seed repeats its faults."""
import argparse
import asyncio
import collections
import json
import os
import random
import signal
import subprocess
import sys
import tempfile
import time

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
from fakes import Relay, Store, Upstream, start_fakes
from http_server import request

HOST = "soak.example"
RESEND_S = 1.3        # a caller sends a job without an answer again after this
RECOVERY_S = 12       # after the last fault jobs have to be served again within this
GRACE_S = 6           # a planned stop ends within this


class Checks:
    """What must never happen, from the upstreams' and the callers' view."""

    def __init__(self):
        self.running = {}
        self.started = collections.Counter()
        self.submitted = set()
        self.violations = []
        self.counts = collections.Counter()

    def violate(self, text):
        self.violations.append(f"{time.monotonic():.3f} {text}")

    def run_begun(self, task, run, upstream):
        self.counts["runs"] += 1
        if task in self.running:
            self.violate(f"two runs of {task} on {self.running[task]} and {upstream}")
        if task.split(".")[0] not in self.submitted:
            self.violate(f"{task} was not submitted")
        self.running[task] = upstream
        self.started[task.split(".")[0]] += 1

    def run_over(self, task, run, upstream):
        if self.running.get(task) == upstream:
            del self.running[task]


class Gateway:
    """One cassiahub-gateway process that the soak may signal."""

    def __init__(self, options, index, base, store_port, directory):
        self.name = f"gateway-{index}"
        self.port, self.ready = base, base + 1
        self.peer, self.relay_port = base + 3, base + 4
        self.binary = options.gateway
        self.settings = os.path.join(directory, self.name + ".ini")
        self.log = open(os.path.join(directory, self.name + ".log"), "ab")
        self.relay = Relay(self.peer)
        self.process = None
        with open(self.settings, "w") as file:
            file.write(f"[gateway]\ninstance = {self.name}\ndomain = north\n"
                       f"caller_address = 127.0.0.1:{self.port}\n"
                       f"ready_address = 127.0.0.1:{self.ready}\n"
                       f"metrics_address = 127.0.0.1:{base + 2}\n"
                       f"peer_address = 127.0.0.1:{self.peer}\n"
                       f"peer_secret = secret-of-the-soak\n"
                       f"store_address = 127.0.0.1:{store_port}\n"
                       f"grace = {GRACE_S}s\n")

    def start(self):
        self.process = subprocess.Popen([self.binary, "--settings", self.settings],
                                        stdout=self.log, stderr=self.log)

    def send(self, number):
        if self.process.poll() is None:
            self.process.send_signal(number)


class Soak:
    def __init__(self, options, directory):
        self.random = random.Random(options.seed)
        self.options = options
        self.checks = Checks()
        base = options.port
        self.store = Store(self.rewrite_peer)
        self.upstreams = [Upstream(f"up-{index}", base + 500 + index, 32_000, self.checks)
                          for index in range(options.upstreams)]
        self.gateways = [Gateway(options, index, base + 10 + 10 * index, base, directory)
                         for index in range(options.gateways)]
        self.by_peer = {gateway.name: gateway for gateway in self.gateways}
        self.faults = collections.Counter()
        self.served_at = []
        self.stopping = False
        self.last_fault = time.monotonic()

    def rewrite_peer(self, name, address):
        return f"127.0.0.1:{self.by_peer[name].relay_port}"

    def configure(self, version):
        self.store.put("op", "config", {
            "version": version, "services": [], "limits": {},
            "routes": [{"name": name, "host": HOST, "prefix": f"/{name}/", "type": "unsafe",
                        "timeout-ms": 1500, "target-duration-ms": 60, "priority": priority,
                        "service": "pool", "max-attempts": 4, "stretch": 1.6}
                       for priority, name in enumerate(("check", "lookup", "levy"))]})

    async def run_job(self):
        kind, width, run_ms = self.random.choice(
            [("check", 6, 60), ("lookup", 2, 200), ("levy", 3, 800)])
        job = f"{self.random.getrandbits(64):016x}"
        self.checks.submitted.add(job)
        spec = json.dumps({"run_ms": run_ms, "cpu": 14_000})
        body = json.dumps({"spec": spec, "best-effort": True, "steps": [
            {"count": width, "cpu": 14_000, "mem-mb": 64, "estimate-ms": run_ms}]}).encode()
        headers = {"Host": HOST, "Cassiahub-Deadline-Ms": "1500", "Request-Id": job}
        statuses = []
        for _ in range(3):
            gateway = self.random.choice(self.gateways)
            status, answer = await request(gateway.port, "POST", f"/{kind}/{job}", headers,
                                           body, 1.5)
            statuses.append(status)
            if status == 200 and json.loads(answer) == {"state": "completed"}:
                self.served_at.append(time.monotonic())
                if self.checks.started[job] < width:
                    self.checks.violate(f"{job} completed with too few runs")
            if status not in (0, 502, 504):
                break
            await asyncio.sleep(RESEND_S)
        self.checks.counts[f"answer {statuses[-1]}"] += 1
        if all(status in (404, 429, 503) for status in statuses):
            await asyncio.sleep(0.2)
            if self.checks.started[job]:
                self.checks.violate(f"{job} was refused and ran")

    async def load(self, until):
        jobs = set()
        while time.monotonic() < until:
            jobs.add(asyncio.create_task(self.run_job()))
            await asyncio.sleep(self.random.expovariate(self.options.rate))
        await asyncio.gather(*jobs)

    async def keep_time(self):
        ticks = 0
        while not self.stopping:
            for upstream in self.upstreams:
                upstream.advance()
                if ticks % 50 == 0 and upstream.mode != "silent":
                    self.store.put("servers", upstream.name, upstream.registration())
            ticks += 1
            await asyncio.sleep(0.01)

    async def restart(self, gateway, rng):
        while gateway.process.poll() is None:
            await asyncio.sleep(0.02)
        await asyncio.sleep(rng.uniform(0.1, 2))
        if gateway.process.poll() is not None:  # an overlapping fault may have done it
            gateway.start()

    async def fault_gateway(self, kind, rng):
        gateway = rng.choice(self.gateways)
        if kind == "kill":
            gateway.send(signal.SIGKILL)
            await self.restart(gateway, rng)
        elif kind == "term":
            begun = time.monotonic()
            gateway.send(signal.SIGTERM)
            await self.restart(gateway, rng)
            if time.monotonic() - begun > GRACE_S + 2.5:
                self.checks.violate(f"{gateway.name} did not stop in {GRACE_S} s")
        elif kind == "hup":
            gateway.send(signal.SIGHUP)
        elif kind == "pause":
            gateway.send(signal.SIGSTOP)
            await asyncio.sleep(rng.uniform(0.2, 5))
            gateway.send(signal.SIGCONT)
        else:
            gateway.relay.set_mode(kind)
            await asyncio.sleep(rng.uniform(0.2, 4))
            gateway.relay.set_mode("open")

    async def fault_upstream(self, kind, rng):
        upstream = rng.choice(self.upstreams)
        if kind == "crash":
            upstream.crash()
            return
        upstream.mode = kind
        await asyncio.sleep(rng.uniform(0.5, 4))
        upstream.mode = "up"

    async def fault_store(self, kind, rng):
        if kind == "change":
            self.configure(self.store.version + 1)
            return
        self.store.mode = kind
        await asyncio.sleep(rng.uniform(0.5, 6))
        self.store.mode = "up"

    async def inject(self, until):
        kinds = [(self.fault_gateway, kind) for kind in
                 ("kill", "term", "hup", "pause", "silent", "slow", "reset", "one_way")]
        kinds += [(self.fault_upstream, kind) for kind in
                  ("crash", "silent", "failing", "stalled", "late")]
        kinds += [(self.fault_store, kind) for kind in
                  ("refuse", "silent", "slow", "change")]
        faults = set()
        number = 0
        while time.monotonic() < until:
            # Each fault has its own source, so that timing does not change the series.
            number += 1
            rng = random.Random(f"{self.options.seed}-{number}")
            fault, kind = rng.choice(kinds)
            self.faults[f"{fault.__name__[6:]} {kind}"] += 1
            faults.add(asyncio.create_task(fault(kind, rng)))
            await asyncio.sleep(rng.expovariate(1 / self.options.gap))
        await asyncio.gather(*faults)
        self.last_fault = time.monotonic()

    async def run(self):
        self.configure(1)
        servers = await start_fakes(self.store, self.options.port, self.upstreams)
        for gateway in self.gateways:
            await gateway.relay.start(gateway.relay_port)
            gateway.start()
        keeper = asyncio.create_task(self.keep_time())
        await asyncio.sleep(3)
        faults_until = time.monotonic() + self.options.seconds
        injecting = asyncio.create_task(self.inject(faults_until))
        await self.load(faults_until + RECOVERY_S + 8)
        await injecting
        if not any(at > self.last_fault + RECOVERY_S / 2 for at in self.served_at):
            self.checks.violate("no job is served after the last fault")
        for gateway in self.gateways:
            gateway.send(signal.SIGTERM)
        for gateway in self.gateways:
            try:
                code = await asyncio.to_thread(gateway.process.wait, GRACE_S + 2)
                if code != 0:
                    self.checks.violate(f"{gateway.name} ended with {code}")
            except subprocess.TimeoutExpired:
                self.checks.violate(f"{gateway.name} did not stop")
        self.stopping = True
        await keeper
        for server in servers:
            server.close()


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--gateway", default="build/bin/cassiahub-gateway")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=20, help="time with faults")
    parser.add_argument("--gateways", type=int, default=4)
    parser.add_argument("--upstreams", type=int, default=12)
    parser.add_argument("--rate", type=float, default=12, help="jobs a second")
    parser.add_argument("--gap", type=float, default=0.8, help="seconds between faults")
    parser.add_argument("--port", type=int, default=24000)
    parser.add_argument("--logs", help="directory for the logs of the gateways")
    options = parser.parse_args()
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
    print(json.dumps({"seed": options.seed, "served": len(soak.served_at),
                      "counts": soak.checks.counts, "faults": soak.faults,
                      "violations": soak.checks.violations}))
    return 1 if soak.checks.violations else 0


if __name__ == "__main__":
    sys.exit(main())

"""Fault soak: runs gateway processes under load and injected faults, and checks invariants
that callers and upstreams observe. Exits 1 on a violation. A seed determines the sequence
of faults."""
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
from fakes import Relay, Store, Upstream, start_standins
from http_server import request

HOST = "soak.example"
RESUBMIT_AFTER_S = 1.3  # until a caller resubmits a job that got no response
RECOVERY_LIMIT_S = 12  # from the last fault until jobs must complete again
STOP_GRACE_S = 6  # limit of a graceful stop, as set in the gateways


class Checks:
    """Invariants that the upstreams and the callers observe, and their violations."""

    def __init__(self):
        self.running = {}  # by task: upstream that runs it
        self.started = collections.Counter()  # runs by job
        self.submitted = set()  # jobs
        self.violations = []
        self.counts = collections.Counter()

    def add_violation(self, text):
        self.violations.append(f"{time.monotonic():.3f} {text}")

    def run_started(self, task, run, upstream):
        self.counts["runs"] += 1
        if task in self.running:
            self.add_violation(
                f"two concurrent runs of {task} on {self.running[task]} and {upstream}")
        if task.split(".")[0] not in self.submitted:
            self.add_violation(f"{task} runs but its job was not submitted")
        self.running[task] = upstream
        self.started[task.split(".")[0]] += 1

    def run_ended(self, task, run, upstream):
        if self.running.get(task) == upstream:
            del self.running[task]


class Gateway:
    """One cassiahub-gateway process, with a relay in front of its peer port."""

    def __init__(self, options, index, base, store_port, directory):
        self.name = f"gateway-{index}"
        self.port, self.ready_port = base, base + 1
        self.peer_port, self.relay_port = base + 3, base + 4
        self.binary = options.gateway
        self.settings = os.path.join(directory, self.name + ".ini")
        self.log = open(os.path.join(directory, self.name + ".log"), "ab")
        self.relay = Relay(self.peer_port)
        self.process = None
        with open(self.settings, "w") as file:
            file.write(f"[gateway]\ninstance = {self.name}\ndomain = north\n"
                       f"caller_address = 127.0.0.1:{self.port}\n"
                       f"ready_address = 127.0.0.1:{self.ready_port}\n"
                       f"metrics_address = 127.0.0.1:{base + 2}\n"
                       f"peer_address = 127.0.0.1:{self.peer_port}\n"
                       f"peer_secret = secret-of-the-soak\n"
                       f"store_address = 127.0.0.1:{store_port}\n"
                       f"grace = {STOP_GRACE_S}s\n")

    def start(self):
        self.process = subprocess.Popen([self.binary, "--settings", self.settings],
                                        stdout=self.log, stderr=self.log)

    def signal_process(self, number):
        if self.process.poll() is None:
            self.process.send_signal(number)


# One run of the soak: the gateways, the stand-ins, the load and the faults.
class Soak:
    def __init__(self, options, directory):
        self.random = random.Random(options.seed)
        self.options = options
        self.checks = Checks()
        base = options.port
        self.store = Store(self.rewrite_peer_address)
        self.upstreams = [Upstream(f"up-{index}", base + 500 + index, 32_000, self.checks)
                          for index in range(options.upstreams)]
        self.gateways = [Gateway(options, index, base + 10 + 10 * index, base, directory)
                         for index in range(options.gateways)]
        self.gateways_by_name = {gateway.name: gateway for gateway in self.gateways}
        self.faults = collections.Counter()
        self.completed_at = []
        self.stopping = False
        self.last_fault = time.monotonic()

    def rewrite_peer_address(self, name, address):
        return f"127.0.0.1:{self.gateways_by_name[name].relay_port}"

    def configure(self, version):
        self.store.put("op", "config", {
            "version": version, "services": [], "limits": {},
            "routes": [{"name": name, "host": HOST, "prefix": f"/{name}/", "type": "unsafe",
                        "timeout-ms": 1500, "target-duration-ms": 60, "priority": priority,
                        "service": "pool", "max-attempts": 4, "stretch": 1.6}
                       for priority, name in enumerate(("check", "lookup", "levy"))]})

    async def run_job(self):
        kind, task_count, run_ms = self.random.choice(
            [("check", 6, 60), ("lookup", 2, 200), ("levy", 3, 800)])
        job = f"{self.random.getrandbits(64):016x}"
        self.checks.submitted.add(job)
        spec = json.dumps({"run_ms": run_ms, "cpu": 14_000})
        body = json.dumps({"spec": spec, "best-effort": True, "steps": [
            {"count": task_count, "cpu": 14_000, "mem-mb": 64,
             "estimate-ms": run_ms}]}).encode()
        headers = {"Host": HOST, "Cassiahub-Deadline-Ms": "1500", "Request-Id": job}
        statuses = []
        for _ in range(3):
            gateway = self.random.choice(self.gateways)
            status, response = await request(gateway.port, "POST", f"/{kind}/{job}",
                                             headers, body, 1.5)
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
        if gateway.process.poll() is not None:  # not restarted by an overlapping fault
            gateway.start()

    async def break_gateway(self, kind, rng):
        gateway = rng.choice(self.gateways)
        if kind == "kill":
            gateway.signal_process(signal.SIGKILL)
            await self.restart(gateway, rng)
        elif kind == "term":
            stop_requested_at = time.monotonic()
            gateway.signal_process(signal.SIGTERM)
            await self.restart(gateway, rng)
            if time.monotonic() - stop_requested_at > STOP_GRACE_S + 2.5:
                self.checks.add_violation(
                    f"{gateway.name} did not stop within {STOP_GRACE_S} s")
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
        upstream = rng.choice(self.upstreams)
        if kind == "crash":
            upstream.crash()
            return
        upstream.mode = kind
        await asyncio.sleep(rng.uniform(0.5, 4))
        upstream.mode = "up"

    async def break_store(self, kind, rng):
        if kind == "change":
            self.configure(self.store.version + 1)
            return
        self.store.mode = kind
        await asyncio.sleep(rng.uniform(0.5, 6))
        self.store.mode = "up"

    async def inject(self, until):
        fault_kinds = [(self.break_gateway, kind) for kind in
                       ("kill", "term", "hup", "pause", "silent", "slow", "reset",
                        "one_way")]
        fault_kinds += [(self.break_upstream, kind) for kind in
                        ("crash", "silent", "failing", "stalled", "late")]
        fault_kinds += [(self.break_store, kind) for kind in
                        ("refuse", "silent", "slow", "change")]
        fault_tasks = set()
        number = 0
        while time.monotonic() < until:
            # Each fault has its own random source, so that timing does not change the
            # sequence of faults.
            number += 1
            rng = random.Random(f"{self.options.seed}-{number}")
            fault, kind = rng.choice(fault_kinds)
            self.faults[f"{fault.__name__[6:]} {kind}"] += 1
            fault_tasks.add(asyncio.create_task(fault(kind, rng)))
            await asyncio.sleep(rng.expovariate(1 / self.options.gap))
        await asyncio.gather(*fault_tasks)
        self.last_fault = time.monotonic()

    async def run(self):
        self.configure(1)
        servers = await start_standins(self.store, self.options.port, self.upstreams)
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
        for server in servers:
            server.close()


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--gateway", default="build/bin/cassiahub-gateway")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=20,
                        help="duration of the fault injection")
    parser.add_argument("--gateways", type=int, default=4)
    parser.add_argument("--upstreams", type=int, default=12)
    parser.add_argument("--rate", type=float, default=12, help="jobs per second")
    parser.add_argument("--gap", type=float, default=0.8,
                        help="mean seconds between faults")
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
    print(json.dumps({"seed": options.seed, "served": len(soak.completed_at),
                      "counts": soak.checks.counts, "faults": soak.faults,
                      "violations": soak.checks.violations}))
    return 1 if soak.checks.violations else 0


if __name__ == "__main__":
    sys.exit(main())

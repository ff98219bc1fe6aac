"""A small deployment on loopback addresses: gateways started with the command and the
template of the deploy file, and clients."""

import asyncio
import json
import os
import pathlib
import random
import re
import shlex
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time

from platform_standin import Minion, Store, read_message

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOST = "nony24.example"
START_LIMIT_S = 20
FRONT_PORT, READY_PORT, PEER_PORT = 8161, 8167, 7720


class CannotRun(Exception):
    """The case could not run; says nothing about the rule."""


class Record:
    """Writes what was sent, answered and run, with the time in seconds."""

    def __init__(self, path):
        self.begin, self.file = time.monotonic(), open(path, "w")

    def __call__(self, text):
        self.file.write(f"{time.monotonic() - self.begin:8.3f} {text}\n")
        self.file.flush()


def free_network():
    """Returns the first three numbers of loopback addresses that nobody uses."""
    for _ in range(50):
        prefix = f"127.{random.randint(16, 250)}.{random.randint(1, 250)}"
        try:
            for port in (FRONT_PORT, READY_PORT, PEER_PORT, 9464):
                with socket.socket() as probe:
                    probe.bind((f"{prefix}.11", port))
            return prefix
        except OSError:
            continue
    raise CannotRun("no free loopback addresses")


def render(template, fields):
    """Fills in the placeholders {{a}}, {{a.b}} and {{a.0}}."""

    def value(match):
        found = fields
        for part in match.group(1).split("."):
            found = found[int(part)] if isinstance(found, list) else found[part]
        return str(found)

    return re.sub(r"\{\{([^}]+)\}\}", value, template)


class Gateway:
    def __init__(self, deployment, name, zone, ip):
        self.deployment, self.name, self.zone, self.ip = deployment, name, zone, ip
        self.process = None

    def settings(self):
        return {"node": self.name, "zone": self.zone, "ip": self.ip,
                "listen": {"front": f"{self.ip}:{FRONT_PORT}",
                           "ready": f"{self.ip}:{READY_PORT}"},
                "internal-ports": [PEER_PORT, PEER_PORT + 15],
                "bounds": {"grace-s": 6, "hold-max-ms": 1000},
                "platform": {"address": self.deployment.store.address}}

    def start(self):
        import tomllib
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        role = deploy["roles"]["gateway"]
        path = self.deployment.folder / f"{self.name}.ini"
        path.write_text(render((ROOT / role["template"]).read_text(), self.settings()))
        command = [str(path) if word == "/etc/cassiahub/local.toml" else word
                   for word in shlex.split(role["run"])]
        if not (ROOT / command[0]).exists():
            raise CannotRun(f"{command[0]} is not built")
        with open(self.deployment.folder / f"{self.name}.log", "ab") as log:
            self.process = subprocess.Popen(command, cwd=ROOT, stdout=log, stderr=log)
        self.deployment.record(f"{self.name} started")

    def send_signal(self, number):
        self.process.send_signal(number)
        self.deployment.record(f"{signal.Signals(number).name} to {self.name}")

    async def wait_ready(self):
        limit = time.monotonic() + START_LIMIT_S
        while True:
            status, _ = await exchange(self.ip, READY_PORT, "GET", "/cassiahub/ready", {},
                                       b"", 1)
            if status == 200:
                return
            if self.process.poll() is not None or time.monotonic() > limit:
                raise CannotRun(f"{self.name} is not ready")
            await asyncio.sleep(0.1)

    async def wait_end(self, limit_s):
        """Returns the exit code, or None if the process still runs."""
        limit = time.monotonic() + limit_s
        while self.process.poll() is None and time.monotonic() < limit:
            await asyncio.sleep(0.01)
        self.deployment.record(f"{self.name} exit code {self.process.poll()}")
        return self.process.poll()


async def exchange(ip, port, method, target, headers, body, timeout):
    """Returns (status, body); the status is 0 when the connection ended without a
    complete response, and None when the time limit was reached."""

    async def send():
        reader, writer = await asyncio.open_connection(ip, port)
        try:
            lines = [f"{method} {target} HTTP/1.1", f"Content-Length: {len(body)}"]
            lines += [f"{name}: {value}" for name, value in headers.items()]
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
            message = await read_message(reader)
            return (int(message[0].split(" ")[1]), message[2]) if message else (0, b"")
        finally:
            writer.close()

    try:
        return await asyncio.wait_for(send(), timeout)
    except asyncio.TimeoutError:
        return None, b""
    except OSError:
        return 0, b""


class Deployment:
    def __init__(self, folder, record):
        self.folder, self.record = folder, record
        self.network = free_network()
        self.store, self.minions, self.gateways = Store(), [], []

    async def start(self, zones, minions, cpu, configuration):
        """Starts one gateway in each of zones, and then the minions, given as zone and
        service, so that no gateway ever holds a minion of another zone."""
        await self.store.listen(f"{self.network}.1")
        await self.store.put("op", "config", json.dumps(configuration).encode())
        for number, zone in enumerate(zones):
            gateway = Gateway(self, f"front-{zone}-{number + 1}", zone,
                              f"{self.network}.{11 + number}")
            gateway.start()
            self.gateways.append(gateway)
        for gateway in self.gateways:
            await gateway.wait_ready()
        for number, (zone, service) in enumerate(minions):
            minion = Minion(self.store, f"i-{number + 1:04d}", zone, service, cpu,
                            self.record)
            await minion.start(f"{self.network}.{100 + number}")
            self.minions.append(minion)
        limit = time.monotonic() + START_LIMIT_S
        while any(minion.token == 0 for minion in self.minions):
            if time.monotonic() > limit:
                raise CannotRun("a minion was not claimed")
            await asyncio.sleep(0.05)
        await asyncio.sleep(1)

    def minions_of(self, zone, service):
        return [minion for minion in self.minions
                if (minion.zone, minion.service) == (zone, service)]

    async def call(self, gateway, method, prefix, job, timeout_s, document=None):
        body = json.dumps(document).encode() if document is not None else b""
        headers = {"Host": HOST, "Content-Type": "application/json",
                   "Cassiahub-Deadline-Ms": str(int(timeout_s * 1000))}
        self.record(f"client: {method} {prefix}{job} to {gateway.name}")
        status, text = await exchange(gateway.ip, FRONT_PORT, method, prefix + job,
                                      headers, body, timeout_s + 1)
        said = {0: "connection ended without a complete answer",
                None: "no answer within the time limit"}.get(
                    status, f"{status} {text.decode()}")
        self.record(f"client: {method} {prefix}{job} to {gateway.name}: {said}")
        return status, text

    def stop(self):
        for gateway in self.gateways:
            if gateway.process is not None and gateway.process.poll() is None:
                gateway.process.send_signal(signal.SIGCONT)
                gateway.process.kill()
            if gateway.process is not None:
                gateway.process.wait()


def route(name, prefix, priority, **more):
    return {"name": name, "host": HOST, "prefix": prefix, "type": "unsafe",
            "timeout-ms": 1500, "target-duration-ms": 60, "priority": priority,
            "service": "huvo11a", "max-attempts": 2, "stretch": 1.6, **more}


def configuration(version, routes, services=("huvo11a",)):
    return {"version": version, "routes": routes,
            "services": [{"name": name, "health-path": "/health", "max-conns": 64,
                          "protocol": "h1", "tls": False, "enforces-capacity": True,
                          "standby": False} for name in services],
            "limits": {"max-header-bytes": 16384, "max-body-bytes": 262144,
                       "header-timeout-ms": 3000, "idle-timeout-ms": 15000}}


def job_document(count, cpu, work_ms, estimate_ms):
    spec = json.dumps({"work-ms": work_ms, "cpu": cpu})
    return {"spec": spec, "best-effort": True,
            "steps": [{"count": count, "cpu": cpu, "mem-mb": 64,
                       "estimate-ms": estimate_ms}]}


def new_job():
    return f"{random.getrandbits(64):016x}"


def main(case_folder, run):
    """Runs the coroutine run(deployment, trouble), which returns whether the rule held.
    Exits with 0 if it did, 1 if not, and 2 if the case could not run."""
    record = Record(os.path.join(case_folder, "record.txt"))
    trouble = os.environ.get("TROUBLE", "1") != "0"
    folder = pathlib.Path(tempfile.mkdtemp(prefix="cassiahub-review-"))
    code = 2

    async def start():
        deployment = Deployment(folder, record)
        try:
            return 0 if await run(deployment, trouble) else 1
        finally:
            deployment.stop()

    signal.signal(signal.SIGTERM, signal.default_int_handler)
    try:
        code = asyncio.run(start())
        record("the rule held" if code == 0 else "the rule was broken")
    except (Exception, KeyboardInterrupt) as error:
        record(f"the case could not run: {type(error).__name__} {error}")
    finally:
        if os.environ.get("KEEP_LOGS"):
            print(f"logs in {folder}", file=sys.stderr)
        else:
            shutil.rmtree(folder, ignore_errors=True)
    sys.exit(code)

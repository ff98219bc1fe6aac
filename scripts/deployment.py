"""Starts a deployment on loopback: a platform stand-in, upstream stand-ins for three
failure domains, and entry instances. Used by scripts/demo.py and scripts/bench.py."""

import dataclasses
import http.client
import itertools
import json
import os
import pathlib
import signal
import subprocess
import sys
import time

import make_examples

ROOT = make_examples.ROOT
BIN = ROOT / "build" / "bin"
HOST = "127.0.0.1"
START_TIMEOUT_S = 15
STOP_TIMEOUT_S = 20
# Connections of each upstream, as in the examples of both users. The environment variable
# overrides the number for trials.
UPSTREAM_CONNECTIONS = int(os.environ.get("CASSIAHUB_UPSTREAM_CONNECTIONS", "64"))

# Offsets from the base port. The platform stand-in listens on the base port itself.
CALLER_OFFSET, PEER_OFFSET, UPSTREAM_OFFSET = 1, 31, 100


@dataclasses.dataclass
class Deployment:
    folder: pathlib.Path
    fleet: object
    platform: str
    upstreams: list  # first address of each upstream process
    entries: list  # caller addresses
    processes: dict = dataclasses.field(default_factory=dict)  # name: Popen


def request(address, method, path, body=None, headers=None, timeout=15):
    """Returns (status, text), or (0, reason) if there was no response."""
    host, port = address.split(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=timeout)
    try:
        connection.request(method, path, body, headers or {})
        response = connection.getresponse()
        return response.status, response.read().decode()
    except (OSError, http.client.HTTPException) as error:
        return 0, str(error)
    finally:
        connection.close()


def get_json(address, path):
    status, text = request(address, "GET", path)
    if status != 200:
        raise RuntimeError(f"{address}{path}: {status} {text}")
    return json.loads(text)


def start_process(deployment, name, *command):
    log = open(deployment.folder / f"{name}.log", "wb")
    deployment.processes[name] = subprocess.Popen(
        [str(part) for part in command], stdout=log, stderr=subprocess.STDOUT
    )
    log.close()


def wait_until_ready(address, path, description, deadline):
    while time.monotonic() < deadline:
        if request(address, "GET", path, timeout=2)[0] == 200:
            return
        time.sleep(0.05)
    raise RuntimeError(f"{description} at {address} is not ready")


def accepts_secret(deployment, entry):
    """Whether the build accepts the key peer_secret; versions without peer messages do
    not."""
    path = deployment.folder / "check.ini"
    path.write_text(make_examples.entry_text(entry, True))
    checked = subprocess.run([BIN / "cassiahub-entry", "--settings", path, "--check"],
                             capture_output=True, check=False)
    return checked.returncode == 0


def put_instances(deployment):
    listed = [{"name": entry.name, "domain": entry.domain, "address": entry.peer_address,
               "entry": True, "leaving": False} for entry in deployment.fleet.entries]
    listed += [{"name": upstream.name, "domain": upstream.domain,
                "address": upstream.address, "entry": False, "leaving": False}
               for upstream in deployment.fleet.upstreams]
    status, text = request(deployment.platform, "PUT", "/instances",
                           json.dumps({"instances": listed}))
    if status != 204:
        raise RuntimeError(f"instance list: {status} {text}")


def start(name, base_port, entries_per_domain=2, policy=""):
    """Starts all processes and waits until every entry instance runs jobs."""
    folder = ROOT / "build" / name
    folder.mkdir(parents=True, exist_ok=True)
    fleet = make_examples.local_fleet(
        HOST, base_port, base_port + CALLER_OFFSET, base_port + PEER_OFFSET,
        base_port + UPSTREAM_OFFSET, entries_per_domain, policy)
    deployment = Deployment(
        folder, fleet, f"{HOST}:{base_port}",
        [f"{HOST}:{base_port + UPSTREAM_OFFSET + 10 * index}" for index in range(3)],
        [entry.caller_address for entry in fleet.entries])
    try:
        start_processes(deployment)
    except BaseException:
        stop(deployment)
        raise
    return deployment


def start_processes(deployment):
    deadline = time.monotonic() + START_TIMEOUT_S
    start_process(deployment, "platform", BIN / "cassiahub-platform-standin",
                  "--listen", deployment.platform)
    for domain, address in zip(deployment.fleet.domains, deployment.upstreams):
        start_process(deployment, f"upstreams-{domain}",
                      BIN / "cassiahub-upstream-standin",
                      "--first-port", address.split(":")[1], "--count", 4,
                      "--connections", UPSTREAM_CONNECTIONS)
    wait_until_ready(deployment.platform, "/stats", "platform stand-in", deadline)
    for address in deployment.upstreams:
        wait_until_ready(address, "/stats", "upstream stand-in", deadline)
    fleet_path = deployment.folder / "fleet.ini"
    fleet_path.write_text(make_examples.fleet_text(deployment.fleet))
    subprocess.run([BIN / "cassiahubctl", "config", "init", "--platform",
                    deployment.platform, fleet_path], check=True,
                   stdout=subprocess.DEVNULL)
    put_instances(deployment)
    with_secret = accepts_secret(deployment, deployment.fleet.entries[0])
    for entry in deployment.fleet.entries:
        path = deployment.folder / f"entry-{entry.name}.ini"
        path.write_text(make_examples.entry_text(entry, with_secret))
        start_process(deployment, f"entry-{entry.name}", BIN / "cassiahub-entry",
                      "--settings", path)
    for entry in deployment.fleet.entries:
        wait_until_ready(entry.caller_address, "/readyz", f"entry instance {entry.name}",
                         deadline)
    wait_for_jobs(deployment, deadline)


def submit(address, tenant, key, body, home_domain=None, timeout=30):
    headers = {"Cassiahub-Tenant": tenant, "Idempotency-Key": key}
    if home_domain:
        headers["Cassiahub-Home-Domain"] = home_domain
    return request(address, "POST", "/v1/jobs", body, headers, timeout)


def wait_for_jobs(deployment, deadline):
    """Waits until every instance completes a job of every failure domain. An instance
    becomes ready before all key shards have an owner, and refuses the jobs of a shard
    without an owner before any task runs."""
    body = make_examples.job_text("levy-validation", 5000, ["run_ms=1"])
    for attempt in itertools.count():
        responses = [submit(address, "tausi", f"warm-up-{attempt}-{index}-{domain}", body,
                            domain)
                     for index, address in enumerate(deployment.entries)
                     for domain in deployment.fleet.domains]
        refused = [text for status, text in responses if status != 200]
        if not refused:
            return
        if time.monotonic() > deadline:
            raise RuntimeError(f"jobs are still refused: {refused[0]}")
        time.sleep(0.2)


def stop(deployment, entries_first=True):
    """Stops all processes and returns their exit codes. Entry instances stop gracefully
    only while the other processes run, which entries_first ensures."""
    exit_codes = {}
    groups = [True, False] if entries_first else [None]
    for is_entry in groups:
        chosen = {name: process for name, process in deployment.processes.items()
                  if is_entry is None or name.startswith("entry-") == is_entry}
        for process in chosen.values():
            if process.poll() is None:
                process.send_signal(signal.SIGTERM)
        for name, process in chosen.items():
            try:
                exit_codes[name] = process.wait(STOP_TIMEOUT_S)
            except subprocess.TimeoutExpired:
                process.kill()
                exit_codes[name] = process.wait()
                print(f"{name} did not stop in {STOP_TIMEOUT_S} s and was killed",
                      file=sys.stderr)
    deployment.processes.clear()
    return exit_codes


def cpu_seconds(process):
    """Processor time of a running process so far."""
    fields = pathlib.Path(f"/proc/{process.pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def count_starts(deployment):
    return sum(get_json(address, "/stats?upstream=all")["starts"]
               for address in deployment.upstreams)


def list_starts(deployment):
    """Every task start that the upstream stand-ins still list."""
    starts = []
    for address in deployment.upstreams:
        after = 0
        while True:
            page = get_json(address, f"/starts?upstream=all&after={after}")
            if not page:
                break
            starts += page
            after = page[-1]["sequence"]
    return starts


def count_job_starts(deployment, key):
    return sum(start["job"].endswith("/" + key) for start in list_starts(deployment))


def exit_on_stop_signals():
    """Exits on SIGTERM and SIGHUP, so that the cleanup of the script runs."""
    for number in (signal.SIGTERM, signal.SIGHUP):
        signal.signal(number, lambda *_: sys.exit(1))

"""Benchmarks a deployment on loopback and writes build/report.json."""

import argparse
import dataclasses
import json
import os
import subprocess
import sys
import time

import deployment as dep
import make_examples

BASE_PORT = int(os.environ.get("CASSIAHUB_BENCH_PORT", "18400"))
REPORT = dep.ROOT / "build" / "report.json"
FLEET_SLOTS = 96
FLOOD_FACTOR = 3  # load of a flood as a multiple of the fleet capacity
URGENT_KINDS = ("lodgement", "pattern-check")
LEAST_URGENT, MOST_URGENT = "bulk-report", "lodgement"
EXPERIMENT_LIMIT_S = 60
MEASURES = ("response_ratio_p50", "response_ratio_p99", "good_share", "wasted_ratio",
            "flood_retention_least_urgent", "flood_retention_most_urgent", "violations")


@dataclasses.dataclass
class Lengths:
    """Lengths of the parts, in seconds unless noted."""
    steady: int
    normal: int  # normal load before, between and after the floods
    flood: int
    cost: int
    probes: int  # number of direct calls, and of jobs, that cassiahub-load probe sends
    longest_deadline: int
    virtual: int  # virtual time of cassiahub-experiment


DEFAULT = Lengths(steady=40, normal=10, flood=20, cost=8, probes=500, longest_deadline=20,
                  virtual=20)
QUICK = Lengths(steady=5, normal=3, flood=3, cost=3, probes=100,
                longest_deadline=4, virtual=5)


def both_mixes(longest_deadline):
    """Both users' load mixes at half their rates, together 70% of the fleet capacity."""
    return [dataclasses.replace(
                kind, rate=kind.rate / 2,
                deadline=f"{min(int(kind.deadline[:-1]), longest_deadline)}s")
            for kind in make_examples.tausi_mix() + make_examples.ente_mix()]


def mean_busy_slots(kind):
    """Mean number of slots that one kind keeps busy, from cassiahub-load check."""
    path = dep.ROOT / "build" / "bench-kind.ini"
    path.write_text(make_examples.load_text("One kind.", [kind], "10s"))
    text = subprocess.run([dep.BIN / "cassiahub-load", "check", path], check=True,
                          capture_output=True).stdout.decode()
    return float(text.split(",")[1].split()[0])


def run_load(deployment, name, mix, length, floods=(), senders=1200):
    plan = deployment.folder / f"{name}.ini"
    report = deployment.folder / f"{name}.json"
    plan.write_text(make_examples.load_text(
        f"Written by scripts/bench: {name}.", mix, f"{length}s",
        targets=deployment.entries, upstreams=deployment.upstreams, floods=floods,
        senders=senders, progress="15s"))
    subprocess.run([dep.BIN / "cassiahub-load", "run", plan, "--report", report,
                    "--plot", report.with_suffix(".svg")], check=True)
    return json.loads(report.read_text())


def make_flood(name, mix, start, length):
    kind = next(kind for kind in mix if kind.name == name)
    factor = FLOOD_FACTOR * FLEET_SLOTS / mean_busy_slots(kind)
    return (name, name, factor, f"{start}s", f"{length}s")


def worst_urgent_kind(report, member):
    return max(report["kinds"][kind][member] for kind in URGENT_KINDS)


def measure_policy(policy, lengths):
    mix = both_mixes(lengths.longest_deadline)
    deployment = dep.start(f"bench-{policy or 'only'}", BASE_PORT, policy=policy)
    try:
        steady = run_load(deployment, "steady", mix, lengths.steady)
        second_flood_start = 2 * lengths.normal + lengths.flood
        floods = [make_flood(LEAST_URGENT, mix, lengths.normal, lengths.flood),
                  make_flood(MOST_URGENT, mix, second_flood_start, lengths.flood)]
        flooded = run_load(deployment, "floods", mix,
                           3 * lengths.normal + 2 * lengths.flood, floods)
    finally:
        dep.stop(deployment, entries_first=False)
    return {
        "response_ratio_p50": worst_urgent_kind(steady, "response_ratio_p50"),
        "response_ratio_p99": worst_urgent_kind(steady, "response_ratio_p99"),
        "good_share": min(kind["good_share"] for kind in steady["kinds"].values()),
        "wasted_ratio": steady["wasted_ratio"],
        "flood_retention_least_urgent": flooded["floods"][LEAST_URGENT]["retention"],
        "flood_retention_most_urgent": flooded["floods"][MOST_URGENT]["retention"],
        "violations": steady["violations"] + flooded["violations"],
    }


def measure_cost(lengths):
    """Measures the added latency, and task starts per second and core, with one entry
    instance per failure domain."""
    deployment = dep.start("bench-cost", BASE_PORT, entries_per_domain=1)
    try:
        probe = json.loads(subprocess.run(
            [dep.BIN / "cassiahub-load", "probe", "--entry", deployment.entries[0],
             "--upstream", deployment.upstreams[0], "--tenant", "tausi", "--kind",
             "levy-validation", "--count", str(lengths.probes)],
            check=True, capture_output=True).stdout)
        short = [make_examples.KindLoad("levy-validation", 60, "10s", True, "20:1",
                                        "5ms:1", "tausi:1")]
        entries = [process for name, process in deployment.processes.items()
                   if name.startswith("entry-")]
        before = sum(map(dep.cpu_seconds, entries)), dep.count_starts(deployment)
        run_load(deployment, "short-tasks", short, lengths.cost)
        used = sum(map(dep.cpu_seconds, entries)) - before[0]
        starts = dep.count_starts(deployment) - before[1]
    finally:
        dep.stop(deployment, entries_first=False)
    return {"added_p50_ms": probe["added_p50_ms"], "added_p99_ms": probe["added_p99_ms"],
            "probe_failures": probe["failed"], "starts": starts, "cpu_seconds": used,
            "starts_per_second_and_core": starts / used if used > 0 else 0}


def run_experiment(seconds):
    """Runs cassiahub-experiment, which runs the decision core in virtual time. Returns its
    report."""
    program = dep.BIN / "cassiahub-experiment"
    if not program.exists():
        return {"ran": False, "reason": "build/bin/cassiahub-experiment does not exist"}
    try:
        ran = subprocess.run([program, "--seconds", str(seconds)], capture_output=True,
                             check=False, timeout=EXPERIMENT_LIMIT_S)
    except subprocess.TimeoutExpired:
        return {"ran": False, "reason": f"timed out after {EXPERIMENT_LIMIT_S} s"}
    if ran.returncode != 0:
        return {"ran": False, "reason": f"exit code {ran.returncode}"}
    return {"ran": True, "virtual_seconds": seconds, **json.loads(ran.stdout)}


def supports_policies():
    """Whether the build accepts the key policy in a fleet document."""
    path = dep.ROOT / "build" / "bench-policy.ini"
    path.write_text(make_examples.fleet_text(make_examples.local_fleet(policy="fair")))
    return subprocess.run([dep.BIN / "cassiahubctl", "config", "check", path],
                          capture_output=True, check=False).returncode == 0


def print_rows(title, columns, rows):
    names = [name for name in ("current", "baseline") if name in columns]
    print(f"\n{title:32}" + "".join(f"{name:>14}" for name in names))
    for row in rows:
        values = [columns[name].get(row) for name in names]
        print(f"{row:32}" + "".join(
            f"{value:14.3f}" if value is not None else f"{'-':>14}" for value in values))


def print_table(report):
    print_rows("over HTTP", report, MEASURES)
    print_rows("in virtual time", report["experiment"], MEASURES)
    if not report["experiment"]["ran"]:
        print(f"not run: {report['experiment']['reason']}")
    print()
    for name, value in report["cost"].items():
        print(f"{name:32}{value:14.3f}")


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--quick", action="store_true",
                        help="shorten every part, for trials")
    parser.add_argument("--no-experiment", action="store_true",
                        help="do not run cassiahub-experiment")
    arguments = parser.parse_args()
    lengths = QUICK if arguments.quick else DEFAULT
    dep.exit_on_stop_signals()
    begin = time.monotonic()
    report = {"quick": arguments.quick, "current": measure_policy(
        "fair" if supports_policies() else "", lengths)}
    if supports_policies():
        report["baseline"] = measure_policy("baseline", lengths)
    report["cost"] = measure_cost(lengths)
    report["experiment"] = (
        {"ran": False, "reason": "--no-experiment was given"} if arguments.no_experiment
        else run_experiment(lengths.virtual))
    report["seconds"] = time.monotonic() - begin
    REPORT.write_text(json.dumps(report, indent=2) + "\n")
    print_table(report)
    print(f"{report['seconds']:.0f} s; {REPORT}")
    return 0


if __name__ == "__main__":
    sys.exit(main())

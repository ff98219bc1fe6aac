"""Measures costs at several sizes, fits them, extrapolates them to the design size and
writes build/capacity.json."""

import argparse
import collections
import datetime
import json
import math
import os
import pathlib
import subprocess
import sys
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent
BIN = ROOT / "build" / "bin"
REPORT = ROOT / "build" / "capacity.json"
MEASUREMENT_LIMIT_S = 170  # of all measurements together

# Design size of docs/design.md section 1.6, with the deployment of docs/CAPACITY.md.
DESIGN = {"upstreams": 7400, "domains": 15, "tenants": 670, "starts": 580_000,
          "changes_per_day": 19_000, "mean_tasks_per_job": 10}
ENTRY_COUNTS = (105, 225, 450, 900)  # numbers of entry instances to compare
DECISION_SIZES = [(17, 670), (50, 670), (200, 670), (500, 670), (2000, 670), (7400, 670),
                  (500, 1), (500, 10), (500, 100)]
# Prefixes of the series whose cost is expected to grow with the logarithm of the size.
LOGARITHMIC_SERIES = ("decision.",)
MAX_CONTROL_CPU_US = 36_000  # per instance and second: 3.6% of a core
MAX_CONTROL_BYTES = 9_000  # per instance and second
MAX_MEMORY_BYTES = 256 << 20  # per instance
RESUBMISSION_WINDOW_S = 600
# ownership::answer_memory_limit, and the sizes that answer_size() adds up: the struct and,
# for each result, a string object and its text, which has 64 B in the benchmark.
ANSWER_LIMIT_BYTES = 64 << 20
ANSWER_BYTES = 56
RESULT_BYTES = 32 + 64


def fit(points, transform):
    """Least-squares fit of y = intercept + slope * transform(x)."""
    xs = [transform(x) for x, _ in points]
    ys = [y for _, y in points]
    mean_x, mean_y = sum(xs) / len(xs), sum(ys) / len(ys)
    spread = sum((x - mean_x) ** 2 for x in xs)
    slope = (sum((x - mean_x) * (y - mean_y) for x, y in zip(xs, ys)) / spread
             if spread else 0.0)
    intercept = mean_y - slope * mean_x
    squares = sum((y - intercept - slope * x) ** 2 for x, y in zip(xs, ys))
    error = math.sqrt(squares / (len(points) - 2)) if len(points) > 2 else 0.0
    return {"slope": slope, "intercept": intercept, "error": error}


def fit_series(name, points):
    logarithmic = name.startswith(LOGARITHMIC_SERIES)
    result = fit(points, math.log2 if logarithmic else float)
    result.update(form="log2" if logarithmic else "line", points=points)
    return result


def value_at(fitted, x):
    """Returns the measured value at x, or the fitted value if x was not measured."""
    for measured, value in fitted["points"]:
        if measured == x:
            return value
    scaled = math.log2(x) if fitted["form"] == "log2" else x
    return fitted["intercept"] + fitted["slope"] * scaled


def remaining(deadline):
    return max(1.0, deadline - time.monotonic())


def measure_decisions(deadline):
    series = collections.defaultdict(list)
    for upstreams, tenants in DECISION_SIZES:
        output = subprocess.run(
            [BIN / "dispatch_bench", str(upstreams), str(tenants)], check=True,
            capture_output=True, timeout=remaining(deadline)).stdout.decode()
        microseconds = float(output.split()[-1])
        if tenants == 670:
            series["decision.us_by_upstreams"].append((upstreams, microseconds))
        if upstreams == 500:
            series["decision.us_by_tenants"].append((tenants, microseconds))
    series["decision.us_by_tenants"].sort()
    return series


def measure_instance(deadline):
    series = collections.defaultdict(list)
    output = subprocess.run([BIN / "codec_capacity_bench"], check=True,
                            capture_output=True,
                            timeout=remaining(deadline)).stdout.decode()
    for line in output.splitlines():
        name, x, value = line.split()
        series[name].append((float(x), float(value)))
    return series


def largest_size_value(series, name):
    """Returns the value at the largest measured size."""
    return series[name][-1][1]


def control_costs(fits, series, entries):
    """Costs per second of one idle instance at the design size, without socket I/O."""
    changes = DESIGN["changes_per_day"] / 86_400
    listed = DESIGN["upstreams"] + entries
    members = entries // DESIGN["domains"]
    sections = series["document.bytes"][-1][0]
    document = largest_size_value(series, "document.bytes")

    def at(name, x):
        return value_at(fits[name], x)

    shards = 2 * members
    per_domain_us = sum(fits[f"other_domains.{part}"]["slope"]
                        for part in ("decision_us", "peer_codec_us"))
    per_domain_bytes = fits["other_domains.heartbeat_bytes_out"]["slope"]
    others = DESIGN["domains"] - 1
    notices = at("notices_per_change.count", members)
    return {
        "cpu_us": {
            "decision and peer messages": at("members_idle.decision_us", members)
            + at("members_idle.peer_codec_us", members) + others * per_domain_us,
            "store bodies": at("members_idle.store_codec_us", members),
            "instance list poll": at("instance_list.us", listed),
            "document parse and apply": changes * (at("document.parse_us", sections)
                                                   + at("document.apply_us", sections)),
        },
        "bytes": {
            "heartbeats sent": at("members_idle.heartbeat_bytes_out", members)
            + others * per_domain_bytes,
            "heartbeats received": at("members_idle.bytes_in", members)
            + others * fits["other_domains.bytes_in"]["slope"],
            "lease reads": at("shards.store_read_bytes", shards),
            "lease renewals": at("members_idle.store_write_bytes", members),
            "configuration polls": largest_size_value(series, "poll.unchanged_bytes")
            + changes * largest_size_value(series, "poll.change_bytes"),
            "instance list polls": at("instance_list.bytes", listed),
            "configuration notices sent": changes * notices * document,
        },
    }


def work_costs(fits, entries):
    """Costs per second of one instance under the peak load, without socket I/O."""
    jobs = DESIGN["starts"] / DESIGN["mean_tasks_per_job"] / entries
    tasks_us = fits["tasks_per_job.decision_us"]["slope"] / 20  # measured at 20 jobs/s
    return {
        "starts": DESIGN["starts"] / entries,
        "jobs": jobs,
        "decision_us": jobs * fits["jobs.decision_us"]["slope"],
        "decision_us_per_job_of_10": fits["jobs.decision_us"]["slope"],
        "decision_us_per_further_task": tasks_us,
        "store_codec_us": jobs * fits["jobs.store_codec_us"]["slope"],
        "forwarded_job_bytes": jobs * value_at(fits["forwarded_job.bytes"],
                                               DESIGN["mean_tasks_per_job"]),
        "store_rows": 2 * jobs,
    }


def memory_costs(fits, series, entries):
    """Memory of one instance in bytes, by component."""
    jobs = DESIGN["starts"] / DESIGN["mean_tasks_per_job"] / entries
    owned = math.ceil(DESIGN["upstreams"] / entries)
    # Bytes of a job record with 1 and with 10 tasks; the difference is 9 results.
    of_1_task, of_10_tasks = (fits[f"record_memory.jobs_of_{tasks}_tasks"]["slope"]
                              for tasks in (1, 10))
    bytes_per_result = (of_10_tasks - of_1_task) / 9
    bytes_per_key = of_1_task - bytes_per_result
    results_per_job = DESIGN["mean_tasks_per_job"]
    jobs_in_window = jobs * RESUBMISSION_WINDOW_S
    kept_answers = min(jobs_in_window, ANSWER_LIMIT_BYTES /
                       (ANSWER_BYTES + results_per_job * RESULT_BYTES))
    return {
        "owned upstreams": owned * fits["dispatch_memory.owned_upstreams"]["slope"],
        "known upstreams": DESIGN["upstreams"]
        * fits["dispatch_memory.known_upstreams"]["slope"],
        "tenants": DESIGN["tenants"] * fits["dispatch_memory.tenants"]["slope"],
        "20,000 queued tasks": 20_000 * fits["dispatch_memory.queued_tasks"]["slope"],
        "job keys of the window": jobs_in_window * bytes_per_key,
        "answers of the window, as limited":
            kept_answers * bytes_per_result * results_per_job,
        "parsed document": largest_size_value(series, "document.memory"),
        "document text, twice": 2 * largest_size_value(series, "document.bytes"),
        "listed instances": (DESIGN["upstreams"] + entries)
        * fits["instance_list.memory"]["slope"],
        "256 waiting threads": 256 * fits["thread_memory.waiting"]["slope"],
    }


def store_load(series, fits, entries):
    """Requests per second of the whole fleet to the store."""
    changes = DESIGN["changes_per_day"] / 86_400
    members = entries // DESIGN["domains"]
    jobs = DESIGN["starts"] / DESIGN["mean_tasks_per_job"]
    lease_reads = value_at(fits["members_idle.store_reads"], members)
    # From 20 jobs/s on, the token bucket of the instance limits its writes.
    busy_writes = min(jobs / entries,
                      max(value for _, value in series["jobs.store_writes"]))
    return {
        "lease reads": entries * lease_reads,
        "configuration polls": entries * 1.0,
        "instance list polls": entries * 1.0,
        "lease renewals (idle)": entries * series["jobs.store_writes"][0][1],
        "record writes (peak)": entries * busy_writes,
        "record rows (peak)": 2 * jobs,
        "configuration edits": changes,
    }


def compare(fits, series, entries):
    """Figures for choosing the number of entry instances."""
    control = control_costs(fits, series, entries)
    store = store_load(series, fits, entries)
    return {
        "members of a domain": entries // DESIGN["domains"],
        "starts a second": DESIGN["starts"] / entries,
        "slots at 8 an upstream": 8 * DESIGN["upstreams"] / entries,
        "memory, MB": sum(memory_costs(fits, series, entries).values()) / 1e6,
        "control CPU, % of a core": sum(control["cpu_us"].values()) / 1e4,
        "decisions at peak, % of a core": work_costs(fits, entries)["decision_us"] / 1e4,
        "heartbeats sent, KB/s": control["bytes"]["heartbeats sent"] / 1e3,
        "lease reads, KB/s": control["bytes"]["lease reads"] / 1e3,
        "fleet: store reads a second": store["lease reads"]
        + store["configuration polls"] + store["instance list polls"],
        "fleet: idle renewals a second": store["lease renewals (idle)"],
        "fleet: record writes a second": store["record writes (peak)"],
    }


def print_entry_count_comparison(choices):
    print(f"\n{'entry instances':36}" + "".join(f"{entries:>12}" for entries in choices))
    for row in next(iter(choices.values())):
        print(f"  {row:34}" + "".join(f"{values[row]:>12,.1f}"
                                      for values in choices.values()))


def is_constant(fitted):
    return len({value for _, value in fitted["points"]}) == 1


def print_fits(fits):
    print(f"{'series':38}{'form':>6}{'points':>7}{'from':>9}{'to':>9}{'slope':>14}"
          f"{'intercept':>14}{'error':>12}")
    for name, fitted in fits.items():
        points = fitted["points"]
        if is_constant(fitted):
            continue
        print(f"{name:38}{fitted['form']:>6}{len(points):>7}{points[0][0]:>9g}"
              f"{points[-1][0]:>9g}{fitted['slope']:>14.5g}{fitted['intercept']:>14.5g}"
              f"{fitted['error']:>12.3g}")
    print("\nconstant series:")
    for name, fitted in fits.items():
        if is_constant(fitted):
            print(f"{name:38}{fitted['points'][0][1]:>14g}")


def print_part(title, values, bound=None):
    print(f"\n{title}")
    for name, value in values.items():
        print(f"  {name:36}{value:>16,.1f}")
    if bound is not None:
        total = sum(values.values())
        verdict = "inside" if total <= bound else "MISSED"
        print(f"  {'total':36}{total:>16,.1f}   bound {bound:,} {verdict}")


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--entries", type=int, default=450,
                        help="number of entry instances in the fleet (default 450)")
    arguments = parser.parse_args()
    begin = time.monotonic()
    load_before = os.getloadavg()[0]
    series = measure_instance(begin + MEASUREMENT_LIMIT_S)
    series.update(measure_decisions(begin + MEASUREMENT_LIMIT_S))
    fits = {name: fit_series(name, points) for name, points in series.items()
            if len(points) > 2}
    design = {
        "control": control_costs(fits, series, arguments.entries),
        "work": work_costs(fits, arguments.entries),
        "memory": memory_costs(fits, series, arguments.entries),
        "store": store_load(series, fits, arguments.entries),
    }
    choices = {entries: compare(fits, series, entries) for entries in ENTRY_COUNTS}
    report = {"date": datetime.datetime.now(datetime.timezone.utc).isoformat(),
              "seconds": time.monotonic() - begin, "load_average": load_before,
              "entries": arguments.entries, "design": DESIGN, "fits": fits,
              "single_points": {name: points for name, points in series.items()
                                if len(points) <= 2},
              "at_design_size": design, "choices": choices}
    REPORT.write_text(json.dumps(report, indent=2) + "\n")
    print_fits(fits)
    print(f"\nAt the design size with {arguments.entries} entry instances, extrapolated:")
    print_part("control-plane work of one instance, us of processor time per second",
               design["control"]["cpu_us"], MAX_CONTROL_CPU_US)
    print_part("control-plane work of one instance, bytes per second",
               design["control"]["bytes"], MAX_CONTROL_BYTES)
    print_part("work of one instance, per second", design["work"])
    print_part("memory of one instance, bytes", design["memory"], MAX_MEMORY_BYTES)
    print_part("store requests of the fleet, per second", design["store"])
    print_entry_count_comparison(choices)
    print(f"\n{report['seconds']:.0f} s, load average {load_before:.1f} before; {REPORT}")
    return 0


if __name__ == "__main__":
    sys.exit(main())

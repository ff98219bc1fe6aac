"""Runs jobs through a deployment on loopback and prints the result of each check."""

import collections
import json
import os
import subprocess
import sys
import time

import deployment as dep
import make_examples

BASE_PORT = int(os.environ.get("CASSIAHUB_DEMO_PORT", "18000"))
LARGE_JOB_TASKS = 230


def results_match(text, key, payloads):
    expected = [f"{key}/{index}:{payload}" for index, payload in enumerate(payloads)]
    return json.loads(text)["results"] == expected


def check_file_jobs(deployment):
    """Submits each job file with cassiahubctl, each to a different instance."""
    folder = dep.ROOT / "examples" / "local"
    jobs = [("levy-validation", "tausi"), ("lodgement", "tausi"),
            ("pattern-check", "ente"), ("cut-booking", "ente")]
    answered_jobs = 0
    for index, (name, tenant) in enumerate(jobs):
        ran = subprocess.run(
            [dep.BIN / "cassiahubctl", "job", "--entry", deployment.entries[index],
             "--tenant", tenant, "--key", f"demo-{name}", "submit",
             folder / f"{name}.json"], capture_output=True, check=False, timeout=30)
        answered_jobs += ran.returncode == 0
        if ran.returncode != 0:
            print(f"{name}: {ran.stderr.decode().strip()}", file=sys.stderr)
    return answered_jobs == len(jobs), f"{answered_jobs} of {len(jobs)} answered"


def check_every_instance(deployment):
    answered = 0
    for index, address in enumerate(deployment.entries):
        payloads = [f"run_ms=60 instance {index}"]
        status, text = dep.submit(address, "tausi", f"demo-entry-{index}",
                              make_examples.job_text("levy-validation", 5000, payloads))
        answered += status == 200 and results_match(text, f"demo-entry-{index}", payloads)
    return answered == len(deployment.entries), \
        f"{answered} of {len(deployment.entries)} instances answered"


def check_large_job(deployment):
    payloads = [f"run_ms={50 + index % 50} part {index}"
                for index in range(LARGE_JOB_TASKS)]
    start = time.monotonic()
    status, text = dep.submit(deployment.entries[-1], "tausi", "demo-large",
                          make_examples.job_text("levy-validation", 15000, payloads))
    elapsed = time.monotonic() - start
    if status != 200:
        return False, f"{status} {text.strip()}"
    results_complete = results_match(text, "demo-large", payloads)
    starts = dep.count_job_starts(deployment, "demo-large")
    return results_complete and starts == LARGE_JOB_TASKS, \
        f"{LARGE_JOB_TASKS} results in order in {elapsed:.2f} s, {starts} starts"


def check_resubmission(deployment):
    """Submits a job again to an instance of another failure domain."""
    body = make_examples.job_text("lodgement", 8000, ["run_ms=200 lodgement once"])
    first = dep.submit(deployment.entries[0], "tausi", "demo-again", body)
    second = dep.submit(deployment.entries[3], "tausi", "demo-again", body)
    starts = dep.count_job_starts(deployment, "demo-again")
    same = first[0] == second[0] == 200 and first[1] == second[1]
    return same and starts == 1, \
        f"answers {first[0]} and {second[0]}, {'same' if same else 'different'}, " \
        f"{starts} start{'' if starts == 1 else 's'}"


def check_refusal(deployment):
    body = make_examples.job_text("levy-validation", 5000, ["run_ms=50 too large"],
                                  millicores=900_000)
    status, text = dep.submit(deployment.entries[1], "tausi", "demo-never", body)
    problem = json.loads(text) if status else {}
    starts = dep.count_job_starts(deployment, "demo-never")
    return status == 422 and problem.get("ran") == "no" and starts == 0, \
        f"{status} {problem.get('code')}, ran: {problem.get('ran')}, {starts} starts"


def check_starts(deployment):
    starts = collections.Counter((start["job"], start["task"])
                                 for start in dep.list_starts(deployment))
    repeated = sum(count > 1 for count in starts.values())
    return repeated == 0, f"{starts.total()} starts, {repeated} tasks started again"


CHECKS = [
    ("job files through four instances", check_file_jobs),
    ("a job through each instance", check_every_instance),
    (f"a job of {LARGE_JOB_TASKS} tasks", check_large_job),
    ("a resubmission through another instance", check_resubmission),
    ("a job that fits no worker", check_refusal),
    ("task starts counted by the workers", check_starts),
]


def main():
    dep.exit_on_stop_signals()
    begin = time.monotonic()
    deployment = dep.start("demo", BASE_PORT)
    rows = []
    try:
        print(f"{len(deployment.entries)} entry instances, "
              f"{len(deployment.fleet.upstreams)} upstreams, "
              f"{len(deployment.fleet.domains)} failure domains, ready in "
              f"{time.monotonic() - begin:.1f} s")
        for title, check in CHECKS:
            passed, detail = check(deployment)
            rows.append((title, passed, detail))
    finally:
        exit_codes = dep.stop(deployment)
    rows.append(("every process stops with exit code 0",
                 all(code == 0 for code in exit_codes.values()),
                 f"{len(exit_codes)} processes"))
    for title, passed, detail in rows:
        print(f"  {'ok' if passed else 'FAIL':4}  {title:40}  {detail}")
    print(f"{time.monotonic() - begin:.1f} s; logs and settings in {deployment.folder}")
    return 0 if all(passed for _, passed, _ in rows) else 1


if __name__ == "__main__":
    sys.exit(main())

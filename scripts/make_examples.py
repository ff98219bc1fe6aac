#!/usr/bin/env python3
"""Writes the example deployments under examples/: fleet documents, settings of each
entry instance, load plans and job files. Rerun it after changing its data."""

import dataclasses
import json
import pathlib

ROOT = pathlib.Path(__file__).resolve().parent.parent

# Salted hash of "local-example-key", the key of all example teams.
EXAMPLE_KEY_HASH = (
    "sha256:5f1c0e7a92d34b68a1c7e0f3d5b29846:"
    "12fde00eaf346540ab6aa574f2b6c09ce9c9973ab33c4aa1fb748a195182fcb6"
)
EXAMPLE_PEER_SECRET = "example-secret-replace-before-use"


@dataclasses.dataclass
class Kind:
    name: str
    team: str
    urgency: int
    share: int
    repeatable: bool


@dataclasses.dataclass
class Upstream:
    name: str
    domain: str
    address: str
    rack: str = ""
    slots: int = 8
    connections: int = 64
    millicores: int = 16_000
    memory_mib: int = 32_768


@dataclasses.dataclass
class Entry:
    name: str
    domain: str
    caller_address: str
    peer_address: str
    platform_address: str


@dataclasses.dataclass
class Fleet:
    comment: str
    teams: list
    region: str
    domains: list
    kinds: list
    tenants: dict  # name: (team, weight)
    upstreams: list
    entries: list
    owner: str  # team of domains and upstreams
    policy: str = ""


def fleet_text(fleet):
    lines = [f"; {line}" for line in fleet.comment.splitlines()]

    def section(name, **values):
        lines.append(f"[{name}]")
        lines.extend(f"{key} = {value}" for key, value in values.items())
        lines.append("")

    for team in fleet.teams:
        section(f"team.{team}", key_hash=EXAMPLE_KEY_HASH)
    dispatch = {"max_attempts": 3}
    if fleet.policy:
        dispatch["policy"] = fleet.policy
    section("dispatch", **dispatch)
    for domain in fleet.domains:
        section(f"domain.{domain}", owner=fleet.owner, region=fleet.region)
    for kind in fleet.kinds:
        section(
            f"kind.{kind.name}",
            owner=kind.team,
            urgency=kind.urgency,
            share=kind.share,
            repeatable="yes" if kind.repeatable else "no",
        )
    for name, (team, weight) in fleet.tenants.items():
        section(f"tenant.{name}", owner=team, weight=weight)
    for upstream in fleet.upstreams:
        values = {
            "owner": fleet.owner,
            "address": upstream.address,
            "domain": upstream.domain,
        }
        if upstream.rack:
            values["rack"] = upstream.rack
        section(
            f"upstream.{upstream.name}",
            **values,
            slots=upstream.slots,
            connections=upstream.connections,
            millicores=upstream.millicores,
            memory_mib=upstream.memory_mib,
        )
    return "\n".join(lines)


def entry_text(entry, with_secret):
    lines = [
        "[entry]",
        f"instance = {entry.name}",
        f"domain = {entry.domain}",
        f"caller_address = {entry.caller_address}",
        f"peer_address = {entry.peer_address}",
        f"platform_address = {entry.platform_address}",
    ]
    if with_secret:
        lines.append(f"peer_secret = {EXAMPLE_PEER_SECRET}")
    return "\n".join(lines) + "\n"


def tausi_kinds():
    return [
        Kind("lodgement", "returns", 0, 30, False),
        Kind("levy-validation", "returns", 1, 35, True),
        Kind("levy-computation", "returns", 2, 25, True),
        Kind("bulk-report", "reports", 8, 10, True),
    ]


def ente_kinds():
    return [
        Kind("pattern-check", "ateliers", 0, 40, True),
        Kind("cut-booking", "ateliers", 1, 25, False),
        Kind("order-storage", "orders", 1, 25, True),
        Kind("archive-export", "orders", 8, 10, True),
    ]


def make_upstreams(domains, network, cores, memory_gib, count=50, rack_size=8):
    upstreams = []
    per_domain = [count // len(domains)] * len(domains)
    for extra in range(count % len(domains)):
        per_domain[extra] += 1
    for index, domain in enumerate(domains):
        for number in range(per_domain[index]):
            upstreams.append(
                Upstream(
                    name=f"{domain}-upstream-{number + 1:02}",
                    domain=domain,
                    address=f"{network}.{index + 1}.{number + 11}:9000",
                    rack=f"{domain}-rack-{number // rack_size + 1}",
                    millicores=cores * 1000,
                    memory_mib=memory_gib * 1024,
                )
            )
    return upstreams


def make_entries(domains, network, count=8):
    entries = []
    for number in range(count):
        index = number % len(domains)
        host = f"{network}.{index + 1}.{number // len(domains) + 1}"
        entries.append(
            Entry(
                name=f"{domains[index]}-{number // len(domains) + 1}",
                domain=domains[index],
                caller_address=f"{host}:8080",
                peer_address=f"{host}:8180",
                platform_address=f"{network}.0.1:8500",
            )
        )
    return entries


def tausi_fleet():
    domains = ["nairobi-east", "nairobi-west", "thika"]
    return Fleet(
        comment="Tausi Filings Group: levy returns around Nairobi and Thika.\n"
        "50 upstreams, each before a worker of 16 cores and 32 GB, eight to a rack.",
        teams=["platform", "returns", "reports"],
        region="central-kenya",
        domains=domains,
        kinds=tausi_kinds(),
        tenants={
            "tausi": ("returns", 4),
            "mavuno-bureau": ("returns", 2),
            "kilele-bureau": ("returns", 1),
            "rutuba-bureau": ("returns", 1),
        },
        upstreams=make_upstreams(domains, "10.20", 16, 32),
        entries=make_entries(domains, "10.20"),
        owner="platform",
    )


def ente_fleet():
    domains = ["palermo", "catania", "messina"]
    return Fleet(
        comment="Ente Sartoriale Regionale di Sicilia: made-to-measure suits.\n"
        "50 upstreams, each before a worker of 32 cores and 64 GB, eight to a rack.",
        teams=["platform", "ateliers", "orders"],
        region="sicilia",
        domains=domains,
        kinds=ente_kinds(),
        tenants={
            "ente": ("orders", 2),
            "sartorie-palermo": ("ateliers", 2),
            "sartorie-catania": ("ateliers", 2),
            "sartorie-messina": ("ateliers", 1),
        },
        upstreams=make_upstreams(domains, "10.30", 32, 64),
        entries=make_entries(domains, "10.30"),
        owner="platform",
    )


def local_fleet(host="127.0.0.1", platform=8500, caller=8081, peer=8181, upstream=9000,
                entries_per_domain=2, policy=""):
    """Fleet on one machine: three failure domains with four upstreams each, and the kinds
    and tenants of both users."""
    domains = ["north", "centre", "south"]
    entries = []
    for index, domain in enumerate(domains):
        for number in range(entries_per_domain):
            position = index * entries_per_domain + number
            entries.append(
                Entry(f"{domain}-{number + 1}", domain, f"{host}:{caller + position}",
                      f"{host}:{peer + position}", f"{host}:{platform}")
            )
    kinds = [dataclasses.replace(kind, team="platform")
             for kind in tausi_kinds() + ente_kinds()]
    return Fleet(
        comment="One machine: three failure domains, two entry instances each.\n"
        'The key of team platform is "local-example-key".',
        teams=["platform"],
        region="local",
        domains=domains,
        kinds=kinds,
        tenants={name: ("platform", weight) for name, weight in
                 [("tausi", 4), ("mavuno-bureau", 2), ("ente", 2),
                  ("sartorie-palermo", 2)]},
        upstreams=[
            Upstream(f"{domain}-upstream-{number}", domain,
                     f"{host}:{upstream + 10 * index + number}")
            for index, domain in enumerate(domains) for number in range(4)
        ],
        entries=entries,
        owner="platform",
        policy=policy,
    )


@dataclasses.dataclass
class KindLoad:
    name: str
    rate: float  # jobs per second
    deadline: str
    repeatable: bool
    tasks: str
    run_time: str
    tenants: str


MOSTLY_SHORT = "50ms-1s:97 2s-5s:3"


def tausi_mix(scale=1.0):
    """Job rates that keep about 67 slots busy, 70% of the local deployment."""
    tenants = "tausi:5 mavuno-bureau:3"
    return [
        KindLoad("lodgement", 24.9 * scale, "8s", False, "1:90 2:10", "50ms-1s:100",
                 tenants),
        KindLoad("levy-validation", 15.1 * scale, "10s", True,
                 "1:40 4:30 12:20 40:9 230:1", "50ms-400ms:99 2s-4s:1", tenants),
        KindLoad("levy-computation", 11.1 * scale, "10s", True, "1:50 6:40 20:10",
                 MOSTLY_SHORT, tenants),
        KindLoad("bulk-report", 0.497 * scale, "20s", True, "20:80 100:20", MOSTLY_SHORT,
                 tenants),
    ]


def ente_mix(scale=1.0):
    tenants = "ente:3 sartorie-palermo:5"
    return [
        KindLoad("pattern-check", 37.7 * scale, "6s", True, "1:50 4:40 16:10",
                 "50ms-500ms:100", tenants),
        KindLoad("cut-booking", 30.2 * scale, "8s", False, "1:100", "50ms-1s:100",
                 tenants),
        KindLoad("order-storage", 22.9 * scale, "10s", True, "1:60 3:40", MOSTLY_SHORT,
                 tenants),
        KindLoad("archive-export", 0.823 * scale, "20s", True, "20:90 230:10",
                 MOSTLY_SHORT, tenants),
    ]


def load_text(comment, mix, length, targets=(), upstreams=(), floods=(), seed=1,
              senders=300, resubmit_percent=2, progress="10s"):
    """Returns a load plan. Each flood is (name, kind, factor, start, length)."""
    lines = [f"; {line}" for line in comment.splitlines()]
    lines += ["[load]", f"seed = {seed}", f"length = {length}", f"senders = {senders}",
              f"resubmit_percent = {resubmit_percent}", f"progress = {progress}"]
    if targets:
        lines.append(f"targets = {' '.join(targets)}")
    if upstreams:
        lines.append(f"upstreams = {' '.join(upstreams)}")
    for kind in mix:
        lines += ["", f"[kind.{kind.name}]", f"rate = {kind.rate:.4g}",
                  f"deadline = {kind.deadline}",
                  f"repeatable = {'yes' if kind.repeatable else 'no'}",
                  f"tasks = {kind.tasks}", f"run_time = {kind.run_time}",
                  f"tenants = {kind.tenants}"]
    for name, kind, factor, start, flood_length in floods:
        lines += ["", f"[flood.{name}]", f"kind = {kind}", f"factor = {factor:.4g}",
                  f"start = {start}", f"length = {flood_length}"]
    return "\n".join(lines) + "\n"


def job_text(kind, deadline_ms, payloads, millicores=500, memory_mib=256):
    tasks = [{"payload": payload, "millicores": millicores, "memory_mib": memory_mib}
             for payload in payloads]
    return json.dumps({"kind": kind, "deadline_ms": deadline_ms, "tasks": tasks},
                      indent=2) + "\n"


TAUSI_JOBS = {
    "levy-validation.json": job_text(
        "levy-validation", 5000,
        ["run_ms=80 declaration 1", "run_ms=120 declaration 2",
         "run_ms=100 declaration 3"]),
    "lodgement.json": job_text("lodgement", 8000, ["run_ms=400 lodgement 2026-11"]),
}
ENTE_JOBS = {
    "pattern-check.json": job_text(
        "pattern-check", 4000,
        ["run_ms=60 jacket 4711", "run_ms=90 trousers 4711", "run_ms=50 waistcoat 4711"]),
    "cut-booking.json": job_text("cut-booking", 8000, ["run_ms=300 cloth 88 table 2"]),
}


def write_example(name, fleet, jobs, plans):
    folder = ROOT / "examples" / name
    folder.mkdir(parents=True, exist_ok=True)
    (folder / "fleet.ini").write_text(fleet_text(fleet))
    for entry in fleet.entries:
        (folder / f"entry-{entry.name}.ini").write_text(entry_text(entry, WITH_SECRET))
    for file_name, text in {**jobs, **plans}.items():
        (folder / file_name).write_text(text)


# Versions without peer messages reject the settings key peer_secret.
WITH_SECRET = "peer_secret" in (ROOT / "src/config/process_settings.cpp").read_text()


def main():
    deployment_scale = 50 / 12  # 50 upstreams, compared with 12 in the local fleet
    write_example("tausi", tausi_fleet(), TAUSI_JOBS, {
        "load.ini": load_text(
            "The mix of a working day at 70% load, with a flood of reports.",
            tausi_mix(deployment_scale), "10min",
            targets=[entry.caller_address for entry in tausi_fleet().entries],
            floods=[("closing-day", "bulk-report", 50, "4min", "1min")])})
    write_example("ente", ente_fleet(), ENTE_JOBS, {
        "load.ini": load_text(
            "The mix of a working day at 70% load, with a flood of pattern checks.",
            ente_mix(deployment_scale), "10min",
            targets=[entry.caller_address for entry in ente_fleet().entries],
            floods=[("season-start", "pattern-check", 15, "4min", "1min")])})
    write_example("local", local_fleet(), {**TAUSI_JOBS, **ENTE_JOBS}, {
        "load-tausi.ini": load_text("Tausi's mix at 70% of the local fleet.",
                                    tausi_mix(), "60s"),
        "load-ente.ini": load_text("The Ente's mix at 70% of the local fleet.",
                                   ente_mix(), "60s")})


if __name__ == "__main__":
    main()

"""A configuration adds a queue that another service serves. From then on tasks of the
first queue start on minions of that other service."""
import asyncio
import os
import random
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "standins"))
import deployment as d

ZONES = ["palermo", "catania", "messina"]
HOST = "nony24.example"
FITTING, ARCHIVE = "servizio-prova", "servizio-archivio"
QUEUE, NEW_QUEUE = "/lohu930/", "/pule252/"


async def case(scratch, record, gateways):
    network = d.find_network()
    ip = lambda number: "127.%d.%d.%d" % (*network, number)
    store = d.Store(record)
    await store.start(ip(250), d.find_ports(ip(250), 1)[0])
    fleet = d.Fleet(store, record)
    port = d.find_ports(ip(251), 1)[0]
    for number in range(24):
        minion = d.Minion(fleet, f"i-{random.getrandbits(32):08x}",
                          f"127.{network[0]}.{network[1] + 1}.{number + 1}:{port}",
                          ZONES[number % 3], FITTING if number < 12 else ARCHIVE)
        await minion.start()
        minion.register()
    routes = [d.route("r-fitting", QUEUE, FITTING, 0, HOST)]
    store.put_json("op", "config", d.configuration(1, routes, [FITTING, ARCHIVE]))
    ports = d.find_ports(ip(1), 3)
    for number, zone in enumerate(ZONES):
        gateway = d.Gateway(scratch, f"front-{zone}-1", zone, ip(number + 1), ports, store)
        gateways.append(gateway)
        gateway.start()
    for gateway in gateways:
        await gateway.wait_until_ready()
    asyncio.ensure_future(d.advance_minions(fleet))
    await asyncio.sleep(4)

    def check_start(minion, task):
        # Every job of this case is handed in to QUEUE, which every configuration sends to
        # FITTING alone.
        if minion.service != FITTING:
            record.add_violation(f"ROUTE: {task} of the queue of {FITTING} starts on "
                                 f"{minion.name}, a minion of {minion.service}")

    fleet.on_start = check_start
    answers = []

    async def send_jobs(count):
        jobs = []
        for number in range(count):
            job = f"{random.getrandbits(64):016x}"
            jobs.append(asyncio.ensure_future(d.submit(
                record, gateways[number % 3], HOST, QUEUE, job, d.job_body(2, 60, 4000))))
            await asyncio.sleep(0.05)
        answers.extend(status for status, _ in await asyncio.gather(*jobs))

    await send_jobs(100)
    if d.TROUBLE:
        routes.append(d.route("r-archive", NEW_QUEUE, ARCHIVE, 0, HOST))
        store.put_json("op", "config", d.configuration(2, routes, [FITTING, ARCHIVE]))
        record.write("store: configuration 2 adds a queue of " + ARCHIVE)
    await asyncio.sleep(3)
    await send_jobs(200)
    if answers.count(200) < 200:
        raise d.CannotRun(f"only {answers.count(200)} jobs completed")
    return d.BROKEN if record.broken else d.HELD


d.run_case(case, HERE)

"""Two services. Minions of the larger one are lost for good; later the queue of the smaller
one gets jobs at gateways whose zone has no minion of it."""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standins-2"))
import deployment as d

ROUNDS = 3  # process ends that count as a fault, on two machines
REMOVED_AFTER_S = 4.5  # three heartbeats, then the store removes the entry
LOST_AFTER_S = 3  # time for the gateways to treat a missing entry as gone
RESTART_DELAY_S = 0.5
SMALL, LARGE = "huvo11a", "tasi20b"


async def lose(deployment, minions):
    """The minions are lost for good; the store removes their entries."""
    for minion in minions:
        minion.crash()
    await asyncio.sleep(REMOVED_AFTER_S)
    for minion in minions:
        await deployment.store.put_encoded("servers", minion.name, None, True)
        deployment.record(f"{minion.name}: entry removed")


async def send_jobs(deployment, gateways, cpu):
    """Sends a job of each queue to each gateway. Returns the number of jobs without an
    answer."""
    jobs = [(gateway, prefix) for gateway in gateways for prefix in ("/prova/", "/visite/")]
    answers = await asyncio.gather(*(
        deployment.call(gateway, "POST", prefix, d.new_job(), 5,
                        d.job_document(1, cpu, 200, 200)) for gateway, prefix in jobs))
    return sum(status in (0, None) for status, _ in answers)


async def run(deployment, trouble):
    zones = ["palermo", "catania", "messina"]
    routes = [d.route("r-3hwrr6x", "/visite/", 1, service=SMALL),
              d.route("r-73d3zji", "/prova/", 0, service=LARGE)]
    minions = [("palermo", SMALL)] + [(zone, LARGE) for zone in zones for _ in range(4)]
    await deployment.start(zones, minions, 32_000,
                           d.configuration(7, routes, (SMALL, LARGE)))
    others = deployment.gateways[1:]  # whose zones have no minion of the small service
    ends = {gateway.name: 0 for gateway in others}
    unanswered = await send_jobs(deployment, others, 2_000)
    if unanswered:
        raise d.CannotRun("a job got no answer before the disruption")
    for number in range(ROUNDS):
        if trouble:
            await lose(deployment, [deployment.minions_of(gateway.zone, LARGE)[number]
                                    for gateway in others])
        await asyncio.sleep(LOST_AFTER_S + 1)
        unanswered += await send_jobs(deployment, others, 14_000)
        await asyncio.sleep(0.5)
        for gateway in others:
            if gateway.process.poll() is not None:
                ends[gateway.name] += 1
                deployment.record(f"{gateway.name} ended by itself, exit code "
                                  f"{gateway.process.poll()}")
                await asyncio.sleep(RESTART_DELAY_S)
                gateway.start()
        for gateway in others:
            await gateway.wait_ready()
        await asyncio.sleep(1)
        unanswered += await send_jobs(deployment, others, 2_000)
    deployment.record(f"process ends: {ends}, jobs without an answer: {unanswered}")
    return sum(count >= ROUNDS for count in ends.values()) < 2


d.main(HERE, run)

"""Model servers turn slow for some seconds, a part of them at a time; their reports take 150 ms all the while.

The entry gives a report 100 ms. Each server that was slow once stays suspected for good, and once all were, every
stream is refused although all servers are sound and idle.
"""

import asyncio
import random
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

import lab2

SERVERS = 5
REPORT_S = 0.15
# `srv_slow` at most: share 0.4 of the servers, work 12 times as long, for 9 s; here it comes five times, so
# that each server is slow twice.
SLOW = 2
ROUNDS = 5
SLOW_X = 12
SLOW_S = 6.0
CALM_S = 1.0
REQUESTS_PER_S = 12
STEADY_S = 5.0
# How long after the last server was slow streams are judged.
REST_S = 8.0
DEADLINE_MS = 20000
# The bounds of the rule.
MIN_REQUESTS = 20
MIN_RATIO = 0.25
ROUTES = {"first": ("GET", "/extract/7"), "later": ("POST", "/summaries/7")}


class Tally:
    """How many requests on each route were sent, and served whole."""

    def __init__(self):
        self.sent = dict.fromkeys(ROUTES, 0)
        self.served = dict.fromkeys(ROUTES, 0)


async def send(site, tally, name):
    id_of = site.ids.next()
    entry = random.choice(site.entries)
    method, path = ROUTES[name]
    headers = site.headers(id_of, deadline_ms=DEADLINE_MS)
    if name == "later":
        headers += [
            ("X-Jujubeshore-Model", "m0"),
            ("X-Jujubeshore-Token-Counts", "100,24"),
            ("X-Jujubeshore-Prompt-Prefix", f"5c1e07a2:40,{id_of[-8:]}:60"),
        ]
    answer = await lab2.ask(entry.listen, method, path, headers, timeout=DEADLINE_MS / 1000)
    status = answer.status if answer else None
    is_whole = name == "first" or (
        answer is not None and answer.body.count(b"data: ") == lab2.Engine.EVENTS
    )
    tally.sent[name] += 1
    tally.served[name] += status == 200 and is_whole
    site.record.line(f"{id_of} ({name} route) is answered {status or 'by a cut'}")


async def traffic(site, seconds, when):
    tally, sending = Tally(), []
    for number in range(int(seconds * REQUESTS_PER_S)):
        name = list(ROUTES)[number % len(ROUTES)]
        sending.append(asyncio.create_task(send(site, tally, name)))
        await asyncio.sleep(1 / REQUESTS_PER_S)
    await asyncio.gather(*sending)
    for name in ROUTES:
        counts = f"{tally.sent[name]} sent, {tally.served[name]} served"
        site.record.line(f"{when}: {name} route: {counts}")
    return tally


def end_slow(site, slow):
    site.record.line(f"fast again are {[engine.name for engine in slow]}")
    for engine in slow:
        engine.slowness = 1


async def turn_slow(site, engines, has_trouble):
    for turn in range(ROUNDS):
        chosen = [engines[(turn * SLOW + index) % SERVERS] for index in range(SLOW)]
        slow = chosen if has_trouble else []
        site.record.line(f"slow are {[engine.name for engine in slow]}")
        for engine in slow:
            engine.slowness = SLOW_X
        asyncio.get_running_loop().call_later(SLOW_S, end_slow, site, slow)
        await traffic(site, SLOW_S, "meanwhile")
        await traffic(site, CALM_S, "between")


def summaries():
    times = {"TimeoutMs": DEADLINE_MS, "TargetLatencyMs": 500, "GapAimMs": 200}
    more = {"Attempts": 2, "Resumable": True, **times}
    return lab2.route("r-summary", "/summaries/", "survey-writer", "streaming", **more)


async def case(record, folder, has_trouble):
    tenants = [{"Name": "hall", "ApiKeys": ["key-hall"]}]
    first = [lab2.route("r-extract", "/extract/", "register-desk")]
    services = ["register-desk", lab2.model_service("survey-writer")]
    document = lab2.configuration(1, first, services, tenants)
    site = await lab2.open_site(record, folder, document)
    try:
        for index in range(3):
            name = f"i-register-{index}"
            await site.add(lab2.PlainServer(site.store, record, name, "register-desk"))
        engines = []
        for index in range(SERVERS):
            name = f"i-writer-{index}"
            engine = lab2.Engine(site.store, record, name, "survey-writer", REPORT_S)
            engines.append(await site.add(engine))
        await site.begin()
        site.configure(Routes=first + [summaries()])
        await asyncio.sleep(lab2.CONFIG_APPLY_S + 1)
        await traffic(site, CALM_S, "before")
        await turn_slow(site, engines, has_trouble)
        await asyncio.sleep(REST_S)
        return judge(await traffic(site, STEADY_S, "in steady state"))
    finally:
        await site.end()


def judge(tally):
    served = {name: tally.served[name] / tally.sent[name] for name in ROUTES}
    is_enough = tally.sent["later"] >= MIN_REQUESTS
    is_broken = is_enough and served["later"] < MIN_RATIO * served["first"]
    return lab2.BROKEN if is_broken else lab2.HELD


lab2.main(case, Path(__file__).resolve().parent / "record.txt")

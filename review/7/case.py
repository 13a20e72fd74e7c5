"""The operator raises `MaxHeaderBytes`; channels that requesters keep go on with the earlier limit.

Heads within the limit in force are refused with 431 there for as long as the channel lasts.
"""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

import lab2

SERVERS = 3
CHANNELS = 40
ROUNDS = 3
PAUSE_S = 0.3
EARLIER_BYTES = 16384
LATER_BYTES = 32768
# The length of one part of a prompt in the header, and how many a long prompt has.
PART = "{:08x}:10"
PARTS = 1700
# The bounds of the rule.
FEW = 5
SHARE = 1 / 500


def long_prompt():
    return ",".join(PART.format(number) for number in range(PARTS))


class Counts:
    """How often requests with proper heads were sent, and refused by the entry itself."""

    def __init__(self):
        self.sent = 0
        self.denied = 0


async def send(site, channel, counts, prompt):
    id_of = site.ids.next()
    headers = site.headers(id_of) + [("X-Jujubeshore-Prompt-Prefix", prompt)]
    answer = await channel.ask("GET", "/extract/7", headers)
    status = answer.status if answer else None
    is_own = answer is not None and answer.header("X-Jujubeshore-Server-Signature") is None
    size = sum(len(str(name)) + len(str(value)) + 4 for name, value in headers)
    site.record.line(f"{id_of} with a head of some {size} bytes is answered {status}")
    counts.sent += 1
    counts.denied += is_own and 300 <= status < 500 and status not in (408, 421, 429)
    if answer is None or answer.header("Connection") == "close":
        site.record.line("the channel is closed")
        return False
    return True


async def keep_on(site, entry, channel, counts):
    """Sends short and long heads on one channel; on a new one after the entry has closed it."""
    for _ in range(ROUNDS):
        for prompt in ("aa:10", long_prompt()):
            if not await send(site, channel, counts, prompt):
                channel.close()
                channel = await lab2.Channel(entry.listen).open()
        await asyncio.sleep(PAUSE_S)
    channel.close()


def limits(size):
    return {
        "MaxHeaderBytes": size,
        "MaxBodyBytes": 4194304,
        "HeaderTimeoutMs": 3000,
        "IdleTimeoutMs": 15000,
    }


async def case(record, folder, has_trouble):
    routes = [lab2.route("r-extract", "/extract/", "register-desk")]
    tenants = [{"Name": "hall", "ApiKeys": ["key-hall"]}]
    document = lab2.configuration(1, routes, ["register-desk"], tenants)
    size = EARLIER_BYTES if has_trouble else LATER_BYTES
    site = await lab2.open_site(record, folder, dict(document, Limits=limits(size)))
    try:
        for index in range(SERVERS):
            name = f"i-desk-{index}"
            await site.add(lab2.PlainServer(site.store, record, name, "register-desk"))
        await site.begin()
        channels = []
        for index in range(CHANNELS):
            entry = site.entries[index % len(site.entries)]
            channel = await lab2.Channel(entry.listen).open()
            await send(site, channel, Counts(), "aa:10")
            channels.append((entry, channel))
        if has_trouble:
            site.configure(Limits=limits(LATER_BYTES))
        await asyncio.sleep(lab2.CONFIG_APPLY_S + 1)
        counts = Counts()
        await asyncio.gather(*(keep_on(site, *kept, counts) for kept in channels))
        return judge(record, counts)
    finally:
        await site.end()


def judge(record, counts):
    record.line(f"{counts.sent} proper requests, {counts.denied} ended with a 3xx or 4xx of the entry")
    is_broken = counts.denied > FEW + SHARE * counts.sent
    return lab2.BROKEN if is_broken else lab2.HELD


lab2.main(case, __file__)

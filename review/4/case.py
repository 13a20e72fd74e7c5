"""A server runs an order, fails, and says 503 without `X-Jujubeshore-Not-Executed`.

The requester gets that 503, takes it for the promise that its order has not run, and sends it again.
"""

import asyncio
import random
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

import lab2

SERVERS = 8
# `srv_grey` at most: share 0.14 of the servers, 0.45 of their requests, for 6.5 s.
GREY_SERVERS = 1
GREY_SHARE = 0.45
GREY_S = 6.5
CALM_S = 2.0
ORDERS_PER_S = 30
REPEATS = 1
PROMISES = (408, 421, 429, 503)


class Desk(lab2.PlainServer):
    """Files each order that it runs. While it is grey, a part of the orders fail after that."""

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self.is_grey = False
        self.filed = []
        self.grey_runs = self.grey_failures = 0

    def end_grey(self):
        self.is_grey = False
        self.record.line(f"server {self.name} is whole; {self.grey_failures} of its "
                         f"{self.grey_runs} runs have failed")

    def answer(self, request, headers):
        self.filed.append(request.body.decode())
        self.grey_runs += self.is_grey
        if self.is_grey and self.grey_failures + 1 <= GREY_SHARE * self.grey_runs:
            self.grey_failures += 1
            signature = [("X-Jujubeshore-Server-Signature", f"{self.name}.{len(self.runs)}")]
            return lab2.response(503, headers + signature, b"filed, but the register went away")
        return super().answer(request, headers)


class Requester:
    """Sends an order, and once more after a promise that it has not run."""

    def __init__(self, site):
        self.site = site
        self.answers = {}

    async def send(self, order):
        for attempt in range(1 + REPEATS):
            id_of = self.site.ids.next()
            entry = random.choice(self.site.entries)
            headers = self.site.headers(id_of)
            body = order.encode()
            answer = await lab2.ask(entry.listen, "POST", "/orders/file", headers, body)
            status = answer.status if answer else None
            self.answers[id_of] = status
            self.site.record.line(f"{id_of} ({order}, attempt {attempt + 1}) is answered {status}")
            if status not in PROMISES:
                return
            pause = float(answer.header("Retry-After", 0))
            await asyncio.sleep(pause)


async def send_orders(requester, seconds, label):
    sending = []
    for number in range(int(seconds * ORDERS_PER_S)):
        sending.append(asyncio.create_task(requester.send(f"order-{label}-{number}")))
        await asyncio.sleep(1 / ORDERS_PER_S)
    await asyncio.gather(*sending)


async def case(record, folder, has_trouble):
    routes = [lab2.route("r-file", "/orders/", "register-desk", "non_idempotent", TimeoutMs=1200)]
    tenants = [{"Name": "hall", "ApiKeys": ["key-hall"]}]
    document = lab2.configuration(1, routes, ["register-desk"], tenants)
    site = await lab2.open_site(record, folder, document)
    try:
        for index in range(SERVERS):
            await site.add(Desk(site.store, record, f"i-desk-{index}", "register-desk"))
        await site.begin()
        requester = Requester(site)
        await send_orders(requester, CALM_S, "before")
        for server in site.servers[:GREY_SERVERS]:
            server.is_grey = has_trouble
            record.line(f"server {server.name} is grey: {server.is_grey}")
            asyncio.get_running_loop().call_later(GREY_S, server.end_grey)
        await send_orders(requester, GREY_S, "meanwhile")
        return judge(site, requester)
    finally:
        await site.end()


def judge(site, requester):
    broken = [
        id_of
        for id_of, status in requester.answers.items()
        if status in PROMISES and site.has_run(id_of)
    ]
    filed = [order for server in site.servers for order in server.filed]
    doubled = sorted({order for order in filed if filed.count(order) > 1})
    site.record.line(f"{len(requester.answers)} attempts, {len(filed)} runs")
    site.record.line(f"answered with a promise although they ran: {len(broken)}: {broken}")
    site.record.line(f"orders filed twice: {len(doubled)}: {doubled}")
    return lab2.BROKEN if broken else lab2.HELD


lab2.main(case, Path(__file__).resolve().parent / "record.txt")

"""A waiting watch that the store cuts is taken for an outage, and a worker that leaves is used for too long."""

import asyncio
import os
import random
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(HERE))

import lab  # noqa: E402

# With TROUBLE=0 the script does the same without the disruption.
HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"

DRAIN_S = 2.0
CONTACT_S = 3.0
# How long a worker serves after its entry was removed: `DrainMs` and a little longer.
SERVES_ON_S = 5.0
# The store cuts a watch that has waited for this long; the fronts ask it to wait for 2 s.
CUT_AFTER_S = 1.0
CLIENTS = 6
THINK_S = 0.01
WORK_S = 0.01
WORKERS = 4
LEAVERS = 45
LEAVE_PAUSE_S = (1.0, 2.0)

ROUTE = {"Name": "check", "Host": "desk.example", "Prefix": "/check/", "Kind": "non_idempotent",
         "Service": "desk"}


class CuttingStore(lab.Store):
    """A sound store that ends the channel of a watch which has waited for long."""

    is_cutting = False

    async def _watch(self, query, writer):
        if not self.is_cutting:
            return await super()._watch(query, writer)
        try:
            return await asyncio.wait_for(super()._watch(query, writer), CUT_AFTER_S)
        except asyncio.TimeoutError as error:
            raise ConnectionError("the watch is cut") from error


class Leaver(lab.Worker):
    """A worker that may leave without having reported `draining`."""

    gone_at = None

    async def run(self, request, writer):
        self.note_run(request)
        late = self.lateness()
        if late is not None:
            self.record.add(f"LATE: {request.headers[lab.ID]} reaches {self.name} {late:.3f} s after its leaving "
                            f"was acknowledged")
        await asyncio.sleep(WORK_S)
        headers = self.headers(request, **{lab.SIGNATURE: f"sig-{self.name}"})
        await lab.write(writer, lab.whole(200, headers, f"answer of {self.name}".encode()))
        return True

    def lateness(self):
        if self.gone_at is None:
            return None
        since = time.monotonic() - self.gone_at
        return since if since > DRAIN_S else None

    async def leave(self):
        await self.unregister()
        self.gone_at = time.monotonic()
        self.record.add(f"{self.name} is gone, as the store acknowledges")
        await asyncio.sleep(SERVES_ON_S)
        self.listener.close()
        for channel in list(self.channels):
            channel.close()


async def call_until(world, front, answers, until):
    channel = lab.Channel(front.front)
    while time.monotonic() < until():
        request = f"{random.getrandbits(64):016x}"
        headers = {"host": ROUTE["Host"], lab.ID: request, lab.DEADLINE: "2500"}
        answer = await channel.call("POST", "/check/7", headers, b"body")
        world.record.add(f"{request}: {answer}")
        answers.append(answer)
        await asyncio.sleep(THINK_S)
    channel.close()


async def join(world, workers):
    worker = Leaver(world.record, world.store, world.host(), f"i-desk{len(workers)}", "desk", "a")
    await worker.listen()
    await worker.register()
    workers.append(worker)


async def replace_all(world, workers):
    """The workers are replaced one after the other: the new one joins first."""
    leaving = []
    for number in range(LEAVERS):
        await asyncio.sleep(random.uniform(*LEAVE_PAUSE_S))
        await join(world, workers)
        leaving.append(asyncio.create_task(workers[number].leave()))
    await asyncio.gather(*leaving)


def judge(world, answers):
    """DRAIN, for workers that are gone."""
    late = [line for line in world.record.lines if " LATE: " in line]
    statuses = {}
    for answer in answers:
        statuses[answer.status] = statuses.get(answer.status, 0) + 1
    workers = {line.split(" reaches ")[1].split(" ")[0] for line in late}
    summary = (f"{len(answers)} requests, answers {statuses}; {len(late)} reached {len(workers)} of {LEAVERS} "
               f"leavers later than DrainMs")
    world.record.add(summary)
    print(summary)
    return len(late) > 0


async def main(world, trouble):
    world.store = CuttingStore(world.host())
    await world.store.listen()
    workers = []
    for _ in range(WORKERS):
        await join(world, workers)
    await world.store.put("op/config", lab.configuration(3, [ROUTE], [{"Name": "desk"}]))
    front = world.start_front()
    await front.wait_ready()
    world.store.is_cutting = trouble
    await asyncio.sleep(CONTACT_S)
    answers = []
    ends = [float("inf")]
    calls = [asyncio.create_task(call_until(world, front, answers, lambda: ends[0])) for _ in range(CLIENTS)]
    await replace_all(world, workers)
    ends[0] = 0.0
    await asyncio.gather(*calls)
    return judge(world, answers)


if __name__ == "__main__":
    sys.exit(lab.run_case(main, HERE, HAS_TROUBLE))

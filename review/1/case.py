"""A second copy of a rejection is taken for the answer to the same request, sent again on that channel."""

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

# The largest dose of `garble` with `how = "extra late"` in the site file.
FAULTY_SHARE = 0.6
EXTRA_SHARE = 0.03
FAULT_S = 5.0
PAUSE_S = 2.0
FAULTS = 12

FIRST_WORKERS = 5
LATER_WORKERS = 5
CLIENTS = 30
EVENTS = 3
THINK_S = 0.02
SETTLE_S = 2.0
# How long another caller takes the memory of a later worker, and how long it stays away.
TAKEN_S = 0.3
FREE_S = 0.5

MODEL = {
    "Slots": 64, "KvCacheTokens": 100_000, "KvTokenBytes": 8_000, "Stride": 3, "Layers": 8, "LayerMb": 100.0,
    "Models": [{"Name": "m0", "pace": 1.0, "LoadS": 1.0, "WarmupS": 1.0}], "step_ms": 1.0, "per_seq_ms": 0.007,
    "context_per_k": 0.0095, "read_per_s": 105_000.0, "pairs_per_m": 0.3, "chunk": 512, "loads_at_once": 5,
    "usual": {"prompt": 100, "answer": 9}, "ActivationBytes": 4_590, "PipeMbps": 26_000.0,
    "LinkMbps": 400_000.0, "Kinds": [{"Name": "l4", "Mb": 450.0, "pace": 1.0, "ReadX": 1.0}],
}
ROUTE = {
    "Name": "write", "Host": "desk.example", "Prefix": "/write/", "Kind": "streaming", "Resumable": False,
    "TimeoutMs": 20_000, "TargetLatencyMs": 500, "GapAimMs": 200, "Service": "writer", "Attempts": 2,
    "SessionAffinity": True,
}


class First(lab.Engine):
    """A first worker; while it is faulty it sends some rejections a second time, where the next answer is due."""

    is_faulty = False

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self.extra = {}

    async def run(self, request, writer):
        await self.send_extra(request, writer)
        fault = self.part_at_fault(request)
        if fault is None:
            return await self.stream(request, writer)
        status, address = fault
        rejection = self.rejection(request, status, **{"at-server": address})
        self.record.add(f"rejected {request.headers[lab.ID]} at {self.name}: {status}, at fault {address}")
        await lab.write(writer, rejection)
        if self.is_faulty and random.random() < EXTRA_SHARE:
            self.extra[writer] = rejection
        return True

    async def send_extra(self, request, writer):
        extra = self.extra.pop(writer, None)
        if extra is not None:
            self.record.add(f"second copy of a rejection from {self.name}, where the answer to "
                            f"{request.headers[lab.ID]} is due")
            await lab.write(writer, extra)


class Later(lab.Engine):
    """A later worker, whose memory another caller takes now and then."""

    is_taken = False

    def has_room(self, request):
        return not self.is_taken

    async def serve_another(self):
        while True:
            await asyncio.sleep(random.uniform(0.5, 1.5) * FREE_S)
            self.is_taken = True
            await asyncio.sleep(random.uniform(0.5, 1.5) * TAKEN_S)
            self.is_taken = False


async def start_engines(world):
    engines = {}

    def engine(kind, name, layers):
        return kind(world.record, world.store, world.host(), name, "writer", "a", "l4", layers, engines)

    firsts = [engine(First, f"i-first{number}", (0, 4)) for number in range(FIRST_WORKERS)]
    laters = [engine(Later, f"i-later{number}", (4, 8)) for number in range(LATER_WORKERS)]
    for worker in firsts + laters:
        await worker.listen()
        await worker.register()
    return firsts, laters


async def call_until(world, front, answers, until):
    channel = lab.Channel(front.front)
    while time.monotonic() < until:
        request = f"{random.getrandbits(64):016x}"
        headers = {"host": "desk.example", lab.ID: request, lab.DEADLINE: "20000",
                   lab.TOKENS: f"100,{EVENTS * lab.Engine.STRIDE}", "x-jujubeshore-model": "m0",
                   "x-jujubeshore-prompt-prefix": f"{request}:100"}
        world.record.add(f"sent {request}")
        answers[request] = await channel.call("POST", "/write/x", headers, b"prompt")
        world.record.add(f"answered {request}: {answers[request]}")
        await asyncio.sleep(THINK_S)
    channel.close()


async def garble(firsts):
    faulty = firsts[:int(FAULTY_SHARE * len(firsts))]
    for _ in range(FAULTS):
        for worker in faulty:
            worker.is_faulty = True
        await asyncio.sleep(FAULT_S)
        for worker in faulty:
            worker.is_faulty = False
        await asyncio.sleep(PAUSE_S)


def runs(record):
    found = {}
    for line in record.lines:
        words = line.split()
        if words[1] == "run":
            found.setdefault(words[2], []).append(words[4])
    return found


def judge(world, answers):
    """TWICE and REFUSED, for requests of a streaming route that may not be resumed."""
    promises = (408, 421, 429, 503)
    broken = 0
    for request, workers in runs(world.record).items():
        answer = answers.get(request)
        if len(workers) > 1:
            broken += 1
            world.record.add(f"TWICE: {request} ran at {', '.join(workers)}")
        if answer is not None and answer.status in promises:
            broken += 1
            world.record.add(f"REFUSED: {request} was answered {answer.status} and ran at {', '.join(workers)}")
    statuses = sorted({str(answer.status) for answer in answers.values()})
    counts = {status: sum(str(answer.status) == status for answer in answers.values()) for status in statuses}
    summary = f"{len(answers)} requests, answers {counts}, {broken} broken"
    world.record.add(summary)
    print(summary)
    return broken > 0


async def main(world, trouble):
    await world.start_store()
    await world.store.put("op/config", lab.configuration(3, [ROUTE], [{"Name": "writer", "Engine": MODEL}]))
    firsts, laters = await start_engines(world)
    front = world.start_front()
    await front.wait_ready()
    await asyncio.sleep(SETTLE_S)
    others = [asyncio.create_task(worker.serve_another()) for worker in laters]
    answers = {}
    length = FAULTS * (FAULT_S + PAUSE_S)
    calls = [call_until(world, front, answers, time.monotonic() + length) for _ in range(CLIENTS)]
    await asyncio.gather(*calls, *([garble(firsts)] if trouble else []))
    for other in others:
        other.cancel()
    await asyncio.sleep(SETTLE_S)
    return judge(world, answers)


if __name__ == "__main__":
    sys.exit(lab.run_case(main, HERE, HAS_TROUBLE))

"""Stand-ins for the cases 4 to 8: the platform's store, plain servers, callers, and an entry as a process.

Everything runs on loopback addresses and the real clock. The program is started as the deploy file
does, with the settings' template of the repository filled in for a small deployment.
"""

import asyncio
import base64
import json
import os
import random
import re
import signal
import socket
import sys
import tempfile
import time
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
PROGRAM = "target/release/jujube-platform"
TEMPLATE = ROOT / "deploy" / "entry.ini"
LOOPBACK = "127.0.0.1"
PORTS = range(12000, 30000)

HELD = 0
BROKEN = 1
NOT_RUN = 2

READY_TIMEOUT_S = 10.0
GRACE_S = 8
DRAIN_S = 2.0
# How much longer than announced a server that leaves serves on.
LEAVE_SLACK_S = 0.5
CONTACT_S = 3.0
CONFIG_APPLY_S = 2.0
MAX_EVENTS = 500

BOUNDS = {
    "ContactMs": 3000,
    "ConfigApplyMs": 2000,
    "DrainMs": 2000,
    "GraceS": GRACE_S,
    "RetryBudgetRatio": 0.2,
    "BudgetSlack": 196,
    "BudgetWindowS": 10,
}


class Record:
    """The file in which a case tells what was sent, answered and run."""

    def __init__(self, file):
        self.file = file
        self.began = time.monotonic()

    def line(self, text):
        self.file.write(f"{time.monotonic() - self.began:8.3f} s  {text}\n")
        self.file.flush()


class Message:
    """A request or a response as it was read."""

    def __init__(self, start, headers, body):
        self.start = start
        self.headers = headers
        self.body = body

    def header(self, name, default=None):
        for known, value in self.headers:
            if known.lower() == name.lower():
                return value
        return default

    @property
    def status(self):
        return int(self.start.split(" ")[1])

    @property
    def method(self):
        return self.start.split(" ")[0]

    @property
    def target(self):
        return self.start.split(" ")[1]


async def read_head(reader):
    """Returns the start line and the headers, or None at the end of the connection."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = raw[:-4].decode("utf-8", "surrogateescape").split("\r\n")
    headers = []
    for line in lines[1:]:
        name, _, value = line.partition(":")
        headers.append((name.strip(), value.strip()))
    return lines[0], headers


async def read_body(reader, headers):
    values = {name.lower(): value for name, value in headers}
    if "chunked" in values.get("transfer-encoding", ""):
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            chunk = await reader.readexactly(size)
            await reader.readexactly(2)
            if size == 0:
                return body
            body += chunk
    return await reader.readexactly(int(values.get("content-length", 0)))


async def read_message(reader):
    head = await read_head(reader)
    if head is None:
        return None
    start, headers = head
    return Message(start, headers, await read_body(reader, headers))


def encode(start, headers, body=b""):
    lines = [start] + [f"{name}: {value}" for name, value in headers]
    head = "\r\n".join(lines) + "\r\n\r\n"
    return head.encode("utf-8", "surrogateescape") + body


def response(status, headers=(), body=b""):
    headers = list(headers) + [("Content-Length", len(body))]
    return encode(f"HTTP/1.1 {status} X", headers, body)


def is_framed(answer):
    """Returns whether a response tells where its body ends; another one ends with its channel."""
    head = answer.partition(b"\r\n\r\n")[0].lower()
    return b"\r\ncontent-length:" in head or b"\r\ntransfer-encoding:" in head


class Stream:
    """A response that is written in parts, with a pause before each."""

    def __init__(self, head, parts, pause_s):
        self.head, self.parts, self.pause_s = head, parts, pause_s

    async def write(self, writer):
        writer.write(self.head)
        for part in self.parts:
            await asyncio.sleep(self.pause_s())
            writer.write(part)
            await writer.drain()


class Service:
    """An HTTP server whose handler returns the bytes of a response, or None to close."""

    def __init__(self):
        self.server = None
        self.port = None
        self.connections = set()

    async def listen(self, port=0):
        self.server = await asyncio.start_server(self.serve, LOOPBACK, port)
        self.port = self.server.sockets[0].getsockname()[1]

    async def serve(self, reader, writer):
        self.connections.add(writer)
        try:
            while True:
                request = await read_message(reader)
                if request is None:
                    return
                answer = await self.handle(request)
                if answer is None:
                    return
                if isinstance(answer, Stream):
                    await answer.write(writer)
                    continue
                writer.write(answer)
                await writer.drain()
                if not is_framed(answer):
                    return
        except (ConnectionError, asyncio.IncompleteReadError, ValueError, asyncio.CancelledError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    async def handle(self, request):
        raise NotImplementedError

    def close(self):
        if self.server is not None:
            self.server.close()
        for writer in list(self.connections):
            writer.close()


class Store(Service):
    """The platform's store: keys with revisions, watches, conditions and leases."""

    def __init__(self):
        super().__init__()
        self.revision = 1
        self.items = {}
        self.history = []
        self.leases = {}
        self.changed = asyncio.Event()
        self.next_lease = 100

    def put(self, key, value, lease=0):
        """Writes a value, as the operator and the servers do; returns the revision."""
        self.revision += 1
        created = self.items[key]["Created"] if key in self.items else self.revision
        encoded = base64.b64encode(value.encode()).decode()
        item = {
            "Key": key,
            "Value": encoded,
            "Revision": self.revision,
            "Created": created,
            "Lease": lease,
        }
        self.items[key] = item
        self.tell(item)
        return self.revision

    def remove(self, key):
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self.tell({"Key": key, "Revision": self.revision, "Deleted": True})

    def tell(self, event):
        self.history.append(event)
        self.changed.set()
        self.changed = asyncio.Event()

    def expire(self):
        now = time.monotonic()
        for lease in [known for known, (until, _) in self.leases.items() if until < now]:
            self.end_lease(lease)

    def end_lease(self, lease):
        self.leases.pop(lease, None)
        for key in [key for key, item in self.items.items() if item["Lease"] == lease]:
            self.remove(key)

    async def handle(self, request):
        self.expire()
        path, _, query = request.target.partition("?")
        fields = dict(part.partition("=")[::2] for part in query.split("&") if part)
        call = path.removeprefix("/-/")
        if call == "kv-key":
            item = self.items.get(fields["Key"])
            return self.json(404, {}) if item is None else self.json(200, item)
        if call == "kv-range":
            return self.json(200, self.range(fields))
        if call == "kv-watch":
            return self.json(200, await self.watch(fields))
        if call == "kv-txn":
            return self.transact(json.loads(request.body))
        if call == "kv-lease":
            return self.json(200, self.grant(json.loads(request.body)["TtlMs"]))
        if call.startswith("kv-keep/"):
            return self.keep(int(call.removeprefix("kv-keep/")))
        if call.startswith("kv-lease-end/"):
            self.end_lease(int(call.removeprefix("kv-lease-end/")))
            return self.json(200, {})
        return self.json(404, {})

    def json(self, status, value):
        value = dict(value, CurrentRev=value.get("CurrentRev", self.revision))
        return response(status, [("Content-Type", "application/json")], json.dumps(value).encode())

    def range(self, fields):
        prefix, after = fields.get("Prefix", ""), fields.get("After", "")
        keys = sorted(key for key in self.items if key.startswith(prefix) and key > after)
        page = [self.items[key] for key in keys[:MAX_EVENTS]]
        return {"Items": page, "MorePages": len(keys) > MAX_EVENTS}

    async def watch(self, fields):
        prefix, after = fields.get("Prefix", ""), int(fields["After"])
        until = time.monotonic() + int(fields["WaitMs"]) / 1000
        while True:
            events = [
                event
                for event in self.history
                if event["Revision"] > after and event["Key"].startswith(prefix)
            ]
            left = until - time.monotonic()
            if events or left <= 0:
                return {"events": events}
            changed = self.changed
            try:
                await asyncio.wait_for(changed.wait(), min(left, 0.2))
            except asyncio.TimeoutError:
                self.expire()

    def transact(self, call):
        keys = [row["Key"] for row in call.get("Precondition", [])]
        for row in call.get("Precondition", []):
            item = self.items.get(row["Key"])
            if (item["Revision"] if item else 0) != row["Revision"]:
                known = [self.items[key] for key in keys if key in self.items]
                return self.json(412, {"Items": known})
        writes = call.get("Writes", [])
        if any(row.get("Lease") and row["Lease"] not in self.leases for row in writes):
            return self.json(404, {})
        for row in writes:
            value = base64.b64decode(row["Value"]).decode()
            self.put(row["Key"], value, row.get("Lease", 0))
        for key in call.get("Remove", []):
            self.remove(key)
        return self.json(200, {"Revision": self.revision})

    def grant(self, ttl_ms):
        self.next_lease += 1
        ttl = max(ttl_ms, 1000) / 1000
        self.leases[self.next_lease] = (time.monotonic() + ttl, ttl)
        return {"Lease": self.next_lease, "TtlMs": int(ttl * 1000)}

    def keep(self, lease):
        if lease not in self.leases:
            return self.json(404, {})
        ttl = self.leases[lease][1]
        self.leases[lease] = (time.monotonic() + ttl, ttl)
        return self.json(200, {"TtlMs": int(ttl * 1000)})


class PlainServer(Service):
    """A server of a plain service, which registers itself and keeps a list of what it ran."""

    def __init__(self, store, record, name, service, zone="hall-a", work_s=0.03):
        super().__init__()
        self.store, self.record = store, record
        self.name, self.service, self.zone = name, service, zone
        self.work_s = work_s
        self.runs = []

    async def start(self, port=0):
        await self.listen(port)
        self.register("ready")
        return self

    def register(self, state):
        self.store.put(f"servers/{self.name}", json.dumps(self.registration(state)))

    def crash(self):
        """Ends at once: its port refuses channels, and the open ones are reset."""
        self.server.close()
        for writer in list(self.connections):
            writer.transport.abort()

    async def drain(self):
        """Leaves as planned: reports it, serves on for a while, and ends."""
        self.register("draining")
        await asyncio.sleep(DRAIN_S + LEAVE_SLACK_S)
        self.store.remove(f"servers/{self.name}")
        self.close()

    def registration(self, state):
        return {
            "Service": self.service,
            "Address": f"{LOOPBACK}:{self.port}",
            "Zone": self.zone,
            "Version": "v1",
            "Slots": 6,
            "State": state,
            "ColdRemainingMs": 0,
            "Sequence": 1,
        }

    async def handle(self, request):
        id_of = request.header("X-Jujubeshore-Request-Id")
        echo = [("X-Jujubeshore-Request-Id", id_of)] if id_of else []
        own = [("X-Jujubeshore-Instance-Id", self.name)]
        expected = request.header("X-Jujubeshore-Expect-Instance")
        if expected is not None and expected != self.name:
            return response(421, own + echo)
        if request.target == "/healthz":
            return response(200, own)
        if id_of is None:
            return response(400, [("X-Jujubeshore-Not-Executed", "1")])
        self.runs.append(request)
        self.record.line(f"server {self.name} runs {id_of}: {request.start}; tenant "
                         f"{request.header('X-Jujubeshore-Tenant')!r}")
        await asyncio.sleep(self.work_s)
        return self.answer(request, echo + own)

    def answer(self, request, headers):
        signature = [("X-Jujubeshore-Server-Signature", f"{self.name}.{len(self.runs)}")]
        return response(200, headers + signature, b"done by " + self.name.encode())


class Engine(PlainServer):
    """A model server that holds all layers and writes a stream of events."""

    EVENTS = 8
    EVENT_GAP_S = 0.02

    def __init__(self, store, record, name, service, report_s=0.0):
        super().__init__(store, record, name, service)
        self.report_s = report_s
        self.slowness = 1
        self.orders = 0

    def registration(self, state):
        layers = {"From": 0, "To": MODEL["Layers"], "Version": 1}
        models = [{"Name": "m0", "Version": 1, "Adapters": []}]
        more = {"Stage": "colocated", "Models": models, "Kind": "a100", "Layers": layers}
        return dict(super().registration(state), Slots=192, **more)

    def report(self):
        own = self.registration("ready")
        fields = {name: own[name] for name in ("Stage", "Models", "Kind", "Layers")}
        load = {"Busy": False, "QueueDepth": 0, "NumRunning": 0, "Handles": 0}
        memory = {"KvUsed": 0, "KvTotal": 800000, "Sequence": self.orders}
        pace = {"pace": float(self.slowness)}
        return json.dumps({**fields, **load, **memory, **pace}).encode()

    async def handle(self, request):
        own = [("X-Jujubeshore-Instance-Id", self.name)]
        if request.target == "/-/report":
            await asyncio.sleep(self.report_s)
            return response(200, own + [("Content-Type", "application/json")], self.report())
        if request.target == "/-/order":
            self.record.line(f"server {self.name} is ordered {request.body.decode()}")
            # It holds all layers already, so that a state ordered holds or the order does not fit.
            return response(409, own)
        return await super().handle(request)

    def answer(self, request, headers):
        after = int(request.header("Last-Event-Id", 0))
        ids = range(after + 1, self.EVENTS + 1)
        events = [f"id: {number}\ndata: token {number}\n\n" for number in ids]
        chunks = [f"{len(event):x}\r\n{event}\r\n".encode() for event in events]
        signature = [("X-Jujubeshore-Server-Signature", f"{self.name}.{len(self.runs)}")]
        kind = [("Content-Type", "text/event-stream"), ("Transfer-Encoding", "chunked")]
        head = encode("HTTP/1.1 200 OK", headers + signature + kind)
        return Stream(head, chunks + [b"0\r\n\r\n"], lambda: self.EVENT_GAP_S * self.slowness)


# A small model: all layers fit on one accelerator.
MODEL = {
    "Slots": 192,
    "KvCacheTokens": 100000,
    "KvTokenBytes": 918000,
    "Stride": 3,
    "Models": [{"Name": "m0", "pace": 1.0, "LoadS": 1.0, "WarmupS": 0.0}],
    "step_ms": 1.02,
    "per_seq_ms": 0.00714,
    "context_per_k": 0.00956,
    "read_per_s": 105000.0,
    "pairs_per_m": 0.309,
    "chunk": 512,
    "report_lag_ms": 200.0,
    "loads_at_once": 5,
    "usual": {"prompt": 774, "answer": 200},
    "Layers": 8,
    "LayerMb": 1750.0,
    "ActivationBytes": 45900,
    "Kinds": [{"Name": "a100", "Mb": 72000.0, "pace": 2.4, "ReadX": 3.2}],
}


def model_service(name):
    return {"Name": name, "HealthPath": "/healthz", "MaxConnections": 1058, "Engine": MODEL}


def route(name, prefix, service, kind="idempotent", **more):
    base = {
        "Name": name,
        "Host": "desk.example",
        "Prefix": prefix,
        "Kind": kind,
        "TimeoutMs": 2500,
        "TargetLatencyMs": 150,
        "Priority": 1,
        "Service": service,
        "Attempts": 2 if kind == "idempotent" else 1,
        "Public": False,
    }
    return dict(base, **more)


def configuration(version, routes, services, tenants):
    limits = {
        "MaxHeaderBytes": 16384,
        "MaxBodyBytes": 4194304,
        "HeaderTimeoutMs": 3000,
        "IdleTimeoutMs": 15000,
    }
    services = [
        service
        if isinstance(service, dict)
        else {"Name": service, "HealthPath": "/healthz", "MaxConnections": 96}
        for service in services
    ]
    return {
        "Version": version,
        "Routes": routes,
        "Services": services,
        "Limits": limits,
        "Tenants": tenants,
    }


def fill(template, values):
    """Fills in the plain placeholders of the template of the settings."""
    def value(match):
        found = values
        for part in match.group(1).split("."):
            found = found[int(part)] if isinstance(found, list) else found[part]
        return str(found)

    return re.sub(r"\{\{([A-Za-z0-9_.]+)\}\}", value, template)


class Entry:
    """An entry as a process of its own."""

    def __init__(self, store, folder, name="front-1", zone="hall-a"):
        self.store, self.folder, self.name, self.zone = store, folder, name, zone
        self.process = None
        self.listen, self.ready, self.metrics, self.inner = free_ports(4)

    def write_settings(self):
        values = {
            "NodeName": self.name,
            "Zone": self.zone,
            "Ip": LOOPBACK,
            "Listen": {
                "Front": f"{LOOPBACK}:{self.listen}",
                "Ready": f"{LOOPBACK}:{self.ready}",
            },
            "InternalPortRange": [self.inner, self.inner],
            "Bounds": BOUNDS,
            "Limits": {"MemoryMb": 260},
            "Platform": {"Address": f"{LOOPBACK}:{self.store.port}"},
        }
        text = fill(TEMPLATE.read_text(encoding="utf-8"), values)
        # The template has a fixed port for metrics, and several entries share one address here.
        text = text.replace(f"{LOOPBACK}:9464", f"{LOOPBACK}:{self.metrics}")
        path = Path(self.folder) / f"{self.name}.ini"
        path.write_text(text, encoding="utf-8")
        return path

    async def start(self):
        settings = self.write_settings()
        kept = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        log = open(Path(self.folder) / f"{self.name}.log", "ab")
        self.process = await asyncio.create_subprocess_exec(
            PROGRAM,
            cwd=ROOT,
            env=dict(kept, JUJUBESHORE_CONFIG=str(settings)),
            stdout=log,
            stderr=log,
        )
        log.close()
        return self

    def log(self):
        return (Path(self.folder) / f"{self.name}.log").read_text(errors="replace")

    async def is_ready(self):
        try:
            answer = await ask(self.ready, "GET", "/-/ready", [("Host", "x")])
        except (OSError, asyncio.TimeoutError):
            return False
        return answer is not None and answer.status == 200

    async def until_ready(self):
        until = time.monotonic() + READY_TIMEOUT_S
        while time.monotonic() < until:
            if await self.is_ready():
                return
            await asyncio.sleep(0.05)
        raise CannotRun(f"{self.name} is not ready")

    def signal(self, number):
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def stop(self):
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        if self.process is not None:
            await self.process.wait()


class CannotRun(Exception):
    """The case could not be set up."""


# How an answer ends that is not whole: its channel is closed, within a chunk or not, or it does not come.
CUT = (ConnectionError, asyncio.IncompleteReadError, asyncio.TimeoutError, ValueError)


def free_ports(count):
    """Returns ports that are free for both protocols, below those that the system gives to channels."""
    ports = []
    for port in random.sample(PORTS, len(PORTS)):
        if is_free(port):
            ports.append(port)
        if len(ports) == count:
            return ports
    raise CannotRun("no free ports")


def is_free(port):
    kinds = (socket.SOCK_STREAM, socket.SOCK_DGRAM)
    for kind in kinds:
        with socket.socket(socket.AF_INET, kind) as probe:
            try:
                probe.bind((LOOPBACK, port))
            except OSError:
                return False
    return True


async def ask(port, method, path, headers, body=b"", timeout=5.0):
    """Sends one request on a channel of its own; returns the whole answer, or None if it is cut."""
    reader, writer = await asyncio.wait_for(asyncio.open_connection(LOOPBACK, port), timeout)
    try:
        lines = list(headers)
        if body or method != "GET":
            lines.append(("Content-Length", len(body)))
        writer.write(encode(f"{method} {path} HTTP/1.1", lines, body))
        await writer.drain()
        return await asyncio.wait_for(read_message(reader), timeout)
    except CUT:
        return None
    finally:
        writer.close()


class Channel:
    """A requester's channel, kept for many requests."""

    def __init__(self, port):
        self.port = port
        self.reader = self.writer = None

    async def open(self):
        self.reader, self.writer = await asyncio.open_connection(LOOPBACK, self.port)
        return self

    async def ask(self, method, path, headers, body=b"", timeout=5.0):
        """Returns the whole answer, or None if the channel ends before."""
        lines = list(headers)
        if body or method != "GET":
            lines.append(("Content-Length", len(body)))
        try:
            self.writer.write(encode(f"{method} {path} HTTP/1.1", lines, body))
            await self.writer.drain()
            return await asyncio.wait_for(read_message(self.reader), timeout)
        except CUT:
            return None

    def close(self):
        self.writer.close()


class Ids:
    """The ids of requesters' attempts."""

    def __init__(self):
        self.count = 0

    def next(self):
        self.count += 1
        return f"{os.getpid():08x}{self.count:08x}"


class Site:
    """A small deployment: the store, entries, and what a case adds to them."""

    def __init__(self, record, folder, document):
        self.record, self.folder, self.document = record, folder, document
        self.ids = Ids()
        self.store = Store()
        self.entries, self.servers = [], []

    async def begin(self, entries=2):
        """Starts the entries and waits until they have been in touch for long enough."""
        for index in range(entries):
            name = f"front-{index + 1}"
            self.entries.append(await Entry(self.store, self.folder, name).start())
        for entry in self.entries:
            await entry.until_ready()
        await asyncio.sleep(CONTACT_S + 0.2)

    async def add(self, server):
        self.servers.append(await server.start())
        return server

    def configure(self, **changes):
        """Writes the next version of the configuration; the store's answer acknowledges it."""
        self.document = dict(self.document, Version=self.document["Version"] + 3, **changes)
        self.store.put("op/config", json.dumps(self.document))
        self.record.line(f"configuration {self.document['Version']} is acknowledged: "
                         f"changed {sorted(changes)}")

    def headers(self, id_of, key="key-hall", deadline_ms=2500):
        lines = [("Host", "desk.example"), ("X-Jujubeshore-Request-Id", id_of)]
        lines.append(("X-Jujubeshore-Deadline-Ms", deadline_ms))
        return lines + ([("X-Api-Key", key)] if key else [])

    def has_run(self, id_of):
        runs = (run for server in self.servers for run in server.runs)
        return any(run.header("X-Jujubeshore-Request-Id") == id_of for run in runs)

    async def end(self):
        for entry in self.entries:
            await entry.stop()
        for server in self.servers + [self.store]:
            server.close()


async def open_site(record, folder, document):
    site = Site(record, folder, document)
    await site.store.listen()
    site.store.put("op/config", json.dumps(document))
    return site


async def play(case, record):
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    record.line(f"the disruption is {'on' if has_trouble else 'off'}")
    with tempfile.TemporaryDirectory() as scratch:
        try:
            code = await asyncio.wait_for(case(record, scratch, has_trouble), 115)
        except Exception as error:  # A fault of the case itself must not count as a broken rule.
            record.line(f"could not run: {error!r}")
            code = NOT_RUN
    record.line({HELD: "the rule held", BROKEN: "the rule was broken"}.get(code, "not run"))
    return code


def main(case, path):
    """Plays a case, writes its record to `path`, and exits with its result."""
    os.chdir(ROOT)
    with open(path, "w", encoding="utf-8") as file:
        sys.exit(asyncio.run(play(case, Record(file))))

"""Stand-ins of the platform for the cases of this review: store, workers, requesters, and a front node.

Everything listens on loopback addresses. The wire follows PROTOCOL.md and DEPLOY.md of the users.
"""

import asyncio
import base64
import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
from urllib.parse import parse_qs
from urllib.parse import urlsplit

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
DEPLOY = os.path.join(ROOT, "deploy", "system.toml")

SEND_BUFFER_BYTES = 64 << 10
LEASE_CHECK_S = 0.05
METRICS_PORT = 9464
INTERNAL_PORT = 7340

ID = "x-jujubeshore-request-id"
SIGNATURE = "x-jujubeshore-server-signature"
NOT_EXECUTED = "x-jujubeshore-not-executed"
EXPECTED = "x-jujubeshore-expect-instance"
DEADLINE = "x-jujubeshore-deadline-ms"
HOPS = "x-jujubeshore-hop-count"
TOKENS = "x-jujubeshore-token-counts"
TENANT = "x-jujubeshore-tenant"

REASONS = {
    200: "OK", 202: "Accepted", 400: "Bad Request", 403: "Forbidden", 404: "Not Found",
    409: "Conflict", 410: "Gone", 412: "Precondition Failed", 421: "Misdirected Request",
    500: "Internal Server Error", 503: "Service Unavailable",
}


class Unable(Exception):
    """The case cannot run on this machine."""


class Record:
    """What was sent, answered and run; written to record.txt."""

    def __init__(self):
        self.began = time.monotonic()
        self.lines = []

    def now(self):
        return time.monotonic() - self.began

    def add(self, text):
        self.lines.append(f"{self.now():9.4f} {text}")

    def write(self, path):
        with open(path, "w") as file:
            file.write("\n".join(self.lines) + "\n")


class Request:
    def __init__(self, method, target, headers, body):
        self.method = method
        self.target = target
        self.path = urlsplit(target).path
        self.query = {key: values[0] for key, values in parse_qs(urlsplit(target).query).items()}
        self.headers = headers
        self.body = body


async def read_head(reader):
    """Reads the lines of a head; None at the end of the channel."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *rest = head.decode("latin-1")[:-4].split("\r\n")
    headers = {}
    for line in rest:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return first, headers


async def read_chunks(reader):
    while True:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        data = await reader.readexactly(size + 2)
        if size == 0:
            return
        yield data[:-2]


async def read_request(reader):
    head = await read_head(reader)
    if head is None:
        return None
    first, headers = head
    method, target, _ = first.split(" ")
    try:
        if "chunked" in headers.get("transfer-encoding", ""):
            body = b"".join([chunk async for chunk in read_chunks(reader)])
        else:
            body = await reader.readexactly(int(headers.get("content-length", 0)))
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return Request(method, target, headers, body)


def head_of(status, headers):
    lines = [f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")


def whole(status, headers, body=b""):
    return head_of(status, {**headers, "content-length": len(body)}) + body


def json_answer(status, value):
    return whole(status, {"content-type": "application/json"}, json.dumps(value).encode())


async def write(writer, data):
    writer.write(data)
    await writer.drain()


class Server:
    """A listener on a loopback address whose channels are served by `serve`."""

    def __init__(self, host):
        self.host = host
        self.port = None
        self.listener = None
        self.channels = set()

    @property
    def address(self):
        return f"{self.host}:{self.port}"

    async def listen(self, port=0):
        self.listener = await asyncio.start_server(self._channel, self.host, port, limit=1 << 20)
        self.port = self.listener.sockets[0].getsockname()[1]

    async def _channel(self, reader, writer):
        self.channels.add(writer)
        try:
            await self.serve(reader, writer)
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.channels.discard(writer)
            writer.close()

    async def serve(self, reader, writer):
        raise NotImplementedError


def reset(writer):
    """Ends a channel with a reset, as a crash of its process does."""
    linger = socket.SO_LINGER
    on_for_no_time = b"\1\0\0\0\0\0\0\0"
    sock = writer.get_extra_info("socket")
    if sock is not None and sock.fileno() >= 0:
        sock.setsockopt(socket.SOL_SOCKET, linger, on_for_no_time)
    writer.transport.abort()


class Store(Server):
    """The platform's metadata store."""

    PAGE_ITEMS = 500

    def __init__(self, host):
        super().__init__(host)
        self.revision = 100
        self.items = {}
        self.history = []
        self.leases = {}
        self.next_lease = 70_000
        self.changed = asyncio.Condition()
        self.watches = set()

    async def listen(self, port=0):
        await super().listen(port)
        self.expiry = asyncio.create_task(self._expire())

    def _row(self, key, item):
        return {"Key": key, "Value": item["value"], "Revision": item["revision"],
                "Created": item["created"], "Lease": item["lease"]}

    def _apply(self, key, value, lease):
        if value is None:
            if self.items.pop(key, None) is not None:
                self.history.append({"Key": key, "Revision": self.revision, "Deleted": True})
            return
        created = self.items[key]["created"] if key in self.items else self.revision
        self.items[key] = {"value": value, "revision": self.revision, "created": created, "lease": lease}
        self.history.append(self._row(key, self.items[key]))

    async def _notify(self):
        async with self.changed:
            self.changed.notify_all()

    async def put(self, key, value):
        """Writes as the operator or a worker; returns once the store has accepted it."""
        text = value if isinstance(value, bytes) else json.dumps(value).encode()
        self.revision += 1
        self._apply(key, base64.b64encode(text).decode(), 0)
        await self._notify()

    async def remove(self, key):
        self.revision += 1
        self._apply(key, None, 0)
        await self._notify()

    async def _expire(self):
        while True:
            await asyncio.sleep(LEASE_CHECK_S)
            now = time.monotonic()
            for lease in [lease for lease, (until, _) in self.leases.items() if until <= now]:
                await self._end_lease(lease)

    async def _end_lease(self, lease):
        if self.leases.pop(lease, None) is None:
            return False
        keys = [key for key, item in self.items.items() if item["lease"] == lease]
        if keys:
            self.revision += 1
        for key in keys:
            self._apply(key, None, 0)
        await self._notify()
        return True

    async def serve(self, reader, writer):
        while True:
            request = await read_request(reader)
            if request is None:
                return
            await write(writer, await self.answer(request, writer))

    async def answer(self, request, writer):
        call = request.path.removeprefix("/-/")
        if call == "kv-key":
            key = request.query["Key"]
            if key not in self.items:
                return json_answer(404, {"CurrentRev": self.revision})
            return json_answer(200, {**self._row(key, self.items[key]), "CurrentRev": self.revision})
        if call == "kv-range":
            return self._range(request.query)
        if call == "kv-watch":
            return await self._watch(request.query, writer)
        if call == "kv-txn":
            return await self._transact(json.loads(request.body))
        if call == "kv-lease":
            return self._lease(json.loads(request.body)["TtlMs"])
        name, _, lease = call.partition("/")
        if name == "kv-keep":
            return self._keep(int(lease))
        if name == "kv-lease-end":
            ended = await self._end_lease(int(lease))
            return json_answer(200 if ended else 404, {})
        return json_answer(404, {})

    def _range(self, query):
        after = query.get("After", "")
        keys = sorted(key for key in self.items if key.startswith(query.get("Prefix", "")) and key > after)
        rows = [self._row(key, self.items[key]) for key in keys[:self.PAGE_ITEMS]]
        return json_answer(200, {"Items": rows, "MorePages": len(keys) > self.PAGE_ITEMS,
                                 "CurrentRev": self.revision})

    async def _watch(self, query, writer):
        after, prefix = int(query["After"]), query.get("Prefix", "")
        until = time.monotonic() + int(query["WaitMs"]) / 1e3
        self.watches.add(writer)
        try:
            async with self.changed:
                while True:
                    events = [event for event in self.history
                              if event["Revision"] > after and event["Key"].startswith(prefix)]
                    left = until - time.monotonic()
                    if events or left <= 0:
                        return json_answer(200, {"events": events, "CurrentRev": self.revision})
                    try:
                        await asyncio.wait_for(self.changed.wait(), left)
                    except asyncio.TimeoutError:
                        pass
        finally:
            self.watches.discard(writer)

    async def _transact(self, body):
        for row in body.get("Precondition", []):
            held = self.items.get(row["Key"], {"revision": 0})["revision"]
            if held != row["Revision"]:
                keys = [row["Key"] for row in body["Precondition"]]
                items = [self._row(key, self.items[key]) for key in keys if key in self.items]
                return json_answer(412, {"Items": items})
        writes = body.get("Writes", [])
        if any(put.get("Lease", 0) and put["Lease"] not in self.leases for put in writes):
            return json_answer(404, {})
        keys = [put["Key"] for put in writes] + body.get("Remove", [])
        if any(key.startswith(("op/", "servers/")) for key in keys):
            return json_answer(403, {})
        self.revision += 1
        for put in writes:
            self._apply(put["Key"], put["Value"], put.get("Lease", 0))
        for key in body.get("Remove", []):
            self._apply(key, None, 0)
        await self._notify()
        return json_answer(200, {"Revision": self.revision})

    def _lease(self, ttl_ms):
        self.next_lease += 1
        self.leases[self.next_lease] = (time.monotonic() + ttl_ms / 1e3, ttl_ms)
        return json_answer(200, {"Lease": self.next_lease, "TtlMs": ttl_ms})

    def _keep(self, lease):
        if lease not in self.leases:
            return json_answer(404, {})
        ttl_ms = self.leases[lease][1]
        self.leases[lease] = (time.monotonic() + ttl_ms / 1e3, ttl_ms)
        return json_answer(200, {"TtlMs": ttl_ms})


class Worker(Server):
    """A worker: registers in the store, serves requests, and records what it runs."""

    def __init__(self, record, store, host, name, service, zone, slots=8):
        super().__init__(host)
        self.record = record
        self.store = store
        self.name = name
        self.service = service
        self.zone = zone
        self.slots = slots
        self.running = 0
        self.state = "ready"

    def registration(self):
        return {"Service": self.service, "Address": self.address, "Zone": self.zone, "Version": "v1",
                "Slots": self.slots, "State": self.state, "ColdRemainingMs": 0, "Sequence": 1}

    async def register(self):
        await self.store.put(f"servers/{self.name}", self.registration())

    async def unregister(self):
        await self.store.remove(f"servers/{self.name}")

    async def serve(self, reader, writer):
        while True:
            request = await read_request(reader)
            if request is None:
                return
            if not await self.handle(request, writer):
                return

    def headers(self, request, **more):
        headers = {}
        if ID in request.headers:
            headers[ID] = request.headers[ID]
        headers["x-jujubeshore-server-load"] = f"{self.running},0,{self.slots}"
        return {**headers, **more}

    def rejection(self, request, status=503, **more):
        return whole(status, self.headers(request, **{NOT_EXECUTED: "1"}, **more))

    async def handle(self, request, writer):
        """Answers one request; returns whether the channel is kept."""
        if request.path == "/healthz":
            status = 200 if self.state == "ready" else 503
            await write(writer, whole(status, {"x-jujubeshore-instance-id": self.name}))
            return True
        if request.path == "/-/report":
            await write(writer, json_answer(200, self.report()))
            return True
        expected = request.headers.get(EXPECTED)
        if expected is not None and expected != self.name:
            more = {"x-jujubeshore-instance-id": self.name}
            await write(writer, whole(421, self.headers(request, **more)))
            return True
        if request.path == "/-/order":
            await write(writer, await self.order(json.loads(request.body)))
            return True
        return await self.run(request, writer)

    def report(self):
        return {"Stage": "colocated", "Models": [], "Busy": False, "Sequence": 0, "QueueDepth": 0,
                "NumRunning": self.running, "KvUsed": 0, "KvTotal": 0, "Handles": 0, "pace": 1.0}

    async def order(self, order):
        return json_answer(400, {})

    def note_run(self, request):
        self.record.add(f"run {request.headers.get(ID)} at {self.name} path {request.target}")

    async def run(self, request, writer):
        raise NotImplementedError


class Engine(Worker):
    """A model worker that holds some layers and passes requests on along their path."""

    EVENT_S = 0.02
    STRIDE = 3

    def __init__(self, record, store, host, name, service, zone, kind, layers, engines, slots=64):
        super().__init__(record, store, host, name, service, zone, slots)
        self.kind = kind
        self.layers = layers
        self.engines = engines
        self.sequence = 0
        self.fence = 0
        self.busy = False
        self.load_s = 1.0
        self.all_layers = 8

    def held(self):
        if self.layers is None:
            return None
        return {"From": self.layers[0], "To": self.layers[1], "Version": 1}

    def registration(self):
        return {**super().registration(), "Kind": self.kind, "Layers": self.held(), "Stage": "colocated",
                "Models": [{"Name": "m0", "Version": 1, "Adapters": []}]}

    def report(self):
        return {**super().report(), "Busy": self.busy, "Sequence": self.sequence, "Layers": self.held(),
                "KvTotal": 100_000, "Kind": self.kind}

    async def listen(self, port=0):
        await super().listen(port)
        self.engines[self.address] = self

    async def order(self, order):
        if order["Operation"] == "repath":
            return json_answer(404, {})
        if order["Operation"] != "place":
            return json_answer(400, {})
        if order.get("FencingToken", 0) < self.fence:
            return json_answer(412, {})
        layers = (order["From"], order["To"])
        if layers == self.layers and not self.busy:
            return json_answer(200, {})
        if self.busy or order.get("Precondition", self.sequence) != self.sequence:
            return json_answer(409, {})
        self.fence = order.get("FencingToken", 0)
        self.sequence += 1
        self.busy = True
        self.record.add(f"order to {self.name}: layers {layers[0]}-{layers[1]}")
        self.placing = asyncio.create_task(self._place(layers))
        return json_answer(202, {})

    async def _place(self, layers):
        await asyncio.sleep(self.load_s * (layers[1] - layers[0]) / self.all_layers)
        self.layers = layers
        self.busy = False
        await self.register()

    def holds(self, start, end):
        return self.layers is not None and self.layers[0] <= start and end <= self.layers[1]

    def has_room(self, request):
        return True

    def part_at_fault(self, request):
        """Returns the status and the address of the part that turns a request away; None if none does."""
        hops = request.headers.get(HOPS) or f"{self.address}=0-{self.all_layers}"
        parts = [part.partition("=") for part in hops.split(",")]
        if parts[0][0] != self.address:
            return 400, self.address
        for address, _, layers in parts:
            start, end = map(int, layers.split("-"))
            engine = self.engines.get(address)
            if engine is None:
                return 503, address
            if not engine.holds(start, end):
                return 421, address
            if not engine.has_room(request):
                return 503, address
        return None

    async def run(self, request, writer):
        fault = self.part_at_fault(request)
        if fault is not None:
            status, address = fault
            await write(writer, self.rejection(request, status, **{"at-server": address}))
            return True
        return await self.stream(request, writer)

    async def stream(self, request, writer):
        last = int(request.headers.get(TOKENS, "1,30").split(",")[1]) // self.STRIDE
        first = int(request.headers.get("last-event-id", 0)) + 1
        headers = self.headers(request, **{"content-type": "text/event-stream", SIGNATURE: f"sig-{self.name}",
                                           "transfer-encoding": "chunked"})
        self.running += 1
        try:
            await asyncio.sleep(self.EVENT_S)
            self.note_run(request)
            await write(writer, head_of(200, headers))
            for number in range(first, last + 1):
                await asyncio.sleep(self.EVENT_S)
                await write(writer, chunk(f"id: {number}\ndata: {request.headers.get(ID)}.{number}\n\n".encode()))
            await write(writer, b"0\r\n\r\n")
        finally:
            self.running -= 1
        self.record.add(f"ran {request.headers.get(ID)} at {self.name} to its end")
        return True


def chunk(data):
    return f"{len(data):x}\r\n".encode() + data + b"\r\n"


class Answer:
    def __init__(self, status=None, headers=None, body=b"", complete=False, error=""):
        self.status = status
        self.headers = headers or {}
        self.body = body
        self.complete = complete
        self.error = error

    def __str__(self):
        end = "whole" if self.complete else f"broken off ({self.error})"
        return f"{self.status} {len(self.body)} bytes, {end}"


class Channel:
    """A requester's channel to a front node."""

    def __init__(self, address):
        self.address = address
        self.reader = None
        self.writer = None

    async def open(self):
        host, port = self.address.split(":")
        opening = asyncio.open_connection(host, int(port), limit=1 << 20)
        self.reader, self.writer = await asyncio.wait_for(opening, 1.0)

    def close(self):
        if self.writer is not None:
            self.writer.close()
            self.writer = None

    async def call(self, method, path, headers, body=b"", timeout=30.0):
        """Sends a request and reads its answer to the end."""
        try:
            return await asyncio.wait_for(self._call(method, path, headers, body), timeout)
        except asyncio.TimeoutError:
            self.close()
            return Answer(error="no answer in time")

    async def _call(self, method, path, headers, body):
        answer = Answer()
        try:
            if self.writer is None:
                await self.open()
            lines = [f"{method} {path} HTTP/1.1"] + [f"{name}: {value}" for name, value in headers.items()]
            if body or method == "POST":
                lines.append(f"content-length: {len(body)}")
            await write(self.writer, ("\r\n".join(lines) + "\r\n\r\n").encode() + body)
            head = await read_head(self.reader)
            if head is None:
                raise ConnectionError("closed before the head")
            first, answer.headers = head
            answer.status = int(first.split(" ")[1])
            await self._read_body(answer)
            answer.complete = True
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.TimeoutError, ValueError) as error:
            answer.error = type(error).__name__
            self.close()
        if answer.headers.get("connection", "").lower() == "close":
            self.close()
        return answer

    async def _read_body(self, answer):
        if "chunked" in answer.headers.get("transfer-encoding", ""):
            async for chunk in read_chunks(self.reader):
                answer.body += chunk
            return
        if "content-length" in answer.headers:
            answer.body = await self.reader.readexactly(int(answer.headers["content-length"]))
            return
        while data := await self.reader.read(SEND_BUFFER_BYTES):
            answer.body += data


def fill(template, fields):
    """Fills in the placeholders of a settings template that are plain values."""

    def value(match):
        found = fields
        for part in match.group(1).split("."):
            found = found[int(part)] if isinstance(found, list) else found[part]
        return str(found)

    return re.sub(r"\{\{([A-Za-z0-9_.]+)\}\}", value, template)


def deploy_field(name):
    with open(DEPLOY) as file:
        return re.search(rf'^{name} = "(.*)"$', file.read(), re.M).group(1)


class Front:
    """A front node: the program of the deploy file as a process of its own."""

    BOUNDS = {
        "SeedLagS": 3, "ReuseAfterS": 2, "ContactMs": 3000, "AckMs": 4000, "CatchUpS": 4, "DrainMs": 2000,
        "GraceS": 8, "LossSlackMs": 200, "ConfigApplyMs": 2000, "RollbackSlackMs": 250, "OuterMs": 5000,
        "RetryBudgetRatio": 0.2, "BudgetWindowS": 10, "BudgetSlack": 196, "RecoveryS": 12,
    }

    def __init__(self, lab, name, zone, host):
        self.lab = lab
        self.name = name
        self.host = host
        ports = free_ports(host, 2)
        self.front, self.ready = (f"{host}:{port}" for port in ports)
        self.settings = {
            "NodeName": name, "Zone": zone, "Ip": host, "InternalPortRange": [INTERNAL_PORT, INTERNAL_PORT + 15],
            "Listen": {"Front": self.front, "Ready": self.ready}, "Bounds": dict(self.BOUNDS),
            "Limits": {"MemoryMb": 260}, "Platform": {"Address": lab.store.address},
        }
        self.path = os.path.join(lab.folder, f"{name}.ini")
        self.log = os.path.join(lab.folder, f"{name}.log")
        self.process = None

    def start(self):
        with open(os.path.join(ROOT, deploy_field("template"))) as file:
            text = fill(file.read(), self.settings)
        with open(self.path, "w") as file:
            file.write(text)
        environment = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        environment["JUJUBESHORE_CONFIG"] = self.path
        with open(self.log, "a") as log:
            self.process = subprocess.Popen(deploy_field("run").split(" "), cwd=ROOT, env=environment,
                                            stdout=log, stderr=log)

    def signal(self, number):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def stop(self):
        if self.process is None:
            return
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        self.process.wait()
        self.process = None

    async def is_ready(self):
        channel = Channel(self.ready)
        answer = await channel.call("GET", "/-/ready", {"host": self.ready}, timeout=1.0)
        channel.close()
        return answer.status == 200

    async def wait_ready(self, within_s=10.0):
        until = time.monotonic() + within_s
        while not await self.is_ready():
            if time.monotonic() > until or self.process.poll() is not None:
                raise Unable(f"{self.name} does not become ready")
            await asyncio.sleep(0.05)


def free_ports(host, count):
    sockets = [socket.socket() for _ in range(count)]
    for sock in sockets:
        sock.bind((host, 0))
    ports = [sock.getsockname()[1] for sock in sockets]
    for sock in sockets:
        sock.close()
    return ports


def is_free(host):
    """Returns whether the fixed ports of a node are free on a loopback address."""
    try:
        for kind, port in ((socket.SOCK_STREAM, METRICS_PORT), (socket.SOCK_STREAM, INTERNAL_PORT),
                           (socket.SOCK_DGRAM, INTERNAL_PORT)):
            with socket.socket(socket.AF_INET, kind) as sock:
                sock.bind((host, port))
    except OSError:
        return False
    return True


class Lab:
    """A small deployment, and the folder of its files."""

    def __init__(self):
        self.record = Record()
        self.folder = tempfile.mkdtemp(prefix="jujube-review-")
        self.store = None
        self.fronts = []
        self.hosts = iter(self._hosts())

    def _hosts(self):
        first = random.randrange(16, 240)
        second = random.randrange(1, 250)
        for third in range(1, 250):
            yield f"127.{first}.{second}.{third}"

    def host(self):
        return next(self.hosts)

    def node_host(self):
        return next(host for host in self.hosts if is_free(host))

    async def start_store(self):
        self.store = Store(self.host())
        await self.store.listen()

    def start_front(self, zone="a"):
        front = Front(self, f"front-{len(self.fronts) + 1}", zone, self.node_host())
        self.fronts.append(front)
        front.start()
        return front

    def close(self):
        for front in self.fronts:
            front.stop()
        shutil.rmtree(self.folder, ignore_errors=True)


def settings_of_services(services):
    return [{"HealthPath": "/healthz", "MaxConnections": 100, "Protocol": "h1", "Tls": False, **service}
            for service in services]


def configuration(version, routes, services, tenants=None):
    defaults = {"TimeoutMs": 1200, "TargetLatencyMs": 150, "Priority": 1, "Attempts": 1, "Public": False,
                "SessionAffinity": False, "Resumable": False}
    document = {
        "Version": version,
        "Routes": [{**defaults, **route} for route in routes],
        "Services": settings_of_services(services),
        "Limits": {"MaxHeaderBytes": 16_384, "MaxBodyBytes": 4_194_304, "HeaderTimeoutMs": 5_000,
                   "IdleTimeoutMs": 15_000},
    }
    if tenants:
        document["Tenants"] = tenants
    return document


async def play(main, lab, trouble):
    loop = asyncio.get_running_loop()
    # Channels that end in the middle of an exchange are part of the cases.
    loop.set_exception_handler(lambda _loop, _context: None)
    try:
        return await main(lab, trouble)
    finally:
        for front in lab.fronts:
            front.stop()
        tasks = [task for task in asyncio.all_tasks() if task is not asyncio.current_task()]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


def run_case(main, folder, trouble):
    """Runs a case: 1 if the rule was broken, 0 if it held, 2 if the case could not run."""
    program = os.path.join(ROOT, deploy_field("run").split(" ")[0])
    if not os.path.exists(program):
        print("not built:", os.path.relpath(program, ROOT))
        return 2
    lab = Lab()
    # Ends the processes of the case also if it is stopped.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    try:
        broken = asyncio.run(play(main, lab, trouble))
        return 1 if broken else 0
    except Exception as error:  # Anything but a verdict means that the case could not run.
        lab.record.add(f"could not run: {error!r}")
        print("could not run:", repr(error))
        return 2
    finally:
        lab.record.write(os.path.join(folder, "record.txt"))
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            shutil.copytree(lab.folder, keep, dirs_exist_ok=True)
        lab.close()

"""Stand-ins for the platform's store, its servers and its clients, as small as
the cases need them. They speak what PROTOCOL.md says, on loopback addresses.
The hosts are the program that the deploy file starts."""

import asyncio
import base64
import itertools
import json
import os
import pathlib
import random
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
HOST_PROGRAM = ROOT / "target" / "bin" / "sff-host"
ZONES = ["zone-a", "zone-b", "zone-c", "zone-d"]
HOST_NAME = "front.example"
HEARTBEAT_S = 1.2
JSON = [("Content-Type", "application/json")]
CONNECTION_ERRORS = (asyncio.IncompleteReadError, ConnectionError, OSError,
                     asyncio.TimeoutError)


class Record:
    """The file that lists what was sent, answered and run."""

    def __init__(self, path):
        self.begun = time.monotonic()
        self.file = open(path, "w", buffering=1)

    def __call__(self, event, **fields):
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        at = time.monotonic() - self.begun
        self.file.write(f"{at:9.3f} {event} {text}\n")


# Below the ports that the kernel gives to outgoing connections, one of which
# could take a port between its choice and its use.
PORTS = itertools.count(random.randrange(15000, 30000))


def free_port():
    for port in PORTS:
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
                return port
            except OSError:
                pass


class Message:
    """A request or an answer."""

    def __init__(self, first, headers):
        self.first = first
        self.headers = headers
        self.body = b""

    def get(self, name):
        for key, value in self.headers:
            if key.lower() == name.lower():
                return value
        return ""

    def method(self):
        return self.first.split(" ")[0]

    def target(self):
        return self.first.split(" ")[1]

    def status(self):
        return int(self.first.split(" ")[1])


async def read_head(reader):
    text = (await reader.readuntil(b"\r\n\r\n")).decode("latin1")
    first, *lines = text.split("\r\n")
    pairs = [line.partition(":") for line in lines if line]
    return Message(first, [(key, value.strip()) for key, _, value in pairs])


async def read_message(reader):
    """Reads a message whose body has a length or comes in chunks."""
    message = await read_head(reader)
    if message.get("Transfer-Encoding").lower() == "chunked":
        while True:
            size = int(await reader.readuntil(b"\r\n"), 16)
            message.body += await reader.readexactly(size)
            await reader.readexactly(2)
            if size == 0:
                return message
    length = int(message.get("Content-Length") or 0)
    message.body = await reader.readexactly(length)
    return message


def answer(status, headers=(), body=b""):
    lines = "".join(f"{name}: {value}\r\n" for name, value in headers)
    head = f"HTTP/1.1 {status} -\r\n{lines}Content-Length: {len(body)}\r\n\r\n"
    return head.encode() + body


def request(method, path, request_id, body=b"", deadline_ms=1000, headers=()):
    lines = "".join(f"{name}: {value}\r\n" for name, value in headers)
    if body or method == "POST":
        lines += f"Content-Length: {len(body)}\r\n"
    return (f"{method} {path} HTTP/1.1\r\nHost: {HOST_NAME}\r\n"
            f"X-Request-Id: {request_id}\r\nX-Deadline-Ms: {deadline_ms}\r\n"
            f"{lines}\r\n").encode() + body


class Store:
    """The platform's store: logs with one partition each, and groups whose
    partitions are dealt evenly over the members."""

    PARTITIONS = 8
    CALL_S = 0.004

    def __init__(self):
        self.logs = {}
        self.newest = {}
        self.groups = {}
        self.grown = asyncio.Event()
        self.port = free_port()

    async def start(self):
        await asyncio.start_server(self.serve, "127.0.0.1", self.port)

    def append(self, topic, record):
        log = self.logs.setdefault(topic, [])
        log.append(record)
        if topic.startswith("keyed."):
            key = record[1:1 + record[0]].decode()
            value = record[1 + record[0]:]
            keys = self.newest.setdefault(topic, {})
            if value:
                keys[key] = (len(log) - 1, value)
            else:
                keys.pop(key, None)
        self.grown.set()
        self.grown = asyncio.Event()

    def put(self, topic, key, value):
        """Writes the record of a key; without a value, drops the key."""
        text = b"" if value is None else json.dumps(value).encode()
        self.append(topic, bytes([len(key)]) + key.encode() + text)

    async def serve(self, reader, writer):
        try:
            while True:
                call = await read_message(reader)
                await asyncio.sleep(self.CALL_S)
                writer.write(await self.reply(call))
                await writer.drain()
        except CONNECTION_ERRORS:
            pass
        finally:
            writer.close()

    async def reply(self, call):
        url = urllib.parse.urlsplit(call.target())
        query = dict(urllib.parse.parse_qsl(url.query))
        if url.path == "/log-newest":
            return self.reply_newest(query)
        if url.path == "/log-read":
            return await self.reply_read(query)
        if url.path == "/log-append":
            return self.reply_append(query, call.body)
        fields = json.loads(call.body) if call.body else query
        group = self.groups.setdefault(
            fields["group"], {"generation": 0, "members": {}, "owners": {}})
        self.drop_silent(group)
        if url.path == "/log-join":
            return self.reply_join(group, fields)
        if url.path == "/log-leave":
            if group["members"].pop(fields["member"], None):
                self.deal(group)
            return answer(200, JSON, b"{}")
        if url.path == "/log-owners":
            rows = [["orders", part, owner, 0]
                    for part, owner in group["owners"].items()]
            return answer(200, JSON, json.dumps({"parts": rows}).encode())
        return answer(404)

    def reply_newest(self, query):
        after = query.get("after", "")
        rows = [{"key": key, "value": base64.b64encode(value).decode(),
                 "offset": offset}
                for key, (offset, value) in sorted(
                    self.newest.get(query["topic"], {}).items())
                if key > after]
        page = {"items": rows[:500], "has-more": len(rows) > 500,
                "end-offset": len(self.logs.get(query["topic"], []))}
        return answer(200, JSON, json.dumps(page).encode())

    async def reply_read(self, query):
        start = int(query["from"])
        until = time.monotonic() + int(query.get("wait-ms", 0)) / 1000
        log = self.logs.setdefault(query["topic"], [])
        while len(log) <= start and time.monotonic() < until:
            try:
                await asyncio.wait_for(self.grown.wait(),
                                       until - time.monotonic())
            except asyncio.TimeoutError:
                break
        data = struct.pack(">QQ", len(log), 0)
        for record in log[start:]:
            data += struct.pack(">I", len(record)) + record
        return answer(200, [("Content-Type", "application/octet-stream")], data)

    def reply_append(self, query, body):
        first = len(self.logs.setdefault(query["topic"], []))
        while body:
            size = struct.unpack(">I", body[:4])[0]
            self.append(query["topic"], body[4:4 + size])
            body = body[4 + size:]
        end = len(self.logs[query["topic"]])
        text = json.dumps({"offset": first, "end-offset": end})
        return answer(200, JSON, text.encode())

    def drop_silent(self, group):
        silent = [name for name, until in group["members"].items()
                  if until < time.monotonic()]
        for name in silent:
            del group["members"][name]
        if silent:
            self.deal(group)

    def deal(self, group):
        """Partitions whose member is gone go to the others; a member that holds
        some keeps them."""
        group["generation"] += 1
        members = list(group["members"])
        for part in range(self.PARTITIONS):
            if group["owners"].get(part) not in members:
                group["owners"].pop(part, None)
                if members:
                    group["owners"][part] = members[part % len(members)]

    def reply_join(self, group, fields):
        is_new = fields["member"] not in group["members"]
        group["members"][fields["member"]] = (time.monotonic() +
                                              fields["ttl-ms"] / 1000)
        if is_new:
            self.deal(group)
        parts = [[topic, part, 0] for topic in fields["topics"]
                 for part, owner in group["owners"].items()
                 if owner == fields["member"]]
        text = json.dumps({"generation": group["generation"],
                           "ttl-ms": fields["ttl-ms"], "parts": parts})
        return answer(200, JSON, text.encode())


class Server:
    """A server of a plain service: runs each request for some time."""

    starts = 0

    def __init__(self, store, record, service, zone, port, work_s=0.03):
        Server.starts += 1
        self.id = f"i-{Server.starts:08x}"
        self.store = store
        self.record = record
        self.service = service
        self.zone = zone
        self.port = port
        self.public_port = port
        self.beaten_at = time.monotonic()
        self.work_s = work_s
        self.running = 0
        self.writers = set()
        self.runs = {}

    async def start(self):
        self.listener = await asyncio.start_server(self.serve, "127.0.0.1",
                                                   self.port)
        self.heart = asyncio.ensure_future(self.beat())

    async def beat(self):
        sequence = 0
        while True:
            sequence += 1
            self.store.put("keyed.servers", self.id, self.entry(sequence))
            self.beaten_at = time.monotonic()
            await asyncio.sleep(HEARTBEAT_S)

    def entry(self, sequence):
        return {"service": self.service, "zone": self.zone, "version": "v1",
                "address": f"127.0.0.1:{self.public_port}", "slots": 6,
                "state": "ready", "cold-remaining-ms": 0,
                "sequence": sequence}

    def crash(self):
        """Ends the server: its listener and all connections close at once. The
        store drops its entry after three heartbeats."""
        self.record("crash", server=self.id, running=self.running)
        self.heart.cancel()
        self.listener.close()
        for writer in list(self.writers):
            writer.transport.abort()
        silent_s = time.monotonic() - self.beaten_at
        asyncio.get_running_loop().call_later(
            3 * HEARTBEAT_S - silent_s, self.store.put, "keyed.servers",
            self.id, None)

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                message = await read_message(reader)
                await self.handle(message, writer)
                await writer.drain()
        except CONNECTION_ERRORS:
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def handle(self, message, writer):
        writer.write(await self.reply(message))

    async def reply(self, message):
        request_id = message.get("X-Request-Id")
        echo = [("X-Request-Id", request_id)]
        if message.get("X-Expect-Instance") not in ("", self.id):
            return answer(421, echo + [("X-Not-Executed", "1"),
                                       ("X-Instance", self.id)])
        if message.target() == "/healthz":
            return answer(200, [("X-Instance", self.id)])
        if not request_id:
            return answer(400, [("X-Not-Executed", "1")])
        self.runs[request_id] = message
        self.record("run", server=self.id, id=request_id,
                    path=message.target(), body_bytes=len(message.body))
        self.running += 1
        try:
            await asyncio.sleep(self.work_s)
        finally:
            self.running -= 1
        body = f"answer to {request_id}".encode().ljust(800, b".")
        seal = ("X-Server-Seal", f"{self.id}.{request_id}")
        return answer(200, echo + [seal], body)


class Link:
    """The network before a server. While it is cut, nothing passes, neither
    data nor the ends of connections; what was sent arrives afterwards."""

    def __init__(self, port):
        self.target = port
        self.port = free_port()
        self.is_open = asyncio.Event()
        self.is_open.set()

    async def start(self):
        await asyncio.start_server(self.carry, "127.0.0.1", self.port)

    async def carry(self, reader, writer):
        await self.is_open.wait()
        try:
            far_reader, far_writer = await asyncio.open_connection(
                "127.0.0.1", self.target)
        except OSError:
            writer.transport.abort()
            return
        await asyncio.gather(self.copy(reader, far_writer),
                             self.copy(far_reader, writer))

    async def copy(self, reader, writer):
        try:
            while data := await reader.read(65536):
                await self.is_open.wait()
                writer.write(data)
            await self.is_open.wait()
            # An orderly end arrives as one.
            writer.close()
        except OSError:
            await self.is_open.wait()
            reset(writer)


def reset(writer):
    writer.get_extra_info("socket").setsockopt(
        socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


def make_route(prefix, kind, service, attempts, timeout_ms=1000,
               target_ms=150):
    return {"name": prefix, "host": HOST_NAME, "path-prefix": prefix,
            "route-kind": kind, "service": service, "timeout-ms": timeout_ms,
            "target-latency-ms": target_ms, "priority": 0,
            "max-attempts": attempts, "gap-target-ms": 600,
            "resumable": False}


def publish_configuration(store, routes, services):
    store.put("keyed.op", "config", {
        "version": 2, "routes": routes,
        "services": [{"name": name, "health-path": "/healthz"}
                     for name in services],
        "limits": {"max-header-bytes": 16384, "max-body-bytes": 4194304,
                   "header-timeout-ms": 5000, "idle-timeout-ms": 20000}})


class Host:
    """An entry host, with the settings of the deploy file's template."""

    def __init__(self, name, zone, store, record, folder):
        self.name = name
        self.record = record
        ports = [free_port() for _ in range(4)]
        self.callers, self.readiness = ports[0], ports[1]
        address = [f"127.0.0.1:{port}" for port in ports]
        self.settings = pathlib.Path(folder) / f"{name}.json"
        self.log = pathlib.Path(folder) / f"{name}.log"
        self.settings.write_text(json.dumps({
            "process": {"host": name, "zone": zone, "zones": ZONES,
                        "cpu_share": 0.25, "stop_grace_s": 8},
            "listen": {"callers": address[0], "readiness": address[1],
                       "peers": address[2], "metrics": address[3]},
            "store": {"address": f"127.0.0.1:{store.port}",
                      "catalogue_apply_ms": 2000, "drain_ms": 2000},
            "orders": {"lease_ms": 3000, "endpoints_fence": True},
            "retries": {"ratio": 0.2, "extra": 56, "window_s": 10}}))

    def start(self):
        with open(self.log, "ab") as log:
            self.process = subprocess.Popen(
                [str(HOST_PROGRAM), "--settings", str(self.settings)],
                stdout=log, stderr=log)
        self.record("host_started", host=self.name)

    def kill(self):
        if self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.send_signal(signal.SIGKILL)
        self.process.wait()
        self.record("host_killed", host=self.name)

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1",
                                                           self.readiness)
        except OSError:
            return False
        try:
            writer.write(b"GET /readyz HTTP/1.1\r\nHost: host\r\n\r\n")
            return (await read_message(reader)).status() == 200
        except CONNECTION_ERRORS:
            return False
        finally:
            writer.close()

    async def wait_ready(self, limit_s=15):
        until = time.monotonic() + limit_s
        while not await self.is_ready():
            if time.monotonic() > until or self.process.poll() is not None:
                raise CannotRun(f"{self.name} does not become ready")
            await asyncio.sleep(0.05)


class CannotRun(Exception):
    """The case could not be played."""


def has_trouble():
    return os.environ.get("TROUBLE", "1") != "0"


def run_case(play):
    """Plays a case: 1 if the rule was broken, 0 if it held, 2 if the case could
    not run. \\p play gets the record and a list for the hosts it starts."""
    record = Record(pathlib.Path(sys.argv[0]).resolve().parent / "record.txt")
    hosts = []
    code = 2
    try:
        if not HOST_PROGRAM.exists():
            raise CannotRun("target/bin/sff-host is missing")
        with tempfile.TemporaryDirectory() as folder:
            try:
                broken = asyncio.run(
                    asyncio.wait_for(play(record, hosts, folder), 110))
                code = 1 if broken else 0
            finally:
                for host in hosts:
                    host.kill()
    except (CannotRun, OSError, asyncio.TimeoutError) as error:
        record("cannot_run", why=repr(error))
        print("the case could not run:", repr(error))
    record("end", exit=code)
    sys.stdout.flush()
    # Without the destructors of connections that are still open.
    os._exit(code)

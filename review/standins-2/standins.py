"""Stand-ins of the platform for the cases of the second review: the store, as
PROTOCOL.md tells it, and the start and end of the project's own host. All
addresses are loopback addresses with free ports.
"""
import base64
import copy
import json
import os
import random
import shutil
import signal
import socket
import struct
import subprocess
import tempfile
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from urllib.parse import parse_qs, urlsplit

REPO = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
HOST_PROGRAM = os.path.join(REPO, "target", "bin", "sff-host")
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2


def free_port():
    """A free port below those that outgoing connections take."""
    while True:
        port = random.randrange(15000, 32000)
        with socket.socket() as s:
            try:
                s.bind(("127.0.0.1", port))
                return port
            except OSError:
                continue


class Record:
    """record.txt: what was sent, answered and run."""

    def __init__(self, folder):
        self._file = open(os.path.join(folder, "record.txt"), "w")
        self._lock = threading.Lock()
        self._begun = time.monotonic()

    def write(self, text):
        with self._lock:
            self._file.write("%8.3f %s\n" % (time.monotonic() - self._begun, text))
            self._file.flush()


class Store:
    """The platform's store: logs, keyed logs and groups of one partition."""

    def __init__(self):
        self._changed = threading.Condition()
        self._logs = {}  # topic -> [(key or None, record bytes)]
        self._groups = {}  # group -> [generation, {member: end of its time}, owner]
        self.era = None  # Of the header Store-Era, where a store has it.
        self.away = False
        store = self

        class Handler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"
            disable_nagle_algorithm = True

            def log_message(self, *_):
                pass

            def reply(self, status, body, kind="application/json"):
                if not isinstance(body, bytes):
                    body = json.dumps(body).encode()
                self.send_response(status)
                self.send_header("Content-Type", kind)
                self.send_header("Content-Length", str(len(body)))
                if store.era is not None:
                    self.send_header("Store-Era", str(store.era))
                self.end_headers()
                self.wfile.write(body)

            def handle_call(self):
                era = store.era
                url = urlsplit(self.path)
                query = {k: v[0] for k, v in parse_qs(url.query).items()}
                body = self.rfile.read(int(self.headers.get("Content-Length", 0)))
                answer = None if store.away else store.call(url.path, query, body)
                if store.away or store.era != era:
                    self.close_connection = True
                    return
                try:
                    self.reply(*answer)
                except (BrokenPipeError, ConnectionResetError):
                    self.close_connection = True

            do_GET = do_POST = handle_call

        class Server(ThreadingHTTPServer):
            daemon_threads = True
            request_queue_size = 64

            def handle_error(self, *_):
                pass

        self._server = Server(("127.0.0.1", 0), Handler)
        self.address = "127.0.0.1:%d" % self._server.server_address[1]
        threading.Thread(target=self._server.serve_forever, daemon=True).start()

    def put(self, topic, key, value):
        """Writes the record of a key, as the operator and the servers do."""
        content = bytes([len(key)]) + key.encode()
        if value is not None:
            content += json.dumps(value).encode()
        with self._changed:
            self._logs.setdefault(topic, []).append((key, content))
            self._changed.notify_all()

    def copy(self):
        """A copy from which the store may come back."""
        with self._changed:
            return copy.deepcopy((self._logs, self._groups))

    def leave(self):
        with self._changed:
            self.away = True
            self._changed.notify_all()

    def come_back(self, held):
        """Ends the time away. With a copy, the store holds only what is in it."""
        with self._changed:
            if held is not None:
                self._logs, self._groups = held
                self.era += 1
            self.away = False

    def call(self, path, query, body):
        if path == "/log-newest":
            return self._newest(query)
        if path == "/log-read":
            return self._read(query)
        if path == "/log-append":
            return self._append(query, body)
        if path == "/log-join":
            return self._join(json.loads(body))
        if path == "/log-leave":
            return self._leave(json.loads(body))
        if path == "/log-owners":
            return self._owners(query)
        return 404, {"error": "no such call"}

    def _newest(self, query):
        with self._changed:
            log = self._logs.get(query["topic"], [])
            newest = {}
            for offset, (key, content) in enumerate(log):
                value = content[1 + content[0]:]
                if value:
                    newest[key] = (offset, value)
                else:
                    newest.pop(key, None)
            items = [{"key": key, "value": base64.b64encode(value).decode(),
                      "offset": offset}
                     for key, (offset, value) in sorted(newest.items())]
            return 200, {"items": items, "has-more": False, "end-offset": len(log)}

    def _read(self, query):
        start = int(query.get("from", 0))
        end = time.monotonic() + int(query.get("wait-ms", 0)) / 1000
        with self._changed:
            log = self._logs.setdefault(query["topic"], [])
            if start > len(log):
                return 410, {"first": 0}
            while len(log) <= start and time.monotonic() < end and not self.away:
                self._changed.wait(max(0.0, end - time.monotonic()))
            data = struct.pack(">QQ", len(log), 0)
            for _, content in log[start:start + 500]:
                data += struct.pack(">I", len(content)) + content
            return 200, data, "application/octet-stream"

    def _append(self, query, body):
        with self._changed:
            log = self._logs.setdefault(query["topic"], [])
            first = len(log)
            keyed = query["topic"].startswith("keyed.")
            while len(body) >= 4:
                size = struct.unpack(">I", body[:4])[0]
                content, body = body[4:4 + size], body[4 + size:]
                key = content[1:1 + content[0]].decode() if keyed else None
                log.append((key, content))
            self._changed.notify_all()
            return 200, {"offset": first, "end-offset": len(log)}

    def _settle(self, group):
        now = time.monotonic()
        before = len(group[1])
        group[1] = {m: e for m, e in group[1].items() if e > now}
        if group[2] not in group[1] or len(group[1]) != before:
            group[0] += 1
            if group[2] not in group[1]:
                group[2] = next(iter(group[1]), None)

    def _join(self, call):
        with self._changed:
            group = self._groups.setdefault(call["group"], [0, {}, None])
            if call["member"] not in group[1]:
                group[0] += 1
            group[1][call["member"]] = time.monotonic() + call["ttl-ms"] / 1000
            self._settle(group)
            owns = group[2] == call["member"]
            parts = [[topic, 0, 0] for topic in call["topics"]] if owns else []
            return 200, {"generation": group[0], "ttl-ms": call["ttl-ms"],
                         "parts": parts}

    def _leave(self, call):
        with self._changed:
            group = self._groups.setdefault(call["group"], [0, {}, None])
            group[1].pop(call["member"], None)
            self._settle(group)
            return 200, {}

    def _owners(self, query):
        with self._changed:
            group = self._groups.setdefault(query["group"], [0, {}, None])
            self._settle(group)
            rows = [["t", 0, group[2], 0]] if group[2] else []
            return 200, {"parts": rows}


class Host:
    """One process of the project's host, with the settings that the deploy
    template makes of a small deployment."""

    def __init__(self, store, name, zone, zones, folder, ports=None):
        if not os.path.exists(HOST_PROGRAM):
            raise RuntimeError("the host is not built: " + HOST_PROGRAM)
        kinds = ("callers", "readiness", "peers", "metrics")
        self.ports = ports or {k: free_port() for k in kinds}
        listen = {k: "127.0.0.1:%d" % p for k, p in self.ports.items()}
        settings = {
            "process": {"host": name, "zone": zone, "zones": zones,
                        "cpu_share": 0.25, "memory_mb": MEMORY_MB,
                        "max_descriptors": 4100, "stop_grace_s": 8.0},
            "listen": listen,
            "store": {"address": store.address, "catalogue_apply_ms": 2000,
                      "drain_ms": 2000},
            "orders": {"lease_ms": 3000, "endpoints_fence": True},
            "retries": {"ratio": 0.2, "extra": 56.0, "window_s": 10},
        }
        path = os.path.join(folder, name + ".json")
        with open(path, "w") as f:
            json.dump(settings, f)
        self._log = open(os.path.join(folder, name + ".log"), "w")
        self.process = subprocess.Popen([HOST_PROGRAM, "--settings", path],
                                        stdout=self._log, stderr=subprocess.STDOUT)

    def wait_ready(self, seconds=15):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            if self.process.poll() is not None:
                raise RuntimeError("the host has ended while it started")
            try:
                with socket.create_connection(("127.0.0.1", self.ports["readiness"]), 1) as s:
                    s.sendall(b"GET /readyz HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
                    if s.recv(64).startswith(b"HTTP/1.1 200"):
                        return
            except OSError:
                pass
            time.sleep(0.05)
        raise RuntimeError("the host did not become ready")

    def memory_mb(self):
        """Resident memory; nothing if the process has ended."""
        if self.process.poll() is not None:
            return None
        try:
            with open("/proc/%d/status" % self.process.pid) as f:
                for line in f:
                    if line.startswith("VmRSS:"):
                        return int(line.split()[1]) / 1024
        except OSError:
            pass
        return None

    def stop(self):
        if self.process.poll() is None:
            self.process.send_signal(signal.SIGKILL)
        self.process.wait()
        self._log.close()


MEMORY_MB = 260


def route(prefix, kind, service, **more):
    result = {"name": "r-" + prefix.strip("/"), "host": "a.example",
              "path-prefix": prefix, "route-kind": kind, "timeout-ms": 5000,
              "target-latency-ms": 500, "priority": 0, "service": service,
              "max-attempts": 2, "resumable": False}
    result.update(more)
    return result


LIMITS = {"max-header-bytes": 16384, "max-body-bytes": 4194304,
          "header-timeout-ms": 3000, "idle-timeout-ms": 15000}


def read_message(stream):
    """Reads one message with a length from a binary file. Returns its first
    line, headers (lower-case names) and body, or nothing at the end."""
    first = stream.readline()
    if not first:
        return None
    headers = {}
    while True:
        line = stream.readline()
        if not line:
            return None
        line = line.rstrip(b"\r\n")
        if not line:
            break
        name, _, value = line.decode("latin-1").partition(":")
        headers[name.strip().lower()] = value.strip()
    body = b""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        while True:
            size = int(stream.readline().split(b";")[0], 16)
            body += stream.read(size)
            stream.readline()
            if size == 0:
                break
    else:
        body = stream.read(int(headers.get("content-length", 0)))
    return first.decode("latin-1").strip(), headers, body


def run_case(case, folder):
    """Runs case(record, temporary folder), which returns whether the rule held,
    and ends the script with its exit status."""
    record = Record(folder)
    temporary = tempfile.mkdtemp(prefix="review-")
    hosts = []
    status = COULD_NOT_RUN
    try:
        held = case(record, temporary, hosts)
        status = HELD if held else BROKEN
        record.write("the rule " + ("held" if held else "was broken"))
    except Exception as error:  # Whatever keeps the case from running.
        record.write("could not run: %r" % error)
    finally:
        for host in hosts:
            host.stop()
        if os.environ.get("KEEP") == "1":
            print(temporary)
        else:
            shutil.rmtree(temporary, ignore_errors=True)
    os._exit(status)

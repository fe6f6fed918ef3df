"""Case 1: a stream that its server's crash cut off ends as if it were complete.
The server crashes behind a cut and starts again."""

import asyncio
import os
import pathlib
import signal
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).parent.parent / "standins"))
import platform_standins as standins

EVENTS = 50
EVENT_S = 0.1
CUT_AFTER_S = 1.0         # From the start of the streams.
CRASH_AFTER_CUT_S = 1.0   # At the earliest: right after the next heartbeat.
DOWN_S = 2.0              # From the crash to the new start.
HEAL_AFTER_START_S = 0.3
# TROUBLE=freeze stops one host instead of cutting the server off.
IS_FREEZE = os.environ.get("TROUBLE") == "freeze"


class StreamServer(standins.Server):
    """Answers each request with a stream that has no length and ends with its
    connection."""

    async def handle(self, message, writer):
        expected = message.get("X-Expect-Instance")
        request_id = message.get("X-Request-Id")
        if (message.target() == "/healthz" or not request_id or
                expected not in ("", self.id)):
            writer.write(await self.reply(message))
            return
        self.runs[request_id] = message
        self.record("run", server=self.id, id=request_id)
        self.running += 1
        try:
            await self.stream(request_id, writer)
        finally:
            self.running -= 1
        self.record("run_ended", server=self.id, id=request_id)
        raise ConnectionError("a stream ends with its connection")

    async def stream(self, request_id, writer):
        writer.write(
            f"HTTP/1.1 200 -\r\nX-Request-Id: {request_id}\r\n"
            f"X-Server-Seal: {self.id}.{request_id}\r\n"
            "Content-Type: text/event-stream\r\nConnection: close\r\n"
            "\r\n".encode())
        for number in range(1, EVENTS + 1):
            await asyncio.sleep(EVENT_S)
            if writer.transport.is_closing():
                raise ConnectionError("the connection is closed")
            writer.write(f"id: {number}\ndata: stop closed\n\n".encode())
            await writer.drain()


async def ask(host, record, request_id):
    """Returns the ids of the events and whether the stream ended as complete."""
    reader, writer = await asyncio.open_connection("127.0.0.1", host.callers)
    record("sent", id=request_id, host=host.name)
    writer.write(standins.request("POST", "/alert/2f", request_id, b"a notice",
                                  17000))
    data = b""
    is_complete = False
    try:
        head = await standins.read_head(reader)
        if head.get("Transfer-Encoding").lower() == "chunked":
            while True:
                size = int(await reader.readuntil(b"\r\n"), 16)
                data += await reader.readexactly(size)
                await reader.readexactly(2)
                if size == 0:
                    break
        else:
            # Without a length, an orderly end of the connection is the end.
            while part := await reader.read(65536):
                data += part
        is_complete = head.status() == 200
    except standins.CONNECTION_ERRORS as error:
        record("broken_off", id=request_id, why=type(error).__name__)
    writer.close()
    ids = [int(line[4:]) for line in data.decode().split("\n")
           if line.startswith("id: ")]
    record("answered", id=request_id, events=len(ids),
           last=ids[-1] if ids else 0, ended_as_complete=is_complete)
    return request_id, ids, is_complete


def signal_host(host, record, number):
    host.process.send_signal(number)
    record("signal", host=host.name, number=int(number))


async def cut_and_crash(server, link, store, record, hosts):
    await asyncio.sleep(CUT_AFTER_S)
    if IS_FREEZE:
        signal_host(hosts[0], record, signal.SIGSTOP)
    else:
        link.is_open.clear()
        record("cut", server=server.id)
    cut = time.monotonic()
    await asyncio.sleep(CRASH_AFTER_CUT_S)
    beaten_at = server.beaten_at
    while server.beaten_at == beaten_at:
        await asyncio.sleep(0.01)
    server.crash()
    await asyncio.sleep(DOWN_S)
    again = StreamServer(store, record, server.service, server.zone,
                         server.port)
    again.public_port = server.public_port
    await again.start()
    record("started_again", server=again.id)
    await asyncio.sleep(HEAL_AFTER_START_S)
    if IS_FREEZE:
        signal_host(hosts[0], record, signal.SIGCONT)
    link.is_open.set()
    record("healed", after_s=round(time.monotonic() - cut, 2))


async def play(record, hosts, folder):
    store = standins.Store()
    await store.start()
    servers = []
    links = []
    for zone in standins.ZONES:
        server = StreamServer(store, record, "katha", zone,
                              standins.free_port())
        link = standins.Link(server.port)
        server.public_port = link.port
        await link.start()
        await server.start()
        servers.append(server)
        links.append(link)
    standins.publish_configuration(
        store, [standins.make_route("/alert/", "stream", "katha", 1, 17000,
                                    3000)], ["katha"])
    for number, zone in enumerate(standins.ZONES):
        hosts.append(standins.Host(f"edge-{number}", zone, store, record,
                                   folder))
        hosts[-1].start()
    for host in hosts:
        await host.wait_ready()
    await asyncio.sleep(1)
    asked = [asyncio.ensure_future(ask(hosts[number % 4], record,
                                       f"a{number}"))
             for number in range(12)]
    if standins.has_trouble():
        await cut_and_crash(servers[0], links[0], store, record, hosts)
    answers = await asyncio.gather(*asked)
    short = [f"{name}: {len(ids)} of {EVENTS}"
             for name, ids, is_complete in answers
             if is_complete and ids != list(range(1, EVENTS + 1))]
    whole = sum(1 for _, ids, is_complete in answers
                if is_complete and len(ids) == EVENTS)
    record("judged", ended_early_as_complete=short, whole=whole)
    print(f"whole: {whole} of {len(answers)}")
    print(f"ended as complete before the last piece: {short}")
    if whole == 0:
        raise standins.CannotRun("no stream was served")
    return bool(short)


standins.run_case(play)
